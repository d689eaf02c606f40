//! What a run found: what processes used, what planners carried, and what became of the load.
use super::{rounded, Reading, ScaleRun};
use crate::measure_scale::progress;
use crate::processes::Usage;
use basaltpitch_testbed::scale::traffic::{FrameCount, Traffic, KINDS};
use serde_json::{json, Map, Value};
use std::io;
use std::time::{Duration, Instant};

/// The target for the time to start of the urgent framework, at 99.9 %.
const URGENT_MS: u64 = 2400;
/// The longest limit of a request, and its grace.
const OPEN_TIMEOUT: Duration = Duration::from_secs(13);
/// How long machines that restarted may take to be linked anew, and slots that moved to be taken.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Sums over all machines at the end of the measured time.
struct MachineSums {
    running: u64,
    absent: u64,
    links: u64,
    refused: u64,
}

impl ScaleRun {
    /// The measured time is over: all that was found.
    pub async fn end(&mut self, before: Reading) -> io::Result<Value> {
        let now = self.read().await?;
        let sums = MachineSums {
            running: self.machine_sum("running").await?,
            absent: self.machine_sum("others").await?,
            links: self.machine_sum("links").await?,
            refused: self.machine_sum("refused").await?,
        };
        let load = self.stop_clients().await?;
        let (linked, holders) = self.settle().await?;
        let seconds = (now.at - before.at).as_secs_f64();
        let (traffic, planner_traffic) = traffic_of(&before, &now, seconds);
        let (load, answers) = load_of(&load);
        let sum = |field: &str| answers[field].as_u64().unwrap_or(0);
        let answered = sum("asked") == sum("answered") && sum("again") == 0 && sum("asked") > 0;
        let (mut adds_up, mut planners_add_up) = (None, None);
        if self.measure.counters {
            adds_up = Some(self.adds_up().await?);
            planners_add_up = self.planners_add_up().await?;
        }
        Ok(json!({
            "roles": roles_of(&before, &now, seconds),
            "traffic": traffic,
            "planner_traffic": planner_traffic,
            "load": load,
            "laws": {
                "seats_taken": holders, "all_seated": holders == self.measure.planners,
                "machines_linked": linked, "all_machines_linked": linked == self.measure.machines,
                "asked": answers["asked"], "answered": answers["answered"],
                "answered_again": answers["again"], "one_answer_a_task": answered,
                "counters_add_up": adds_up, "planners_counters_add_up": planners_add_up,
            },
            "seen": self.seen(&before, &now, &sums),
        }))
    }

