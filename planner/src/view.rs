//! What a planner tells operators, as JSON.
use crate::state::{idempotency_text, PlannerState, MOST_ROWS};
use basaltpitch::host::Readiness;
use basaltpitch_agent::traffic::{FrameKind, Traffic};
use basaltpitch_agent::wire::Body;
use basaltpitch_ledger::{CopyState, Phase};
use serde_json::{json, Value};

fn rounded(x: f64) -> f64 {
    (x * 1000.0).round() / 1000.0
}

/// A frame of an owner's or operator's: a question is answered, all else is the core's. `beside`: an
/// object with what is told of a planner beside what its core knows. An error names field, what was found and
/// what was expected.
pub fn client_frame(
    core: &mut PlannerState,
    now: i64,
    conn: u64,
    body: Body,
    beside: impl FnOnce() -> Option<Value>,
) -> Result<(), String> {
    let Body::Query(q) = body else { return core.client_frame(now, conn, body) };
    core.set_clock(now);
    let login = core.login(conn);
    let json = match q.what.as_str() {
        "explain" => explain(core, &login, &q.about)?,
        "planner" => {
            let mut told = planner(core);
            if let (Value::Object(told), Some(Value::Object(mut beside))) = (&mut told, beside()) {
                told.append(&mut beside);
            }
            told.to_string()
        }
        what => answer(core, &login, what, &q.about)?,
    };
    core.reply_to(conn, json);
    Ok(())
}

/// Answers a question: `planner`, `machines`, `tasks` (all open and placed ones that the login may see),
/// `task` about one key, or one about tenants: `tenants`, `tenant`, `members`, `why` or `directory`.
pub fn answer(core: &PlannerState, login: &str, what: &str, about: &str) -> Result<String, String> {
    let value = match what {
        "planner" => planner(core),
        "machines" => machines(core),
        "tasks" => tasks(core, login, None),
        "task" => match tasks(core, login, Some(about)) {
            Value::Array(rows) if rows.is_empty() => {
                return Err(format!("task: found {about:?}; expected a key that is known here, of a task that this login may see"))
            }
            rows => rows,
        },
        "tenants" | "tenant" | "members" | "why" | "directory" => {
            core.tenancy().question(core.now(), login, what, about)?
        }
        _ => {
            return Err(format!(
                "query: found {what:?}; expected planner, machines, tasks, task, tenants, tenant, members, why or directory"
            ))
        }
    };
    Ok(value.to_string())
}

/// How clauses stand to a task. `about` is JSON: `key` of a known task, or `framework`, `tenant`, `service`
/// of one that might be; `machines` for each machine, too.
pub fn explain(core: &mut PlannerState, login: &str, about: &str) -> Result<String, String> {
    let asked: Value = serde_json::from_str(about)
        .map_err(|e| format!("explain: found {e}; expected JSON with a key, or a framework and a service"))?;
    let text = |field: &str| asked[field].as_str().unwrap_or("").to_owned();
    let facts = match asked["key"].as_str() {
        Some(key) => {
            let none = || {
                format!(
                    "explain: found {key:?}; expected the key of a known task, and clauses in the settings"
                )
            };
            // By the tenant itself: its name of then may be another's by now.
            let sees = |t: Option<usize>| core.tenancy().sees(core.now(), login, t);
            let (facts, _) = core.known_task_facts(key).filter(|x| sees(x.1)).ok_or_else(none)?;
            (*facts).clone()
        }
        None => {
            if !text("tenant").is_empty() {
                core.tenancy().may_see(core.now(), login, &text("tenant"))?;
            }
            basaltpitch_constraints::TaskAttributes {
                framework: text("framework"),
                tenant: text("tenant"),
                service: asked["service"].as_u64().unwrap_or(0),
                key: String::new(),
            }
        }
    };
    Ok(core.explain_constraints(&facts, asked["machines"] == true).to_string())
}

fn planner(core: &PlannerState) -> Value {
    json!({
        "name": core.identity.name,
        "epoch": core.identity.epoch,
        "watches_list": core.is_watching(),
        "open": core.ledger().open(),
        "counts": core.counts,
        "part": core.subset_view(),
        "line": core.admission().map(|admission| admission.view()),
    })
}

/// What the links of a process carried since it began, by kind of frame.
pub fn traffic(traffic: &Traffic) -> Value {
    let row = |kind: FrameKind| {
        let c = traffic.count(kind);
        let row = json!({
            "bytes_in": c.bytes_in, "bytes_out": c.bytes_out,
            "frames_in": c.frames_in, "frames_out": c.frames_out,
        });
        (kind.label().to_owned(), row)
    };
    Value::Object(FrameKind::ALL.into_iter().map(row).collect())
}

fn machines(core: &PlannerState) -> Value {
    let now = core.now();
    let ms = |at: i64| if at > 0 { json!((now - at) / 1000) } else { Value::Null };
    let left = |until: i64| ((until - now).max(0)) / 1000;
    let rows = core.machines().take(MOST_ROWS).map(|(m, s, b)| {
        let ready = match s.readiness() {
            Readiness::Ready => "ready",
            Readiness::Draining => "held back",
            Readiness::Gone => "gone",
        };
        json!({
            "machine": core.machine_name(m),
            "state": ready,
            "link": s.link.as_str(),
            "role": core.link_role_text(m),
            "drains": s.draining || s.listed == Some(Readiness::Draining),
            "cores": b.cores, "memory": b.memory,
            "c": rounded(b.mean_cores), "b": rounded(b.cores_variance), "ucac": rounded(b.cores_at_confidence),
            "used_memory": rounded(b.used_memory),
            "own": b.own_tasks,
            "report_ms_ago": ms(b.reported_at),
            "cold_ms": left(b.slow_start_until),
            "barred_ms": left(b.ejected_until),
            "cold_budget_left": b.may_launch,
        })
    });
    rows.collect()
}

fn tasks(core: &PlannerState, login: &str, one: Option<&str>) -> Value {
    let (now, tenancy) = (core.now(), core.tenancy());
    let shown = |phase: Phase| phase.is_open() || phase == Phase::Placed;
    let rows = core.ledger().records().filter(|(key, r)| one.map_or(shown(r.phase), |k| &***key == k));
    let rows = rows.filter(|(_, r)| tenancy.sees(now, login, r.job.tenant));
    let rows = rows.take(MOST_ROWS).map(|(key, r)| {
        let state = match r.phase {
            Phase::Waiting => "waiting".to_owned(),
            Phase::Out => "launched".to_owned(),
            Phase::Placed => "placed".to_owned(),
            Phase::Answered => "answered".to_owned(),
            Phase::Over(how) => format!("over: {how:?}").to_lowercase(),
        };
        let copies = r.copies.iter().map(|c| {
            let state = match c.state {
                CopyState::Out => "out",
                CopyState::Doubt => "in doubt",
                CopyState::Held => "held",
                CopyState::Stopping => "stopping",
            };
            json!({"machine": core.machine_name(c.machine), "launch": c.launch.number, "epoch": c.launch.epoch, "state": state})
        });
        json!({
            "key": &**key,
            "ask": r.ask,
            "kind": idempotency_text(r.kind),
            "framework": core.framework_name(r.job.framework),
            "tenant": r.job.tenant.map(|t| tenancy.called(t).0),
            "tenant_was": r.job.tenant.and_then(|t| tenancy.was(now, t)),
            "cores": r.job.cores, "memory": r.job.memory, "service": r.job.service,
            "state": state,
            "launches": r.launches,
            "copies": copies.collect::<Vec<_>>(),
        })
    });
    rows.collect()
}
