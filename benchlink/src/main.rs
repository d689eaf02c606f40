//! Speaks the bench's wire for any number of planners: decodes each line, maps ids to small indices,
//! calls the planner's method for that event, and writes its calls back. It decides nothing.
use basaltpitch::host::{AttemptOutcome, Host, Readiness};
use basaltpitch::placement::Planner;
use basaltpitch_interner::{fnv1a_64, IdAllocator};
use basaltpitch_json_fields::{flatten, names, Fields, NameLists};
use serde_json::Value;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// One planner's side of the wire: its ids, and the lines it wants written.
#[derive(Default)]
struct Line {
    who: u64,
    text: String,
    tasks: IdAllocator<String>,
    machines: IdAllocator<String>,
    services: IdAllocator<u64>,
    /// Per task: launches without an outcome, and whether it has had its final answer.
    out: Vec<u32>,
    over: Vec<bool>,
    names: NameLists,
}

impl Line {
    fn put(&mut self, action: &str) {
        let _ = write!(self.text, "{{\"type\":\"{action}\",\"who\":{}", self.who);
    }

    fn for_task(&mut self, action: &str, task: usize) {
        self.put(action);
        let _ = write!(self.text, ",\"opId\":\"{}\"", self.tasks.id(task));
    }

    fn for_machine(&mut self, machine: usize) {
        let name = Value::from(self.machines.id(machine).as_str());
        let _ = write!(self.text, ",\"machine\":{name}");
    }

    fn with_text(&mut self, action: &str, text: &str) {
        self.put(action);
        let _ = writeln!(self.text, ",\"bodyText\":{}}}", Value::from(text));
    }

    fn enter_task(&mut self, id: String, out: u32) -> usize {
        let at = self.tasks.intern(id);
        if at >= self.out.len() {
            self.out.resize(at + 1, 0);
            self.over.resize(at + 1, false);
        }
        self.out[at] = out;
        self.over[at] = false;
        at
    }

    /// Marks the final answer, and frees the index where no launch is out any more.
    fn close(&mut self, task: usize) {
        self.over[task] = true;
        if self.out[task] == 0 {
            self.tasks.release(task);
        }
    }
}

impl Host for Line {
    fn launch(&mut self, task: usize, machine: usize, timeout_us: i64) {
        self.out[task] += 1;
        self.for_task("put", task);
        self.for_machine(machine);
        let _ = writeln!(self.text, ",\"capUs\":{timeout_us}}}");
    }

    fn cancel(&mut self, task: usize, launch: u32) {
        self.for_task("cancel", task);
        let _ = writeln!(self.text, ",\"sendNo\":{launch}}}");
    }

    fn reject(&mut self, task: usize, retry_after_us: i64) {
        self.for_task("deny", task);
        let _ = writeln!(self.text, ",\"comeBackUs\":{retry_after_us}}}");
        self.close(task);
    }

    fn abort(&mut self, task: usize) {
        self.for_task("lose", task);
        self.text.push_str("}\n");
        self.close(task);
    }

    fn evict(&mut self, task: usize) {
        self.for_task("reassign", task);
        self.text.push_str("}\n");
        self.close(task);
    }

    fn probe(&mut self, machine: usize) {
        self.put("test");
        self.for_machine(machine);
        self.text.push_str("}\n");
    }

    fn watch_list(&mut self, on: bool) {
        self.put("follow");
        let _ = writeln!(self.text, ",\"on\":{on}}}");
    }

    fn fetch_list(&mut self) {
        self.put("resolve");
        self.text.push_str("}\n");
    }

    fn set_timer(&mut self, after_us: i64, token: u64) {
        self.put("setAlarm");
        let _ = writeln!(self.text, ",\"fromNowUs\":{after_us},\"ref\":{token}}}");
    }

    fn log(&mut self, text: &str) {
        self.with_text("print", text);
    }
}

fn report(f: &Fields) -> Result<Vec<f64>, String> {
    let row = f.optional("gauge", |v| v.as_array()?.iter().map(Value::as_f64).collect())?;
    Ok(row.unwrap_or_default())
}