    /// Nothing is submitted any more; what clients report once nothing is open.
    async fn stop_clients(&mut self) -> io::Result<Vec<Value>> {
        for clients in &mut self.clients {
            clients.send_command("stop").await?;
        }
        progress("what is open ends");
        let until = Instant::now() + OPEN_TIMEOUT;
        loop {
            let mut load = Vec::new();
            for clients in &mut self.clients {
                load.push(clients.request("tell").await?);
            }
            if load.iter().all(|report| report["open"] == 0) || Instant::now() > until {
                return Ok(load);
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Waits until machines that restarted at the end are linked anew, and slots that moved are taken: how
    /// many are.
    async fn settle(&mut self) -> io::Result<(usize, usize)> {
        let until = Instant::now() + SETTLE_TIMEOUT;
        let (mut linked, mut holders) = (self.linked().await?, self.holders().await?);
        while (linked < self.measure.machines || holders < self.measure.planners) && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(250)).await;
            (linked, holders) = (self.linked().await?, self.holders().await?);
        }
        Ok((linked, holders))
    }

    fn seen(&self, before: &Reading, now: &Reading, sums: &MachineSums) -> Value {
        let seconds = (now.at - before.at).as_secs_f64();
        let busy = (now.machine_cpu_s - before.machine_cpu_s) / seconds;
        let own = (now.used_s() - before.used_s()) / seconds;
        json!({
            "all_seated_after_s": rounded(self.seats_after_s, 10.0),
            "seated_again_after_s": self.reseated_s,
            "seats_that_moved": self.moved,
            "running": sums.running,
            "running_of_hollow_planners": sums.absent,
            "links_a_machine": rounded(sums.links as f64 / self.measure.machines as f64, 100.0),
            "urgent_target_ms": URGENT_MS,
            "refused_by_machines": sums.refused,
            "measured_s": rounded(seconds, 10.0),
            "most_mib": self.most_mib.round(),
            "cores_busy": rounded(busy, 100.0),
            "cores_busy_by_others": rounded((busy - own).max(0.0), 100.0),
        })
    }
}

/// By role: mean and largest of what a process used.
fn roles_of(before: &Reading, now: &Reading, seconds: f64) -> Value {
    let row = |(role, all): &(&str, Vec<Option<Usage>>), was: &[Option<Usage>]| {
        let both: Vec<(Usage, Usage)> =
            all.iter().zip(was).filter_map(|(a, b)| Some(((*a)?, (*b)?))).collect();
        let count = both.len().max(1) as f64;
        let cpu: Vec<f64> = both.iter().map(|(a, b)| (a.cpu_s - b.cpu_s) / seconds * 100.0).collect();
        let most = |of: &mut dyn Iterator<Item = f64>| of.fold(0.0, f64::max);
        json!({
            "role": role, "processes": both.len(),
            "cpu_percent": rounded(cpu.iter().sum::<f64>() / count, 100.0),
            "cpu_percent_most": rounded(most(&mut cpu.iter().copied()), 100.0),
            "mib": rounded(both.iter().map(|b| b.0.mib).sum::<f64>() / count, 10.0),
            "mib_most": rounded(most(&mut both.iter().map(|b| b.0.mib)), 10.0),
            "descriptors_most": both.iter().map(|b| b.0.descriptors).max().unwrap_or(0),
        })
    };
    now.used.iter().zip(&before.used).map(|(now, was)| row(now, &was.1)).collect()
}

/// Of real planners that had a slot all the while, a second: a row a kind with mean and largest, and all of
/// each planner. `control` is all but tasks.
fn traffic_of(before: &Reading, now: &Reading, seconds: f64) -> (Value, Value) {
    let carried = |(planner, traffic): (&'_ (String, usize), &Traffic)| {
        Some((planner.0.clone(), traffic.since(before.traffic.get(planner)?)))
    };
    let each: Vec<(String, Traffic)> = now.traffic.iter().filter_map(carried).collect();
    let count = each.len().max(1) as f64;
    let row = |name: &str, included: &dyn Fn(&str) -> bool| {
        let all: Vec<(u64, u64)> = each.iter().map(|(_, traffic)| sum_of(traffic, included)).collect();
        let mean = |part: fn(&(u64, u64)) -> u64| {
            rounded(all.iter().map(part).sum::<u64>() as f64 / count / seconds, 10.0)
        };
        let most = all.iter().map(|sum| sum.0).max().unwrap_or(0) as f64 / seconds;
        json!({"kind": name, "bytes_a_s": mean(|sum| sum.0), "bytes_a_s_most": rounded(most, 10.0),
            "frames_a_s": mean(|sum| sum.1)})
    };
    let mut rows: Vec<Value> = KINDS.iter().map(|kind| row(kind, &|other| other == *kind)).collect();
    rows.push(row("control", &|kind| kind != "tasks"));
    let planners: Map<String, Value> =
        each.iter().map(|(planner, traffic)| (planner.clone(), traffic.view())).collect();
    (Value::Array(rows), Value::Object(planners))
}

/// Bytes and frames of some kinds, both directions.
fn sum_of(traffic: &Traffic, included: &dyn Fn(&str) -> bool) -> (u64, u64) {
    let counts = traffic.0.iter().zip(KINDS).filter(|count| included(count.1)).map(|count| count.0);
    let add = |sum: (u64, u64), count: &FrameCount| (sum.0 + count.bytes(), sum.1 + count.frames());
    counts.fold((0, 0), add)
}

/// Both processes of clients together: counts add up, of quantiles the larger is shown.
fn load_of(all: &[Value]) -> (Value, Value) {
    let mut rows: Vec<Value> = Vec::new();
    for told in all {
        for (n, more) in told["frameworks"].as_array().into_iter().flatten().enumerate() {
            let Some(row) = rows.get_mut(n) else {
                rows.push(more.clone());
                continue;
            };
            for (field, value) in more.as_object().into_iter().flatten() {
                if row[field].is_null() {
                    row[field] = value.clone();
                    continue;
                }
                let (Some(a), Some(b)) = (row[field].as_f64(), value.as_f64()) else { continue };
                row[field] = match (field.ends_with("_ms"), row[field].as_u64(), value.as_u64()) {
                    (true, ..) => json!(a.max(b)),
                    (_, Some(a), Some(b)) => json!(a + b),
                    _ => json!(rounded(a + b, 10.0)),
                };
            }
        }
    }
    let last = rows.last().cloned().unwrap_or_default();
    let sum = |fields: &[&str]| fields.iter().map(|f| last[*f].as_u64().unwrap_or(0)).sum::<u64>();
    // Who asked a planner that was killed knows that no answer comes.
    let answered = sum(&["placed", "declined", "aborted", "cut"]);
    let laws = json!({"asked": sum(&["asked"]), "answered": answered, "again": sum(&["answered_again"])});
    (Value::Array(rows), laws)
}
