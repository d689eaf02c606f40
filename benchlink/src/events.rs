//! Decodes the simulator's events and calls the planner's method for each.
use crate::error::MessageError;
use crate::instance_host::InstanceHost;
use basaltpitch::host::{AttemptOutcome, Readiness};
use basaltpitch::placement::Planner;
use basaltpitch_interner::fnv1a_64;
use basaltpitch_json_fields::Fields;
use serde_json::Value;
use std::collections::HashMap;

/// Entries of the machine lists, by list number.
pub type MachineLists = HashMap<i64, Vec<Value>>;

/// Decodes one event and calls the planner's method for it. `kind` is the message's `type`.
///
/// # Errors
/// When the type is unknown, or a field is missing, mistyped or refers to something unknown.
pub fn dispatch(
    planner: &mut Planner<InstanceHost>,
    lists: &MachineLists,
    kind: &str,
    fields: &Fields,
) -> Result<(), MessageError> {
    match kind {
        "membership" => machine_list(planner, lists, fields)?,
        "wanted" | "found" => task(planner, kind, fields)?,
        "expired" => {
            if let Some(task) = planner.host.tasks.index_of(&fields.string("opId")?) {
                planner.task_expired(task);
                planner.host.close_task(task);
            }
        }
        "accepted" | "interim" | "resolved" => {
            let task = planner.host.tasks.index_of(&fields.string("opId")?);
            let task = task.ok_or(MessageError::UnknownTask)?;
            match kind {
                "accepted" => planner.attempt_accepted(task),
                "interim" => planner.task_status(task, fields.integer("sort")?, fields.number("level")?),
                _ => attempt_ended(planner, task, fields)?,
            }
        }
        "elapsed" => planner.timer_fired(fields.get("ref", Value::as_u64)?),
        "checked" => {
            let machine = planner.host.machines.intern(fields.string("machine")?);
            planner.probe_finished(machine, outcome(fields)?, &report(fields)?);
        }
        "memo" => {}
        _ => return Err(MessageError::UnknownType),
    }
    Ok(())
}

/// Handles an update of the machine list, or its loss.
fn machine_list(
    planner: &mut Planner<InstanceHost>,
    lists: &MachineLists,
    fields: &Fields,
) -> Result<(), MessageError> {
    let how = fields.string("how")?;
    if how == "lost" {
        planner.list_lost();
        return Ok(());
    }
    let entries = lists.get(&fields.integer("sheet")?).ok_or(MessageError::UnknownList)?;
    match how.as_str() {
        "incr" => planner.list_started(false, true),
        "total" => planner.list_started(true, true),
        "warm_copy" => planner.list_started(true, false),
        _ => return Err(MessageError::UnknownListKind),
    }
    for entry in entries {
        list_entry(planner, &Fields(entry))?;
    }
    planner.list_finished();
    Ok(())
}

/// Handles one entry of a machine list. Absent optional fields count as 0.
fn list_entry(planner: &mut Planner<InstanceHost>, entry: &Fields) -> Result<(), MessageError> {
    let readiness = match entry.string("readiness")?.as_str() {
        "ready" => Readiness::Ready,
        "draining" => Readiness::Draining,
        "gone" => Readiness::Gone,
        _ => return Err(MessageError::UnknownReadiness),
    };
    let machine = planner.host.machines.intern(entry.string("machine")?);
    let zone = entry.optional_name_index("az", "localities", &planner.host.names)?.unwrap_or(0);
    let kind = entry.name_index("model", "machineTypes", &planner.host.names)?;
    let cell = entry.optional("bay", Value::as_u64)?.unwrap_or(0) as usize;
    let started_at = entry.optional("startedAtUs", Value::as_i64)?.unwrap_or(0);
    let cores = entry.optional("cpuLeft", Value::as_f64)?.unwrap_or(0.0);
    let memory = entry.optional("memLeft", Value::as_f64)?.unwrap_or(0.0);
    planner.set_machine_number(machine, fnv1a_64(planner.host.machines.id(machine)));
    planner.machine_listed(machine, (kind, zone, cell), readiness, started_at, (cores, memory));
    Ok(())
}

/// Handles the request of a task (`wanted`), or a task that was found running (`found`).
fn task(planner: &mut Planner<InstanceHost>, kind: &str, fields: &Fields) -> Result<(), MessageError> {
    let framework = fields.name_index("priority", "classes", &planner.host.names)?;
    let tenant = fields.optional_name_index("account", "tenants", &planner.host.names)?;
    let number = fields.get("deployment", Value::as_u64)?;
    let demand = (fields.number("cpuAsk")?, fields.number("memory")?);
    let time_left_us = fields.integer("expiresInUs")?;
    let id = fields.string("opId")?;
    let service = planner.host.services.intern(number);
    planner.set_service_number(service, number);
    if kind == "wanted" {
        let task = planner.host.open_task(id, 0);
        planner.task_requested(task, framework, tenant, service, demand, time_left_us);
    } else {
        let machine = planner.host.machines.intern(fields.string("machine")?);
        let task = planner.host.open_task(id, 1);
        planner.running_task_found(task, framework, tenant, service, demand, machine);
    }
    Ok(())
}

/// Handles the end of a task's attempt, and closes the task if it has its final answer.
fn attempt_ended(
    planner: &mut Planner<InstanceHost>,
    task: usize,
    fields: &Fields,
) -> Result<(), MessageError> {
    let is_final = fields.flag("noMore")?;
    let reason = fields.optional("info", Value::as_i64)?.unwrap_or(0);
    let (outcome, report) = (outcome(fields)?, report(fields)?);
    planner.host.close_attempt(task);
    planner.attempt_ended(task, outcome, reason, is_final, &report);
    if is_final || planner.host.is_answered(task) {
        planner.host.close_task(task);
    }
    Ok(())
}

/// Returns a machine's usage report, empty if the message has none.
fn report(fields: &Fields) -> Result<Vec<f64>, MessageError> {
    let values = fields.optional("gauge", |value| value.as_array()?.iter().map(Value::as_f64).collect())?;
    Ok(values.unwrap_or_default())
}

/// Returns the outcome of an attempt or probe from its code.
fn outcome(fields: &Fields) -> Result<AttemptOutcome, MessageError> {
    Ok(match fields.integer("verdict")? {
        0 => AttemptOutcome::Ended,
        5 => AttemptOutcome::Error,
        11 => AttemptOutcome::Refused,
        110 => AttemptOutcome::TimedOut,
        111 => AttemptOutcome::ConnectFailed,
        104 => AttemptOutcome::Reset,
        125 => AttemptOutcome::Cancelled,
        114 => AttemptOutcome::NotSent,
        _ => return Err(MessageError::UnknownOutcome),
    })
}
