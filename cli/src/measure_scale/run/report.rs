//! The report of a scale run: resource usage by role, traffic of planners, and the results of the
//! load.
use super::{rounded, Reading, ScaleRun};
use crate::measure_scale::progress;
use crate::processes::Usage;
use basaltpitch_testbed::scale::traffic::{FrameCount, Traffic, KINDS};
use serde_json::{json, Map, Value};
use std::io;
use std::time::{Duration, Instant};

/// The target in milliseconds for the 99.9th percentile of the `urgent` framework's time to start.
const URGENT_MS: u64 = 2400;
/// How long to wait for open requests: the longest deadline of a request with its grace period.
const OPEN_TIMEOUT: Duration = Duration::from_secs(13);
/// How long restarted machines may take to be linked again, and lost slots to be acquired.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Sums over all machines at the end of the measured time.
struct MachineSums {
    /// Running tasks.
    running: u64,
    /// Running tasks that stand for those of simulated planners.
    absent: u64,
    /// Links to planners.
    links: u64,
    /// Attempts that machines refused.
    refused: u64,
}

impl ScaleRun {
    /// Ends the measured time, stops the clients and returns the report.
    pub async fn end(&mut self, before: Reading) -> io::Result<Value> {
        let now = self.read().await?;
        let sums = MachineSums {
            running: self.machine_sum("running").await?,
            absent: self.machine_sum("others").await?,
            links: self.machine_sum("links").await?,
            refused: self.machine_sum("refused").await?,
        };
        let load = self.stop_clients().await?;
        let (linked_machines, held_slots) = self.settle().await?;
        let seconds = (now.at - before.at).as_secs_f64();
        let (traffic, planner_traffic) = traffic_rows(&before, &now, seconds);
        let (load, answers) = merge_load(&load);
        let count = |field: &str| answers[field].as_u64().unwrap_or(0);
        let all_answered = count("asked") == count("answered") && count("again") == 0 && count("asked") > 0;
        let (mut registry_counters_agree, mut planner_counters_agree) = (None, None);
        if self.measure.counters {
            registry_counters_agree = Some(self.registry_counters_agree().await?);
            planner_counters_agree = self.planner_counters_agree().await?;
        }
        Ok(json!({
            "roles": usage_by_role(&before, &now, seconds),
            "traffic": traffic,
            "planner_traffic": planner_traffic,
            "load": load,
            "laws": {
                "seats_taken": held_slots, "all_seated": held_slots == self.measure.planners,
                "machines_linked": linked_machines, "all_machines_linked": linked_machines == self.measure.machines,
                "asked": answers["asked"], "answered": answers["answered"],
                "answered_again": answers["again"], "one_answer_a_task": all_answered,
                "counters_add_up": registry_counters_agree, "planners_counters_add_up": planner_counters_agree,
            },
            "seen": self.observations(&before, &now, &sums),
        }))
    }

