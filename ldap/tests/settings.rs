//! The record `directory`: what is wrong in it is named with its place, all of it at once.
use basaltpitch_config::installation::load_texts;
use basaltpitch_ldap::read_settings;
use expect_test::{expect, Expect};

const SITE: &str = "zones: [\"z\"]\nkinds: [{name: \"std\", cores: 16, memory: 32}]\n\
     frameworks: [{name: \"small\", repeat: \"repeatable\", goal: 600ms, limit: 6s}]\n";
const GOOD: &str = "directory: {\n\tservers: [\"ldaps://one.example\", \"ldaps://two.example:1636/\"]\n\
     \tbind: \"cn=planner,dc=campus\"\n\tpassword_file: \"/run/secret\"\n\tbase: \"DC=Campus\"\n\
     \toperators: [\"CN=Keepers, dc=campus\"]\n";

fn said(more: &str) -> String {
    let text = format!("{GOOD}{more}}}\n");
    let site = match load_texts(&[("site.rec", SITE), ("directory.rec", &text)]) {
        Ok(site) => site,
        Err((sources, faults)) => {
            return faults.iter().map(|f| format!("{}\n", f.render(&sources))).collect();
        }
    };
    match read_settings(&site.all) {
        Ok(d) => format!("{:#?}\n", d.map(|d| (d.terms, d.pace, d.source.names.mark))),
        Err(faults) => faults.iter().map(|f| format!("{}\n", f.message)).collect(),
    }
}

fn check(more: &str, want: Expect) {
    want.assert_eq(&said(more));
}

#[test]
fn a_right_one_lays_out() {
    check(
        "attributes: mark: \"contextCSN\"\n",
        expect![[r#"
        Some(
            (
                AccessPolicy {
                    operators: [
                        "cn=keepers,dc=campus",
                    ],
                    auditors: [],
                    always: [],
                    place_blind: false,
                    place_stale: true,
                },
                SyncSchedule {
                    interval_us: 30000000,
                    timeout_us: 60000000,
                    stale_after_us: 120000000,
                    initial_backoff_us: 1000000,
                    max_backoff_us: 60000000,
                    max_slowdown: 4,
                },
                Some(
                    "contextCSN",
                ),
            ),
        )
    "#]],
    );
}

#[test]
fn what_is_wrong_is_named() {
    check(
        "starttls: true\nfilter: \"(cn=*\"\nauditors: [\"keepers\"]\nfresh: 10s\nfirst_wait: 90s\n\
         attributes: {id: \"entry UUID\", login: \"\", class: \"2.5.4.0\"}\n",
        expect![[r#"
            directory.starttls: found true beside "ldaps://one.example"; expected false with ldaps, which is TLS from the start
            directory.starttls: found true beside "ldaps://two.example:1636/"; expected false with ldaps, which is TLS from the start
            directory.auditors: found "keepers"; expected distinguished names of groups
            directory.filter: found "(cn=*"; expected a filter as RFC 4515 writes it, such as (objectClass=person)
            directory.attributes.id: found "entry UUID"; expected a name of letters, digits and dashes, or a number
            directory.attributes.login: found ""; expected a name of letters, digits and dashes, or a number
            directory.fresh: found 10000000 us, with a sweep every 30000000 us; expected more than the time from sweep to sweep
            directory.most_wait: found 60000000 us; expected no less than first_wait
        "#]],
    );
    check(
        "servers: [\"http://x\", \"x\"]\n",
        expect![[r#"
        directory.rec:7:11: servers[0]: found "http://x"; expected "ldaps://one.example"
          directory.rec:2:12: this is what it was to be unified with
    "#]],
    );
    check(
        "place_stale: 3\n",
        expect![[r#"
            directory.rec:7:14: directory.place_stale: found 3; expected true or true or false
              built-in types:128:15: this is what it was to be unified with
        "#]],
    );
}

#[test]
fn a_password_in_the_clear_must_be_wanted() {
    let clear = |more: &str| {
        let text = format!("{GOOD}{more}}}\n").replace("ldaps://one.example", "ldap://one.example");
        let site = load_texts(&[("site.rec", SITE), ("directory.rec", &text)]).map_err(|e| e.1).unwrap();
        read_settings(&site.all).map(|d| d.unwrap().source.urls.len()).map_err(|f| f[0].message.clone())
    };
    assert_eq!(clear("clear: true\n"), Ok(2));
    expect![[r#"directory.servers: found "ldap://one.example", which sends the password in the clear; expected ldaps, starttls, or clear"#]].assert_eq(&clear("").unwrap_err());
}

#[test]
fn a_list_of_tenants_beside_a_directory() {
    check(
        "}\ntenants: [{name: \"t\", share: 1}]\nrules: {\n",
        expect![[r#"
        directory.rec:8:11: tenants: found a list beside a directory; expected one of them
          directory.rec:1:12: the directory
    "#]],
    );
}
