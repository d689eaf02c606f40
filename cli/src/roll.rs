//! `basaltpitch roll`: the machines of a zone restart a few at a time. What is wanted is left in the
//! council's record, where the planner that conducts finds it; how far it is stands there too.
use crate::ask::print_value;
use crate::council::{records, required_quorum_settings};
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

#[derive(clap::Args)]
pub struct Roll {
    /// The installation's files
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Begin a roll of this zone's machines
    #[arg(long, conflicts_with = "change")]
    zone: Option<String>,
    /// So many machines are drained at once, at the most
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..))]
    at_once: u16,
    /// Seconds that a machine is given to become empty
    #[arg(long, default_value_t = 600.0)]
    empty_within: f64,
    /// Seconds that it is then given to restart
    #[arg(long, default_value_t = 300.0)]
    restart_within: f64,
    /// Drain no further machine for now
    #[arg(long, group = "change")]
    pause: bool,
    /// Go on with what was paused
    #[arg(long, group = "change")]
    resume: bool,
    /// End the roll: what is drained is let go
    #[arg(long, group = "change")]
    stop: bool,
    /// Say how far it is; the same without any flag
    #[arg(long, group = "change")]
    status: bool,
}

/// The note of a duty that a majority of the voters keeps.
fn kept(voters: &[VoterEndpoint], answers: &[wire::Kept], duty: &str) -> Option<Vec<u8>> {
    let all = answers.iter().flat_map(|k| &k.duties).filter(|d| d.duty == duty && !d.note.is_empty());
    let note = majority_value(voters.len(), all.map(|d| (d.note_token, d.note_number, &d.note)));
    note.map(|n| n.2.clone())
}

/// What operators want, and how far it is, as a majority of the voters keeps it.
fn record(
    voters: &[VoterEndpoint],
) -> Result<(Option<RestartPlan>, Option<RestartProgress<String>>), Failure> {
    let (mut answers, mut faults) = (Vec::new(), Vec::new());
    for (voter, kept) in records(voters, false)? {
        match kept {
            Ok(kept) => answers.push(kept),
            Err(why) => faults.push(format!("{voter}: {why}")),
        }
    }
    if 2 * answers.len() <= voters.len() {
        let (found, of) = (answers.len(), voters.len());
        let why = faults.join("; ");
        return Err(Failure::Failed(format!("found {found} of {of} voters; expected most of them ({why})")));
    }
    let sense = |e: serde_json::Error| Failure::Failed(format!("the record of the roll: {e}"));
    let wish =
        kept(voters, &answers, PLAN_LEASE).map(|n| serde_json::from_slice(&n)).transpose().map_err(sense)?;
    let far = kept(voters, &answers, RESTART_LEASE)
        .map(|n| serde_json::from_slice(&n))
        .transpose()
        .map_err(sense)?;
    Ok((wish, far))
}

/// Leaves a plan in the record, once a majority keeps it.
async fn leave(
    terms: LeaseConfig,
    voters: Vec<VoterEndpoint>,
    plan: RestartPlan,
) -> Result<RestartPlan, Failure> {
    let epoch = Clock::start().now() as u64;
    let name = format!("command-{}", std::process::id());
    let me = PeerIdentity { role: Role::Planner, name, epoch, link: 0, login: String::new() };
    let (acts, mut duties) = mpsc::channel(16);
    let start = LeaseClientConfig {
        slot_prefix: None,
        announced: Vec::new(),
        lease_config: terms,
        voters,
        slots: Vec::new(),
        leases: vec![PLAN_LEASE.into()],
        followed: Vec::new(),
        events: Some(acts),
        identity: me,
        links: LinkConfig::default(),
        seed: epoch,
    };
    let ((words, _words), (wishes, wishes_in)) = (mpsc::channel(1), mpsc::channel(4));
    let council =
        tokio::task::spawn_local(lease_client::run(start, LeaseDeadline::default(), words, wishes_in));
    let within = Duration::from_micros(3 * terms.recovery_wait_us() as u64) + Duration::from_secs(2);
    let done = tokio::time::timeout(within, async {
        let mut plan = plan;
        while let Some(word) = duties.recv().await {
            match word {
                LeaseEvent::Records(_) | LeaseEvent::HeldSlots(_) => {}
                LeaseEvent::Acquired { token, .. } => {
                    // A new roll is named by the token: it rises from one to the next.
                    plan.id = if plan.id == 0 { token } else { plan.id };
                    let text = serde_json::to_vec(&plan).map_err(|e| Failure::Failed(e.to_string()))?;
                    let _ = wishes
                        .send(LeaseCommand::WriteMetadata { lease: PLAN_LEASE.into(), token, metadata: text })
                        .await;
                }
                LeaseEvent::MetadataRecorded { .. } => return Ok(plan),
                LeaseEvent::Lost { .. } | LeaseEvent::MetadataChanged { .. } => {}
            }
        }
        Err(Failure::Failed("the council's task ended".into()))
    });
    let done = done.await.unwrap_or_else(|_| {
        let why = "no majority of voters kept it in time; it may still come to be kept: ask for --status";
        Err(Failure::Failed(why.into()))
    });
    let _ = wishes.send(LeaseCommand::ReleaseAll).await;
    let _ = council.await;
    done
}

