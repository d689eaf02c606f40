//! A small JSON reader, and the quoting of strings.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    /// Returns the field with this name, `Null` if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(fields) => fields.iter().find(|(n, _)| n == name).map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }

    /// Returns the string, or an empty one.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    /// Returns the number, if it is one.
    pub fn number(&self) -> Option<f64> {
        match self {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }
}

/// Parses one JSON value; `None` if the text is not JSON.
pub fn parse(text: &str) -> Option<Json> {
    let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
    let value = reader.value()?;
    reader.space();
    (reader.at == reader.bytes.len()).then_some(value)
}

/// Quotes a string for JSON.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from('"');
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if (c as u32) < 0x20 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(|b| b.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => Some(Json::Text(self.string()?)),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(b']').is_some() {
                        return Some(Json::List(list));
                    }
                    self.take(b',')?;
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Map(fields));
                }
                loop {
                    self.space();
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.push((name, self.value()?));
                    if self.take(b'}').is_some() {
                        return Some(Json::Map(fields));
                    }
                    self.take(b',')?;
                }
            }
            _ => {
                let from = self.at;
                while self.bytes.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.bytes[from..self.at]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    fn hex(&mut self) -> Option<u32> {
        let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
        self.at += 4;
        u32::from_str_radix(digits, 16).ok()
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let c = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let mut code = self.hex()?;
                            if (0xd800..0xdc00).contains(&code) {
                                self.at += 2;
                                code = 0x10000 + ((code - 0xd800) << 10) + self.hex()?.checked_sub(0xdc00)?;
                            }
                            char::from_u32(code)?
                        }
                        other => other as char,
                    };
                    text.extend_from_slice(c.encode_utf8(&mut [0; 4]).as_bytes());
                }
                byte => text.push(byte),
            }
        }
    }
}
