//! The three ways to read a directory give the same entries under random changes and server faults.
//! Also TLS, and two servers with different replication progress.
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

const SECOND_US: i64 = 1_000_000;
const SCHEDULE: SyncSchedule = SyncSchedule {
    interval_us: SECOND_US,
    timeout_us: 10 * SECOND_US,
    stale_after_us: 5 * SECOND_US,
    initial_backoff_us: 1,
    max_backoff_us: 1,
    max_slowdown: 4,
};
const ACCEPT_ALL: ChangeGuard = ChangeGuard {
    max_removed_count: 1000,
    max_removed_percent: 100,
    confirming_syncs: 1,
    confirming_time_us: 0,
};

fn run_async(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn write_file(name: &str, text: &str) -> PathBuf {
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
        password_file: write_file(&format!("{name}.secret"), "s"),
        base: "dc=campus".into(),
        filter: "(objectClass=*)".into(),
        names: AttributeNames::default(),
        page_size: 5,
        content_sync: false,
        timeout: Duration::from_millis(500),
    }
}

/// Reference model of a directory with random changes. Each entry has a modification time, a name
/// and members; the clock has whole seconds, so that several changes share a time.
struct ReferenceDirectory {
    all: BTreeMap<u32, (u32, String, Vec<u32>)>,
    clock: u32,
}

impl ReferenceDirectory {
    fn new() -> ReferenceDirectory {
        ReferenceDirectory { all: (0..12).map(|n| (n, (0, format!("e{n}"), vec![]))).collect(), clock: 0 }
    }

    fn change_randomly(&mut self, rng: &mut StdRng) {
        // Two changes are often made in the same second.
        self.clock += rng.random_range(0..2);
        let n = rng.random_range(0..12);
        match rng.random_range(0..6) {
            0 => {
                self.all.remove(&n);
            }
            1 => {
                // A rename changes the distinguished name but not the modification time.
                if let Some(entry) = self.all.get_mut(&n) {
                    entry.1 = format!("e{n}v{}", rng.random_range(0..3));
                }
            }
            2 => {
                self.all.entry(n).or_insert((self.clock, format!("e{n}"), vec![]));
            }
            _ => {
                if let Some(entry) = self.all.get_mut(&n) {
                    *entry = (self.clock, entry.1.clone(), (0..rng.random_range(0..4)).collect());
                }
            }
        }
    }

    fn ldap_entries(&self) -> Vec<LdapEntry> {
        let entry = |(n, (clock, name, members)): (&u32, &(u32, String, Vec<u32>))| {
            let class = if *n < 4 { "basaltpitchTenant" } else { "inetOrgPerson" };
            let (id, stamp) = (format!("{n:032x}"), format!("2026{clock:010}Z"));
            let members: Vec<String> =
                members.iter().map(|member| format!("cn=e{},dc=campus", member + 4)).collect();
            let members: Vec<&str> = members.iter().map(String::as_str).collect();
            let attributes: [(&str, &[&str]); 6] = [
                ("objectClass", &[class]),
                ("cn", &[name]),
                ("uid", &[name]),
                ("entryUUID", &[&id]),
                ("modifyTimestamp", &[&stamp]),
                ("member", &members),
            ];
            ldap_entry(&format!("cn={name},dc=campus"), &attributes)
        };
        self.all.iter().map(entry).collect()
    }

    fn entries(&self, names: &AttributeNames) -> BTreeMap<Id, Entry> {
        let raw = |(dn, attributes): LdapEntry| {
            let text = |v: Vec<u8>| String::from_utf8(v).unwrap();
            let texts = attributes.into_iter().map(|(k, v)| (k, v.into_iter().map(text).collect()));
            basaltpitch_ldap::RawEntry { dn, texts: texts.collect(), bytes: Default::default() }
        };
        let all =
            self.ldap_entries().into_iter().map(|l| basaltpitch_ldap::read_entry(names, raw(l)).unwrap());
        all.map(|e| (e.id, e)).collect()
    }
}

/// The tenant directory of a planner with the sync state of each server.
struct SyncedDirectory {
    directory: TenantDirectory,
    seen: Vec<SeenEntries>,
    now: i64,
}

