//! `basaltpitch voter` runs a voter; `basaltpitch council` shows and transfers the leases that a
//! quorum of voters grants.
use crate::ask::{print_value, send_request, PlannerConnection};
use crate::{load, Failure};
use basaltpitch_agent::link::Clock;
use basaltpitch_agent::wire::{self, Body, Role};
use basaltpitch_config::installation::Installation;
use basaltpitch_lease::{majority_value, LeaseConfig};
use basaltpitch_planner::voter_links::VoterEndpoint;
use basaltpitch_planner::voter_server::{self, VoterConfig};
use basaltpitch_snapshot_store::{OpenOutcome, SnapshotStore};
use serde_json::{json, Value};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// The arguments of `basaltpitch voter`.
#[derive(clap::Args)]
pub struct RunVoter {
    /// The installation's files
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Name of this voter in the installation
    #[arg(long)]
    name: String,
    /// Folder that the voter stores its votes in. Without a folder, every start waits for one lease
    /// duration and for the records of the other voters
    #[arg(long)]
    state: Option<PathBuf>,
}

/// The arguments of `basaltpitch council`.
#[derive(clap::Args)]
pub struct ShowLeases {
    /// The installation's files
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Show past and present holders of each lease, the latest last, with the time at which each
    /// acquired it, as recorded by the voters
    #[arg(long, conflicts_with = "hand_on")]
    history: bool,
    /// Transfer this lease, such as a planner's slot, from its holder to another process
    #[arg(long)]
    hand_on: Option<String>,
    /// Name of the process to transfer the lease to; by default the first that requests it
    #[arg(long, requires = "hand_on")]
    to: Option<String>,
}

/// Returns the lease duration and clock drift, and the voters' names and addresses; `None` where
/// the installation has no voters.
pub fn quorum_settings(installation: &Installation) -> Option<(LeaseConfig, Vec<VoterEndpoint>)> {
    let quorum = installation.all.get("council")?;
    let duration_us = |field: &str| quorum.duration_us(field).unwrap_or(0);
    let text =
        |record: &basaltpitch_config::ResolvedValue, field: &str| record.text(field).unwrap_or("").to_owned();
    let voter = |record| VoterEndpoint { name: text(record, "name"), address: text(record, "address") };
    Some((
        LeaseConfig { duration_us: duration_us("term"), clock_drift_us: duration_us("drift") },
        quorum.list("voters").iter().map(voter).collect(),
    ))
}

/// The common prefix of all slot names.
pub const SLOT_PREFIX: &str = "planner-";

/// Returns the slot names of an installation, indexed by planner number.
pub fn slot_names(installation: &Installation) -> Vec<Rc<str>> {
    let planners = installation.all.number("planners").unwrap_or(1.0) as usize;
    (0..planners).map(|n| format!("{SLOT_PREFIX}{n}").into()).collect()
}

/// Returns the lease duration and clock drift, and the voters' names and addresses; an installation
/// without voters is invalid input.
pub fn required_quorum_settings(
    installation: &Installation,
) -> Result<(LeaseConfig, Vec<VoterEndpoint>), Failure> {
    let none = || {
        Failure::InvalidInput("council: found none in these files; expected a council with its voters".into())
    };
    quorum_settings(installation).ok_or_else(none)
}

/// Opens the store `NAME.store` in a folder, which is created if it is missing. An unreadable file
/// is renamed, and the store starts empty.
pub fn open_store(folder: &Path, name: &str) -> Result<SnapshotStore, Failure> {
    let invalid = |e: String| Failure::InvalidInput(format!("--state {}: {e}", folder.display()));
    if name.contains(['/', '\\']) || name.starts_with('.') {
        return Err(Failure::InvalidInput(format!(
            "--name: found {name:?}; expected a name without slashes or a leading dot"
        )));
    }
    std::fs::create_dir_all(folder).map_err(|e| invalid(e.to_string()))?;
    let (store, outcome) =
        SnapshotStore::open(&folder.join(format!("{name}.store"))).map_err(|e| invalid(e.to_string()))?;
    if let OpenOutcome::SetAside { to, reason } = outcome {
        tracing::error!(to = %to.display(), why = reason, "store file is unreadable; renamed it and started an empty store");
    }
    Ok(store)
}

