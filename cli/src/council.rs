//! `basaltpitch voter` and `basaltpitch council`: the agreed record of who holds what.
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

#[derive(clap::Args)]
pub struct Vote {
    /// The installation's files
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Which of the installation's voters it is
    #[arg(long)]
    name: String,
    /// A folder for what it voted. Without it a start waits for a term and for the other voters
    #[arg(long)]
    state: Option<PathBuf>,
}

#[derive(clap::Args)]
pub struct Show {
    /// The installation's files
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Who held each duty since when, the newest last, as the voters remember it
    #[arg(long, conflicts_with = "hand_on")]
    history: bool,
    /// Have this duty's or seat's holder give it to another process
    #[arg(long)]
    hand_on: Option<String>,
    /// To this process, by its name; else to whichever asks first
    #[arg(long, requires = "hand_on")]
    to: Option<String>,
}

/// How long votes are valid and where the voters are, where an installation has voters.
pub fn quorum_settings(found: &Installation) -> Option<(LeaseConfig, Vec<VoterEndpoint>)> {
    let council = found.all.get("council")?;
    let time = |field: &str| council.duration_us(field).unwrap_or(0);
    let text = |v: &basaltpitch_config::ResolvedValue, field: &str| v.text(field).unwrap_or("").to_owned();
    let way = |v| VoterEndpoint { name: text(v, "name"), address: text(v, "address") };
    Some((
        LeaseConfig { duration_us: time("term"), clock_drift_us: time("drift") },
        council.list("voters").iter().map(way).collect(),
    ))
}

/// What the names of all slots begin with.
pub const SLOT_PREFIX: &str = "planner-";

/// The slots of an installation, by the number of the planner.
pub fn seats(found: &Installation) -> Vec<Rc<str>> {
    let planners = found.all.number("planners").unwrap_or(1.0) as usize;
    (0..planners).map(|n| format!("{SLOT_PREFIX}{n}").into()).collect()
}

/// How long votes are valid and where the voters are; an error where an installation has none.
pub fn required_quorum_settings(found: &Installation) -> Result<(LeaseConfig, Vec<VoterEndpoint>), Failure> {
    let none = || Failure::InvalidInput("council: found none in these files; expected its voters".into());
    quorum_settings(found).ok_or_else(none)
}

/// Opens a store in a folder; a file that could not be read is set aside and named.
pub fn open(folder: &Path, name: &str) -> Result<SnapshotStore, Failure> {
    let wrong = |e: String| Failure::InvalidInput(format!("--state {}: {e}", folder.display()));
    if name.contains(['/', '\\']) || name.starts_with('.') {
        return Err(Failure::InvalidInput(format!("--name: found {name:?}; expected a plain name")));
    }
    std::fs::create_dir_all(folder).map_err(|e| wrong(e.to_string()))?;
    let (store, found) =
        SnapshotStore::open(&folder.join(format!("{name}.store"))).map_err(|e| wrong(e.to_string()))?;
    if let OpenOutcome::SetAside { to, reason } = found {
        tracing::error!(to = %to.display(), why = reason, "a file that cannot be read was set aside");
    }
    Ok(store)
}

/// Done at SIGINT or SIGTERM.
pub async fn stop_signal() {
    let term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate());
    let Ok(mut term) = term else { return drop(tokio::signal::ctrl_c().await) };
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = term.recv() => {}
    }
}

impl Vote {
    pub fn run(self, json: bool) -> Result<(), Failure> {
        let (terms, voters) = required_quorum_settings(&load(&self.files)?)?;
        let names: Vec<&str> = voters.iter().map(|v| v.name.as_str()).collect();
        let none = || format!("--name: found {:?}; expected one of {}", self.name, names.join(", "));
        let me = names.iter().position(|n| *n == self.name).ok_or_else(|| Failure::InvalidInput(none()))?;
        let store = self.state.as_ref().map(|folder| open(folder, &self.name)).transpose()?;
        let address = voters[me].address.clone();
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
            let start = VoterConfig { name: self.name, lease_config: terms, voters, index: me, store };
            voter_server::serve(listener, start, stop_signal()).await;
            Ok(())
        })
    }
}

/// By voter's name: what came of a question to it, or why nothing did.
type PerVoter<T> = Vec<(String, Result<T, String>)>;

/// What each voter answers to a frame, by its name; a voter that does not is named with the reason.
pub fn send_to_all(voters: &[VoterEndpoint], body: &Body) -> Result<PerVoter<Body>, Failure> {
    let one = |way: &VoterEndpoint| {
        let at = PlannerConnection { planner: way.address.clone(), login: String::new() };
        match send_request(&at, Role::Operator, body.clone(), Duration::from_secs(2)) {
            Ok(body) => Ok((way.name.clone(), Ok(body))),
            Err(Failure::Failed(why)) => Ok((way.name.clone(), Err(why))),
            Err(wrong) => Err(wrong),
        }
    };
    voters.iter().map(one).collect()
}

