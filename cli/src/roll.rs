//! `basaltpitch roll`: starts, changes and shows the rolling restart of a zone's machines. The
//! command stores the restart plan as lease metadata with the voters; the planner that coordinates
//! rolling restarts reads the plan there and stores its progress as the metadata of its own lease.
use crate::ask::print_value;
use crate::council::{required_quorum_settings, voter_records};
use crate::{load, Failure};
use basaltpitch_agent::link::Clock;
use basaltpitch_agent::session::{LinkConfig, PeerIdentity};
use basaltpitch_agent::wire::{self, Role};
use basaltpitch_lease::{majority_value, LeaseConfig};
use basaltpitch_planner::lease_client::{self, LeaseClientConfig, LeaseCommand, LeaseDeadline, LeaseEvent};
use basaltpitch_planner::rolling_restart::{PLAN_LEASE, RESTART_LEASE};
use basaltpitch_planner::voter_links::VoterEndpoint;
use basaltpitch_rolling_restart::{RestartOutcome, RestartPlan, RestartProgress, RestartStage};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::mpsc;

/// The arguments of `basaltpitch roll`.
#[derive(clap::Args)]
pub struct Roll {
    /// The installation's files
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Start a rolling restart of this zone's machines
    #[arg(long, conflicts_with = "change")]
    zone: Option<String>,
    /// Maximum number of machines that are drained at the same time
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..))]
    at_once: u16,
    /// Seconds that a machine may take to become empty after its drain starts
    #[arg(long, default_value_t = 600.0)]
    empty_within: f64,
    /// Seconds that an empty machine may take to restart
    #[arg(long, default_value_t = 300.0)]
    restart_within: f64,
    /// Pause: drain no further machine until --resume
    #[arg(long, group = "change")]
    pause: bool,
    /// Resume a paused rolling restart
    #[arg(long, group = "change")]
    resume: bool,
    /// End the rolling restart and the drains that it started
    #[arg(long, group = "change")]
    stop: bool,
    /// Show the progress; the default without any option
    #[arg(long, group = "change")]
    status: bool,
}

/// Returns the metadata of a lease that a majority of the voters stores.
fn stored_metadata(voters: &[VoterEndpoint], answers: &[wire::Kept], lease_name: &str) -> Option<Vec<u8>> {
    let leases = answers
        .iter()
        .flat_map(|record| &record.duties)
        .filter(|lease| lease.duty == lease_name && !lease.note.is_empty());
    let metadata =
        majority_value(voters.len(), leases.map(|lease| (lease.note_token, lease.note_number, &lease.note)));
    metadata.map(|newest| newest.2.clone())
}

/// Returns the restart plan and the progress of its execution, as a majority of the voters stores
/// them.
fn stored_plan(
    voters: &[VoterEndpoint],
) -> Result<(Option<RestartPlan>, Option<RestartProgress<String>>), Failure> {
    let (mut answers, mut faults) = (Vec::new(), Vec::new());
    for (voter, record) in voter_records(voters, false)? {
        match record {
            Ok(record) => answers.push(record),
            Err(why) => faults.push(format!("{voter}: {why}")),
        }
    }
    if 2 * answers.len() <= voters.len() {
        let (found, of) = (answers.len(), voters.len());
        let why = faults.join("; ");
        return Err(Failure::Failed(format!(
            "found {found} of {of} voters; expected a majority of them ({why})"
        )));
    }
    let unreadable = |e: serde_json::Error| {
        Failure::Failed(format!("the stored plan or progress of the rolling restart cannot be read: {e}"))
    };
    let plan = stored_metadata(voters, &answers, PLAN_LEASE)
        .map(|n| serde_json::from_slice(&n))
        .transpose()
        .map_err(unreadable)?;
    let progress = stored_metadata(voters, &answers, RESTART_LEASE)
        .map(|n| serde_json::from_slice(&n))
        .transpose()
        .map_err(unreadable)?;
    Ok((plan, progress))
}

/// Acquires the plan's lease, stores the plan as its metadata and returns the plan with its id once
/// a majority of the voters stores it.
async fn store_plan(
    lease_config: LeaseConfig,
    voters: Vec<VoterEndpoint>,
    plan: RestartPlan,
) -> Result<RestartPlan, Failure> {
    let epoch = Clock::start().now() as u64;
    let name = format!("command-{}", std::process::id());
    let identity = PeerIdentity { role: Role::Planner, name, epoch, link: 0, login: String::new() };
    let (event_sender, mut lease_events) = mpsc::channel(16);
    let config = LeaseClientConfig {
        slot_prefix: None,
        announced: Vec::new(),
        lease_config,
        voters,
        slots: Vec::new(),
        leases: vec![PLAN_LEASE.into()],
        followed: Vec::new(),
        events: Some(event_sender),
        identity,
        links: LinkConfig::default(),
        seed: epoch,
    };
    let ((slot_events, _slot_event_receiver), (commands, command_receiver)) =
        (mpsc::channel(1), mpsc::channel(4));
    let client = tokio::task::spawn_local(lease_client::run(
        config,
        LeaseDeadline::default(),
        slot_events,
        command_receiver,
    ));
    let timeout = Duration::from_micros(3 * lease_config.recovery_wait_us() as u64) + Duration::from_secs(2);
    let stored = tokio::time::timeout(timeout, async {
        let mut plan = plan;
        while let Some(event) = lease_events.recv().await {
            match event {
                LeaseEvent::Records(_) | LeaseEvent::HeldSlots(_) => {}
                LeaseEvent::Acquired { token, .. } => {
                    // A new rolling restart takes the fencing token as its id, because tokens only
                    // increase.
                    plan.id = if plan.id == 0 { token } else { plan.id };
                    let text = serde_json::to_vec(&plan).map_err(|e| Failure::Failed(e.to_string()))?;
                    let _ = commands
                        .send(LeaseCommand::WriteMetadata { lease: PLAN_LEASE.into(), token, metadata: text })
                        .await;
                }
                LeaseEvent::MetadataRecorded { .. } => return Ok(plan),
                LeaseEvent::Lost { .. } | LeaseEvent::MetadataChanged { .. } => {}
            }
        }
        Err(Failure::Failed("the lease client ended before the plan was stored".into()))
    });
    let stored = stored.await.unwrap_or_else(|_| {
        let why =
            "no majority of voters stored the plan in time; it may still be stored: check with --status";
        Err(Failure::Failed(why.into()))
    });
    let _ = commands.send(LeaseCommand::ReleaseAll).await;
    let _ = client.await;
    stored
}

