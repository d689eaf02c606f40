//! Reads one entry of the directory, with care: what is huge, doubled, missing or binary where text is wanted
//! is an error that names the entry, the attribute, what was found and what was expected.
use basaltpitch_tenants::{Entry, Id, What};
use std::collections::HashMap;

/// The attributes that are read, and the object classes that tell what an entry is. Compared without case.
#[derive(Clone, Debug)]
pub struct AttributeNames {
    pub id: String,
    pub stamp: String,
    pub class: String,
    pub name: String,
    pub login: String,
    pub member: String,
    pub share: String,
    pub tenant_class: String,
    pub group_class: String,
    pub person_class: String,
    /// Of the base's entry: how far the server is, such as `contextCSN`. Operational; none: it is not asked.
    pub mark: Option<String>,
}

impl Default for AttributeNames {
    fn default() -> Self {
        let of = |s: &str| s.to_owned();
        AttributeNames {
            id: of("entryUUID"),
            stamp: of("modifyTimestamp"),
            class: of("objectClass"),
            name: of("cn"),
            login: of("uid"),
            member: of("member"),
            share: of("basaltpitchShare"),
            tenant_class: of("basaltpitchTenant"),
            group_class: of("groupOfNames"),
            person_class: of("inetOrgPerson"),
            mark: None,
        }
    }
}

impl AttributeNames {
    pub fn all(&self) -> Vec<String> {
        let all = [&self.id, &self.stamp, &self.class, &self.name, &self.login, &self.member, &self.share];
        all.iter().map(|s| (*s).clone()).collect()
    }
}

/// An entry as it came.
#[derive(Clone, Debug, Default)]
pub struct RawEntry {
    pub dn: String,
    pub texts: HashMap<String, Vec<String>>,
    pub bytes: HashMap<String, Vec<Vec<u8>>>,
}

const MOST_NAME: usize = 500;
const MOST_MEMBERS: usize = 1_000_000;

/// A distinguished name in one spelling: without case, and without blanks around its parts.
pub fn plain_dn(dn: &str) -> String {
    let mut plain = String::with_capacity(dn.len());
    let mut chars = dn.trim().chars().peekable();
    while let Some(c) = chars.next() {
        match c {
            '\\' => {
                plain.push(c);
                plain.extend(chars.next());
            }
            ',' | '=' | '+' => {
                let kept = plain.trim_end().len();
                // A blank that was escaped stays.
                if !plain[..kept].ends_with('\\') {
                    plain.truncate(kept);
                }
                plain.push(c);
                while chars.peek().is_some_and(|c| *c == ' ') {
                    chars.next();
                }
            }
            c => plain.extend(c.to_lowercase()),
        }
    }
    plain
}

/// One entry while it is read.
struct Reading<'a> {
    raw: &'a RawEntry,
}

impl<'a> Reading<'a> {
    fn new(raw: &'a RawEntry) -> Result<Self, String> {
        let reading = Reading { raw };
        if raw.dn.is_empty() || raw.dn.len() > 10 * MOST_NAME {
            return Err(reading.wrong("its name", format!("{} bytes", raw.dn.len()), "1 to 5000"));
        }
        Ok(reading)
    }

    fn wrong(&self, attribute: &str, found: String, expected: &str) -> String {
        let shown: String = self.raw.dn.chars().take(80).collect();
        format!("entry {shown:?}: {attribute}: found {found}; expected {expected}")
    }

    fn values(&self, name: &str) -> Result<&'a [String], String> {
        if self.raw.bytes.keys().any(|k| k.eq_ignore_ascii_case(name)) {
            return Err(self.wrong(name, "bytes that are no text".into(), "text in UTF-8"));
        }
        let found = self.raw.texts.iter().find(|(k, _)| k.eq_ignore_ascii_case(name));
        Ok(found.map_or(&[], |(_, v)| v.as_slice()))
    }

    fn one(&self, name: &str) -> Result<Option<&'a str>, String> {
        match self.values(name)? {
            [] => Ok(None),
            [value] if !value.is_empty() && value.len() <= MOST_NAME => Ok(Some(value)),
            [value] => Err(self.wrong(name, format!("{} bytes", value.len()), "1 to 500")),
            more => Err(self.wrong(name, format!("{} values", more.len()), "one")),
        }
    }

    fn need(&self, name: &str) -> Result<&'a str, String> {
        self.one(name)?.ok_or_else(|| self.wrong(name, "none".into(), "one value"))
    }

    /// The entry's id, as a number and as it came, and its stamp.
    fn stamp(&self, names: &AttributeNames) -> Result<(Id, &'a str, &'a str), String> {
        let text = self.need(&names.id)?;
        let id = Id::read(text).ok_or_else(|| self.wrong(&names.id, format!("{text:?}"), "32 hex digits"))?;
        let stamp = self.need(&names.stamp)?;
        if stamp.len() < 15 || !stamp.ends_with('Z') || !stamp.as_bytes()[..14].iter().all(u8::is_ascii_digit)
        {
            return Err(self.wrong(&names.stamp, format!("{stamp:?}"), "a time such as 20261201134500Z"));
        }
        Ok((id, text, stamp))
    }
}

/// Id, the text of it, and stamp of an entry of which nothing else was asked for.
pub fn read_stamp(names: &AttributeNames, raw: &RawEntry) -> Result<(Id, String, String), String> {
    let (id, text, stamp) = Reading::new(raw)?.stamp(names)?;
    Ok((id, text.to_owned(), stamp.to_owned()))
}

pub fn read(names: &AttributeNames, raw: RawEntry) -> Result<Entry, String> {
    let reading = Reading::new(&raw)?;
    let wrong = |attribute: &str, found: String, expected: &str| reading.wrong(attribute, found, expected);
    let values = |name: &str| reading.values(name);
    let need = |name: &str| reading.need(name);
    let (id, _, stamp) = reading.stamp(names)?;
    let classes = values(&names.class)?;
    let is = |class: &str| classes.iter().any(|c| c.eq_ignore_ascii_case(class));
    let (what, name) = if is(&names.tenant_class) {
        let share = reading.one(&names.share)?.unwrap_or("0");
        let number = share.parse::<f64>().ok().filter(|s| (0.0..=1.0).contains(s));
        let share =
            number.ok_or_else(|| wrong(&names.share, format!("{share:?}"), "a number from 0 to 1"))?;
        (What::Tenant { share }, need(&names.name)?)
    } else if is(&names.group_class) {
        // A group may have several names; it goes by its distinguished name.
        (What::Group, values(&names.name)?.first().map_or("", String::as_str))
    } else if is(&names.person_class) {
        (What::Person, need(&names.login)?)
    } else {
        let expected = format!("{}, {} or {}", names.tenant_class, names.group_class, names.person_class);
        return Err(wrong(&names.class, format!("{} values", classes.len()), &expected));
    };
    let members = values(&names.member)?;
    if members.len() > MOST_MEMBERS {
        return Err(wrong(&names.member, format!("{} values", members.len()), "a million at most"));
    }
    Ok(Entry {
        id,
        what,
        name: name.to_owned(),
        dn: plain_dn(&raw.dn),
        members: members.iter().map(|m| plain_dn(m)).collect(),
        stamp: stamp.to_owned(),
    })
}
