//! What a planner tells operators, as JSON.
use crate::admission::{AdmissionController, AdmissionView};
use crate::state::{idempotency_text, ClientFrameError, PlannerState, SubsetView, TaskCounts, MOST_ROWS};
use basaltpitch::host::Readiness;
use basaltpitch_agent::traffic::{FrameKind, Traffic};
use basaltpitch_agent::wire::Body;
use basaltpitch_ledger::{Attempt, AttemptState, RequestPhase};
use serde::Serialize;
use serde_json::Value;

/// A question that is not answered, with what was found and what was expected.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// A frame that is no question was not taken in.
    #[error(transparent)]
    Frame(#[from] ClientFrameError),
    /// A task that is not known here, or that the login may not see.
    #[error("task: found {0:?}; expected a key that is known here, of a task that this login may see")]
    UnknownTask(String),
    /// A question that there is not.
    #[error(
        "query: found {0:?}; expected planner, machines, tasks, task, tenants, tenant, members, why or directory"
    )]
    UnknownQuestion(String),
    /// A question about constraints that cannot be read.
    #[error("explain: found {0}; expected JSON with a key, or a framework and a service")]
    InvalidExplain(serde_json::Error),
    /// A task that constraints know nothing of.
    #[error("explain: found {0:?}; expected the key of a known task, and clauses in the settings")]
    UnexplainedTask(String),
    /// A question about tenants that the login may not ask, or that there is no answer to; the text says why.
    #[error("{0}")]
    Tenants(String),
}

impl QueryError {
    fn tenants(error: impl std::fmt::Display) -> Self {
        QueryError::Tenants(error.to_string())
    }
}

fn rounded(figure: f64) -> f64 {
    (figure * 1000.0).round() / 1000.0
}

/// A frame of a client's or operator's: a question is answered, all else is the planner's. `beside`: an object
/// with what is told of a planner beside what its state knows.
///
/// # Errors
/// The frame makes no sense, or its login may not send it; the connection is of no use then.
pub fn client_frame(
    state: &mut PlannerState,
    now: i64,
    conn: u64,
    body: Body,
    beside: impl FnOnce() -> Option<Value>,
) -> Result<(), QueryError> {
    let Body::Query(query) = body else { return Ok(state.client_frame(now, conn, body)?) };
    state.set_clock(now);
    let login = state.login(conn);
    let json = match query.what.as_str() {
        "explain" => explain(state, &login, &query.about)?,
        "planner" => {
            let mut answer = planner(state);
            if let (Value::Object(answer), Some(Value::Object(mut beside))) = (&mut answer, beside()) {
                answer.append(&mut beside);
            }
            answer.to_string()
        }
        what => answer(state, &login, what, &query.about)?,
    };
    state.reply_to(conn, json);
    Ok(())
}

/// Answers a question: `planner`, `machines`, `tasks` (all open and placed ones that the login may see),
/// `task` about one key, or one about tenants: `tenants`, `tenant`, `members`, `why` or `directory`.
///
/// # Errors
/// There is no such question, or no answer to it that the login may see.
pub fn answer(state: &PlannerState, login: &str, what: &str, about: &str) -> Result<String, QueryError> {
    let value = match what {
        "planner" => planner(state),
        "machines" => machines(state),
        "tasks" => tasks(state, login, None),
        "task" => match tasks(state, login, Some(about)) {
            Value::Array(rows) if rows.is_empty() => return Err(QueryError::UnknownTask(about.to_owned())),
            rows => rows,
        },
        "tenants" | "tenant" | "members" | "why" | "directory" => {
            state.tenancy().question(state.now(), login, what, about).map_err(QueryError::tenants)?
        }
        _ => return Err(QueryError::UnknownQuestion(what.to_owned())),
    };
    Ok(value.to_string())
}

