//! The three ways to read a directory beside each other, under random edits and cuts; TLS; two servers that
//! disagree.
use basaltpitch_ldap::{filter_of_ids, sync, AttributeNames, LdapSource, SeenEntries, SyncError, SyncState};
use basaltpitch_tenants::change_guard::ChangeGuard;
use basaltpitch_tenants::sync_schedule::SyncSchedule;
use basaltpitch_tenants::tenant_directory::TenantDirectory;
use basaltpitch_tenants::{Entry, Id};
use basaltpitch_testbed::ldap_server::{
    self, ldap_entry, DirectoryFault, LdapEntry, LdapServer, TransportSecurity,
};
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio_rustls::TlsAcceptor;

const S: i64 = 1_000_000;
const PACE: SyncSchedule = SyncSchedule {
    interval_us: S,
    timeout_us: 10 * S,
    stale_after_us: 5 * S,
    initial_backoff_us: 1,
    max_backoff_us: 1,
    max_slowdown: 4,
};
const BOLD: ChangeGuard = ChangeGuard {
    max_removed_count: 1000,
    max_removed_percent: 100,
    confirming_syncs: 1,
    confirming_time_us: 0,
};

fn on_sockets(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn source(name: &str, urls: Vec<String>) -> LdapSource {
    LdapSource {
        urls,
        starttls: false,
        ca_file: None,
        bind_dn: "cn=planner,dc=campus".into(),
        password: file(&format!("{name}.secret"), "s"),
        base: "dc=campus".into(),
        filter: "(objectClass=*)".into(),
        names: AttributeNames::default(),
        page: 5,
        sync: false,
        timeout: Duration::from_millis(500),
    }
}

/// A directory that changes by chance: version numbers of entries, and a clock of whole seconds that lags
/// behind them.
struct There {
    all: BTreeMap<u32, (u32, String, Vec<u32>)>,
    clock: u32,
}

impl There {
    fn new() -> There {
        There { all: (0..12).map(|n| (n, (0, format!("e{n}"), vec![]))).collect(), clock: 0 }
    }

    fn edit(&mut self, chance: &mut StdRng) {
        // Often two changes in one second.
        self.clock += chance.random_range(0..2);
        let n = chance.random_range(0..12);
        match chance.random_range(0..6) {
            0 => {
                self.all.remove(&n);
            }
            1 => {
                // A move changes the name and no stamp.
                if let Some(e) = self.all.get_mut(&n) {
                    e.1 = format!("e{n}v{}", chance.random_range(0..3));
                }
            }
            2 => {
                self.all.entry(n).or_insert((self.clock, format!("e{n}"), vec![]));
            }
            _ => {
                if let Some(e) = self.all.get_mut(&n) {
                    *e = (self.clock, e.1.clone(), (0..chance.random_range(0..4)).collect());
                }
            }
        }
    }

    fn laid(&self) -> Vec<LdapEntry> {
        let entry = |(n, (clock, name, members)): (&u32, &(u32, String, Vec<u32>))| {
            let class = if *n < 4 { "basaltpitchTenant" } else { "inetOrgPerson" };
            let (id, stamp) = (format!("{n:032x}"), format!("2026{clock:010}Z"));
            let members: Vec<String> = members.iter().map(|m| format!("cn=e{},dc=campus", m + 4)).collect();
            let members: Vec<&str> = members.iter().map(String::as_str).collect();
            let of: [(&str, &[&str]); 6] = [
                ("objectClass", &[class]),
                ("cn", &[name]),
                ("uid", &[name]),
                ("entryUUID", &[&id]),
                ("modifyTimestamp", &[&stamp]),
                ("member", &members),
            ];
            ldap_entry(&format!("cn={name},dc=campus"), &of)
        };
        self.all.iter().map(entry).collect()
    }

    fn entries(&self, names: &AttributeNames) -> BTreeMap<Id, Entry> {
        let raw = |(dn, attributes): LdapEntry| {
            let text = |v: Vec<u8>| String::from_utf8(v).unwrap();
            let texts = attributes.into_iter().map(|(k, v)| (k, v.into_iter().map(text).collect()));
            basaltpitch_ldap::RawEntry { dn, texts: texts.collect(), bytes: Default::default() }
        };
        let all = self.laid().into_iter().map(|l| basaltpitch_ldap::read(names, raw(l)).unwrap());
        all.map(|e| (e.id, e)).collect()
    }
}

/// A keeper with its edge, as a planner has them.
struct Ours {
    keeper: TenantDirectory,
    seen: Vec<SeenEntries>,
    now: i64,
}

impl Ours {
    fn new(source: &LdapSource) -> Ours {
        let keeper = TenantDirectory::new(1, 0, &source.urls, None, PACE, BOLD).unwrap();
        Ours { keeper, seen: vec![SeenEntries::default(); source.urls.len()], now: 0 }
    }

    async fn sweep(&mut self, source: &LdapSource) -> Result<(), SyncError> {
        self.now = self.keeper.next_at().max(self.now + 1);
        let server = self.keeper.next(self.now).expect("time for a sweep");
        let seen =
            if self.keeper.needs_full_sync() { SeenEntries::default() } else { self.seen[server].clone() };
        let before = SyncState { seen, cookie: self.keeper.cookie() };
        match sync(source, server, before, || ()).await {
            Ok(swept) => {
                self.seen[server] = swept.seen;
                self.keeper.sync_ended(self.now + 1, Some(swept.sweep));
                Ok(())
            }
            Err(e) => {
                self.keeper.sync_ended(self.now + 1, None);
                Err(e)
            }
        }
    }

    fn entries(&self) -> BTreeMap<Id, Entry> {
        self.keeper.tenants().entries().map(|(id, e)| (id, e.clone())).collect()
    }
}

/// Random edits, cuts and lost cookies: after each whole answer both agree; a cut one loses nobody that is
/// there.
async fn same_under_edits(sync: bool, seed: u64) {
    let there = ldap_server::start("s").await.unwrap();
    let mut source = source(&format!("edits {sync}"), vec![format!("ldap://{}", there.address)]);
    source.sync = sync;
    let (mut chance, mut reference, mut ours) =
        (StdRng::seed_from_u64(seed), There::new(), Ours::new(&source));
    let mut there_were = 0;
    for round in 0..60 {
        for _ in 0..chance.random_range(0..4) {
            reference.edit(&mut chance);
        }
        *there.entries.borrow_mut() = reference.laid();
        there_were += reference.all.len() as u32;
        let trouble = match chance.random_range(0..8) {
            0 => DirectoryFault::CutsAfter(chance.random_range(0..12)),
            1 if sync => DirectoryFault::NamesPresent,
            2 if sync => DirectoryFault::ForgetsCookies,
            3 => DirectoryFault::SizeLimit(chance.random_range(0..12)),
            _ => DirectoryFault::None,
        };
        there.fault.set(trouble);
        let before = ours.entries();
        let fault = ours.sweep(&source).await.err();
        let broke = matches!(
            trouble,
            DirectoryFault::CutsAfter(_) | DirectoryFault::SizeLimit(_) | DirectoryFault::ForgetsCookies
        );
        let (got, want) = (ours.entries(), reference.entries(&source.names));
        let place = format!("seed {seed}, round {round}, {trouble:?}, {fault:?}");
        if !broke {
            assert_eq!(got, want, "{place}");
        } else if let Some(lost) = before.keys().find(|id| want.contains_key(id) && !got.contains_key(id)) {
            panic!("{place}: {lost} is there and was lost");
        }
    }
    let sent = there.entries_sent.get();
    assert!(sent * 3 < there_were * 2, "what did not change is mostly not sent: {sent} of {there_were}");
}

#[test]
fn reading_changes_gives_what_reading_everything_gives() {
    on_sockets(async {
        for seed in 1..=20 {
            same_under_edits(false, seed).await;
        }
    });
}

#[test]
fn synchronising_gives_what_reading_everything_gives() {
    on_sockets(async {
        for seed in 1..=20 {
            same_under_edits(true, seed).await;
        }
    });
}

#[test]
fn a_cookie_survives_a_restart() {
    on_sockets(async {
        let there = ldap_server::start("s").await.unwrap();
        let mut source = source("cookie", vec![format!("ldap://{}", there.address)]);
        source.sync = true;
        let (mut reference, mut ours) = (There::new(), Ours::new(&source));
        *there.entries.borrow_mut() = reference.laid();
        ours.sweep(&source).await.unwrap();
        let (at, kept) = ours.keeper.snapshot().unwrap();
        reference.all.remove(&3);
        reference.all.get_mut(&0).unwrap().0 = 9;
        *there.entries.borrow_mut() = reference.laid();
        there.entries_sent.set(0);
        let mut later = Ours::new(&source);
        later.keeper = TenantDirectory::new(2, at + 1, &source.urls, Some((at, &kept)), PACE, BOLD).unwrap();
        later.now = at + 1;
        later.sweep(&source).await.unwrap();
        assert_eq!((later.entries(), there.entries_sent.get()), (reference.entries(&source.names), 1));
        // Another server under the same number does not get it.
        let other = vec!["ldap://other".to_owned()];
        let mut k = TenantDirectory::new(2, at + 1, &other, Some((at, &kept)), PACE, BOLD).unwrap();
        assert_eq!((k.next(at + 1), k.cookie(), k.needs_full_sync()), (Some(0), None, true));
    });
}

/// The answers to a sync end after each byte of them, in each way of reading: nobody who is there is lost,
/// and unless all came it is not taken for all.
#[test]
fn a_page_cut_at_each_byte_loses_no_tenant() {
    on_sockets(async {
        for sync in [false, true] {
            let there = ldap_server::start("s").await.unwrap();
            let mut source = source("bytes", vec![format!("ldap://{}", there.address)]);
            (source.sync, source.page) = (sync, 3);
            let mut reference = There::new();
            reference.all.retain(|n, _| n % 2 == 0);
            *there.entries.borrow_mut() = reference.laid();
            let want = reference.entries(&source.names);
            let mut ours = Ours::new(&source);
            ours.sweep(&source).await.unwrap();
            assert_eq!(ours.entries(), want);
            let all = there.response_bytes.get();
            for most in 0..all {
                there.response_bytes.set(0);
                there.fault.set(DirectoryFault::CutsAtByte(most));
                let swept = basaltpitch_ldap::sync(&source, 0, SyncState::default(), || ()).await;
                let whole = swept.as_ref().is_ok_and(|s| s.sweep.complete);
                assert!(!whole, "byte {most} of {all}, synchronised: {sync}");
                ours.now = ours.keeper.next_at().max(ours.now + 1);
                ours.keeper.next(ours.now).unwrap();
                ours.keeper.sync_ended(ours.now, swept.ok().map(|s| s.sweep));
                assert_eq!(ours.entries(), want, "byte {most} of {all}, synchronised: {sync}");
            }
        }
    });
}

/// The second server is older, and is turned to when the first fails: nothing goes back behind what was seen.
#[test]
fn of_two_servers_that_disagree_the_older_takes_nothing_back() {
    on_sockets(async {
        for mark in [false, true] {
            let servers = [ldap_server::start("s").await.unwrap(), ldap_server::start("s").await.unwrap()];
            let urls = servers.iter().map(|d| format!("ldap://{}", d.address)).collect();
            let mut source = source("two", urls);
            source.names.mark = mark.then(|| "contextCSN".into());
            let lay = |d: &Rc<LdapServer>, t: &There, at: u32| {
                let csn = format!("2026{at:010}.000000Z#000000#001#000000");
                let base = ldap_entry(
                    "dc=campus",
                    &[
                        ("objectClass", &["groupOfNames"]),
                        ("contextCSN", &[&csn]),
                        ("entryUUID", &["ffffffffffffffffffffffffffffffff"]),
                        ("modifyTimestamp", &["20260000000000Z"]),
                    ],
                );
                *d.entries.borrow_mut() = t.laid();
                d.entries.borrow_mut().push(base);
            };
            let (mut reference, mut ours) = (There::new(), Ours::new(&source));
            lay(&servers[1], &reference, 1);
            reference.all.get_mut(&0).unwrap().0 = 5;
            reference.all.insert(11, (6, "new".into(), vec![]));
            lay(&servers[0], &reference, 6);
            ours.sweep(&source).await.unwrap();
            let seen = ours.entries();
            servers[0].fault.set(DirectoryFault::Refuses);
            assert!(ours.sweep(&source).await.is_err());
            ours.sweep(&source).await.unwrap();
            assert_eq!(ours.entries(), seen, "mark {mark}");
            assert!(ours.keeper.is_behind());
            // Once it has caught up, what was deleted meanwhile goes.
            reference.all.remove(&2);
            reference.all.get_mut(&1).unwrap().0 = 9;
            lay(&servers[1], &reference, 9);
            while ours.keeper.tenants().entry(Id(2)).is_some() {
                let _ = ours.sweep(&source).await;
                assert!(ours.now < 100 * S, "it goes in the end");
            }
            assert!(!ours.keeper.is_behind());
        }
    });
}

/// A key that vouches for 127.0.0.1, and its certificate in PEM.
fn shield() -> (TlsAcceptor, String) {
    let made = rcgen::generate_simple_self_signed(vec!["127.0.0.1".into(), "localhost".into()]).unwrap();
    let key = rustls::pki_types::PrivateKeyDer::try_from(made.signing_key.serialize_der()).unwrap();
    let ring = Arc::new(rustls::crypto::ring::default_provider());
    let config =
        rustls::ServerConfig::builder_with_provider(ring).with_safe_default_protocol_versions().unwrap();
    let config = config.with_no_client_auth().with_single_cert(vec![made.cert.der().clone()], key).unwrap();
    (TlsAcceptor::from(Arc::new(config)), made.cert.pem())
}

#[test]
fn tls_from_the_start_and_after_starttls_and_only_with_who_is_vouched_for() {
    on_sockets(async {
        let ((one, pem), (_, stranger)) = (shield(), shield());
        for starttls in [false, true] {
            let shield = if starttls {
                TransportSecurity::StartTls(one.clone())
            } else {
                TransportSecurity::Tls(one.clone())
            };
            let there = ldap_server::start_with_security("s", shield).await.unwrap();
            *there.entries.borrow_mut() = There::new().laid();
            let scheme = if starttls { "ldap" } else { "ldaps" };
            let mut source = source("tls", vec![format!("{scheme}://{}", there.address)]);
            source.starttls = starttls;
            source.ca_file = Some(file("one.pem", &pem));
            let swept = sync(&source, 0, SyncState::default(), || ()).await.unwrap();
            assert_eq!((swept.sweep.entries.len(), swept.sweep.complete), (12, true));
            // The same file with another's certificate: it is read anew, and the server is not believed.
            file("one.pem", &stranger);
            let said = sync(&source, 0, SyncState::default(), || ()).await.unwrap_err();
            assert!(matches!(said, SyncError::Connect { .. }), "{said}");
            file("one.pem", "no certificate");
            let said = sync(&source, 0, SyncState::default(), || ()).await.unwrap_err().to_string();
            assert!(said.contains("found no certificate; expected at least one in PEM"), "{said}");
        }
        // A server that wants TLS gets no password without it.
        let there = ldap_server::start_with_security("s", TransportSecurity::StartTls(one)).await.unwrap();
        let source = source("clear", vec![format!("ldap://{}", there.address)]);
        let said = sync(&source, 0, SyncState::default(), || ()).await.unwrap_err().to_string();
        assert!(said.contains("found result 13"), "{said}");
    });
}

#[test]
fn hostile_names_stay_values_in_a_filter() {
    let hostile = ["*", "x)(uid=*", "a\\b", "nul\0", "(", "))(|(cn=*"].map(str::to_owned);
    for name in &hostile {
        let filter = filter_of_ids("(objectClass=*)", "entryUUID", std::slice::from_ref(name));
        assert!(ldap3::parse_filter(&filter).is_ok(), "{filter}");
        let value = &filter["(&(objectClass=*)(|(entryUUID=".len()..filter.len() - 3];
        assert!(!value.contains(['*', '(', ')', '\0']), "{value}");
        assert_eq!(ldap3::ldap_unescape(value).unwrap(), *name);
    }
    let all = filter_of_ids("(objectClass=*)", "entryUUID", &hostile);
    assert_eq!(all.matches("(entryUUID=").count(), hostile.len());
}
