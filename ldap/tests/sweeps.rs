//! Syncs with a simulated directory server on loopback, with and without faults of the server, and
//! the reading of invalid entries.
use basaltpitch_ldap::{
    normalize_dn, read_entry, sync, AttributeNames, LdapSource, RawEntry, SyncError, SyncResult, SyncState,
};
use basaltpitch_tenants::change_guard::{ChangeReview, DEFAULT_CHANGE_GUARD};
use basaltpitch_tenants::{EntryKind, Id, Tenants};
use basaltpitch_testbed::ldap_server::{self, ldap_entry, DirectoryFault, LdapEntry, LdapServer};
use proptest::prelude::*;
use std::collections::HashMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

fn run_async(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn uuid(number: u32) -> String {
    format!("00000000-0000-0000-0000-{number:012x}")
}

fn entries() -> Vec<LdapEntry> {
    let mut all = Vec::new();
    let stamp = "20261201120000Z";
    let person = |n: u32| format!("uid=p{n},ou=people,dc=campus");
    for n in 0..40 {
        let (id, login) = (uuid(100 + n), format!("p{n}"));
        let attributes: [(&str, &[&str]); 4] = [
            ("objectClass", &["top", "inetOrgPerson"]),
            ("uid", &[&login]),
            ("entryUUID", &[&id]),
            ("modifyTimestamp", &[stamp]),
        ];
        all.push(ldap_entry(&person(n), &attributes));
    }
    for t in 0..4 {
        let (id, name) = (uuid(t + 1), format!("team {t}"));
        let members: Vec<String> = (0..10).map(|n| person(10 * t + n).to_uppercase()).collect();
        let members: Vec<&str> = members.iter().map(String::as_str).collect();
        let attributes: [(&str, &[&str]); 6] = [
            ("objectClass", &["basaltpitchTenant", "groupOfNames"]),
            ("cn", &[&name]),
            ("entryUUID", &[&id]),
            ("modifyTimestamp", &[stamp]),
            ("member", &members),
            ("basaltpitchShare", &["0.25"]),
        ];
        all.push(ldap_entry(&format!("cn={name}, ou=tenants, dc=campus"), &attributes));
    }
    all
}

/// Starts a server with the entries and returns the settings to read it. `name` distinguishes the
/// password files of the tests.
async fn start_server(name: &str) -> (Rc<LdapServer>, LdapSource) {
    let server = ldap_server::start("open sesame").await.unwrap();
    *server.entries.borrow_mut() = entries();
    let password = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.secret"));
    std::fs::write(&password, "open sesame\n").unwrap();
    let source = LdapSource {
        urls: vec![format!("ldap://{}", server.address)],
        starttls: false,
        ca_file: None,
        content_sync: false,
        bind_dn: "cn=planner,dc=campus".into(),
        password_file: password,
        base: "dc=campus".into(),
        filter: "(|(objectClass=inetOrgPerson)(objectClass=groupOfNames))".into(),
        names: AttributeNames::default(),
        page_size: 7,
        timeout: Duration::from_millis(400),
    };
    (server, source)
}

#[test]
fn reads_all_pages_and_finds_members_in_any_spelling() {
    run_async(async {
        let (server, source) = start_server("all").await;
        let result = sync(&source, 0, SyncState::default(), || ()).await.unwrap();
        assert_eq!(
            (result.update.entries.len(), result.problems.len(), result.update.complete),
            (44, 0, true)
        );
        assert_eq!(server.searches.get(), 7);
        let (mut tenants, mut review) = (Tenants::default(), ChangeReview::default());
        let accepted = review.review(0, &tenants, result.update, DEFAULT_CHANGE_GUARD);
        tenants.apply(0, accepted.entries, &accepted.removed);
        let team = tenants.find("team 2", 0).unwrap();
        assert_eq!(tenants.tenant(team, 0).unwrap().members, 10);
        assert!(tenants.is_member(tenants.person("p25").unwrap(), team));
    });
}

/// The connection ends after each possible number of entries, within and between pages. Guards
/// against an incomplete sync that is taken for complete, so that the missing tenants are deleted.
#[test]
fn sync_cut_after_any_entry_removes_no_tenant() {
    run_async(async {
        let (server, source) = start_server("cut").await;
        let (mut tenants, mut review) = (Tenants::default(), ChangeReview::default());
        let mut tenants_after = |result: SyncResult| {
            let accepted = review.review(0, &tenants, result.update, DEFAULT_CHANGE_GUARD);
            tenants.apply(0, accepted.entries, &accepted.removed);
            tenants.tenants(0).count()
        };
        assert_eq!(tenants_after(sync(&source, 0, SyncState::default(), || ()).await.unwrap()), 4);
        for count in 0..44 {
            server.fault.set(DirectoryFault::CutsAfter(count));
            match sync(&source, 0, SyncState::default(), || ()).await {
                Ok(result) => {
                    assert!(!result.update.complete, "cut after {count}: {:?}", result.problems);
                    assert_eq!(tenants_after(result), 4, "cut after {count}");
                }
                Err(err) => {
                    assert!(count == 0 && matches!(err, SyncError::Search { .. }), "cut after {count}: {err}")
                }
            }
        }
    });
}

#[test]
fn each_server_fault_is_reported_as_its_error() {
    run_async(async {
        let (server, mut source) = start_server("words").await;
        server.fault.set(DirectoryFault::SizeLimit(20));
        let result = sync(&source, 0, SyncState::default(), || ()).await.unwrap();
        assert_eq!(result.problems, ["the search ended with result 4 (); expected 0"]);
        server.fault.set(DirectoryFault::Stalls);
        let message = sync(&source, 0, SyncState::default(), || ()).await.unwrap_err().to_string();
        assert!(message.contains("the search failed"), "{message}");
        server.fault.set(DirectoryFault::Refuses);
        assert!(matches!(
            sync(&source, 0, SyncState::default(), || ()).await,
            Err(SyncError::Connect { .. })
        ));
        server.fault.set(DirectoryFault::Slow(20));
        assert!(
            sync(&source, 0, SyncState::default(), || ()).await.unwrap().update.complete,
            "a slow server is read completely"
        );
        server.fault.set(DirectoryFault::None);
        *server.password.borrow_mut() = "changed".into();
        let message = sync(&source, 0, SyncState::default(), || ()).await.unwrap_err().to_string();
        assert!(
            message.contains("bind as cn=planner,dc=campus: found result 49") && !message.contains("sesame"),
            "{message}"
        );
        std::fs::write(&source.password_file, "changed").unwrap();
        assert!(
            sync(&source, 0, SyncState::default(), || ()).await.unwrap().update.complete,
            "the password file is read at each sync"
        );
        source.password_file = "/no/such/secret".into();
        assert!(matches!(sync(&source, 0, SyncState::default(), || ()).await, Err(SyncError::File { .. })));
    });
}

#[test]
fn invalid_entry_is_reported_and_others_are_read() {
    run_async(async {
        let (server, source) = start_server("nonsense").await;
        let invalid = ldap_entry(
            "cn=odd,dc=campus",
            &[
                ("objectClass", &["groupOfNames"]),
                ("entryUUID", &["seven"]),
                ("modifyTimestamp", &["20261201120000Z"]),
            ],
        );
        server.entries.borrow_mut().insert(5, invalid);
        let result = sync(&source, 0, SyncState::default(), || ()).await.unwrap();
        assert_eq!((result.update.entries.len(), result.update.complete), (44, false));
        assert_eq!(
            result.problems,
            ["entry \"cn=odd,dc=campus\": entryUUID: found \"seven\"; expected 32 hex digits"]
        );
    });
}

fn raw_entry(attributes: &[(&str, &[&str])]) -> RawEntry {
    let texts = attributes
        .iter()
        .map(|(name, values)| ((*name).to_owned(), values.iter().map(|text| (*text).to_owned()).collect()));
    RawEntry { dn: "cn=x,dc=campus".into(), texts: texts.collect(), bytes: HashMap::new() }
}

#[test]
fn rejects_missing_repeated_oversized_and_binary_attributes() {
    let id = uuid(7);
    let valid: [(&str, &[&str]); 5] = [
        ("OBJECTCLASS", &["basaltpitchTenant"]),
        ("entryuuid", &[&id]),
        ("modifyTimestamp", &["20261201120000Z"]),
        ("cn", &["x"]),
        ("basaltpitchShare", &["0.4"]),
    ];
    let entry = read_entry(&AttributeNames::default(), raw_entry(&valid)).unwrap();
    assert_eq!((entry.id, entry.kind), (Id(7), EntryKind::Tenant { share: 0.4 }));
    let oversized = "x".repeat(600);
    let error_with = |index: usize, values: &[&str]| {
        let mut all = valid;
        all[index].1 = values;
        read_entry(&AttributeNames::default(), raw_entry(&all)).unwrap_err().to_string()
    };
    let cases = [
        (error_with(3, &[]), "cn: found none; expected one value"),
        (error_with(3, &["a", "b"]), "cn: found 2 values; expected one"),
        (error_with(3, &[&oversized]), "cn: found 600 bytes; expected 1 to 500"),
        (error_with(2, &["yesterday"]), "modifyTimestamp: found \"yesterday\"; expected a time such as"),
        (error_with(4, &["1.5"]), "basaltpitchShare: found \"1.5\"; expected a number from 0 to 1"),
        (
            error_with(0, &["device"]),
            "objectClass: found 1 values; expected basaltpitchTenant, groupOfNames or inetOrgPerson",
        ),
    ];
    for (message, expected) in cases {
        assert!(message.contains(expected), "{message}");
    }
    let mut binary = raw_entry(&valid);
    binary.bytes.insert("cn".into(), vec![vec![0xff, 0xfe]]);
    assert!(read_entry(&AttributeNames::default(), binary)
        .unwrap_err()
        .to_string()
        .contains("cn: found bytes that are no text"));
}

#[test]
fn normalizes_distinguished_names() {
    assert_eq!(normalize_dn(" CN=Team 2 ,  OU = Tenants,dc=campus "), "cn=team 2,ou=tenants,dc=campus");
    assert_eq!(normalize_dn("cn=a\\, b,dc=x"), "cn=a\\, b,dc=x");
    assert_ne!(normalize_dn("cn=a\\,ou=b"), normalize_dn("cn=a,ou=b"));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: proptest::test_runner::RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// Any entry is either read or rejected with the value found and expected, and the
    /// normalization of a distinguished name is idempotent.
    #[test]
    fn any_entry_is_read_or_rejected_with_found_and_expected(
        dn in ".{0,60}",
        texts in proptest::collection::hash_map("entryUUID|modifyTimestamp|objectClass|cn|uid|member|basaltpitchShare", proptest::collection::vec(".{0,40}|inetOrgPerson|20261201120000Z|[0-9a-f]{32}", 0..4), 0..8),
    ) {
        let normalized = normalize_dn(&dn);
        prop_assert_eq!(&normalize_dn(&normalized), &normalized);
        let raw = RawEntry { dn, texts, bytes: HashMap::new() };
        if let Err(error) = read_entry(&AttributeNames::default(), raw) {
            let message = error.to_string();
            prop_assert!(message.contains("found") && message.contains("expected"), "{}", message);
        }
    }
}