impl SyncedDirectory {
    fn new(source: &LdapSource) -> SyncedDirectory {
        let directory = TenantDirectory::new(1, 0, &source.urls, None, SCHEDULE, ACCEPT_ALL).unwrap();
        SyncedDirectory { directory, seen: vec![SeenEntries::default(); source.urls.len()], now: 0 }
    }

    async fn sync_when_due(&mut self, source: &LdapSource) -> Result<(), SyncError> {
        self.now = self.directory.next_at().max(self.now + 1);
        let server = self.directory.next(self.now).expect("a sync is due");
        let seen =
            if self.directory.needs_full_sync() { SeenEntries::default() } else { self.seen[server].clone() };
        let before = SyncState { seen, cookie: self.directory.cookie() };
        match sync(source, server, before, || ()).await {
            Ok(result) => {
                self.seen[server] = result.seen;
                self.directory.sync_ended(self.now + 1, Some(result.update));
                Ok(())
            }
            Err(err) => {
                self.directory.sync_ended(self.now + 1, None);
                Err(err)
            }
        }
    }

    fn entries(&self) -> BTreeMap<Id, Entry> {
        self.directory.tenants().entries().map(|(id, e)| (id, e.clone())).collect()
    }
}

/// Applies random changes and server faults. After each complete sync the tenant directory must
/// equal the reference; an incomplete one must not remove an entry that still exists.
async fn compare_under_random_changes(sync: bool, seed: u64) {
    let server = ldap_server::start("s").await.unwrap();
    let mut source = source(&format!("edits {sync}"), vec![format!("ldap://{}", server.address)]);
    source.content_sync = sync;
    let (mut rng, mut reference, mut synced) =
        (StdRng::seed_from_u64(seed), ReferenceDirectory::new(), SyncedDirectory::new(&source));
    let mut existing_entries = 0;
    for round in 0..60 {
        for _ in 0..rng.random_range(0..4) {
            reference.change_randomly(&mut rng);
        }
        *server.entries.borrow_mut() = reference.ldap_entries();
        existing_entries += reference.all.len() as u32;
        let fault = match rng.random_range(0..8) {
            0 => DirectoryFault::CutsAfter(rng.random_range(0..12)),
            1 if sync => DirectoryFault::NamesPresent,
            2 if sync => DirectoryFault::ForgetsCookies,
            3 => DirectoryFault::SizeLimit(rng.random_range(0..12)),
            _ => DirectoryFault::None,
        };
        server.fault.set(fault);
        let before = synced.entries();
        let sync_error = synced.sync_when_due(&source).await.err();
        let incomplete = matches!(
            fault,
            DirectoryFault::CutsAfter(_) | DirectoryFault::SizeLimit(_) | DirectoryFault::ForgetsCookies
        );
        let (entries, expected) = (synced.entries(), reference.entries(&source.names));
        let context = format!("seed {seed}, round {round}, {fault:?}, {sync_error:?}");
        if !incomplete {
            assert_eq!(entries, expected, "{context}");
        } else if let Some(lost) =
            before.keys().find(|id| expected.contains_key(id) && !entries.contains_key(id))
        {
            panic!("{context}: {lost} still exists and was removed");
        }
    }
    let sent = server.entries_sent.get();
    assert!(
        sent * 3 < existing_entries * 2,
        "unchanged entries are mostly not sent: {sent} sent, {existing_entries} existing"
    );
}

#[test]
fn reading_changes_gives_same_entries_as_reading_everything() {
    run_async(async {
        for seed in 1..=20 {
            compare_under_random_changes(false, seed).await;
        }
    });
}

#[test]
fn content_synchronisation_gives_same_entries_as_reading_everything() {
    run_async(async {
        for seed in 1..=20 {
            compare_under_random_changes(true, seed).await;
        }
    });
}