/// Completes when the process receives SIGINT or SIGTERM.
pub async fn stop_signal() {
    let sigterm = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate());
    let Ok(mut sigterm) = sigterm else { return drop(tokio::signal::ctrl_c().await) };
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = sigterm.recv() => {}
    }
}

impl RunVoter {
    /// Serves as a voter until SIGINT or SIGTERM.
    pub fn run(self, json: bool) -> Result<(), Failure> {
        let (lease_config, voters) = required_quorum_settings(&load(&self.files)?)?;
        let names: Vec<&str> = voters.iter().map(|v| v.name.as_str()).collect();
        let unknown_name = || format!("--name: found {:?}; expected one of {}", self.name, names.join(", "));
        let index = names
            .iter()
            .position(|n| *n == self.name)
            .ok_or_else(|| Failure::InvalidInput(unknown_name()))?;
        let store = self.state.as_ref().map(|folder| open_store(folder, &self.name)).transpose()?;
        let address = voters[index].address.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| Failure::Failed(e.to_string()))?;
        runtime.block_on(async {
            let listener = tokio::net::TcpListener::bind(&address).await;
            let listener =
                listener.map_err(|e| Failure::InvalidInput(format!("council.voters: {address}: {e}")))?;
            if json {
                println!("{}", json!({"listening": address, "name": self.name}));
            } else {
                println!("{} listens on {address}", self.name);
            }
            let _ = std::io::stdout().flush();
            let config = VoterConfig { name: self.name, lease_config, voters, index, store };
            voter_server::serve(listener, config, stop_signal()).await;
            Ok(())
        })
    }
}

/// For each voter, by name: the result of a request to it, or why there is none.
type PerVoter<T> = Vec<(String, Result<T, String>)>;

/// Sends one frame to each voter in turn and returns the answers. A voter without an answer gets
/// the reason.
///
/// # Errors
/// A voter ended the link with a reason (`InvalidInput`).
pub fn send_to_all(voters: &[VoterEndpoint], body: &Body) -> Result<PerVoter<Body>, Failure> {
    let request = |voter: &VoterEndpoint| {
        let connection = PlannerConnection { planner: voter.address.clone(), login: String::new() };
        match send_request(&connection, Role::Operator, body.clone(), Duration::from_secs(2)) {
            Ok(body) => Ok((voter.name.clone(), Ok(body))),
            Err(Failure::Failed(why)) => Ok((voter.name.clone(), Err(why))),
            Err(invalid) => Err(invalid),
        }
    };
    voters.iter().map(request).collect()
}

/// Returns the lease records of each voter; `brief` leaves out lease metadata and past holders.
pub fn voter_records(voters: &[VoterEndpoint], brief: bool) -> Result<PerVoter<wire::Kept>, Failure> {
    let kept = |(name, answer): (String, Result<Body, String>)| match answer {
        Ok(Body::Kept(kept)) => (name, Ok(kept)),
        Ok(_) => (name, Err("another answer than was asked for".into())),
        Err(why) => (name, Err(why)),
    };
    let answers = send_to_all(voters, &Body::Record(wire::Record { brief, ..wire::Record::default() }))?;
    Ok(answers.into_iter().map(kept).collect())
}

/// Returns the holder of a lease and its fencing token, as a majority of the voters records them.
fn majority_holder(voters: &[VoterEndpoint], lease: &str) -> Result<Option<(String, u64)>, Failure> {
    let records = voter_records(voters, true)?;
    let leases = records.iter().filter_map(|record| record.1.as_ref().ok()).flat_map(|record| &record.duties);
    let held = leases
        .filter(|lease_record| lease_record.duty == lease && lease_record.left_us > 0)
        .map(|lease_record| (lease_record.holder.clone(), lease_record.token));
    Ok(majority_value(voters.len(), held))
}

impl ShowLeases {
    /// Shows the leases or their history, or transfers a lease, as the options say.
    pub fn run(self, as_json: bool) -> Result<(), Failure> {
        let (lease_config, voters) = required_quorum_settings(&load(&self.files)?)?;
        match self.hand_on {
            Some(lease) => transfer_lease(&lease_config, &voters, &lease, self.to, as_json),
            None if self.history => show_history(&voters, as_json),
            None => show_leases(&voters, as_json),
        }
    }
}

