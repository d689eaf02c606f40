//! `basaltpitch tenants`: what a planner knows of tenants, and the state of the directory.
use crate::ask::{print_value, query, PlannerConnection};
use crate::Failure;
use basaltpitch_agent::wire::{self, Body};
use basaltpitch_ldap::{sync, DirectorySettings, SyncState};
use basaltpitch_tenants::EntryKind;
use clap::Subcommand;
use std::time::Instant;

#[derive(clap::Args)]
pub struct Tenants {
    #[command(flatten)]
    at: PlannerConnection,
    #[command(subcommand)]
    what: Asks,
}

#[derive(Subcommand)]
enum Asks {
    /// All tenants, with their names of before for a while
    List,
    /// One tenant, by its name or id
    Show { tenant: String },
    /// The people in a tenant, and through which groups
    Members { tenant: String },
    /// Whether and why someone may submit for a tenant
    Why { login: String, tenant: String },
    /// Whether the directory is heard, and what is held
    Directory,
    /// Believe what the directory lacks, or that it was set back
    Accept,
}

impl Tenants {
    pub fn run(self, json: bool) -> Result<(), Failure> {
        let (what, about) = match self.what {
            Asks::List => ("tenants", String::new()),
            Asks::Show { tenant } => ("tenant", tenant),
            Asks::Members { tenant } => ("members", tenant),
            Asks::Why { login, tenant } => ("why", format!("{login} {tenant}")),
            Asks::Directory => ("directory", String::new()),
            Asks::Accept => {
                print_value(&query(&self.at, Body::Accept(wire::Accept {}))?, json);
                return Ok(());
            }
        };
        let request = wire::Query { what: what.into(), about };
        print_value(&query(&self.at, Body::Query(request))?, json);
        Ok(())
    }
}

/// Reads everything from each server of a directory and says what came. No planner is touched.
pub fn try_directory(directory: &DirectorySettings, json: bool) -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| Failure::Failed(e.to_string()))?;
    let mut rows = Vec::new();
    let mut wrong = 0;
    for (server, url) in directory.source.urls.iter().enumerate() {
        let began = Instant::now();
        let swept = tokio::task::LocalSet::new()
            .block_on(&runtime, sync(&directory.source, server, SyncState::default(), || ()));
        let took_ms = began.elapsed().as_millis() as u64;
        let (entries, lacks) = match swept {
            Ok(swept) => (swept.sweep.entries, swept.problems),
            Err(fault) => (Vec::new(), vec![fault.to_string()]),
        };
        wrong += usize::from(!lacks.is_empty());
        let count = |is: fn(&EntryKind) -> bool| entries.iter().filter(|e| is(&e.kind)).count();
        rows.push(serde_json::json!({
            "server": url, "all": lacks.is_empty(), "lacks": lacks, "took_ms": took_ms,
            "tenants": count(|w| matches!(w, EntryKind::Tenant { .. })),
            "groups": count(|w| *w == EntryKind::Group), "people": count(|w| *w == EntryKind::Person),
        }));
    }
    print_value(&rows.into(), json);
    if wrong > 0 {
        return Err(Failure::Failed(format!("{wrong} of the servers gave less than all")));
    }
    Ok(())
}