fn word(stage: RestartStage) -> &'static str {
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

fn told(wish: Option<&RestartPlan>, far: Option<&RestartProgress<String>>, all: bool) -> Value {
    // One that is wanted, and that no conductor has begun yet.
    let begun = far.filter(|f| wish.is_none_or(|w| w.id <= f.plan.id));
    let Some(plan) = wish.filter(|w| begun.is_none_or(|f| w.id == f.plan.id)).or(begun.map(|f| &f.plan))
    else {
        return json!({"state": "none"});
    };
    let state = match begun {
        Some(f) if f.is_over() => "over",
        None if plan.stopped => "over: ended before a planner began it",
        _ if plan.stopped => "stopping",
        _ if plan.paused => "paused",
        Some(_) => "goes on",
        None => "wanted; no planner conducts it yet",
    };
    let mut value = json!({"roll": plan.id, "zone": plan.zone, "at_once": plan.max_draining, "state": state});
    let mut by_stage: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (machine, restart) in begun.iter().flat_map(|f| &f.machines) {
        by_stage.entry(word(restart.stage)).or_default().push(machine);
    }
    for (stage, machines) in by_stage {
        // Those that are well or wait are many, and looked at one by one by nobody.
        let many = !all && matches!(stage, "waits" | "restarted");
        value[stage] = if many { machines.len().into() } else { machines.into() };
    }
    value
}

impl Roll {
    pub fn run(self, as_json: bool) -> Result<(), Failure> {
        let site = load(&self.files)?;
        let (terms, voters) = required_quorum_settings(&site)?;
        for (flag, seconds) in
            [("--empty-within", self.empty_within), ("--restart-within", self.restart_within)]
        {
            if !(seconds > 0.0 && seconds < 1e7) {
                return Err(Failure::InvalidInput(format!(
                    "{flag}: found {seconds}; expected seconds over 0"
                )));
            }
        }
        if let Some(zone) = self.zone.as_ref().filter(|z| !site.names("zones").contains(*z)) {
            let known = site.names("zones").join(", ");
            return Err(Failure::InvalidInput(format!("--zone: found {zone:?}; expected one of {known}")));
        }
        let (wish, far) = record(&voters)?;
        // What stands open: wanted and not begun, or begun and not over.
        let open = match (&wish, &far) {
            (Some(w), Some(f)) if w.id <= f.plan.id => Some(w).filter(|w| w.id == f.plan.id && !f.is_over()),
            (Some(w), _) => Some(w).filter(|w| !w.stopped),
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
                let is = &open.zone;
                let why =
                    format!("--zone: found {zone:?} while a roll of {is} is open; see --status, --stop");
                return Err(Failure::Failed(why));
            }
            (None, _) if !self.pause && !self.resume && !self.stop => {
                print_value(&told(wish.as_ref(), far.as_ref(), as_json), as_json);
                return Ok(());
            }
            (None, None) => return Err(Failure::Failed("found no roll that is open".into())),
            (None, Some(open)) => {
                let stopped = open.stopped || self.stop;
                RestartPlan { paused: self.pause || (open.paused && !self.resume), stopped, ..open.clone() }
            }
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| Failure::Failed(e.to_string()))?;
        let plan = tokio::task::LocalSet::new().block_on(&runtime, leave(terms, voters, plan))?;
        print_value(&told(Some(&plan), far.as_ref(), as_json), as_json);
        Ok(())
    }
}