/// Returns the name of a stage in the command's output.
fn stage_name(stage: RestartStage) -> &'static str {
    match stage {
        RestartStage::Waiting => "waits",
        RestartStage::Draining => "drains",
        RestartStage::Restarting => "restarts",
        RestartStage::Released(_) => "released",
        RestartStage::Done(RestartOutcome::Restarted) => "restarted",
        RestartStage::Done(RestartOutcome::NotRestarted) => "not restarted",
        RestartStage::Done(RestartOutcome::Absent) => "absent",
        RestartStage::Done(RestartOutcome::Stopped) => "stopped",
    }
}

/// Returns the state of the rolling restart as it is printed. `all` lists the machines that wait or
/// have restarted by name instead of counting them.
fn status(plan: Option<&RestartPlan>, progress: Option<&RestartProgress<String>>, all: bool) -> Value {
    // Progress of an earlier rolling restart says nothing about a plan that no coordinator has
    // started yet.
    let current = progress.filter(|progress| plan.is_none_or(|plan| plan.id <= progress.plan.id));
    let Some(plan) = plan
        .filter(|plan| current.is_none_or(|progress| plan.id == progress.plan.id))
        .or(current.map(|progress| &progress.plan))
    else {
        return json!({"state": "none"});
    };
    let state = match current {
        Some(progress) if progress.is_over() => "over",
        None if plan.stopped => "over: ended before a planner began it",
        _ if plan.stopped => "stopping",
        _ if plan.paused => "paused",
        Some(_) => "goes on",
        None => "wanted; no planner conducts it yet",
    };
    let mut value = json!({"roll": plan.id, "zone": plan.zone, "at_once": plan.max_draining, "state": state});
    let mut by_stage: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (machine, restart) in current.iter().flat_map(|progress| &progress.machines) {
        by_stage.entry(stage_name(restart.stage)).or_default().push(machine);
    }
    for (stage, machines) in by_stage {
        // Waiting and restarted machines are the majority, so the text output only counts them.
        let is_counted = !all && matches!(stage, "waits" | "restarted");
        value[stage] = if is_counted { machines.len().into() } else { machines.into() };
    }
    value
}

impl Roll {
    /// Stores a new or changed plan, or shows the progress of the current one.
    pub fn run(self, as_json: bool) -> Result<(), Failure> {
        let installation = load(&self.files)?;
        let (lease_config, voters) = required_quorum_settings(&installation)?;
        for (flag, seconds) in
            [("--empty-within", self.empty_within), ("--restart-within", self.restart_within)]
        {
            if !(seconds > 0.0 && seconds < 1e7) {
                return Err(Failure::InvalidInput(format!(
                    "{flag}: found {seconds}; expected seconds above 0 and below 1e7"
                )));
            }
        }
        if let Some(zone) = self.zone.as_ref().filter(|z| !installation.names("zones").contains(*z)) {
            let known = installation.names("zones").join(", ");
            return Err(Failure::InvalidInput(format!("--zone: found {zone:?}; expected one of {known}")));
        }
        let (plan, progress) = stored_plan(&voters)?;
        // An open plan is either not started yet, or started and not over.
        let open = match (&plan, &progress) {
            (Some(plan), Some(progress)) if plan.id <= progress.plan.id => {
                Some(plan).filter(|plan| plan.id == progress.plan.id && !progress.is_over())
            }
            (Some(plan), _) => Some(plan).filter(|plan| !plan.stopped),
            (None, _) => None,
        };
        let plan = match (self.zone, open) {
            (Some(zone), None) => RestartPlan {
                id: 0,
                zone,
                max_draining: usize::from(self.at_once),
                drain_timeout_us: (self.empty_within * 1e6) as i64,
                restart_timeout_us: (self.restart_within * 1e6) as i64,
                paused: false,
                stopped: false,
            },
            (Some(zone), Some(open)) => {
                let open_zone = &open.zone;
                let why = format!(
                    "--zone: found {zone:?} while a roll of {open_zone} is open; see --status, --stop"
                );
                return Err(Failure::Failed(why));
            }
            (None, _) if !self.pause && !self.resume && !self.stop => {
                print_value(&status(plan.as_ref(), progress.as_ref(), as_json), as_json);
                return Ok(());
            }
            (None, None) => {
                return Err(Failure::Failed(
                    "found no rolling restart to pause, resume or stop; start one with --zone".into(),
                ))
            }
            (None, Some(open)) => {
                let stopped = open.stopped || self.stop;
                RestartPlan { paused: self.pause || (open.paused && !self.resume), stopped, ..open.clone() }
            }
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| Failure::Failed(e.to_string()))?;
        let plan = tokio::task::LocalSet::new().block_on(&runtime, store_plan(lease_config, voters, plan))?;
        print_value(&status(Some(&plan), progress.as_ref(), as_json), as_json);
        Ok(())
    }
}