fn outcome(f: &Fields) -> Result<AttemptOutcome, String> {
    Ok(match f.integer("verdict")? {
        0 => AttemptOutcome::Ended,
        5 => AttemptOutcome::Error,
        11 => AttemptOutcome::Full,
        110 => AttemptOutcome::TimedOut,
        111 => AttemptOutcome::ConnectFailed,
        104 => AttemptOutcome::Reset,
        125 => AttemptOutcome::Cancelled,
        114 => AttemptOutcome::Moot,
        _ => return Err("field 'verdict' is none of the known outcomes".into()),
    })
}

#[derive(Default)]
struct Wire {
    now: i64,
    planners: HashMap<u64, Planner<Line>>,
    sheets: HashMap<i64, Vec<Value>>,
    reply: String,
}

impl Wire {
    /// Handles one line; true once the batch is complete and the reply is ready.
    fn read(&mut self, line: &str) -> Result<bool, String> {
        let message: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
        let f = Fields(&message);
        let kind = f.string("type")?;
        let named = |e: String| format!("message '{kind}': {e}");
        match kind.as_str() {
            "sync" => self.now = f.integer("wallUs").map_err(named)?,
            "flush" => return Ok(true),
            "sheet" => {
                let entries = f.get("entries", |v| v.as_array().cloned()).map_err(named)?;
                self.sheets.insert(f.integer("sheet").map_err(named)?, entries);
            }
            _ => {
                let who = f.get("who", Value::as_u64).map_err(named)?;
                self.event(&kind, who, &f).map_err(named)?;
            }
        }
        Ok(false)
    }

    fn event(&mut self, kind: &str, who: u64, f: &Fields) -> Result<(), String> {
        if kind == "configure" {
            let config = f.get("config", |v| v.is_object().then(|| v.clone()))?;
            let given = flatten(&config);
            let line = Line { who, names: names(&config), ..Line::default() };
            let seed = f.get("salt", |v| v.as_u64().or_else(|| v.as_i64().map(|n| n as u64)))?;
            let mut planner = Planner::new(line, seed, self.now, given);
            self.reply.push_str(&std::mem::take(&mut planner.host.text));
            self.planners.insert(who, planner);
            return Ok(());
        }
        if kind == "crashNow" {
            self.planners.remove(&who).map(drop).ok_or("instance was never configured")?;
            return Ok(());
        }
        let planner = self.planners.get_mut(&who).ok_or("instance was never configured")?;
        let (now, sheets) = (self.now, &self.sheets);
        match catch_unwind(AssertUnwindSafe(|| hand_over(planner, now, sheets, kind, f))) {
            Ok(result) => result?,
            Err(cause) => {
                let text = cause.downcast_ref::<String>().cloned();
                let text = text.or_else(|| cause.downcast_ref::<&str>().map(|s| (*s).to_owned()));
                planner.host.with_text("giveIn", &text.unwrap_or_else(|| "panic".into()));
            }
        }
        self.reply.push_str(&std::mem::take(&mut planner.host.text));
        Ok(())
    }
}

