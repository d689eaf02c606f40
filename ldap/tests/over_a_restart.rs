//! The whole way on loopback: a directory is swept, remembered in a store, goes away, and a successor serves
//! on.
#![allow(clippy::too_many_lines, reason = "one scenario, told in order")]
use basaltpitch_ldap::{sync, AttributeNames, LdapSource, SyncState};
use basaltpitch_snapshot_store::{OpenOutcome, SnapshotStore};
use basaltpitch_tenants::authorization::{AccessPolicy, Operation};
use basaltpitch_tenants::change_guard::DEFAULT_CHANGE_GUARD;
use basaltpitch_tenants::sync_schedule::{DirectoryState, DEFAULT_SYNC_SCHEDULE};
use basaltpitch_tenants::tenant_directory::{TenantDirectory, SNAPSHOT_FORMAT};
use basaltpitch_testbed::ldap_server::{self, ldap_entry, DirectoryFault};
use std::path::PathBuf;
use std::time::Duration;
use tokio::task::LocalSet;

const S: i64 = 1_000_000;

fn names(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("server {i}")).collect()
}

#[test]
fn a_successor_serves_on_from_the_store_while_the_directory_is_away() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("restart");
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("secret"), "s").unwrap();
        let there = ldap_server::start("s").await.unwrap();
        let stamp: (&str, &[&str]) = ("modifyTimestamp", &["20261201120000Z"]);
        *there.entries.borrow_mut() = vec![
            ldap_entry(
                "uid=asha,dc=x",
                &[
                    ("objectClass", &["inetOrgPerson"]),
                    ("uid", &["asha"]),
                    ("entryUUID", &["00000000000000000000000000000001"]),
                    stamp,
                ],
            ),
            ldap_entry(
                "cn=orders,dc=x",
                &[
                    ("objectClass", &["basaltpitchTenant"]),
                    ("cn", &["orders"]),
                    ("entryUUID", &["00000000000000000000000000000002"]),
                    ("member", &["uid=asha,dc=x"]),
                    stamp,
                ],
            ),
        ];
        let source = LdapSource {
            urls: vec![format!("ldap://{}", there.address)],
            starttls: false,
            ca_file: None,
            sync: false,
            bind_dn: "cn=p".into(),
            password: folder.join("secret"),
            base: "dc=x".into(),
            filter: "(objectClass=*)".into(),
            names: AttributeNames::default(),
            page: 100,
            timeout: Duration::from_millis(300),
        };
        let path = folder.join("planner.store");
        let terms = AccessPolicy { place_stale: true, ..AccessPolicy::default() };
        let asks = Operation::Submit { tenant: "orders" };
        {
            let (store, _) = SnapshotStore::open(&path).unwrap();
            let mut k =
                TenantDirectory::new(1, 0, &names(1), None, DEFAULT_SYNC_SCHEDULE, DEFAULT_CHANGE_GUARD)
                    .unwrap();
            assert_eq!(k.next(0), Some(0));
            k.sync_ended(S, sync(&source, 0, SyncState::default(), || ()).await.ok().map(|s| s.sweep));
            assert!(k.authorize(S, &terms, "asha", asks).allowed);
            let (at, bytes) = k.snapshot().unwrap();
            store.put("tenants", SNAPSHOT_FORMAT, at, &bytes).unwrap();
        }
        there.fault.set(DirectoryFault::Stalls);
        let (store, found) = SnapshotStore::open(&path).unwrap();
        assert_eq!(found, OpenOutcome::Opened);
        let kept = store.get("tenants", SNAPSHOT_FORMAT).unwrap().unwrap();
        let mut k = TenantDirectory::new(
            2,
            400 * S,
            &names(1),
            Some((kept.time_us, &kept.bytes)),
            DEFAULT_SYNC_SCHEDULE,
            DEFAULT_CHANGE_GUARD,
        )
        .unwrap();
        assert_eq!(k.next(400 * S), Some(0));
        k.sync_ended(401 * S, sync(&source, 0, SyncState::default(), || ()).await.ok().map(|s| s.sweep));
        let r = k.authorize(401 * S, &terms, "asha", asks);
        assert_eq!((r.allowed, r.stale, k.state(401 * S)), (true, true, DirectoryState::Stale));
        there.fault.set(DirectoryFault::None);
        let at = k.next_at();
        assert_eq!(k.next(at), Some(0));
        assert_eq!(
            k.sync_ended(at, sync(&source, 0, SyncState::default(), || ()).await.ok().map(|s| s.sweep)),
            [],
            "nothing changed"
        );
        assert!(!k.authorize(at, &terms, "asha", asks).stale);
    });
}
