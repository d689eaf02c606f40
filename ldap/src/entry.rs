//! Converts an LDAP entry to an entry of the tenant directory. An attribute that is too large,
//! missing, binary instead of text, or has several values where one is expected is an error that
//! names the entry, the attribute, the value found and the value expected.
use basaltpitch_tenants::{Entry, EntryKind, Id};
use std::collections::HashMap;

/// Names of the attributes that are read and of the object classes that determine the kind of an
/// entry. Compared without case.
#[derive(Clone, Debug)]
pub struct AttributeNames {
    /// Attribute with the stable id of an entry, which does not change when the entry is renamed.
    pub id: String,
    /// Attribute with the time of the last change of an entry.
    pub stamp: String,
    /// Attribute with the object classes of an entry.
    pub class: String,
    /// Attribute with the name of a tenant or group.
    pub name: String,
    /// Attribute with the login of a person.
    pub login: String,
    /// Attribute with the distinguished names of the members of a group or tenant.
    pub member: String,
    /// Attribute with the share of a tenant, from 0 to 1.
    pub share: String,
    /// Object class of tenants.
    pub tenant_class: String,
    /// Object class of groups.
    pub group_class: String,
    /// Object class of people.
    pub person_class: String,
    /// Operational attribute of the base entry with the server's replication progress, such as
    /// `contextCSN`. `None`: the progress is not queried.
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
    /// Returns the attributes requested for each entry.
    pub fn all(&self) -> Vec<String> {
        let all = [&self.id, &self.stamp, &self.class, &self.name, &self.login, &self.member, &self.share];
        all.into_iter().cloned().collect()
    }
}

/// Entry as received from the server.
#[derive(Clone, Debug, Default)]
pub struct RawEntry {
    /// Distinguished name of the entry.
    pub dn: String,
    /// Values of the attributes whose values are all UTF-8 text, by attribute.
    pub texts: HashMap<String, Vec<String>>,
    /// Values of the other attributes, by attribute.
    pub bytes: HashMap<String, Vec<Vec<u8>>>,
}

/// Error of an entry with an invalid attribute.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("entry {entry:?}: {attribute}: found {found}; expected {expected}")]
pub struct InvalidEntry {
    /// Beginning of the distinguished name of the entry.
    pub entry: String,
    /// Name of the invalid attribute.
    pub attribute: String,
    /// Value or number of values found.
    pub found: String,
    /// Value or number of values expected.
    pub expected: String,
}

/// Maximum bytes of an attribute value, other than a member.
const MAX_VALUE_BYTES: usize = 500;
/// Maximum bytes of a distinguished name.
const MAX_DN_BYTES: usize = 10 * MAX_VALUE_BYTES;
/// Maximum characters of a distinguished name in an error text.
const SHOWN_DN_CHARS: usize = 80;
/// Maximum number of members of an entry.
const MAX_MEMBERS: usize = 1_000_000;

/// Normalizes a distinguished name, so that spellings that differ in case or in spaces around its
/// parts compare equal.
pub fn normalize_dn(dn: &str) -> String {
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
                // An escaped space before the separator is part of the value and kept.
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

/// Reads and checks the attributes of one entry.
struct EntryReader<'a> {
    raw: &'a RawEntry,
}

/// Id and time of the last change of an entry.
pub(crate) struct EntryStamp {
    pub(crate) id: Id,
    /// Id in the spelling of the server.
    pub(crate) id_text: String,
    pub(crate) stamp: String,
}

/// Returns whether a text is a generalized time of RFC 4517 in UTC.
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

    /// Returns the kind of the entry, from its object classes, and its name.
    fn kind_and_name(&self, names: &AttributeNames) -> Result<(EntryKind, &'a str), InvalidEntry> {
        let classes = self.values(&names.class)?;
        let has_class = |class: &str| classes.iter().any(|name| name.eq_ignore_ascii_case(class));
        if has_class(&names.tenant_class) {
            Ok((EntryKind::Tenant { share: self.share(names)? }, self.required(&names.name)?))
        } else if has_class(&names.group_class) {
            // A group may have several names. Only the first is kept, since groups are identified
            // by their distinguished names.
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

/// Reads id and time of the last change of an entry for which no other attribute was requested.
pub(crate) fn read_stamp(names: &AttributeNames, raw: &RawEntry) -> Result<EntryStamp, InvalidEntry> {
    EntryReader::new(raw)?.stamp(names)
}

/// Converts an entry as received from the server.
///
/// # Errors
/// Names the first attribute that is too large, missing, binary instead of text, or has several
/// values where one is expected.
pub fn read_entry(names: &AttributeNames, raw: RawEntry) -> Result<Entry, InvalidEntry> {
    let reader = EntryReader::new(&raw)?;
    let EntryStamp { id, stamp, .. } = reader.stamp(names)?;
    let (kind, name) = reader.kind_and_name(names)?;
    let members = reader.members(names)?;
    Ok(Entry {
        id,
        kind,
        name: name.to_owned(),
        dn: normalize_dn(&raw.dn),
        members: members.iter().map(|member| normalize_dn(member)).collect(),
        stamp,
    })
}