/// What each voter keeps; notes and who held what only where asked for.
pub fn records(voters: &[VoterEndpoint], brief: bool) -> Result<PerVoter<wire::Kept>, Failure> {
    let kept = |(name, answer): (String, Result<Body, String>)| match answer {
        Ok(Body::Kept(kept)) => (name, Ok(kept)),
        Ok(_) => (name, Err("another answer than was asked for".into())),
        Err(why) => (name, Err(why)),
    };
    let all = send_to_all(voters, &Body::Record(wire::Record { brief, ..wire::Record::default() }))?;
    Ok(all.into_iter().map(kept).collect())
}

/// The holder that most voters have of a duty, and its token.
fn holder(voters: &[VoterEndpoint], duty: &str) -> Result<Option<(String, u64)>, Failure> {
    let all = records(voters, true)?;
    let kept = all.iter().filter_map(|r| r.1.as_ref().ok()).flat_map(|k| &k.duties);
    let out = kept.filter(|d| d.duty == duty && d.left_us > 0).map(|d| (d.holder.clone(), d.token));
    Ok(majority_value(voters.len(), out))
}

impl Show {
    pub fn run(self, as_json: bool) -> Result<(), Failure> {
        let (terms, voters) = required_quorum_settings(&load(&self.files)?)?;
        match self.hand_on {
            Some(duty) => hand_on(&terms, &voters, &duty, self.to, as_json),
            None if self.history => history(&voters, as_json),
            None => standing(&voters, as_json),
        }
    }
}

/// Who holds what, as each voter has it.
fn standing(voters: &[VoterEndpoint], as_json: bool) -> Result<(), Failure> {
    let mut rows = Vec::new();
    for (voter, kept) in records(voters, true)? {
        let row = |duty: &str, holder: &str, token: u64, left_us: i64, state: &str| {
            json!({"voter": voter, "duty": duty, "holder": holder, "token": token,
                "left_ms": left_us / 1000, "state": state})
        };
        match kept {
            Ok(kept) => {
                let votes = kept.whole && kept.votes_in_us == 0;
                let state = if votes { "votes" } else { "waits for a term and the other voters" };
                rows.push(row("", "", 0, kept.votes_in_us, state));
                for d in kept.duties {
                    let state = if d.left_us > 0 { "vote is out" } else { "vote is free" };
                    rows.push(row(&d.duty, &d.holder, d.token, d.left_us, state));
                }
            }
            Err(why) => rows.push(row("", "", 0, 0, &why)),
        }
    }
    print_value(&Value::Array(rows), as_json);
    Ok(())
}

/// Who held what since when: each holder once, from the first voter that has it.
fn history(voters: &[VoterEndpoint], as_json: bool) -> Result<(), Failure> {
    let mut all = std::collections::BTreeMap::new();
    for (voter, kept) in records(voters, false)? {
        let kept = kept.unwrap_or_else(|why| {
            tracing::warn!(voter, why, "this voter is not heard");
            wire::Kept::default()
        });
        for d in kept.duties {
            for p in d.past {
                let since = all.entry((d.duty.clone(), p.token, p.holder)).or_insert(p.since_us);
                *since = p.since_us.min(*since);
            }
        }
    }
    let now = Clock::start().now();
    let row = |((duty, token, holder), since): ((String, u64, String), i64)| {
        let ago = (now - since) / 1_000_000;
        json!({"duty": duty, "holder": holder, "token": token, "since_s_ago": ago, "since_us": since})
    };
    print_value(&Value::Array(all.into_iter().map(row).collect()), as_json);
    Ok(())
}

/// Passes the wish on to the holder, and waits until most voters have another.
fn hand_on(
    terms: &LeaseConfig,
    voters: &[VoterEndpoint],
    duty: &str,
    to: Option<String>,
    as_json: bool,
) -> Result<(), Failure> {
    let Some((from, token)) = holder(voters, duty)? else {
        return Err(Failure::Failed(format!("--hand-on: found no holder of {duty:?} among most voters")));
    };
    let wish = wire::HandOn { duty: duty.to_owned(), to: to.unwrap_or_default(), token };
    let mut faults = Vec::new();
    for (voter, answer) in send_to_all(voters, &Body::HandOn(wish))? {
        let told = match answer {
            Ok(Body::Told(told)) => serde_json::from_str(&told.json).unwrap_or(Value::Null),
            Ok(_) => json!({"fault": "another answer than was asked for"}),
            Err(why) => json!({"fault": why}),
        };
        if told["passed_on"] != true {
            faults.push(format!("{voter}: {}", told["fault"].as_str().unwrap_or("not passed on")));
        }
    }
    // One that passed it on is enough: the holder gives it back to all. The others may have another by then.
    if faults.len() == voters.len() {
        return Err(Failure::Failed(format!("--hand-on {duty}: {}", faults.join("; "))));
    }
    let until = std::time::Instant::now() + Duration::from_micros(3 * terms.recovery_wait_us() as u64);
    while std::time::Instant::now() < until {
        if let Some((holder, newer)) = holder(voters, duty)?.filter(|h| h.1 > token) {
            print_value(&json!({"duty": duty, "from": from, "holder": holder, "token": newer}), as_json);
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(Failure::Failed(format!("--hand-on {duty}: nobody took it in three terms; it was with {from}")))
}
