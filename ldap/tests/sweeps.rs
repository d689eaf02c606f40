//! Sweeps of a stand-in directory on loopback, well and with each of its troubles; entries of every kind of
//! nonsense.
use basaltpitch_ldap::{
    plain_dn, read, sync, AttributeNames, LdapSource, RawEntry, SyncError, SyncResult, SyncState,
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

fn on_sockets(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn uuid(n: u32) -> String {
    format!("00000000-0000-0000-0000-{n:012x}")
}

fn entries() -> Vec<LdapEntry> {
    let mut all = Vec::new();
    let stamp = "20261201120000Z";
    let person = |n: u32| format!("uid=p{n},ou=people,dc=campus");
    for n in 0..40 {
        let (id, login) = (uuid(100 + n), format!("p{n}"));
        let of: [(&str, &[&str]); 4] = [
            ("objectClass", &["top", "inetOrgPerson"]),
            ("uid", &[&login]),
            ("entryUUID", &[&id]),
            ("modifyTimestamp", &[stamp]),
        ];
        all.push(ldap_entry(&person(n), &of));
    }
    for t in 0..4 {
        let (id, name) = (uuid(t + 1), format!("team {t}"));
        let members: Vec<String> = (0..10).map(|n| person(10 * t + n).to_uppercase()).collect();
        let members: Vec<&str> = members.iter().map(String::as_str).collect();
        let of: [(&str, &[&str]); 6] = [
            ("objectClass", &["basaltpitchTenant", "groupOfNames"]),
            ("cn", &[&name]),
            ("entryUUID", &[&id]),
            ("modifyTimestamp", &[stamp]),
            ("member", &members),
            ("basaltpitchShare", &["0.25"]),
        ];
        all.push(ldap_entry(&format!("cn={name}, ou=tenants, dc=campus"), &of));
    }
    all
}

/// A directory with those entries, and how it is asked. The name keeps the tests' secrets apart.
async fn begin(name: &str) -> (Rc<LdapServer>, LdapSource) {
    let there = ldap_server::start("open sesame").await.unwrap();
    *there.entries.borrow_mut() = entries();
    let password = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.secret"));
    std::fs::write(&password, "open sesame\n").unwrap();
    let source = LdapSource {
        urls: vec![format!("ldap://{}", there.address)],
        starttls: false,
        ca_file: None,
        sync: false,
        bind_dn: "cn=planner,dc=campus".into(),
        password,
        base: "dc=campus".into(),
        filter: "(|(objectClass=inetOrgPerson)(objectClass=groupOfNames))".into(),
        names: AttributeNames::default(),
        page: 7,
        timeout: Duration::from_millis(400),
    };
    (there, source)
}

#[test]
fn all_pages_come_and_members_are_found_whatever_their_spelling() {
    on_sockets(async {
        let (there, source) = begin("all").await;
        let swept = sync(&source, 0, SyncState::default(), || ()).await.unwrap();
        assert_eq!((swept.sweep.entries.len(), swept.problems.len(), swept.sweep.complete), (44, 0, true));
        assert_eq!(there.searches.get(), 7);
        let (mut ours, mut trust) = (Tenants::default(), ChangeReview::default());
        let believed = trust.review(0, &ours, swept.sweep, DEFAULT_CHANGE_GUARD);
        ours.apply(0, believed.entries, &believed.removed);
        let team = ours.find("team 2", 0).unwrap();
        assert_eq!(ours.tenant(team, 0).unwrap().members, 10);
        assert!(ours.is_member(ours.person("p25").unwrap(), team));
    });
}

/// A connection that ends after any number of entries, within or between pages: what came counts, nobody is
/// lost.
#[test]
fn a_sweep_cut_anywhere_loses_no_tenant() {
    on_sockets(async {
        let (there, source) = begin("cut").await;
        let (mut ours, mut trust) = (Tenants::default(), ChangeReview::default());
        let mut take = |swept: SyncResult| {
            let believed = trust.review(0, &ours, swept.sweep, DEFAULT_CHANGE_GUARD);
            ours.apply(0, believed.entries, &believed.removed);
            ours.tenants(0).count()
        };
        assert_eq!(take(sync(&source, 0, SyncState::default(), || ()).await.unwrap()), 4);
        for most in 0..44 {
            there.fault.set(DirectoryFault::CutsAfter(most));
            match sync(&source, 0, SyncState::default(), || ()).await {
                Ok(swept) => {
                    assert!(!swept.sweep.complete, "cut after {most}: {:?}", swept.problems);
                    assert_eq!(take(swept), 4, "cut after {most}");
                }
                Err(e) => {
                    assert!(most == 0 && matches!(e, SyncError::Search { .. }), "cut after {most}: {e}")
                }
            }
        }
    });
}

#[test]
fn each_trouble_has_its_word() {
    on_sockets(async {
        let (there, mut source) = begin("words").await;
        there.fault.set(DirectoryFault::SizeLimit(20));
        let swept = sync(&source, 0, SyncState::default(), || ()).await.unwrap();
        assert_eq!(swept.problems, ["the search ended with result 4 (); expected 0"]);
        there.fault.set(DirectoryFault::Stalls);
        let said = sync(&source, 0, SyncState::default(), || ()).await.unwrap_err().to_string();
        assert!(said.contains("the search broke off"), "{said}");
        there.fault.set(DirectoryFault::Refuses);
        assert!(matches!(
            sync(&source, 0, SyncState::default(), || ()).await,
            Err(SyncError::Connect { .. })
        ));
        there.fault.set(DirectoryFault::Slow(20));
        assert!(
            sync(&source, 0, SyncState::default(), || ()).await.unwrap().sweep.complete,
            "slow, and all of it"
        );
        there.fault.set(DirectoryFault::None);
        *there.password.borrow_mut() = "changed".into();
        let said = sync(&source, 0, SyncState::default(), || ()).await.unwrap_err().to_string();
        assert!(
            said.contains("bind as cn=planner,dc=campus: found result 49") && !said.contains("sesame"),
            "{said}"
        );
        std::fs::write(&source.password, "changed").unwrap();
        assert!(
            sync(&source, 0, SyncState::default(), || ()).await.unwrap().sweep.complete,
            "a secret that changed in service"
        );
        source.password = "/no/such/secret".into();
        assert!(matches!(sync(&source, 0, SyncState::default(), || ()).await, Err(SyncError::File { .. })));
    });
}

#[test]
fn one_entry_of_nonsense_leaves_the_others_and_is_named() {
    on_sockets(async {
        let (there, source) = begin("nonsense").await;
        let bad = ldap_entry(
            "cn=odd,dc=campus",
            &[
                ("objectClass", &["groupOfNames"]),
                ("entryUUID", &["seven"]),
                ("modifyTimestamp", &["20261201120000Z"]),
            ],
        );
        there.entries.borrow_mut().insert(5, bad);
        let swept = sync(&source, 0, SyncState::default(), || ()).await.unwrap();
        assert_eq!((swept.sweep.entries.len(), swept.sweep.complete), (44, false));
        assert_eq!(
            swept.problems,
            ["entry \"cn=odd,dc=campus\": entryUUID: found \"seven\"; expected 32 hex digits"]
        );
    });
}

fn raw(attributes: &[(&str, &[&str])]) -> RawEntry {
    let texts =
        attributes.iter().map(|(k, v)| ((*k).to_owned(), v.iter().map(|s| (*s).to_owned()).collect()));
    RawEntry { dn: "cn=x,dc=campus".into(), texts: texts.collect(), bytes: HashMap::new() }
}

#[test]
fn missing_doubled_huge_and_binary_attributes() {
    let id = uuid(7);
    let good: [(&str, &[&str]); 5] = [
        ("OBJECTCLASS", &["basaltpitchTenant"]),
        ("entryuuid", &[&id]),
        ("modifyTimestamp", &["20261201120000Z"]),
        ("cn", &["x"]),
        ("basaltpitchShare", &["0.4"]),
    ];
    let entry = read(&AttributeNames::default(), raw(&good)).unwrap();
    assert_eq!((entry.id, entry.kind), (Id(7), EntryKind::Tenant { share: 0.4 }));
    let long = "x".repeat(600);
    let with = |at: usize, values: &[&str]| {
        let mut all = good;
        all[at].1 = values;
        read(&AttributeNames::default(), raw(&all)).unwrap_err().to_string()
    };
    let cases = [
        (with(3, &[]), "cn: found none; expected one value"),
        (with(3, &["a", "b"]), "cn: found 2 values; expected one"),
        (with(3, &[&long]), "cn: found 600 bytes; expected 1 to 500"),
        (with(2, &["yesterday"]), "modifyTimestamp: found \"yesterday\"; expected a time such as"),
        (with(4, &["1.5"]), "basaltpitchShare: found \"1.5\"; expected a number from 0 to 1"),
        (
            with(0, &["device"]),
            "objectClass: found 1 values; expected basaltpitchTenant, groupOfNames or inetOrgPerson",
        ),
    ];
    for (said, want) in cases {
        assert!(said.contains(want), "{said}");
    }
    let mut binary = raw(&good);
    binary.bytes.insert("cn".into(), vec![vec![0xff, 0xfe]]);
    assert!(read(&AttributeNames::default(), binary)
        .unwrap_err()
        .to_string()
        .contains("cn: found bytes that are no text"));
}

#[test]
fn one_spelling_of_distinguished_names() {
    assert_eq!(plain_dn(" CN=Team 2 ,  OU = Tenants,dc=campus "), "cn=team 2,ou=tenants,dc=campus");
    assert_eq!(plain_dn("cn=a\\, b,dc=x"), "cn=a\\, b,dc=x");
    assert_ne!(plain_dn("cn=a\\,ou=b"), plain_dn("cn=a,ou=b"));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: proptest::test_runner::RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever an entry holds, it is read or refused, and a spelling is made once.
    #[test]
    fn any_entry_is_read_or_named(
        dn in ".{0,60}",
        texts in proptest::collection::hash_map("entryUUID|modifyTimestamp|objectClass|cn|uid|member|basaltpitchShare", proptest::collection::vec(".{0,40}|inetOrgPerson|20261201120000Z|[0-9a-f]{32}", 0..4), 0..8),
    ) {
        let plain = plain_dn(&dn);
        prop_assert_eq!(&plain_dn(&plain), &plain);
        let raw = RawEntry { dn, texts, bytes: HashMap::new() };
        if let Err(error) = read(&AttributeNames::default(), raw) {
            let said = error.to_string();
            prop_assert!(said.contains("found") && said.contains("expected"), "{}", said);
        }
    }
}
