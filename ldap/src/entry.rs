//! Reads one entry of the directory, with care: what is huge, doubled, missing or binary where text is wanted
//! is an error that names the entry, the attribute, what was found and what was expected.
use basaltpitch_tenants::{Entry, EntryKind, Id};
use std::collections::HashMap;

/// The attributes that are read, and the object classes that tell what an entry is. Compared without case.
#[derive(Clone, Debug)]
pub struct AttributeNames {
    /// The id of an entry, which it keeps when it is renamed.
    pub id: String,
    /// When an entry changed last.
    pub stamp: String,
    /// The classes of an entry.
    pub class: String,
    /// The name of a tenant or group.
    pub name: String,
    /// The login of a person.
    pub login: String,
    /// Members of a group or tenant.
    pub member: String,
    /// The share of a tenant, from 0 to 1.
    pub share: String,
    /// The class of tenants.
    pub tenant_class: String,
    /// The class of groups.
    pub group_class: String,
    /// The class of people.
    pub person_class: String,
    /// Of the base's entry: how far the server is, such as `contextCSN`. Operational; none: it is not asked.
    pub mark: Option<String>,
}

impl Default for AttributeNames {
    fn default() -> Self {
        AttributeNames {
            id: "entryUUID".to_owned(),
            stamp: "modifyTimestamp".to_owned(),
            class: "objectClass".to_owned(),
            name: "cn".to_owned(),
            login: "uid".to_owned(),
            member: "member".to_owned(),
            share: "basaltpitchShare".to_owned(),
            tenant_class: "basaltpitchTenant".to_owned(),
            group_class: "groupOfNames".to_owned(),
            person_class: "inetOrgPerson".to_owned(),
            mark: None,
        }
    }
}

impl AttributeNames {
    /// The attributes that are asked for of each entry.
    pub fn all(&self) -> Vec<String> {
        let all = [&self.id, &self.stamp, &self.class, &self.name, &self.login, &self.member, &self.share];
        all.into_iter().cloned().collect()
    }
}

/// An entry as it came.
#[derive(Clone, Debug, Default)]
pub struct RawEntry {
    /// Its distinguished name.
    pub dn: String,
    /// The values of attributes that are text.
    pub texts: HashMap<String, Vec<String>>,
    /// The values of the others.
    pub bytes: HashMap<String, Vec<Vec<u8>>>,
}

/// An entry that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("entry {entry:?}: {attribute}: found {found}; expected {expected}")]
pub struct InvalidEntry {
    /// The beginning of its distinguished name.
    pub entry: String,
    /// The attribute that is wrong.
    pub attribute: String,
    /// What it holds.
    pub found: String,
    /// What it should hold.
    pub expected: String,
}

/// Bytes of a value, at most.
const MAX_VALUE_BYTES: usize = 500;
/// Bytes of a distinguished name, at most.
const MAX_DN_BYTES: usize = 10 * MAX_VALUE_BYTES;
/// Characters of a distinguished name that an error shows.
const SHOWN_DN_CHARS: usize = 80;
/// Members of an entry, at most.
const MAX_MEMBERS: usize = 1_000_000;

/// A distinguished name in one spelling: without case, and without blanks around its parts.
pub fn plain_dn(dn: &str) -> String {
    let mut plain = String::with_capacity(dn.len());
    let mut chars = dn.trim().chars().peekable();
    while let Some(char) = chars.next() {
        match char {
            '\\' => {
                plain.push(char);
                plain.extend(chars.next());
            }
            ',' | '=' | '+' => {
                let trimmed = plain.trim_end().len();
                // A blank that was escaped stays.
                if !plain[..trimmed].ends_with('\\') {
                    plain.truncate(trimmed);
                }
                plain.push(char);
                while chars.peek() == Some(&' ') {
                    chars.next();
                }
            }
            char => plain.extend(char.to_lowercase()),
        }
    }
    plain
}

/// Reads the attributes of one entry.
struct EntryReader<'a> {
    raw: &'a RawEntry,
}

/// The id and stamp of an entry.
pub(crate) struct EntryStamp {
    pub(crate) id: Id,
    /// The id as it came.
    pub(crate) id_text: String,
    pub(crate) stamp: String,
}

/// Whether a text is a time as RFC 4517 writes it in UTC.
fn is_stamp(text: &str) -> bool {
    text.len() >= 15 && text.ends_with('Z') && text.as_bytes()[..14].iter().all(u8::is_ascii_digit)
}

impl<'a> EntryReader<'a> {
    fn new(raw: &'a RawEntry) -> Result<Self, InvalidEntry> {
        let reader = EntryReader { raw };
        if raw.dn.is_empty() || raw.dn.len() > MAX_DN_BYTES {
            return Err(reader.invalid("its name", format!("{} bytes", raw.dn.len()), "1 to 5000"));
        }
        Ok(reader)
    }