/// Prints the holder of each lease as each voter records it.
fn show_leases(voters: &[VoterEndpoint], as_json: bool) -> Result<(), Failure> {
    let mut rows = Vec::new();
    for (voter, kept) in voter_records(voters, true)? {
        let row = |lease: &str, holder: &str, token: u64, left_us: i64, state: &str| {
            json!({"voter": voter, "duty": lease, "holder": holder, "token": token,
                "left_ms": left_us / 1000, "state": state})
        };
        match kept {
            Ok(kept) => {
                let votes = kept.whole && kept.votes_in_us == 0;
                let state = if votes { "votes" } else { "waits for a term and the other voters" };
                rows.push(row("", "", 0, kept.votes_in_us, state));
                for lease_record in kept.duties {
                    let state = if lease_record.left_us > 0 { "vote is out" } else { "vote is free" };
                    rows.push(row(
                        &lease_record.duty,
                        &lease_record.holder,
                        lease_record.token,
                        lease_record.left_us,
                        state,
                    ));
                }
            }
            Err(why) => rows.push(row("", "", 0, 0, &why)),
        }
    }
    print_value(&Value::Array(rows), as_json);
    Ok(())
}

/// Prints past and present holders, each once, with the earliest start that any voter records.
fn show_history(voters: &[VoterEndpoint], as_json: bool) -> Result<(), Failure> {
    let mut holders = std::collections::BTreeMap::new();
    for (voter, kept) in voter_records(voters, false)? {
        let kept = kept.unwrap_or_else(|why| {
            tracing::warn!(voter, why, "no answer from this voter; leaving its records out");
            wire::Kept::default()
        });
        for lease_record in kept.duties {
            for past in lease_record.past {
                let since = holders
                    .entry((lease_record.duty.clone(), past.token, past.holder))
                    .or_insert(past.since_us);
                *since = past.since_us.min(*since);
            }
        }
    }
    let now = Clock::start().now();
    let row = |((lease, token, holder), since): ((String, u64, String), i64)| {
        let elapsed_s = (now - since) / 1_000_000;
        json!({"duty": lease, "holder": holder, "token": token, "since_s_ago": elapsed_s, "since_us": since})
    };
    print_value(&Value::Array(holders.into_iter().map(row).collect()), as_json);
    Ok(())
}

/// Asks the holder, through the voters, to transfer the lease and waits until a majority records a
/// new holder.
fn transfer_lease(
    lease_config: &LeaseConfig,
    voters: &[VoterEndpoint],
    lease: &str,
    to: Option<String>,
    as_json: bool,
) -> Result<(), Failure> {
    let Some((from, token)) = majority_holder(voters, lease)? else {
        return Err(Failure::Failed(format!(
            "--hand-on: found no holder of {lease:?} on a majority of the voters"
        )));
    };
    let request = wire::HandOn { duty: lease.to_owned(), to: to.unwrap_or_default(), token };
    let mut faults = Vec::new();
    for (voter, answer) in send_to_all(voters, &Body::HandOn(request))? {
        let reply = match answer {
            Ok(Body::Told(reply)) => serde_json::from_str(&reply.json).unwrap_or(Value::Null),
            Ok(_) => json!({"fault": "received another message type; expected the result of the transfer"}),
            Err(why) => json!({"fault": why}),
        };
        if reply["passed_on"] != true {
            faults.push(format!(
                "{voter}: {}",
                reply["fault"].as_str().unwrap_or("the request was not forwarded to the holder")
            ));
        }
    }
    // One voter that forwarded the request is enough, because the holder releases the lease at all
    // voters. Another voter may have recorded the next holder by then, and reports a fault.
    if faults.len() == voters.len() {
        return Err(Failure::Failed(format!("--hand-on {lease}: {}", faults.join("; "))));
    }
    let until = std::time::Instant::now() + Duration::from_micros(3 * lease_config.recovery_wait_us() as u64);
    while std::time::Instant::now() < until {
        if let Some((holder, newer)) = majority_holder(voters, lease)?.filter(|found| found.1 > token) {
            print_value(&json!({"duty": lease, "from": from, "holder": holder, "token": newer}), as_json);
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(Failure::Failed(format!(
        "--hand-on {lease}: no new holder within three times the lease duration plus clock drift; the last \
         known holder is {from}"
    )))
}
