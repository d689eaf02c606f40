//! The record `directory` of an installation's files: how a directory is reached, and what the decisions are
//! told. What types alone do not find is checked here: addresses, filters, names and paces that make no sense
//! together.
use crate::{AttributeNames, LdapSource};
use basaltpitch_config::{ConfigError, ResolvedValue};
use basaltpitch_tenants::health::Pace;
use basaltpitch_tenants::rights::Terms;
use basaltpitch_tenants::trust::Caution;
use std::path::PathBuf;
use std::time::Duration;

/// All that the record says.
#[derive(Clone, Debug)]
pub struct DirectorySettings {
    pub source: LdapSource,
    pub terms: Terms,
    pub pace: Pace,
    pub caution: Caution,
}

/// A description of an attribute or class, or its number (RFC 4512).
fn is_name(name: &str) -> bool {
    let word = name.starts_with(|c: char| c.is_ascii_alphabetic())
        && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-');
    let number = name.split('.').count() > 1
        && name.split('.').all(|n| !n.is_empty() && n.bytes().all(|b| b.is_ascii_digit()));
    word || number
}

/// A distinguished name, as far as it can be told without the directory's schema.
fn is_dn(dn: &str) -> bool {
    dn.split(',')
        .all(|part| part.split_once('=').is_some_and(|(k, v)| is_name(k.trim()) && !v.trim().is_empty()))
        || dn.contains('\\')
}

/// Reads the record `directory`, if the files have one.
pub fn read_settings(all: &ResolvedValue) -> Result<Option<DirectorySettings>, Vec<ConfigError>> {
    let Some(d) = all.get("directory") else { return Ok(None) };
    let mut faults = Vec::new();
    let mut wrong = |field: &str, found: String, expected: &str| {
        let at = d.get(field).map_or(d.at, |x| x.at);
        faults.push(ConfigError::new(at, format!("directory.{field}: found {found}; expected {expected}")));
    };
    let text = |field: &str| d.text(field).unwrap_or("").to_owned();
    let time = |field: &str| d.duration_us(field).unwrap_or(0);
    let mark = |field: &str| d.boolean(field).unwrap_or(false);
    let count = |field: &str| d.number(field).unwrap_or(0.0) as usize;
    let urls: Vec<String> = d.texts("servers").into_iter().map(|x| x.0).collect();
    if urls.is_empty() {
        wrong("servers", "none".into(), "at least one address");
    }
    for (i, url) in urls.iter().enumerate() {
        let scheme = url.split("://").next().unwrap_or("");
        let host = url.split_once("://").map_or("", |x| x.1).trim_end_matches('/');
        if !["ldap", "ldaps"].contains(&scheme) || host.is_empty() || host.contains(['/', ' ', '@']) {
            wrong("servers", format!("{url:?}"), "ldap:// or ldaps://, a host and perhaps a port");
        } else if urls[..i].contains(url) {
            wrong("servers", format!("{url:?} twice"), "each server once");
        } else if scheme == "ldaps" && mark("starttls") {
            wrong(
                "starttls",
                format!("true beside {url:?}"),
                "false with ldaps, which is TLS from the start",
            );
        } else if scheme == "ldap" && !mark("starttls") && !mark("clear") {
            wrong(
                "servers",
                format!("{url:?}, which sends the password in the clear"),
                "ldaps, starttls, or clear",
            );
        }
    }
    for field in ["bind", "base"] {
        if !is_dn(&text(field)) {
            wrong(field, format!("{:?}", text(field)), "a distinguished name such as dc=campus,dc=example");
        }
    }
    for list in ["operators", "auditors"] {
        for (dn, _) in d.texts(list).into_iter().filter(|x| !is_dn(&x.0)) {
            wrong(list, format!("{dn:?}"), "distinguished names of groups");
        }
    }
    let filter = text("filter");
    if ldap3::parse_filter(&filter).is_err() {
        wrong(
            "filter",
            format!("{filter:?}"),
            "a filter as RFC 4515 writes it, such as (objectClass=person)",
        );
    }
    for (record, fields) in [("attributes", d.get("attributes")), ("classes", d.get("classes"))] {
        for (field, value) in fields.into_iter().flat_map(ResolvedValue::fields) {
            let basaltpitch_config::PlainValue::Text(name) = &value.value else { continue };
            let none = field == "mark" && name.is_empty();
            if !none && !is_name(name) {
                wrong(
                    &format!("{record}.{field}"),
                    format!("{name:?}"),
                    "a name of letters, digits and dashes, or a number",
                );
            }
        }
    }
    if time("fresh") <= time("every") {
        let found = format!("{} us, with a sweep every {} us", time("fresh"), time("every"));
        wrong("fresh", found, "more than the time from sweep to sweep");
    }
    if time("most_wait") < time("first_wait") {
        wrong("most_wait", format!("{} us", time("most_wait")), "no less than first_wait");
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    let path = |field: &str| d.text(field).map(PathBuf::from);
    let attribute = |field: &str| text(&format!("attributes.{field}"));
    let names = AttributeNames {
        id: attribute("id"),
        stamp: attribute("changed"),
        class: attribute("class"),
        name: attribute("name"),
        login: attribute("login"),
        member: attribute("member"),
        share: attribute("share"),
        mark: Some(attribute("mark")).filter(|m| !m.is_empty()),
        tenant_class: text("classes.tenant"),
        group_class: text("classes.group"),
        person_class: text("classes.person"),
    };
    let plain = |list: &str| d.texts(list).into_iter().map(|x| crate::plain_dn(&x.0)).collect();
    Ok(Some(DirectorySettings {
        source: LdapSource {
            urls,
            starttls: mark("starttls"),
            ca_file: path("vouchers"),
            bind_dn: text("bind"),
            password: path("password_file").unwrap_or_default(),
            base: text("base"),
            filter,
            names,
            page: count("page") as i32,
            sync: mark("sync"),
            timeout: Duration::from_micros(time("patience") as u64),
        },
        terms: Terms {
            operators: plain("operators"),
            auditors: plain("auditors"),
            always: d.texts("always").into_iter().map(|x| x.0).collect(),
            place_blind: mark("place_blind"),
            place_stale: mark("place_stale"),
        },
        pace: Pace {
            every_us: time("every"),
            // A sweep is many pages, each of which may take its patience.
            patience_us: time("whole"),
            fresh_us: time("fresh"),
            first_wait_us: time("first_wait"),
            most_wait_us: time("most_wait"),
            slower: count("slower") as i64,
        },
        caution: Caution {
            few: count("caution.few"),
            percent: count("caution.percent"),
            sweeps: count("caution.sweeps") as u32,
            over_us: time("caution.over"),
        },
    }))
}
