//! Reads the record `directory` of an installation's files: the servers, and the settings of
//! authorization and sync. Checks what the types of the schema do not cover: addresses, filters,
//! names, and times that contradict each other.
use crate::{normalize_dn, AttributeNames, LdapSource};
use basaltpitch_config::{ConfigError, PlainValue, ResolvedValue};
use basaltpitch_tenants::authorization::AccessPolicy;
use basaltpitch_tenants::change_guard::ChangeGuard;
use basaltpitch_tenants::sync_schedule::SyncSchedule;
use std::path::PathBuf;
use std::time::Duration;

/// Settings of the record `directory`.
#[derive(Clone, Debug)]
pub struct DirectorySettings {
    /// Servers of the directory, and how they are queried.
    pub source: LdapSource,
    /// Permissions of operators and auditors, and the policy while the directory is not available.
    pub access_policy: AccessPolicy,
    /// Schedule of the syncs with the directory.
    pub sync_schedule: SyncSchedule,
    /// Which removals are held back until they are confirmed.
    pub change_guard: ChangeGuard,
}

/// Returns whether a text is the name of an attribute or object class, or its numeric object
/// identifier (RFC 4512).
fn is_name(name: &str) -> bool {
    let is_description = name.starts_with(|char: char| char.is_ascii_alphabetic())
        && name.chars().all(|char| char.is_ascii_alphanumeric() || char == '-');
    let is_number = name.split('.').count() > 1
        && name.split('.').all(|part| !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_digit()));
    is_description || is_number
}

/// Returns whether a text is a distinguished name, as far as that can be checked without the schema
/// of the directory. A text with a backslash is accepted, because a comma in it may be escaped.
fn is_dn(dn: &str) -> bool {
    let is_part = |part: &str| {
        part.split_once('=').is_some_and(|(name, value)| is_name(name.trim()) && !value.trim().is_empty())
    };
    dn.split(',').all(is_part) || dn.contains('\\')
}

/// Reader of the record `directory`, with the errors found so far.
struct SettingsReader<'a> {
    record: &'a ResolvedValue,
    errors: Vec<ConfigError>,
}