    fn invalid(&self, attribute: &str, found: String, expected: &str) -> InvalidEntry {
        InvalidEntry {
            entry: self.raw.dn.chars().take(SHOWN_DN_CHARS).collect(),
            attribute: attribute.to_owned(),
            found,
            expected: expected.to_owned(),
        }
    }

    fn values(&self, name: &str) -> Result<&'a [String], InvalidEntry> {
        if self.raw.bytes.keys().any(|key| key.eq_ignore_ascii_case(name)) {
            return Err(self.invalid(name, "bytes that are no text".into(), "text in UTF-8"));
        }
        let found = self.raw.texts.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        Ok(found.map_or(&[], |(_, values)| values.as_slice()))
    }

    fn optional(&self, name: &str) -> Result<Option<&'a str>, InvalidEntry> {
        match self.values(name)? {
            [] => Ok(None),
            [value] if !value.is_empty() && value.len() <= MAX_VALUE_BYTES => Ok(Some(value)),
            [value] => Err(self.invalid(name, format!("{} bytes", value.len()), "1 to 500")),
            more => Err(self.invalid(name, format!("{} values", more.len()), "one")),
        }
    }

    fn required(&self, name: &str) -> Result<&'a str, InvalidEntry> {
        self.optional(name)?.ok_or_else(|| self.invalid(name, "none".into(), "one value"))
    }

    fn stamp(&self, names: &AttributeNames) -> Result<EntryStamp, InvalidEntry> {
        let text = self.required(&names.id)?;
        let id =
            Id::parse(text).ok_or_else(|| self.invalid(&names.id, format!("{text:?}"), "32 hex digits"))?;
        let stamp = self.required(&names.stamp)?;
        if !is_stamp(stamp) {
            let expected = "a time such as 20261201134500Z";
            return Err(self.invalid(&names.stamp, format!("{stamp:?}"), expected));
        }
        Ok(EntryStamp { id, id_text: text.to_owned(), stamp: stamp.to_owned() })
    }

    /// What an entry is by its classes, and its name.
    fn kind_and_name(&self, names: &AttributeNames) -> Result<(EntryKind, &'a str), InvalidEntry> {
        let classes = self.values(&names.class)?;
        let has_class = |class: &str| classes.iter().any(|name| name.eq_ignore_ascii_case(class));
        if has_class(&names.tenant_class) {
            Ok((EntryKind::Tenant { share: self.share(names)? }, self.required(&names.name)?))
        } else if has_class(&names.group_class) {
            // A group may have several names; it goes by its distinguished name.
            Ok((EntryKind::Group, self.values(&names.name)?.first().map_or("", String::as_str)))
        } else if has_class(&names.person_class) {
            Ok((EntryKind::Person, self.required(&names.login)?))
        } else {
            let expected = format!("{}, {} or {}", names.tenant_class, names.group_class, names.person_class);
            Err(self.invalid(&names.class, format!("{} values", classes.len()), &expected))
        }
    }

    fn share(&self, names: &AttributeNames) -> Result<f64, InvalidEntry> {
        let text = self.optional(&names.share)?.unwrap_or("0");
        let share = text.parse::<f64>().ok().filter(|share| (0.0..=1.0).contains(share));
        share.ok_or_else(|| self.invalid(&names.share, format!("{text:?}"), "a number from 0 to 1"))
    }

    fn members(&self, names: &AttributeNames) -> Result<&'a [String], InvalidEntry> {
        let members = self.values(&names.member)?;
        if members.len() > MAX_MEMBERS {
            let found = format!("{} values", members.len());
            return Err(self.invalid(&names.member, found, "a million at most"));
        }
        Ok(members)
    }
}

/// Id and stamp of an entry of which nothing else was asked for.
pub(crate) fn read_stamp(names: &AttributeNames, raw: &RawEntry) -> Result<EntryStamp, InvalidEntry> {
    EntryReader::new(raw)?.stamp(names)
}

/// Reads an entry.
///
/// # Errors
/// The first attribute that is huge, doubled, missing or binary where text is wanted.
pub fn read(names: &AttributeNames, raw: RawEntry) -> Result<Entry, InvalidEntry> {
    let reader = EntryReader::new(&raw)?;
    let EntryStamp { id, stamp, .. } = reader.stamp(names)?;
    let (what, name) = reader.kind_and_name(names)?;
    let members = reader.members(names)?;
    Ok(Entry {
        id,
        kind: what,
        name: name.to_owned(),
        dn: plain_dn(&raw.dn),
        members: members.iter().map(|member| plain_dn(member)).collect(),
        stamp,
    })
}
