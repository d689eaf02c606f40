//! A scale run: its processes, the counters and resource usage read from them, and the faults
//! injected.
mod checks;
mod report;
mod start;

use super::{progress, site, Fault, Measure, MAX_MIB};
use crate::processes::{self, Process, Usage};
use basaltpitch_testbed::relay::RelayControl;
use basaltpitch_testbed::scale::traffic::{RelayCounts, Traffic};
use futures_util::FutureExt;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long to wait for slots to be acquired or machines to be linked.
const SETUP_TIMEOUT: Duration = Duration::from_secs(120);
/// How long planners that start together may take to fetch the inventories of all machines.
const INVENTORY_TIMEOUT: Duration = Duration::from_secs(300);

/// A slot and the planner that holds it.
struct SlotHolder {
    /// The slot's name.
    slot: String,
    /// The index of the planner's addresses: real planners first, then spares, then simulated
    /// planners.
    index: usize,
}

/// Zones and addresses of all planners, by index: real planners first, then spares, then simulated
/// planners.
struct Planners {
    zones: Vec<String>,
    /// The address that each planner listens on.
    listen_addresses: Vec<String>,
    /// The address that other planners connect to: a relay in front of the planner.
    advertised_addresses: Vec<String>,
}

/// The processes of a run, the relays between them and what was observed so far.
pub struct ScaleRun {
    measure: Measure,
    planners: Planners,
    /// The slots that are held, each once.
    holders: Vec<SlotHolder>,
    /// Real planners and spares, by index; `None` once the fault `kill` has killed the process.
    real: Vec<Option<Process>>,
    /// Processes of simulated planners.
    simulated: Vec<Process>,
    /// Processes of simulated machines.
    machines: Vec<Process>,
    /// The registry that lists the machines, and one that lists nothing.
    registries: Vec<Process>,
    voters: Vec<Process>,
    clients: Vec<Process>,
    /// By planner index: traffic counters of the relays to the voters.
    to_voters: Vec<Rc<RelayCounts>>,
    /// By planner index: traffic counters of the relay to the registry.
    to_registry: Vec<Rc<RelayCounts>>,
    /// By planner index, for connections to the planner: counters of the counting relay, and the
    /// control of the relay that holds back bytes for the faults `cut` and `one-way`.
    incoming_relays: Vec<(Rc<RelayCounts>, Rc<RelayControl>)>,
    /// Seconds from the first planner's start until all slots were held.
    slots_held_after_s: f64,
    /// Maximum resident memory of all processes so far, in MiB.
    max_mib: f64,
    /// Path of the installation's file.
    file: String,
    /// Seconds until killed planners' slots were held again; `None` without the fault `kill`.
    reacquired_after_s: Option<f64>,
    /// Number of times that a slot changed its holder, without the takeovers that the fault `kill`
    /// caused and waited for.
    moved_slots: usize,
}

/// Counters and resource usage at the start or end of the measured time.
pub struct Reading {
    at: Instant,
    /// By role: the usage of each process, `None` where it could not be read.
    used: Vec<(&'static str, Vec<Option<Usage>>)>,
    /// CPU time of this process in seconds.
    own_cpu_s: f64,
    /// CPU time of the whole host in seconds.
    machine_cpu_s: f64,
    /// Traffic of each real planner by slot and planner index, so that a new holder of a slot
    /// counts anew.
    traffic: BTreeMap<(String, usize), Traffic>,
}

/// Waits for the next line of any process; returns its index and the line.
async fn next_line(processes: &mut [&mut Process], until: Instant) -> io::Result<(usize, Value)> {
    let first =
        futures_util::future::select_all(processes.iter_mut().map(|process| Box::pin(process.read_line())));
    let timed_out = |_| io::Error::other("timed out before all slots were held");
    let (line, index, _) = tokio::time::timeout_at(until.into(), first).await.map_err(timed_out)?;
    Ok((index, line?))
}

/// Rounds a number to the precision of 1/`factor`.
fn rounded(value: f64, factor: f64) -> f64 {
    (value * factor).round() / factor
}

impl Reading {
    /// Returns the CPU time in seconds that all processes of the run have used, this one included.
    fn total_cpu_s(&self) -> f64 {
        self.used.iter().flat_map(|role| &role.1).flatten().map(|used| used.cpu_s).sum::<f64>()
            + self.own_cpu_s
    }
}

impl ScaleRun {
    /// Waits until this number of slots is held.
    async fn wait_for_holders(&mut self, count: usize) -> io::Result<()> {
        let until = Instant::now() + SETUP_TIMEOUT;
        while self.holders.len() < count {
            let mut all: Vec<&mut Process> =
                self.real.iter_mut().flatten().chain(&mut self.simulated).collect();
            let (_, line) = next_line(&mut all, until).await?;
            self.record_holder(&line);
        }
        Ok(())
    }