/// What constraints say of a task. `about` is JSON: `key` of a known task, or `framework`, `tenant`, `service`
/// of one that might be; `machines` for each machine, too.
///
/// # Errors
/// The question cannot be read, or the login may not see the task.
pub fn explain(state: &mut PlannerState, login: &str, about: &str) -> Result<String, QueryError> {
    let question: Value = serde_json::from_str(about).map_err(QueryError::InvalidExplain)?;
    let text = |field: &str| question[field].as_str().unwrap_or("").to_owned();
    let facts = match question["key"].as_str() {
        Some(key) => {
            // By the tenant itself: its name of then may be another's by now.
            let sees = |tenant: Option<usize>| state.tenancy().sees(state.now(), login, tenant);
            let known = state.known_task_facts(key).filter(|known| sees(known.1));
            let (facts, _) = known.ok_or_else(|| QueryError::UnexplainedTask(key.to_owned()))?;
            (*facts).clone()
        }
        None => {
            let tenant = text("tenant");
            if !tenant.is_empty() {
                state.tenancy().may_see(state.now(), login, &tenant).map_err(QueryError::tenants)?;
            }
            basaltpitch_constraints::TaskAttributes {
                framework: text("framework"),
                tenant,
                service: question["service"].as_u64().unwrap_or(0),
                key: String::new(),
            }
        }
    };
    Ok(state.explain_constraints(&facts, question["machines"] == true).to_string())
}

/// What a planner says of itself.
#[derive(Serialize)]
struct PlannerView<'a> {
    name: &'a str,
    epoch: u64,
    #[serde(rename = "watches_list")]
    watching: bool,
    #[serde(rename = "open")]
    open_requests: usize,
    counts: TaskCounts,
    #[serde(rename = "part")]
    subset: Option<SubsetView>,
    #[serde(rename = "line")]
    admission: Option<AdmissionView>,
}

fn planner(state: &PlannerState) -> Value {
    to_json(PlannerView {
        name: &state.identity.name,
        epoch: state.identity.epoch,
        watching: state.is_watching(),
        open_requests: state.open_requests(),
        counts: state.counts,
        subset: state.subset_view(),
        admission: state.admission().map(AdmissionController::view),
    })
}

fn to_json(view: impl Serialize) -> Value {
    serde_json::to_value(view).expect("plain values")
}

/// What links carried of one kind of frame.
#[derive(Serialize)]
struct TrafficView {
    bytes_in: u64,
    bytes_out: u64,
    frames_in: u64,
    frames_out: u64,
}

/// What the links of a process carried since it began, by kind of frame.
pub fn traffic(traffic: &Traffic) -> Value {
    let row = |kind: FrameKind| {
        let count = traffic.count(kind);
        let row = TrafficView {
            bytes_in: count.bytes_in,
            bytes_out: count.bytes_out,
            frames_in: count.frames_in,
            frames_out: count.frames_out,
        };
        (kind.label().to_owned(), to_json(row))
    };
    Value::Object(FrameKind::ALL.into_iter().map(row).collect())
}

/// What is known of a machine.
#[derive(Serialize)]
struct MachineView<'a> {
    machine: &'a str,
    state: &'static str,
    link: &'static str,
    #[serde(rename = "role")]
    link_role: Option<&'static str>,
    #[serde(rename = "drains")]
    draining: bool,
    cores: f64,
    memory: f64,
    #[serde(rename = "c")]
    mean_cores: f64,
    #[serde(rename = "b")]
    cores_variance: f64,
    #[serde(rename = "ucac")]
    cores_at_confidence: f64,
    used_memory: f64,
    own: usize,
    report_ms_ago: Option<i64>,
    #[serde(rename = "cold_ms")]
    warming_up_ms: i64,
    #[serde(rename = "barred_ms")]
    ejected_ms: i64,
    #[serde(rename = "cold_budget_left")]
    may_launch: bool,
}

