//! The commands that ask a running planner.
use crate::Failure;
use basaltpitch_agent::link::{self, Clock, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{self, AnswerKind, Body, Role};
use serde_json::Value;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

#[derive(clap::Args, Clone)]
pub struct PlannerConnection {
    /// Where the planner listens
    #[arg(long, default_value = "127.0.0.1:7410")]
    pub planner: String,
    /// The login on whose behalf it is asked
    #[arg(long = "as", default_value = "", env = "BASALTPITCH_LOGIN")]
    pub login: String,
}

#[derive(clap::Args)]
pub struct Tasks {
    #[command(flatten)]
    at: PlannerConnection,
    /// Only the task with this key
    key: Option<String>,
}

#[derive(clap::Args)]
pub struct Drain {
    #[command(flatten)]
    at: PlannerConnection,
    machine: String,
    /// Take the drain back
    #[arg(long)]
    off: bool,
}

#[derive(clap::Args)]
pub struct Submit {
    #[command(flatten)]
    at: PlannerConnection,
    /// The owner's key for the task
    key: String,
    #[arg(long)]
    framework: String,
    #[arg(long, default_value = "")]
    tenant: String,
    /// The service that the task belongs to: its tasks count as alike
    #[arg(long)]
    service: u64,
    #[arg(long)]
    cores: f64,
    #[arg(long)]
    memory: f64,
    /// The number of this asking; the same again asks for the same answer
    #[arg(long, default_value_t = 1)]
    ask: u64,
    /// Seconds until the asking is given up
    #[arg(long, default_value_t = 6.0)]
    within: f64,
    /// Seconds that the task is expected to run
    #[arg(long, default_value_t = 60.0)]
    runs: f64,
}

/// Connects, sends one frame and gives back the first answer.
pub fn ask(at: &PlannerConnection, role: Role, body: Body, within: Duration) -> Result<Body, Failure> {
    let PlannerConnection { planner, login } = at;
    let failed = |e: String| Failure::Failed(format!("{planner}: {e}"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| failed(e.to_string()))?;
    let talk = async {
        let stream = TcpStream::connect(planner).await.map_err(|e| failed(format!("no connection: {e}")))?;
        let (orders, inbox) = mpsc::channel(16);
        let (news, mut heard) = mpsc::channel(16);
        let me = PeerIdentity {
            role,
            name: format!("command-{}", std::process::id()),
            epoch: 1,
            link: 1,
            login: login.clone(),
        };
        let run = link::run(stream, link::LinkContext::new(me, Clock::start()), inbox, news, |n| n);
        let wait = async {
            orders
                .send(LinkCommand::Send(body, None))
                .await
                .map_err(|_| failed("the connection ended".into()))?;
            while let Some(news) = heard.recv().await {
                match news {
                    LinkEvent::Session(SessionEvent::Frame(body)) => return Ok(body),
                    LinkEvent::Ended { why, .. } => {
                        return Err(Failure::InvalidInput(format!("{planner}: {why}")))
                    }
                    LinkEvent::Session(_) => {}
                }
            }
            Err(failed("the connection ended".into()))
        };
        tokio::pin!(wait);
        tokio::select! {
            done = &mut wait => done,
            () = run => wait.await,
        }
    };
    let talk =
        async { tokio::time::timeout(within, talk).await.map_err(|_| failed("no answer in time".into()))? };
    runtime.block_on(talk)
}

pub fn query(at: &PlannerConnection, body: Body) -> Result<Value, Failure> {
    match ask(at, Role::Operator, body, Duration::from_secs(10))? {
        Body::Told(told) => serde_json::from_str(&told.json).map_err(|e| Failure::Failed(e.to_string())),
        _ => Err(Failure::Failed(format!("{}: another answer than was asked for", at.planner))),
    }
}

/// Columns that come first in a table, in this order.
const FIRST: [&str; 18] = [
    "voter",
    "duty",
    "tenant",
    "was",
    "login",
    "may_submit",
    "machine",
    "key",
    "ask",
    "state",
    "link",
    "drains",
    "own",
    "cores",
    "c",
    "b",
    "ucac",
    "memory",
];

pub fn value_text(v: &Value) -> String {
    match v {
        Value::String(s) => s.clone(),
        Value::Null => "-".into(),
        Value::Array(items) if items.is_empty() => "-".into(),
        Value::Array(items) => items.iter().map(value_text).collect::<Vec<_>>().join(", "),
        Value::Object(fields) if fields.contains_key("machine") => {
            format!("{} {}", value_text(&v["machine"]), value_text(&v["state"]))
        }
        v => v.to_string(),
    }
}

/// A list as a table, a single record as lines.
pub fn print_value(value: &Value, json: bool) {
    match value {
        _ if json => println!("{value}"),
        Value::Array(rows) => {
            let Some(Value::Object(first)) = rows.first() else { return println!("none") };
            let mut names: Vec<&String> = first.keys().collect();
            names.sort_by_key(|n| FIRST.iter().position(|f| f == n).unwrap_or(FIRST.len()));
            let cells: Vec<Vec<String>> =
                rows.iter().map(|r| names.iter().map(|n| value_text(&r[n.as_str()])).collect()).collect();
            let wide = |i: usize| cells.iter().map(|r| r[i].len()).chain([names[i].len()]).max().unwrap_or(0);
            let widths: Vec<usize> = (0..names.len()).map(wide).collect();
            let line = |r: Vec<&str>| {
                let cells = r.iter().zip(&widths).map(|(c, w)| format!("{c:w$}"));
                println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
            };
            line(names.iter().map(|n| n.as_str()).collect());
            cells.iter().for_each(|r| line(r.iter().map(String::as_str).collect()));
        }
        Value::Object(fields) => fields.iter().for_each(|(k, v)| println!("{k:16}{}", value_text(v))),
        v => println!("{}", value_text(v)),
    }
}

impl PlannerConnection {
    pub fn run(self, what: &str, json: bool) -> Result<(), Failure> {
        let request = wire::Query { what: what.into(), about: String::new() };
        print_value(&query(&self, Body::Query(request))?, json);
        Ok(())
    }
}

impl Tasks {
    pub fn run(self, json: bool) -> Result<(), Failure> {
        let what = if self.key.is_some() { "task" } else { "tasks" };
        let request = wire::Query { what: what.into(), about: self.key.unwrap_or_default() };
        print_value(&query(&self.at, Body::Query(request))?, json);
        Ok(())
    }
}

impl Drain {
    pub fn run(self, json: bool) -> Result<(), Failure> {
        let drain = wire::Drain { machine: self.machine, on: !self.off, ..wire::Drain::default() };
        print_value(&query(&self.at, Body::Drain(drain))?, json);
        Ok(())
    }
}

impl Submit {
    pub fn run(self, json: bool) -> Result<(), Failure> {
        if !(self.within > 0.0 && self.within < 1e6 && self.runs > 0.0 && self.runs < 1e9) {
            return Err(Failure::InvalidInput("--within, --runs: expected seconds over 0".into()));
        }
        let submit = wire::Submit {
            key: self.key,
            ask: self.ask,
            framework: self.framework,
            tenant: self.tenant,
            service: self.service,
            cores: self.cores,
            memory: self.memory,
            runs_for_us: (self.runs * 1e6) as i64,
            time_left_us: (self.within * 1e6) as i64,
        };
        let within = Duration::from_secs_f64(self.within + 2.0);
        let Body::Answer(a) = ask(&self.at, Role::Owner, Body::Submit(submit), within)? else {
            return Err(Failure::Failed("another answer than was asked for".into()));
        };
        let kind = match AnswerKind::try_from(a.kind) {
            Ok(AnswerKind::Placed) => "placed",
            Ok(AnswerKind::Declined) => "declined",
            _ => "aborted",
        };
        let told = serde_json::json!({
            "key": a.key, "ask": a.ask, "answer": kind, "machine": a.machine, "reason": a.reason,
            "retry_after_ms": a.retry_after_us / 1000, "not_allowed": a.not_allowed,
            "stale_ms": if a.stale_us < 0 { Value::Null } else { (a.stale_us / 1000).into() },
        });
        print_value(&told, json);
        if kind == "placed" {
            Ok(())
        } else {
            Err(Failure::Failed(String::new()))
        }
    }
}
