//! The commands that query or instruct a running planner, the request they send and the tables they
//! print.
use crate::Failure;
use basaltpitch_agent::link::{self, Clock, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{self, AnswerKind, Body, Role};
use serde_json::Value;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// The planner to connect to, and the login that a request is made for.
#[derive(clap::Args, Clone)]
pub struct PlannerConnection {
    /// Address (host:port) of the planner
    #[arg(long, default_value = "127.0.0.1:7410")]
    pub planner: String,
    /// Login of the person that the request is made for
    #[arg(long = "as", default_value = "", env = "BASALTPITCH_LOGIN")]
    pub login: String,
}

/// The arguments of `basaltpitch tasks`.
#[derive(clap::Args)]
pub struct Tasks {
    #[command(flatten)]
    connection: PlannerConnection,
    /// Key of the task; without it all tasks are shown
    key: Option<String>,
}

/// The arguments of `basaltpitch drain`.
#[derive(clap::Args)]
pub struct Drain {
    #[command(flatten)]
    connection: PlannerConnection,
    /// Name of the machine
    machine: String,
    /// End the machine's drain
    #[arg(long)]
    off: bool,
}

/// The arguments of `basaltpitch submit`.
#[derive(clap::Args)]
pub struct Submit {
    #[command(flatten)]
    connection: PlannerConnection,
    /// The client's key for the task
    key: String,
    /// Framework of the task
    #[arg(long)]
    framework: String,
    /// Tenant that the task is submitted for
    #[arg(long, default_value = "")]
    tenant: String,
    /// Number of the task's service; spread constraints group tasks by service
    #[arg(long)]
    service: u64,
    /// Cores that the task requests
    #[arg(long)]
    cores: f64,
    /// Memory that the task requests, in GiB
    #[arg(long)]
    memory: f64,
    /// Request number; a repeated key and number returns the same answer
    #[arg(long, default_value_t = 1)]
    ask: u64,
    /// Seconds until the request's deadline
    #[arg(long, default_value_t = 6.0)]
    within: f64,
    /// Expected run time of the task, in seconds
    #[arg(long, default_value_t = 60.0)]
    runs: f64,
}

/// Connects to a planner or voter, sends one frame and returns the first frame received in reply.
///
/// # Errors
/// Connecting failed, the connection closed or no frame arrived within `timeout` (`Failed`), or the
/// link ended with a reason (`InvalidInput`).
pub fn send_request(
    connection: &PlannerConnection,
    role: Role,
    body: Body,
    timeout: Duration,
) -> Result<Body, Failure> {
    let PlannerConnection { planner, login } = connection;
    let failed = |e: String| Failure::Failed(format!("{planner}: {e}"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| failed(e.to_string()))?;
    let exchange = async {
        let stream = TcpStream::connect(planner).await.map_err(|e| failed(format!("no connection: {e}")))?;
        let (commands, command_inbox) = mpsc::channel(16);
        let (event_sender, mut events) = mpsc::channel(16);
        let identity = PeerIdentity {
            role,
            name: format!("command-{}", std::process::id()),
            epoch: 1,
            link: 1,
            login: login.clone(),
        };
        let run = link::run(
            stream,
            link::LinkContext::new(identity, Clock::start()),
            command_inbox,
            event_sender,
            |n| n,
        );
        let first_reply = async {
            commands
                .send(LinkCommand::Send(body, None))
                .await
                .map_err(|_| failed("the connection ended".into()))?;
            while let Some(event) = events.recv().await {
                match event {
                    LinkEvent::Session(SessionEvent::Frame(body)) => return Ok(body),
                    LinkEvent::Ended { why, .. } => {
                        return Err(Failure::InvalidInput(format!("{planner}: {why}")))
                    }
                    LinkEvent::Session(_) => {}
                }
            }
            Err(failed("the connection ended".into()))
        };
        tokio::pin!(first_reply);
        tokio::select! {
            reply = &mut first_reply => reply,
            () = run => first_reply.await,
        }
    };
    let exchange = async {
        tokio::time::timeout(timeout, exchange).await.map_err(|_| failed("no answer in time".into()))?
    };
    runtime.block_on(exchange)
}

/// Sends a query as an operator and returns the result, decoded from JSON. Waits at most 10 s.
pub fn query(connection: &PlannerConnection, body: Body) -> Result<Value, Failure> {
    match send_request(connection, Role::Operator, body, Duration::from_secs(10))? {
        Body::Told(response) => {
            serde_json::from_str(&response.json).map_err(|e| Failure::Failed(e.to_string()))
        }
        _ => Err(Failure::Failed(format!(
            "{}: received another message type; expected a query result",
            connection.planner
        ))),
    }
}

/// Columns that come first in a table, in this order; the other columns follow in the order of the
/// JSON keys.
const LEADING_COLUMNS: [&str; 18] = [
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

/// Renders a JSON value as one table cell: `-` for null and empty lists, machine and state for an
/// attempt.
pub fn value_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        Value::Array(items) if items.is_empty() => "-".into(),
        Value::Array(items) => items.iter().map(value_text).collect::<Vec<_>>().join(", "),
        Value::Object(fields) if fields.contains_key("machine") => {
            format!("{} {}", value_text(&value["machine"]), value_text(&value["state"]))
        }
        value => value.to_string(),
    }
}

/// Prints a value as JSON, or as text: a list as a table, an object as one line per field.
pub fn print_value(value: &Value, json: bool) {
    match value {
        _ if json => println!("{value}"),
        Value::Array(rows) => {
            let Some(Value::Object(first)) = rows.first() else { return println!("none") };
            let mut names: Vec<&String> = first.keys().collect();
            names.sort_by_key(|name| {
                LEADING_COLUMNS.iter().position(|column| column == name).unwrap_or(LEADING_COLUMNS.len())
            });
            let cells: Vec<Vec<String>> = rows
                .iter()
                .map(|row| names.iter().map(|name| value_text(&row[name.as_str()])).collect())
                .collect();
            let column_width = |column: usize| {
                cells.iter().map(|row| row[column].len()).chain([names[column].len()]).max().unwrap_or(0)
            };
            let widths: Vec<usize> = (0..names.len()).map(column_width).collect();
            let print_row = |row: Vec<&str>| {
                let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
                println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
            };
            print_row(names.iter().map(|name| name.as_str()).collect());
            cells.iter().for_each(|row| print_row(row.iter().map(String::as_str).collect()));
        }
        Value::Object(fields) => {
            fields.iter().for_each(|(name, value)| println!("{name:16}{}", value_text(value)))
        }
        value => println!("{}", value_text(value)),
    }
}

impl PlannerConnection {
    /// Runs a query without arguments and prints its result.
    pub fn run(self, what: &str, json: bool) -> Result<(), Failure> {
        let request = wire::Query { what: what.into(), about: String::new() };
        print_value(&query(&self, Body::Query(request))?, json);
        Ok(())
    }
}

impl Tasks {
    /// Queries all tasks or one task and prints the result.
    pub fn run(self, json: bool) -> Result<(), Failure> {
        let what = if self.key.is_some() { "task" } else { "tasks" };
        let request = wire::Query { what: what.into(), about: self.key.unwrap_or_default() };
        print_value(&query(&self.connection, Body::Query(request))?, json);
        Ok(())
    }
}

impl Drain {
    /// Starts or ends the drain of a machine and prints the planner's answer.
    pub fn run(self, json: bool) -> Result<(), Failure> {
        let drain = wire::Drain { machine: self.machine, on: !self.off, ..wire::Drain::default() };
        print_value(&query(&self.connection, Body::Drain(drain))?, json);
        Ok(())
    }
}

impl Submit {
    /// Submits the task, prints its final answer and fails unless the task was placed.
    pub fn run(self, json: bool) -> Result<(), Failure> {
        if !(self.within > 0.0 && self.within < 1e6 && self.runs > 0.0 && self.runs < 1e9) {
            return Err(Failure::InvalidInput("--within, --runs: expected seconds above 0".into()));
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
        let Body::Answer(answer) = send_request(&self.connection, Role::Owner, Body::Submit(submit), within)?
        else {
            return Err(Failure::Failed("received another message type; expected the task's answer".into()));
        };
        let kind = match AnswerKind::try_from(answer.kind) {
            Ok(AnswerKind::Placed) => "placed",
            Ok(AnswerKind::Declined) => "declined",
            _ => "aborted",
        };
        let answer_json = serde_json::json!({
            "key": answer.key, "ask": answer.ask, "answer": kind, "machine": answer.machine, "reason": answer.reason,
            "retry_after_ms": answer.retry_after_us / 1000, "not_allowed": answer.not_allowed,
            "stale_ms": if answer.stale_us < 0 { Value::Null } else { (answer.stale_us / 1000).into() },
        });
        print_value(&answer_json, json);
        if kind == "placed" {
            Ok(())
        } else {
            Err(Failure::Failed(String::new()))
        }
    }
}