    /// Updates the holders of slots from the lines that planners printed since, without waiting.
    fn update_holders(&mut self) -> io::Result<()> {
        let mut lines = Vec::new();
        for process in self.real.iter_mut().flatten().chain(&mut self.simulated) {
            while let Some(line) = process.read_line().now_or_never() {
                lines.push(line?);
            }
        }
        self.moved_slots += lines.len();
        lines.iter().for_each(|line| self.record_holder(line));
        Ok(())
    }

    /// Waits until the planners in this range of indices have fetched all machines' inventories, if
    /// they work on subsets.
    async fn wait_for_inventories(&self, from: usize, to: usize) -> io::Result<()> {
        let until = Instant::now() + INVENTORY_TIMEOUT;
        for holder in self.holders.iter().filter(|holder| (from..to).contains(&holder.index)) {
            let args =
                ["planner", "--planner", &self.planners.advertised_addresses[holder.index], "-o", "json"];
            loop {
                let output =
                    tokio::process::Command::new(std::env::current_exe()?).args(args).output().await?;
                let view: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
                let left = view["part"]["to_visit"].as_u64();
                // Nothing left to fetch counts only once the planner has the machine list (`listed`
                // is not 0).
                if view.is_object() && left.is_none_or(|n| n == 0 && view["part"]["listed"] != 0) {
                    break;
                }
                if Instant::now() > until {
                    return Err(io::Error::other(format!(
                        "{} still has inventories to fetch: {left:?}",
                        holder.slot
                    )));
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    /// Records the new holder of a slot from the line that the planner printed.
    fn record_holder(&mut self, line: &Value) {
        let text = |field: &str| line[field].as_str().unwrap_or("").to_owned();
        let (slot, listening) = (text("name"), text("listening"));
        let Some(index) = self.planners.listen_addresses.iter().position(|address| *address == listening)
        else {
            return;
        };
        self.holders.retain(|holder| holder.slot != slot && holder.index != index);
        self.holders.push(SlotHolder { slot, index });
    }

    /// Returns the number of machines that at least one planner is linked to.
    async fn linked_machines(&mut self) -> io::Result<usize> {
        Ok(self.machine_sum("linked").await? as usize)
    }

    /// Returns the sum of a counter over all processes of machines.
    async fn machine_sum(&mut self, field: &str) -> io::Result<u64> {
        let mut sum = 0;
        for process in &mut self.machines {
            sum += process.request("tell").await?[field].as_u64().unwrap_or(0);
        }
        Ok(sum)
    }

    /// Starts the clients, which submit to the real planners that hold slots.
    pub async fn start_clients(&mut self) -> io::Result<()> {
        let measure = &self.measure;
        let real = measure.real + measure.spares();
        let mut indices: Vec<usize> =
            self.holders.iter().map(|holder| holder.index).filter(|index| *index < real).collect();
        indices.sort_unstable();
        // Spares are last: clients of a killed planner turn to its successor there.
        let spares: Vec<usize> = (0..real).filter(|index| !indices.contains(index)).collect();
        let addresses: Vec<&str> = indices
            .iter()
            .chain(&spares)
            .map(|index| self.planners.listen_addresses[*index].as_str())
            .collect();
        for index in 0..2u64 {
            let (rate, runs) = ((measure.real_rate() / 2.0).to_string(), measure.runs_s().to_string());
            let (seed, tenants) = ((measure.seed * 2 + index).to_string(), measure.tenants.to_string());
            let (planners, connections) = (addresses.join(","), indices.len().to_string());
            let args =
                ["simulated", "clients", "--planners", &planners, "--conns", &connections, "--rate", &rate];
            let more = ["--runs", &runs, "--tenants", &tenants, "--seed", &seed];
            self.clients.push(Process::start_with_commands(&[&args[..], &more].concat())?);
        }
        Ok(())
    }

    /// Starts the measured time: resets the clients' counters and returns the first reading.
    pub async fn begin(&mut self) -> io::Result<Reading> {
        for clients in &mut self.clients {
            clients.send_command("begin").await?;
        }
        progress("measurement started");
        self.read().await
    }

    /// Waits for a time and checks the memory of all processes each second.
    ///
    /// # Errors
    /// All processes together use more than `MAX_MIB`.
    pub async fn watch_memory(&mut self, time: Duration) -> io::Result<()> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now()).min(Duration::from_secs(1));
            tokio::time::sleep(left).await;
            let mut mib = 0.0;
            for process in self.roles().into_iter().flat_map(|role| role.1).flatten() {
                mib += process.used().map_or(0.0, |usage| usage.mib);
            }
            self.max_mib = self.max_mib.max(mib);
            if mib > MAX_MIB {
                return Err(io::Error::other(format!(
                    "the run uses {mib:.0} MiB; expected {MAX_MIB} at most; use smaller numbers"
                )));
            }
        }
        Ok(())
    }

    /// Returns the processes by role, with the roles' names in the report.
    fn roles(&self) -> Vec<(&'static str, Vec<Option<&Process>>)> {
        fn all(of: &[Process]) -> Vec<Option<&Process>> {
            of.iter().map(Some).collect()
        }
        vec![
            ("planner", self.real.iter().map(Option::as_ref).collect()),
            ("hollow planners", all(&self.simulated)),
            ("voter", all(&self.voters)),
            ("register", all(&self.registries[..1])),
            ("machines", all(&self.machines)),
            ("clients", all(&self.clients)),
        ]
    }

    /// Reads counters and resource usage of all processes.
    async fn read(&mut self) -> io::Result<Reading> {
        let at = Instant::now();
        let used = |process: Option<&Process>| process.and_then(|process| process.used().ok());
        let used =
            self.roles().into_iter().map(|(role, all)| (role, all.into_iter().map(used).collect())).collect();
        self.update_holders()?;
        let own_cpu_s = processes::usage_of(std::process::id())?.cpu_s;
        let machine_cpu_s = processes::machine_cpu_s()?;
        Ok(Reading { at, used, own_cpu_s, machine_cpu_s, traffic: self.traffic().await? })
    }

    /// Returns the traffic of each real planner so far.
    async fn traffic(&mut self) -> io::Result<BTreeMap<(String, usize), Traffic>> {
        let traffic_by_planner = self.traffic_by_planner().await?;
        Ok(self
            .real_holders()
            .into_iter()
            .filter_map(|holder| {
                let traffic = *traffic_by_planner.get(&holder.1)?;
                Some((holder, traffic))
            })
            .collect())
    }

    /// Returns the traffic of each planner so far, by planner index, as counted by the peers of its
    /// links and by the relays on them.
    pub async fn traffic_by_planner(&mut self) -> io::Result<BTreeMap<usize, Traffic>> {
        let mut by_slot: BTreeMap<String, Traffic> = BTreeMap::new();
        for process in self.machines.iter_mut().chain(&mut self.clients) {
            let report = process.request("tell").await?;
            for (planner, traffic) in report["planners"].as_object().into_iter().flatten() {
                by_slot.entry(planner.clone()).or_default().add(&Traffic::read(traffic).reversed());
            }
        }
        let mut found = BTreeMap::new();
        for holder in &self.holders {
            let mut sum = by_slot.get(&holder.slot).copied().unwrap_or_default();
            sum.add(&self.to_voters[holder.index].traffic.borrow().reversed());
            sum.add(&self.to_registry[holder.index].traffic.borrow().reversed());
            sum.add(&self.incoming_relays[holder.index].0.traffic.borrow());
            for (relay, _) in &self.incoming_relays {
                if let Some(traffic) = relay.by_peer.borrow().get(&holder.slot) {
                    sum.add(&traffic.reversed());
                }
            }
            found.insert(holder.index, sum);
        }
        Ok(found)
    }

    /// Returns the CPU time in seconds of all real planners, and of all simulated planners.
    pub fn cpu_by_sort(&self) -> io::Result<[f64; 2]> {
        let sum = |all: &mut dyn Iterator<Item = &Process>| -> io::Result<f64> {
            all.map(|p| Ok(p.used()?.cpu_s)).sum()
        };
        Ok([sum(&mut self.real.iter().flatten())?, sum(&mut self.simulated.iter())?])
    }

    /// Injects a fault. The fault `kill` also waits until the slots of the killed planners are held
    /// again.
    pub async fn fault(&mut self, fault: Fault) -> io::Result<()> {
        if fault != Fault::None {
            progress("injecting the fault");
        }
        match fault {
            Fault::None => {}
            Fault::Cut => self.set_cut(true, true),
            Fault::OneWay => self.set_cut(true, false),
            Fault::Zone => {
                self.command_machines(&format!("vanish {}", site::first_zone(&self.measure.region))).await?
            }
            Fault::Roll => self.command_machines("roll 2").await?,
            Fault::Kill => {
                let held: Vec<usize> = self.holders.iter().map(|holder| holder.index).collect();
                let real = self.measure.real + self.measure.spares();
                let kills = self.measure.spares().min(self.measure.real);
                let killed: Vec<usize> = (0..real).filter(|index| held.contains(index)).take(kills).collect();
                let started = Instant::now();
                for index in &killed {
                    if let Some(mut process) = self.real[*index].take() {
                        process.child.kill().await?;
                    }
                    self.holders.retain(|holder| holder.index != *index);
                }
                self.wait_for_holders(self.measure.planners).await?;
                self.reacquired_after_s = Some(rounded(started.elapsed().as_secs_f64(), 10.0));
            }
        }
        Ok(())
    }

    /// Ends a fault that lasts: connections that are cut, or machines that disappeared.
    pub async fn heal(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Cut | Fault::OneWay => self.set_cut(false, false),
            Fault::Zone => {
                self.command_machines(&format!("return {}", site::first_zone(&self.measure.region))).await?
            }
            Fault::None | Fault::Roll | Fault::Kill => {}
        }
        Ok(())
    }