#[test]
fn continues_content_synchronisation_from_cookie_after_restart() {
    run_async(async {
        let server = ldap_server::start("s").await.unwrap();
        let mut source = source("cookie", vec![format!("ldap://{}", server.address)]);
        source.content_sync = true;
        let (mut reference, mut synced) = (ReferenceDirectory::new(), SyncedDirectory::new(&source));
        *server.entries.borrow_mut() = reference.ldap_entries();
        synced.sync_when_due(&source).await.unwrap();
        let (at, snapshot) = synced.directory.snapshot().unwrap();
        reference.all.remove(&3);
        reference.all.get_mut(&0).unwrap().0 = 9;
        *server.entries.borrow_mut() = reference.ldap_entries();
        server.entries_sent.set(0);
        let mut restarted = SyncedDirectory::new(&source);
        restarted.directory =
            TenantDirectory::new(2, at + 1, &source.urls, Some((at, &snapshot)), SCHEDULE, ACCEPT_ALL)
                .unwrap();
        restarted.now = at + 1;
        restarted.sync_when_due(&source).await.unwrap();
        assert_eq!((restarted.entries(), server.entries_sent.get()), (reference.entries(&source.names), 1));
        // The cookie belongs to one server and is not sent to another server with the same index.
        let other = vec!["ldap://other".to_owned()];
        let mut other_directory =
            TenantDirectory::new(2, at + 1, &other, Some((at, &snapshot)), SCHEDULE, ACCEPT_ALL).unwrap();
        assert_eq!(
            (other_directory.next(at + 1), other_directory.cookie(), other_directory.needs_full_sync()),
            (Some(0), None, true)
        );
    });
}

/// The connection ends after each byte of the responses, with pages and with content
/// synchronisation. Guards against an incomplete sync that is taken for complete, so that the
/// missing entries are deleted.
#[test]
fn sync_cut_at_any_byte_is_incomplete_and_removes_no_entry() {
    run_async(async {
        for sync in [false, true] {
            let server = ldap_server::start("s").await.unwrap();
            let mut source = source("bytes", vec![format!("ldap://{}", server.address)]);
            (source.content_sync, source.page_size) = (sync, 3);
            let mut reference = ReferenceDirectory::new();
            reference.all.retain(|n, _| n % 2 == 0);
            *server.entries.borrow_mut() = reference.ldap_entries();
            let expected = reference.entries(&source.names);
            let mut synced = SyncedDirectory::new(&source);
            synced.sync_when_due(&source).await.unwrap();
            assert_eq!(synced.entries(), expected);
            let total_bytes = server.response_bytes.get();
            for cut in 0..total_bytes {
                server.response_bytes.set(0);
                server.fault.set(DirectoryFault::CutsAtByte(cut));
                let result = basaltpitch_ldap::sync(&source, 0, SyncState::default(), || ()).await;
                let complete = result.as_ref().is_ok_and(|s| s.update.complete);
                assert!(!complete, "byte {cut} of {total_bytes}, synchronised: {sync}");
                synced.now = synced.directory.next_at().max(synced.now + 1);
                synced.directory.next(synced.now).unwrap();
                synced.directory.sync_ended(synced.now, result.ok().map(|s| s.update));
                assert_eq!(synced.entries(), expected, "byte {cut} of {total_bytes}, synchronised: {sync}");
            }
        }
    });
}

/// The first server fails and the sync continues with a second server whose replication is behind.
/// Guards against entries that are reverted to the older state of that server.
#[test]
fn server_behind_in_replication_does_not_revert_entries() {
    run_async(async {
        for mark in [false, true] {
            let servers = [ldap_server::start("s").await.unwrap(), ldap_server::start("s").await.unwrap()];
            let urls = servers.iter().map(|server| format!("ldap://{}", server.address)).collect();
            let mut source = source("two", urls);
            source.names.mark = mark.then(|| "contextCSN".into());
            let serve = |server: &Rc<LdapServer>, reference: &ReferenceDirectory, at: u32| {
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
                *server.entries.borrow_mut() = reference.ldap_entries();
                server.entries.borrow_mut().push(base);
            };
            let (mut reference, mut synced) = (ReferenceDirectory::new(), SyncedDirectory::new(&source));
            serve(&servers[1], &reference, 1);
            reference.all.get_mut(&0).unwrap().0 = 5;
            reference.all.insert(11, (6, "new".into(), vec![]));
            serve(&servers[0], &reference, 6);
            synced.sync_when_due(&source).await.unwrap();
            let seen = synced.entries();
            servers[0].fault.set(DirectoryFault::Refuses);
            assert!(synced.sync_when_due(&source).await.is_err());
            synced.sync_when_due(&source).await.unwrap();
            assert_eq!(synced.entries(), seen, "mark {mark}");
            assert!(synced.directory.is_behind());
            // Once the second server has caught up, the entry deleted meanwhile is removed.
            reference.all.remove(&2);
            reference.all.get_mut(&1).unwrap().0 = 9;
            serve(&servers[1], &reference, 9);
            while synced.directory.tenants().entry(Id(2)).is_some() {
                let _ = synced.sync_when_due(&source).await;
                assert!(synced.now < 100 * SECOND_US, "the deleted entry is removed within 100 s");
            }
            assert!(!synced.directory.is_behind());
        }
    });
}