impl SettingsReader<'_> {
    fn text(&self, field: &str) -> String {
        self.record.text(field).unwrap_or("").to_owned()
    }

    fn texts(&self, list: &str) -> Vec<String> {
        self.record.texts(list).into_iter().map(|item| item.0).collect()
    }

    fn duration_us(&self, field: &str) -> i64 {
        self.record.duration_us(field).unwrap_or(0)
    }

    fn flag(&self, field: &str) -> bool {
        self.record.boolean(field).unwrap_or(false)
    }

    fn count(&self, field: &str) -> usize {
        self.record.number(field).unwrap_or(0.0) as usize
    }

    fn path(&self, field: &str) -> Option<PathBuf> {
        self.record.text(field).map(PathBuf::from)
    }

    fn dns(&self, list: &str) -> Vec<String> {
        self.texts(list).iter().map(|dn| normalize_dn(dn)).collect()
    }

    fn invalid(&mut self, field: &str, found: String, expected: &str) {
        let at = self.record.get(field).map_or(self.record.at, |value| value.at);
        let message = format!("directory.{field}: found {found}; expected {expected}");
        self.errors.push(ConfigError::new(at, message));
    }

    fn check_servers(&mut self) {
        let urls = self.texts("servers");
        if urls.is_empty() {
            self.invalid("servers", "none".into(), "at least one address");
        }
        for (index, url) in urls.iter().enumerate() {
            let scheme = url.split("://").next().unwrap_or("");
            let host = url.split_once("://").map_or("", |(_, rest)| rest).trim_end_matches('/');
            if !["ldap", "ldaps"].contains(&scheme) || host.is_empty() || host.contains(['/', ' ', '@']) {
                let expected = "ldap:// or ldaps:// followed by a host and optionally a port";
                self.invalid("servers", format!("{url:?}"), expected);
            } else if urls[..index].contains(url) {
                self.invalid("servers", format!("{url:?} twice"), "each server once");
            } else if scheme == "ldaps" && self.flag("starttls") {
                let expected = "false with ldaps, whose connections always use TLS";
                self.invalid("starttls", format!("true beside {url:?}"), expected);
            } else if scheme == "ldap" && !self.flag("starttls") && !self.flag("clear") {
                let found = format!("{url:?}, which sends the password in clear text");
                self.invalid("servers", found, "an ldaps:// address, starttls: true or clear: true");
            }
        }
    }

    fn check_distinguished_names(&mut self) {
        for field in ["bind", "base"] {
            let dn = self.text(field);
            if !is_dn(&dn) {
                let expected = "a distinguished name such as dc=campus,dc=example";
                self.invalid(field, format!("{dn:?}"), expected);
            }
        }
        for list in ["operators", "auditors"] {
            for dn in self.texts(list).into_iter().filter(|dn| !is_dn(dn)) {
                self.invalid(list, format!("{dn:?}"), "distinguished names of groups");
            }
        }
    }

    fn check_filter(&mut self) {
        let filter = self.text("filter");
        if ldap3::parse_filter(&filter).is_err() {
            let expected = "a filter of RFC 4515, such as (objectClass=person)";
            self.invalid("filter", format!("{filter:?}"), expected);
        }
    }

    fn check_attribute_names(&mut self) {
        let record = self.record;
        for part in ["attributes", "classes"] {
            for (field, value) in record.get(part).into_iter().flat_map(ResolvedValue::fields) {
                let PlainValue::Text(name) = &value.value else { continue };
                let absent = field == "mark" && name.is_empty();
                if !absent && !is_name(name) {
                    let expected = "a name of letters, digits and hyphens that begins with a letter, or an object identifier";
                    self.invalid(&format!("{part}.{field}"), format!("{name:?}"), expected);
                }
            }
        }
    }

    fn check_times(&mut self) {
        let (fresh_us, every_us) = (self.duration_us("fresh"), self.duration_us("every"));
        if fresh_us <= every_us {
            let found = format!("{fresh_us} us, with a sync every {every_us} us");
            self.invalid("fresh", found, "more than the period of syncs (every)");
        }
        let most_wait_us = self.duration_us("most_wait");
        if most_wait_us < self.duration_us("first_wait") {
            self.invalid("most_wait", format!("{most_wait_us} us"), "at least first_wait");
        }
    }

    fn attribute_names(&self) -> AttributeNames {
        let attribute = |field: &str| self.text(&format!("attributes.{field}"));
        AttributeNames {
            id: attribute("id"),
            stamp: attribute("changed"),
            class: attribute("class"),
            name: attribute("name"),
            login: attribute("login"),
            member: attribute("member"),
            share: attribute("share"),
            mark: Some(attribute("mark")).filter(|name| !name.is_empty()),
            tenant_class: self.text("classes.tenant"),
            group_class: self.text("classes.group"),
            person_class: self.text("classes.person"),
        }
    }

    fn source(&self) -> LdapSource {
        LdapSource {
            urls: self.texts("servers"),
            starttls: self.flag("starttls"),
            ca_file: self.path("vouchers"),
            bind_dn: self.text("bind"),
            password_file: self.path("password_file").unwrap_or_default(),
            base: self.text("base"),
            filter: self.text("filter"),
            names: self.attribute_names(),
            page_size: self.count("page") as i32,
            content_sync: self.flag("sync"),
            timeout: Duration::from_micros(self.duration_us("patience") as u64),
        }
    }

    fn settings(&self) -> DirectorySettings {
        DirectorySettings {
            source: self.source(),
            access_policy: AccessPolicy {
                operators: self.dns("operators").into_iter().collect(),
                auditors: self.dns("auditors").into_iter().collect(),
                always: self.texts("always").into_iter().collect(),
                place_blind: self.flag("place_blind"),
                place_stale: self.flag("place_stale"),
            },
            sync_schedule: SyncSchedule {
                interval_us: self.duration_us("every"),
                // A sync reads many pages, each of which may take up to the timeout of a page.
                timeout_us: self.duration_us("whole"),
                stale_after_us: self.duration_us("fresh"),
                initial_backoff_us: self.duration_us("first_wait"),
                max_backoff_us: self.duration_us("most_wait"),
                max_slowdown: self.count("slower") as i64,
            },
            change_guard: ChangeGuard {
                max_removed_count: self.count("caution.few"),
                max_removed_percent: self.count("caution.percent"),
                confirming_syncs: self.count("caution.sweeps") as u32,
                confirming_time_us: self.duration_us("caution.over"),
            },
        }
    }
}

/// Reads the record `directory`; `None` if the files have none.
///
/// # Errors
/// Lists all errors of the record.
pub fn read_settings(all: &ResolvedValue) -> Result<Option<DirectorySettings>, Vec<ConfigError>> {
    let Some(record) = all.get("directory") else { return Ok(None) };
    let mut reader = SettingsReader { record, errors: Vec::new() };
    reader.check_servers();
    reader.check_distinguished_names();
    reader.check_filter();
    reader.check_attribute_names();
    reader.check_times();
    if reader.errors.is_empty() {
        Ok(Some(reader.settings()))
    } else {
        Err(reader.errors)
    }
}
