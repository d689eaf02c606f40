//! The JSON answers of a planner to operators' queries.
use crate::admission::{AdmissionController, AdmissionView};
use crate::state::{idempotency_text, ClientFrameError, PlannerState, SubsetView, TaskCounts, MAX_ROWS};
use basaltpitch::host::Readiness;
use basaltpitch_agent::traffic::{FrameKind, Traffic};
use basaltpitch_agent::wire::Body;
use basaltpitch_ledger::{Attempt, AttemptState, RequestPhase};
use serde::Serialize;
use serde_json::Value;

/// Why a client's or operator's frame is not answered; the text goes to the client.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// A frame other than a query was rejected.
    #[error(transparent)]
    Frame(#[from] ClientFrameError),
    /// The task is not known here, or the login may not see it.
    #[error("task: found {0:?}; expected a key that is known here, of a task that this login may see")]
    UnknownTask(String),
    /// There is no query of this name.
    #[error(
        "query: found {0:?}; expected planner, machines, tasks, task, tenants, tenant, members, why or directory"
    )]
    UnknownQuery(String),
    /// The JSON of an `explain` query is not valid.
    #[error("explain: found {0}; expected JSON with a key, or a framework and a service")]
    InvalidExplain(serde_json::Error),
    /// The task of an `explain` query is not known, the login may not see it, or the installation
    /// has no constraints.
    #[error("explain: found {0:?}; expected the key of a known task, and clauses in the settings")]
    UnexplainedTask(String),
    /// A query about tenants that the login may not make, or that has no answer; the text says why.
    #[error("{0}")]
    Tenants(String),
}

impl QueryError {
    fn tenants(error: impl std::fmt::Display) -> Self {
        QueryError::Tenants(error.to_string())
    }
}

fn rounded(number: f64) -> f64 {
    (number * 1000.0).round() / 1000.0
}

/// Handles a frame of a client or an operator: answers queries, and passes all other frames to the
/// planner's state. `extra_fields` returns a JSON object with further fields for the answer to
/// `planner`.
///
/// # Errors
/// The frame is invalid, or the login of its connection may not send it; the caller closes the
/// connection.
pub fn client_frame(
    state: &mut PlannerState,
    now: i64,
    conn: u64,
    body: Body,
    extra_fields: impl FnOnce() -> Option<Value>,
) -> Result<(), QueryError> {
    let Body::Query(query) = body else { return Ok(state.client_frame(now, conn, body)?) };
    state.set_clock(now);
    let login = state.login(conn);
    let json = match query.what.as_str() {
        "explain" => explain(state, &login, &query.about)?,
        "planner" => {
            let mut answer = planner(state);
            if let (Value::Object(answer), Some(Value::Object(mut extra))) = (&mut answer, extra_fields()) {
                answer.append(&mut extra);
            }
            answer.to_string()
        }
        what => answer(state, &login, what, &query.about)?,
    };
    state.answer_operator(conn, json);
    Ok(())
}

/// Answers a query: `planner`, `machines`, `tasks` (the open and placed tasks that the login may
/// see), `task` for the task with the key `about`, or a query about tenants: `tenants`, `tenant`,
/// `members`, `why` or `directory`.
///
/// # Errors
/// There is no such query, or no answer that the login may see.
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
            state.tenancy().answer_query(state.now(), login, what, about).map_err(QueryError::tenants)?
        }
        _ => return Err(QueryError::UnknownQuery(what.to_owned())),
    };
    Ok(value.to_string())
}

/// Explains which constraints apply to a task. `about` is a JSON object with the `key` of a known
/// task, or with the `framework`, `tenant` and `service` of a hypothetical one. With `machines` set
/// to true, the answer also lists for each machine the constraints that forbid it.
///
/// # Errors
/// `about` is not valid JSON, or the login may not see the task.
pub fn explain(state: &mut PlannerState, login: &str, about: &str) -> Result<String, QueryError> {
    let query: Value = serde_json::from_str(about).map_err(QueryError::InvalidExplain)?;
    let text = |field: &str| query[field].as_str().unwrap_or("").to_owned();
    let attributes = match query["key"].as_str() {
        Some(key) => {
            // Permission is checked by the tenant's index: another tenant may have its former name
            // by now.
            let sees = |tenant: Option<usize>| state.tenancy().can_see(state.now(), login, tenant);
            let known = state.known_task_attributes(key).filter(|known| sees(known.1));
            let (attributes, _) = known.ok_or_else(|| QueryError::UnexplainedTask(key.to_owned()))?;
            (*attributes).clone()
        }
        None => {
            let tenant = text("tenant");
            if !tenant.is_empty() {
                state.tenancy().check_visibility(state.now(), login, &tenant).map_err(QueryError::tenants)?;
            }
            basaltpitch_constraints::TaskAttributes {
                framework: text("framework"),
                tenant,
                service: query["service"].as_u64().unwrap_or(0),
                key: String::new(),
            }
        }
    };
    Ok(state.explain_constraints(&attributes, query["machines"] == true).to_string())
}

/// The answer to the query `planner`.
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
    serde_json::to_value(view).expect("a view serializes to JSON")
}

/// The traffic of one kind of frame.
#[derive(Serialize)]
struct TrafficView {
    bytes_in: u64,
    bytes_out: u64,
    frames_in: u64,
    frames_out: u64,
}

/// Returns the traffic on the links of this process since its start, by kind of frame.
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

/// A machine, as shown to operators.
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
    let rows = state.machines().take(MAX_ROWS).map(|(machine, availability, estimate)| {
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

/// An attempt, as shown to operators.
#[derive(Serialize)]
struct AttemptView<'a> {
    machine: &'a str,
    #[serde(rename = "launch")]
    number: u64,
    epoch: u64,
    state: &'static str,
}

/// A task, as shown to operators.
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

/// Returns the task with the key `only_key`, or all open and placed tasks if no key is given. Tasks
/// that the login may not see are left out.
fn tasks(state: &PlannerState, login: &str, only_key: Option<&str>) -> Value {
    let (now, tenancy) = (state.now(), state.tenancy());
    let is_shown = |phase: RequestPhase| phase.is_open() || phase == RequestPhase::Placed;
    let records = state.ledger().records();
    let records = records
        .filter(|(key, record)| only_key.map_or(is_shown(record.phase), |only_key| &***key == only_key));
    let records = records.filter(|(_, record)| tenancy.can_see(now, login, record.job.tenant));
    let rows = records.take(MAX_ROWS).map(|(key, record)| {
        let job = &record.job;
        to_json(TaskView {
            key,
            request_id: record.request_id,
            idempotency: idempotency_text(record.idempotency),
            framework: state.framework_name(job.framework),
            tenant: job.tenant.map(|tenant| tenancy.tenant_name_and_id(tenant).0),
            tenant_was: job.tenant.and_then(|tenant| tenancy.previous_name(now, tenant)),
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
