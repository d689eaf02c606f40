//! The record `directory` of the settings: all its errors are reported at once, each with its
//! field.
use basaltpitch_config::installation::load_texts;
use basaltpitch_ldap::read_settings;
use expect_test::{expect, Expect};

const INSTALLATION: &str = "zones: [\"z\"]\nkinds: [{name: \"std\", cores: 16, memory: 32}]\n\
     frameworks: [{name: \"small\", repeat: \"repeatable\", goal: 600ms, limit: 6s}]\n";
const DIRECTORY: &str = "directory: {\n\tservers: [\"ldaps://one.example\", \"ldaps://two.example:1636/\"]\n\
     \tbind: \"cn=planner,dc=campus\"\n\tpassword_file: \"/run/secret\"\n\tbase: \"DC=Campus\"\n\
     \toperators: [\"CN=Keepers, dc=campus\"]\n";

fn render_settings(more: &str) -> String {
    let text = format!("{DIRECTORY}{more}}}\n");
    let installation = match load_texts(&[("site.rec", INSTALLATION), ("directory.rec", &text)]) {
        Ok(installation) => installation,
        Err((sources, errors)) => {
            return errors.iter().map(|err| format!("{}\n", err.render(&sources))).collect();
        }
    };
    match read_settings(&installation.all) {
        Ok(dir) => format!("{:#?}\n", dir.map(|d| (d.access_policy, d.sync_schedule, d.source.names.mark))),
        Err(errors) => errors.iter().map(|err| format!("{}\n", err.message)).collect(),
    }
}

fn check(more: &str, expected: Expect) {
    expected.assert_eq(&render_settings(more));
}

#[test]
fn reads_valid_directory_record() {
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
fn reports_every_invalid_field() {
    check(
        "starttls: true\nfilter: \"(cn=*\"\nauditors: [\"keepers\"]\nfresh: 10s\nfirst_wait: 90s\n\
         attributes: {id: \"entry UUID\", login: \"\", class: \"2.5.4.0\"}\n",
        expect![[r#"
            directory.starttls: found true beside "ldaps://one.example"; expected false with ldaps, whose connections always use TLS
            directory.starttls: found true beside "ldaps://two.example:1636/"; expected false with ldaps, whose connections always use TLS
            directory.auditors: found "keepers"; expected distinguished names of groups
            directory.filter: found "(cn=*"; expected a filter of RFC 4515, such as (objectClass=person)
            directory.attributes.id: found "entry UUID"; expected a name of letters, digits and hyphens that begins with a letter, or an object identifier
            directory.attributes.login: found ""; expected a name of letters, digits and hyphens that begins with a letter, or an object identifier
            directory.fresh: found 10000000 us, with a sync every 30000000 us; expected more than the period of syncs (every)
            directory.most_wait: found 60000000 us; expected at least first_wait
        "#]],
    );
    check(
        "servers: [\"http://x\", \"x\"]\n",
        expect![[r#"
        directory.rec:7:11: servers[0]: found "http://x"; expected "ldaps://one.example"
          directory.rec:2:12: conflicts with this declaration
    "#]],
    );
    check(
        "place_stale: 3\n",
        expect![[r#"
            directory.rec:7:14: directory.place_stale: found 3; expected true or true or false
              built-in types:128:15: conflicts with this declaration
        "#]],
    );
}

#[test]
fn rejects_password_in_clear_text_unless_allowed() {
    let read_with_clear_text_server = |more: &str| {
        let text = format!("{DIRECTORY}{more}}}\n").replace("ldaps://one.example", "ldap://one.example");
        let installation =
            load_texts(&[("site.rec", INSTALLATION), ("directory.rec", &text)]).map_err(|e| e.1).unwrap();
        read_settings(&installation.all)
            .map(|d| d.unwrap().source.urls.len())
            .map_err(|f| f[0].message.clone())
    };
    assert_eq!(read_with_clear_text_server("clear: true\n"), Ok(2));
    expect![[r#"directory.servers: found "ldap://one.example", which sends the password in clear text; expected an ldaps:// address, starttls: true or clear: true"#]].assert_eq(&read_with_clear_text_server("").unwrap_err());
}

#[test]
fn rejects_list_of_tenants_beside_directory() {
    check(
        "}\ntenants: [{name: \"t\", share: 1}]\nrules: {\n",
        expect![[r#"
        directory.rec:8:11: tenants: found a list beside a directory; expected only one of them
          directory.rec:1:12: directory declared here
    "#]],
    );
}