fn machines(state: &PlannerState) -> Value {
    let now = state.now();
    let ms_ago = |at: i64| (at > 0).then(|| (now - at) / 1000);
    let ms_left = |until: i64| ((until - now).max(0)) / 1000;
    let rows = state.machines().take(MOST_ROWS).map(|(machine, availability, estimate)| {
        let readiness = match availability.readiness() {
            Readiness::Ready => "ready",
            Readiness::Draining => "held back",
            Readiness::Gone => "gone",
        };
        to_json(MachineView {
            machine: state.machine_name(machine),
            state: readiness,
            link: availability.link.as_str(),
            link_role: state.link_role_text(machine),
            draining: availability.draining || availability.listed == Some(Readiness::Draining),
            cores: estimate.cores,
            memory: estimate.memory,
            mean_cores: rounded(estimate.mean_cores),
            cores_variance: rounded(estimate.cores_variance),
            cores_at_confidence: rounded(estimate.cores_at_confidence),
            used_memory: rounded(estimate.used_memory),
            own: estimate.own_tasks,
            report_ms_ago: ms_ago(estimate.reported_at),
            warming_up_ms: ms_left(estimate.slow_start_until),
            ejected_ms: ms_left(estimate.ejected_until),
            may_launch: estimate.may_launch,
        })
    });
    rows.collect()
}

/// What is known of an attempt.
#[derive(Serialize)]
struct AttemptView<'a> {
    machine: &'a str,
    #[serde(rename = "launch")]
    number: u64,
    epoch: u64,
    state: &'static str,
}

/// What is known of a task.
#[derive(Serialize)]
struct TaskView<'a> {
    key: &'a str,
    #[serde(rename = "ask")]
    request_id: u64,
    #[serde(rename = "kind")]
    idempotency: &'static str,
    framework: &'a str,
    tenant: Option<String>,
    tenant_was: Option<String>,
    cores: f64,
    memory: f64,
    service: u64,
    #[serde(rename = "state")]
    phase: String,
    #[serde(rename = "launches")]
    launch_count: u32,
    #[serde(rename = "copies")]
    attempts: Vec<AttemptView<'a>>,
}

fn phase_text(phase: RequestPhase) -> String {
    match phase {
        RequestPhase::Waiting => "waiting".to_owned(),
        RequestPhase::InFlight => "launched".to_owned(),
        RequestPhase::Placed => "placed".to_owned(),
        RequestPhase::Answered => "answered".to_owned(),
        RequestPhase::Over(event) => format!("over: {}", event.as_str()),
    }
}

fn attempt_view<'a>(state: &'a PlannerState, attempt: &Attempt) -> AttemptView<'a> {
    let attempt_state = match attempt.state {
        AttemptState::InFlight => "out",
        AttemptState::InDoubt => "in doubt",
        AttemptState::Active => "held",
        AttemptState::Stopping => "stopping",
    };
    AttemptView {
        machine: state.machine_name(attempt.machine),
        number: attempt.id.number,
        epoch: attempt.id.epoch,
        state: attempt_state,
    }
}

fn tasks(state: &PlannerState, login: &str, one: Option<&str>) -> Value {
    let (now, tenancy) = (state.now(), state.tenancy());
    let is_shown = |phase: RequestPhase| phase.is_open() || phase == RequestPhase::Placed;
    let records = state.ledger().records();
    let records = records.filter(|(key, record)| one.map_or(is_shown(record.phase), |one| &***key == one));
    let records = records.filter(|(_, record)| tenancy.sees(now, login, record.job.tenant));
    let rows = records.take(MOST_ROWS).map(|(key, record)| {
        let job = &record.job;
        to_json(TaskView {
            key,
            request_id: record.request_id,
            idempotency: idempotency_text(record.idempotency),
            framework: state.framework_name(job.framework),
            tenant: job.tenant.map(|tenant| tenancy.called(tenant).0),
            tenant_was: job.tenant.and_then(|tenant| tenancy.was(now, tenant)),
            cores: job.cores,
            memory: job.memory,
            service: job.service,
            phase: phase_text(record.phase),
            launch_count: record.launch_count,
            attempts: record.attempts.iter().map(|attempt| attempt_view(state, attempt)).collect(),
        })
    });
    rows.collect()
}