/// Returns a TLS acceptor with a new key for 127.0.0.1, and its certificate in PEM.
fn tls_identity() -> (TlsAcceptor, String) {
    let certified = rcgen::generate_simple_self_signed(vec!["127.0.0.1".into(), "localhost".into()]).unwrap();
    let key = rustls::pki_types::PrivateKeyDer::try_from(certified.signing_key.serialize_der()).unwrap();
    let ring = Arc::new(rustls::crypto::ring::default_provider());
    let config =
        rustls::ServerConfig::builder_with_provider(ring).with_safe_default_protocol_versions().unwrap();
    let config =
        config.with_no_client_auth().with_single_cert(vec![certified.cert.der().clone()], key).unwrap();
    (TlsAcceptor::from(Arc::new(config)), certified.cert.pem())
}

#[test]
fn connects_by_tls_and_starttls_only_to_servers_with_trusted_certificate() {
    run_async(async {
        let ((acceptor, pem), (_, untrusted_pem)) = (tls_identity(), tls_identity());
        for starttls in [false, true] {
            let security = if starttls {
                TransportSecurity::StartTls(acceptor.clone())
            } else {
                TransportSecurity::Tls(acceptor.clone())
            };
            let server = ldap_server::start_with_security("s", security).await.unwrap();
            *server.entries.borrow_mut() = ReferenceDirectory::new().ldap_entries();
            let scheme = if starttls { "ldap" } else { "ldaps" };
            let mut source = source("tls", vec![format!("{scheme}://{}", server.address)]);
            source.starttls = starttls;
            source.ca_file = Some(write_file("one.pem", &pem));
            let result = sync(&source, 0, SyncState::default(), || ()).await.unwrap();
            assert_eq!((result.update.entries.len(), result.update.complete), (12, true));
            // The file now holds another certificate. The file is read at each sync, so the server
            // is no longer trusted.
            write_file("one.pem", &untrusted_pem);
            let err = sync(&source, 0, SyncState::default(), || ()).await.unwrap_err();
            assert!(matches!(err, SyncError::Connect { .. }), "{err}");
            write_file("one.pem", "no certificate");
            let err = sync(&source, 0, SyncState::default(), || ()).await.unwrap_err().to_string();
            assert!(err.contains("found no certificate; expected at least one in PEM"), "{err}");
        }
        // A server that requires TLS rejects a bind without it.
        let server =
            ldap_server::start_with_security("s", TransportSecurity::StartTls(acceptor)).await.unwrap();
        let source = source("clear", vec![format!("ldap://{}", server.address)]);
        let err = sync(&source, 0, SyncState::default(), || ()).await.unwrap_err().to_string();
        assert!(err.contains("found result 13"), "{err}");
    });
}

#[test]
fn escapes_special_characters_of_ids_in_filters() {
    let special_ids = ["*", "x)(uid=*", "a\\b", "nul\0", "(", "))(|(cn=*"].map(str::to_owned);
    for id in &special_ids {
        let filter = filter_of_ids("(objectClass=*)", "entryUUID", std::slice::from_ref(id));
        assert!(ldap3::parse_filter(&filter).is_ok(), "{filter}");
        let value = &filter["(&(objectClass=*)(|(entryUUID=".len()..filter.len() - 3];
        assert!(!value.contains(['*', '(', ')', '\0']), "{value}");
        assert_eq!(ldap3::ldap_unescape(value).unwrap(), *id);
    }
    let all = filter_of_ids("(objectClass=*)", "entryUUID", &special_ids);
    assert_eq!(all.matches("(entryUUID=").count(), special_ids.len());
}