    /// Sends a command to all processes of machines.
    async fn command_machines(&mut self, command: &str) -> io::Result<()> {
        for process in &mut self.machines {
            process.send_command(command).await?;
        }
        Ok(())
    }

    /// Cuts connections between the planners of the chosen region and all others: bytes sent from
    /// the region (`from`) and bytes sent to it (`to`) are held back while the flag is set.
    fn set_cut(&self, from: bool, to: bool) {
        let region =
            |holder: &SlotHolder| site::region_of(&self.planners.zones[holder.index]) == self.measure.region;
        for listener in &self.holders {
            for dialler in self.holders.iter().filter(|dialler| region(dialler) != region(listener)) {
                // The directions: from the planner that dials, and back to it.
                let is_cut = if region(dialler) { (from, to) } else { (to, from) };
                self.incoming_relays[listener.index]
                    .1
                    .cut_by_peer
                    .borrow_mut()
                    .insert(dialler.slot.clone(), is_cut);
            }
        }
    }

    /// Returns the slot and planner index of each real planner that holds a slot.
    fn real_holders(&self) -> Vec<(String, usize)> {
        let real = self.measure.real + self.measure.spares();
        self.holders
            .iter()
            .filter(|holder| holder.index < real)
            .map(|holder| (holder.slot.clone(), holder.index))
            .collect()
    }
}