/// Calls the planner's method for one event with the decoded fields.
fn hand_over(
    p: &mut Planner<Line>,
    now: i64,
    sheets: &HashMap<i64, Vec<Value>>,
    kind: &str,
    f: &Fields,
) -> Result<(), String> {
    p.set_clock(now);
    match kind {
        "membership" => {
            let how = f.string("how")?;
            if how == "lost" {
                p.list_lost();
                return Ok(());
            }
            let sheet = sheets.get(&f.integer("sheet")?).ok_or("field 'sheet' names no list")?;
            match how.as_str() {
                "incr" => p.list_started(false, true),
                "total" => p.list_started(true, true),
                "warm_copy" => p.list_started(true, false),
                _ => return Err("field 'how' is none of the known kinds".into()),
            }
            for entry in sheet {
                let e = Fields(entry);
                let readiness = match e.string("readiness")?.as_str() {
                    "ready" => Readiness::Ready,
                    "draining" => Readiness::Draining,
                    "gone" => Readiness::Gone,
                    _ => return Err("field 'readiness' is none of the known states".into()),
                };
                let machine = p.host.machines.intern(e.string("machine")?);
                let zone = e.optional_name_index("az", "localities", &p.host.names)?.unwrap_or(0);
                let kind = e.name_index("model", "machineTypes", &p.host.names)?;
                let cell = e.optional("bay", Value::as_u64)?.unwrap_or(0) as usize;
                let started = e.optional("startedAtUs", Value::as_i64)?.unwrap_or(0);
                let left = |name| Ok::<f64, String>(e.optional(name, Value::as_f64)?.unwrap_or(0.0));
                let left = (left("cpuLeft")?, left("memLeft")?);
                p.set_machine_number(machine, fnv1a_64(p.host.machines.id(machine)));
                p.machine_listed(machine, (kind, zone, cell), readiness, started, left);
            }
            p.list_finished();
        }
        "wanted" | "found" => {
            let framework = f.name_index("priority", "classes", &p.host.names)?;
            let tenant = f.optional_name_index("account", "tenants", &p.host.names)?;
            let service = f.get("deployment", Value::as_u64)?;
            let asks = (f.number("cpuAsk")?, f.number("memory")?);
            let time_left = f.integer("expiresInUs")?;
            let id = f.string("opId")?;
            let number = service;
            let service = p.host.services.intern(service);
            p.set_service_number(service, number);
            if kind == "wanted" {
                let task = p.host.enter_task(id, 0);
                p.task_requested(task, framework, tenant, service, asks, time_left);
            } else {
                let machine = p.host.machines.intern(f.string("machine")?);
                let task = p.host.enter_task(id, 1);
                p.running_task_found(task, framework, tenant, service, asks, machine);
            }
        }
        "expired" => {
            if let Some(task) = p.host.tasks.index_of(&f.string("opId")?) {
                p.task_expired(task);
                p.host.close(task);
            }
        }
        "accepted" | "interim" | "resolved" => {
            let task = p.host.tasks.index_of(&f.string("opId")?).ok_or("field 'opId' names no open task")?;
            match kind {
                "accepted" => p.attempt_accepted(task),
                "interim" => p.task_status(task, f.integer("sort")?, f.number("level")?),
                _ => {
                    let over = f.flag("noMore")?;
                    let why = f.optional("info", Value::as_i64)?.unwrap_or(0);
                    let (outcome, report) = (outcome(f)?, report(f)?);
                    p.host.out[task] = p.host.out[task].saturating_sub(1);
                    p.attempt_ended(task, outcome, why, over, &report);
                    if over || p.host.over[task] {
                        p.host.close(task);
                    }
                }
            }
        }
        "elapsed" => p.timer_fired(f.get("ref", Value::as_u64)?),
        "checked" => {
            let machine = p.host.machines.intern(f.string("machine")?);
            p.probe_finished(machine, outcome(f)?, &report(f)?);
        }
        "memo" => {}
        _ => return Err("unknown message type".into()),
    }
    Ok(())
}

fn main() {
    std::panic::set_hook(Box::new(|_| {}));
    let mut wire = Wire::default();
    let mut out = std::io::stdout().lock();
    for (count, line) in std::io::stdin().lock().lines().enumerate() {
        let done = line.map_err(|e| e.to_string()).and_then(|text| {
            if text.trim().is_empty() {
                return Ok(false);
            }
            wire.read(&text)
        });
        match done {
            Ok(false) => {}
            Ok(true) => {
                wire.reply.push_str("{\"type\":\"finished\"}\n");
                if out.write_all(wire.reply.as_bytes()).and_then(|()| out.flush()).is_err() {
                    std::process::exit(1);
                }
                wire.reply.clear();
            }
            Err(text) => {
                eprintln!("line {}: {text}", count + 1);
                std::process::exit(2);
            }
        }
    }
}
