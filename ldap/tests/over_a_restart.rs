//! Sync of a directory on loopback, snapshot of the tenants in a store, and restart of the planner
//! while the directory server does not answer.
#![allow(clippy::too_many_lines, reason = "one scenario in order")]
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

const SECOND_US: i64 = 1_000_000;

fn server_names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("server {index}")).collect()
}

#[test]
fn authorizes_from_snapshot_after_restart_while_directory_is_unavailable() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("restart");
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("secret"), "s").unwrap();
        let server = ldap_server::start("s").await.unwrap();
        let stamp: (&str, &[&str]) = ("modifyTimestamp", &["20261201120000Z"]);
        *server.entries.borrow_mut() = vec![
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
            urls: vec![format!("ldap://{}", server.address)],
            starttls: false,
            ca_file: None,
            content_sync: false,
            bind_dn: "cn=p".into(),
            password_file: folder.join("secret"),
            base: "dc=x".into(),
            filter: "(objectClass=*)".into(),
            names: AttributeNames::default(),
            page_size: 100,
            timeout: Duration::from_millis(300),
        };
        let path = folder.join("planner.store");
        let access_policy = AccessPolicy { place_stale: true, ..AccessPolicy::default() };
        let operation = Operation::Submit { tenant: "orders" };
        {
            let (store, _) = SnapshotStore::open(&path).unwrap();
            let mut directory = TenantDirectory::new(
                1,
                0,
                &server_names(1),
                None,
                DEFAULT_SYNC_SCHEDULE,
                DEFAULT_CHANGE_GUARD,
            )
            .unwrap();
            assert_eq!(directory.next(0), Some(0));
            directory.sync_ended(
                SECOND_US,
                sync(&source, 0, SyncState::default(), || ()).await.ok().map(|result| result.update),
            );
            assert!(directory.authorize(SECOND_US, &access_policy, "asha", operation).allowed);
            let (at, bytes) = directory.snapshot().unwrap();
            store.put("tenants", SNAPSHOT_FORMAT, at, &bytes).unwrap();
        }
        server.fault.set(DirectoryFault::Stalls);
        let (store, outcome) = SnapshotStore::open(&path).unwrap();
        assert_eq!(outcome, OpenOutcome::Opened);
        let snapshot = store.get("tenants", SNAPSHOT_FORMAT).unwrap().unwrap();
        let mut directory = TenantDirectory::new(
            2,
            400 * SECOND_US,
            &server_names(1),
            Some((snapshot.time_us, &snapshot.bytes)),
            DEFAULT_SYNC_SCHEDULE,
            DEFAULT_CHANGE_GUARD,
        )
        .unwrap();
        assert_eq!(directory.next(400 * SECOND_US), Some(0));
        directory.sync_ended(
            401 * SECOND_US,
            sync(&source, 0, SyncState::default(), || ()).await.ok().map(|result| result.update),
        );
        let decision = directory.authorize(401 * SECOND_US, &access_policy, "asha", operation);
        assert_eq!(
            (decision.allowed, decision.stale, directory.state(401 * SECOND_US)),
            (true, true, DirectoryState::Stale)
        );
        server.fault.set(DirectoryFault::None);
        let at = directory.next_at();
        assert_eq!(directory.next(at), Some(0));
        assert_eq!(
            directory.sync_ended(
                at,
                sync(&source, 0, SyncState::default(), || ()).await.ok().map(|result| result.update)
            ),
            [],
            "the directory has not changed since the snapshot"
        );
        assert!(!directory.authorize(at, &access_policy, "asha", operation).stale);
    });
}