    /// Stops submitting and returns the clients' reports once no request is open, or after the
    /// timeout.
    async fn stop_clients(&mut self) -> io::Result<Vec<Value>> {
        for clients in &mut self.clients {
            clients.send_command("stop").await?;
        }
        progress("waiting for the answers of open requests");
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

    /// Waits until restarted machines are linked again and lost slots are held, or the timeout.
    /// Returns the numbers of linked machines and of held slots.
    async fn settle(&mut self) -> io::Result<(usize, usize)> {
        let until = Instant::now() + SETTLE_TIMEOUT;
        let (mut linked_machines, mut held_slots) =
            (self.linked_machines().await?, self.count_held_slots().await?);
        while (linked_machines < self.measure.machines || held_slots < self.measure.planners)
            && Instant::now() < until
        {
            tokio::time::sleep(Duration::from_millis(250)).await;
            (linked_machines, held_slots) = (self.linked_machines().await?, self.count_held_slots().await?);
        }
        Ok((linked_machines, held_slots))
    }

    /// Returns the section `seen` of the report.
    fn observations(&self, before: &Reading, now: &Reading, sums: &MachineSums) -> Value {
        let seconds = (now.at - before.at).as_secs_f64();
        let busy = (now.machine_cpu_s - before.machine_cpu_s) / seconds;
        let own = (now.total_cpu_s() - before.total_cpu_s()) / seconds;
        json!({
            "all_seated_after_s": rounded(self.slots_held_after_s, 10.0),
            "seated_again_after_s": self.reacquired_after_s,
            "seats_that_moved": self.moved_slots,
            "running": sums.running,
            "running_of_hollow_planners": sums.absent,
            "links_a_machine": rounded(sums.links as f64 / self.measure.machines as f64, 100.0),
            "urgent_target_ms": URGENT_MS,
            "refused_by_machines": sums.refused,
            "measured_s": rounded(seconds, 10.0),
            "most_mib": self.max_mib.round(),
            "cores_busy": rounded(busy, 100.0),
            "cores_busy_by_others": rounded((busy - own).max(0.0), 100.0),
        })
    }
}

/// Returns mean and maximum resource usage of a process, by role.
fn usage_by_role(before: &Reading, now: &Reading, seconds: f64) -> Value {
    let row = |(role, all): &(&str, Vec<Option<Usage>>), earlier: &[Option<Usage>]| {
        let pairs: Vec<(Usage, Usage)> =
            all.iter().zip(earlier).filter_map(|(a, b)| Some(((*a)?, (*b)?))).collect();
        let count = pairs.len().max(1) as f64;
        let cpu: Vec<f64> = pairs.iter().map(|(a, b)| (a.cpu_s - b.cpu_s) / seconds * 100.0).collect();
        let max = |values: &mut dyn Iterator<Item = f64>| values.fold(0.0, f64::max);
        json!({
            "role": role, "processes": pairs.len(),
            "cpu_percent": rounded(cpu.iter().sum::<f64>() / count, 100.0),
            "cpu_percent_most": rounded(max(&mut cpu.iter().copied()), 100.0),
            "mib": rounded(pairs.iter().map(|b| b.0.mib).sum::<f64>() / count, 10.0),
            "mib_most": rounded(max(&mut pairs.iter().map(|b| b.0.mib)), 10.0),
            "descriptors_most": pairs.iter().map(|b| b.0.descriptors).max().unwrap_or(0),
        })
    };
    now.used.iter().zip(&before.used).map(|(now, earlier)| row(now, &earlier.1)).collect()
}

/// Returns the traffic of real planners that held one slot throughout: rows by kind with mean and
/// maximum per second, and all counters of each planner. The kind `control` is everything except
/// tasks.
fn traffic_rows(before: &Reading, now: &Reading, seconds: f64) -> (Value, Value) {
    let carried = |(planner, traffic): (&'_ (String, usize), &Traffic)| {
        Some((planner.0.clone(), traffic.since(before.traffic.get(planner)?)))
    };
    let each: Vec<(String, Traffic)> = now.traffic.iter().filter_map(carried).collect();
    let count = each.len().max(1) as f64;
    let row = |name: &str, included: &dyn Fn(&str) -> bool| {
        let all: Vec<(u64, u64)> = each.iter().map(|(_, traffic)| included_sum(traffic, included)).collect();
        let mean = |part: fn(&(u64, u64)) -> u64| {
            rounded(all.iter().map(part).sum::<u64>() as f64 / count / seconds, 10.0)
        };
        let max_bytes = all.iter().map(|sum| sum.0).max().unwrap_or(0) as f64 / seconds;
        json!({"kind": name, "bytes_a_s": mean(|sum| sum.0), "bytes_a_s_most": rounded(max_bytes, 10.0),
            "frames_a_s": mean(|sum| sum.1)})
    };
    let mut rows: Vec<Value> = KINDS.iter().map(|kind| row(kind, &|other| other == *kind)).collect();
    rows.push(row("control", &|kind| kind != "tasks"));
    let planners: Map<String, Value> =
        each.iter().map(|(planner, traffic)| (planner.clone(), traffic.view())).collect();
    (Value::Array(rows), Value::Object(planners))
}

/// Returns the bytes and frames of the included kinds, both directions together.
fn included_sum(traffic: &Traffic, included: &dyn Fn(&str) -> bool) -> (u64, u64) {
    let counts = traffic.0.iter().zip(KINDS).filter(|count| included(count.1)).map(|count| count.0);
    let add = |sum: (u64, u64), count: &FrameCount| (sum.0 + count.bytes(), sum.1 + count.frames());
    counts.fold((0, 0), add)
}

/// Merges the reports of both client processes: counts are added, and the larger value of a
/// quantile is taken.
fn merge_load(all: &[Value]) -> (Value, Value) {
    let mut rows: Vec<Value> = Vec::new();
    for report in all {
        for (index, row_to_add) in report["frameworks"].as_array().into_iter().flatten().enumerate() {
            let Some(row) = rows.get_mut(index) else {
                rows.push(row_to_add.clone());
                continue;
            };
            for (field, value) in row_to_add.as_object().into_iter().flatten() {
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
    let sum = |fields: &[&str]| fields.iter().map(|field| last[*field].as_u64().unwrap_or(0)).sum::<u64>();
    // A client whose connection to a killed planner closed expects no answer, so the request counts
    // as answered.
    let answered = sum(&["placed", "declined", "aborted", "cut"]);
    let answers = json!({"asked": sum(&["asked"]), "answered": answered, "again": sum(&["answered_again"])});
    (Value::Array(rows), answers)
}
