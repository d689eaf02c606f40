//! A small JSON reader for the platform's lines, and a string writer.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a whole text; `None` if it is not JSON.
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.skip_space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|field| field.0 == name).map(|field| &field.1),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<f64> {
        match self.get(name)? {
            Json::Number(number) => Some(*number),
            Json::Text(text) => text.parse().ok(),
            _ => None,
        }
    }
}

/// Returns the text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
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
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, text: &str) -> Option<()> {
        self.skip_space();
        let found = self.bytes[self.at..].starts_with(text.as_bytes());
        found.then(|| self.at += text.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match *self.bytes.get(self.at)? {
            b'"' => self.string().map(Json::Text),
            b'{' => self.object(),
            b'[' => self.list(),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'n' => self.take("null").map(|()| Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let from = self.at;
        while self.bytes.get(self.at).is_some_and(|b| b"+-.0123456789eE".contains(b)) {
            self.at += 1;
        }
        std::str::from_utf8(&self.bytes[from..self.at]).ok()?.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut bytes = Vec::new();
        loop {
            let b = *self.bytes.get(self.at)?;
            self.at += 1;
            match b {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let c = match escaped {
                        b'n' => '\n',
                        b'r' => '\r',
                        b't' => '\t',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                            char::from_u32(code).unwrap_or('\u{fffd}')
                        }
                        other => other as char,
                    };
                    bytes.extend_from_slice(c.encode_utf8(&mut [0; 4]).as_bytes());
                }
                b => bytes.push(b),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take("[")?;
        let mut values = Vec::new();
        if self.take("]").is_some() {
            return Some(Json::List(values));
        }
        loop {
            values.push(self.value()?);
            if self.take(",").is_none() {
                self.take("]")?;
                return Some(Json::List(values));
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take("{")?;
        let mut fields = Vec::new();
        if self.take("}").is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.take(":")?;
            fields.push((name, self.value()?));
            if self.take(",").is_none() {
                self.take("}")?;
                return Some(Json::Object(fields));
            }
        }
    }
}
