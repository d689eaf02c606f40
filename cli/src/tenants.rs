//! `basaltpitch tenants`: queries a planner about tenants, their members and the tenant directory.
use crate::ask::{print_value, query, PlannerConnection};
use crate::Failure;
use basaltpitch_agent::wire::{self, Body};
use basaltpitch_ldap::{sync, DirectorySettings, SyncState};
use basaltpitch_tenants::EntryKind;
use clap::Subcommand;
use std::time::Instant;

/// The arguments of `basaltpitch tenants`.
#[derive(clap::Args)]
pub struct Tenants {
    #[command(flatten)]
    connection: PlannerConnection,
    #[command(subcommand)]
    what: TenantQuery,
}

#[derive(Subcommand)]
enum TenantQuery {
    /// List all tenants, with former names while they are still accepted
    List,
    /// Show one tenant
    Show {
        /// Name or id of the tenant
        tenant: String,
    },
    /// List the people of a tenant, with the groups that make each a member
    Members {
        /// Name or id of the tenant
        tenant: String,
    },
    /// Show whether a person may submit tasks for a tenant, and why
    Why {
        /// Login of the person
        login: String,
        /// Name or id of the tenant
        tenant: String,
    },
    /// Show whether the directory's data is fresh, and which changes are held back
    Directory,
    /// Accept a held-back sync: many missing entries, or a directory restored to an older state
    Accept,
}

impl Tenants {
    /// Sends the query or the acceptance to the planner and prints its answer.
    pub fn run(self, json: bool) -> Result<(), Failure> {
        let (what, about) = match self.what {
            TenantQuery::List => ("tenants", String::new()),
            TenantQuery::Show { tenant } => ("tenant", tenant),
            TenantQuery::Members { tenant } => ("members", tenant),
            TenantQuery::Why { login, tenant } => ("why", format!("{login} {tenant}")),
            TenantQuery::Directory => ("directory", String::new()),
            TenantQuery::Accept => {
                print_value(&query(&self.connection, Body::Accept(wire::Accept {}))?, json);
                return Ok(());
            }
        };
        let request = wire::Query { what: what.into(), about };
        print_value(&query(&self.connection, Body::Query(request))?, json);
        Ok(())
    }
}

/// Reads all entries from each server of a tenant directory and prints one row per server. No
/// planner is contacted.
///
/// # Errors
/// `Failed` where a server cannot be read or an entry has a problem.
pub fn try_directory(directory: &DirectorySettings, json: bool) -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| Failure::Failed(error.to_string()))?;
    let mut rows = Vec::new();
    let mut incomplete_servers = 0;
    for (server, url) in directory.source.urls.iter().enumerate() {
        let started = Instant::now();
        let synced = tokio::task::LocalSet::new()
            .block_on(&runtime, sync(&directory.source, server, SyncState::default(), || ()));
        let took_ms = started.elapsed().as_millis() as u64;
        let (entries, problems) = match synced {
            Ok(synced) => (synced.update.entries, synced.problems),
            Err(error) => (Vec::new(), vec![error.to_string()]),
        };
        incomplete_servers += usize::from(!problems.is_empty());
        let count = |matches_kind: fn(&EntryKind) -> bool| {
            entries.iter().filter(|entry| matches_kind(&entry.kind)).count()
        };
        rows.push(serde_json::json!({
            "server": url, "all": problems.is_empty(), "lacks": problems, "took_ms": took_ms,
            "tenants": count(|kind| matches!(kind, EntryKind::Tenant { .. })),
            "groups": count(|kind| *kind == EntryKind::Group), "people": count(|kind| *kind == EntryKind::Person),
        }));
    }
    print_value(&rows.into(), json);
    if incomplete_servers > 0 {
        return Err(Failure::Failed(format!(
            "{incomplete_servers} of the directory servers could not be read completely"
        )));
    }
    Ok(())
}
