//! A scale run: its processes, what is read off them, and what goes wrong with them.
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

/// How long a thing may take that is waited for.
const PATIENCE: Duration = Duration::from_secs(120);
/// How long planners that begin together may take to visit all machines.
const VISITS: Duration = Duration::from_secs(300);

/// A planner as it was seated.
struct Seated {
    seat: String,
    /// Its place among the addresses: real ones first, then spares, then simulated ones.
    place: usize,
}

/// Zones and addresses of planners, by their places.
struct Planners {
    zones: Vec<String>,
    listens: Vec<String>,
    advertise: Vec<String>,
}

/// The processes of a run.
pub struct ScaleRun {
    measure: Measure,
    planners: Planners,
    seated: Vec<Seated>,
    real: Vec<Option<Process>>,
    simulated: Vec<Process>,
    machines: Vec<Process>,
    registries: Vec<Process>,
    voters: Vec<Process>,
    clients: Vec<Process>,
    /// Of each planner: relays to the voters, and to the register.
    to_voters: Vec<Rc<RelayCounts>>,
    to_registry: Vec<Rc<RelayCounts>>,
    /// Of each planner: the relay before it that counts, and the one that may be cut.
    before: Vec<(Rc<RelayCounts>, Rc<RelayControl>)>,
    seats_after_s: f64,
    most_mib: f64,
    file: String,
    reseated_s: Option<f64>,
    /// Seats that changed hands unasked, after all were taken.
    moved: usize,
}

/// What is read at the beginning and at the end of the measured time.
pub struct Reading {
    at: Instant,
    used: Vec<(&'static str, Vec<Option<Usage>>)>,
    /// Seconds of processor time that this process, and that all of the machine's, have used.
    own_s: f64,
    machine_cpu_s: f64,
    /// By seat and place: a successor is another planner.
    traffic: BTreeMap<(String, usize), Traffic>,
}

/// The next line of any of these, and whose it is.
async fn next_line(all: &mut [&mut Process], until: Instant) -> io::Result<(usize, Value)> {
    let first = futures_util::future::select_all(all.iter_mut().map(|p| Box::pin(p.read_line())));
    let late = |_| io::Error::other("planners were not all seated in time");
    let (line, n, _) = tokio::time::timeout_at(until.into(), first).await.map_err(late)?;
    Ok((n, line?))
}

fn rounded(x: f64, to: f64) -> f64 {
    (x * to).round() / to
}

impl Reading {
    /// Seconds of processor time that all processes of the run have used.
    fn used_s(&self) -> f64 {
        self.used.iter().flat_map(|role| &role.1).flatten().map(|used| used.cpu_s).sum::<f64>() + self.own_s
    }
}

impl ScaleRun {
    /// Waits until so many have seats.
    async fn seats(&mut self, count: usize) -> io::Result<()> {
        let until = Instant::now() + PATIENCE;
        while self.seated.len() < count {
            let mut all: Vec<&mut Process> =
                self.real.iter_mut().flatten().chain(&mut self.simulated).collect();
            let (_, line) = next_line(&mut all, until).await?;
            self.sits(&line);
        }
        Ok(())
    }

    /// Takes in who was seated meanwhile.
    fn sit(&mut self) -> io::Result<()> {
        let mut lines = Vec::new();
        for process in self.real.iter_mut().flatten().chain(&mut self.simulated) {
            while let Some(line) = process.read_line().now_or_never() {
                lines.push(line?);
            }
        }
        self.moved += lines.len();
        lines.iter().for_each(|line| self.sits(line));
        Ok(())
    }

    /// Waits until these planners have visited all machines, if they have parts.
    async fn visited(&self, from: usize, to: usize) -> io::Result<()> {
        let until = Instant::now() + VISITS;
        for s in self.seated.iter().filter(|s| (from..to).contains(&s.place)) {
            let args = ["planner", "--planner", &self.planners.advertise[s.place], "-o", "json"];
            loop {
                let out = tokio::process::Command::new(std::env::current_exe()?).args(args).output().await?;
                let told: Value = serde_json::from_slice(&out.stdout).unwrap_or_default();
                let left = told["part"]["to_visit"].as_u64();
                // It has a list by the time that it has a part.
                if told.is_object() && left.is_none_or(|n| n == 0 && told["part"]["listed"] != 0) {
                    break;
                }
                if Instant::now() > until {
                    return Err(io::Error::other(format!("{} has machines to visit: {left:?}", s.seat)));
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    fn sits(&mut self, line: &Value) {
        let text = |field: &str| line[field].as_str().unwrap_or("").to_owned();
        let (seat, listening) = (text("name"), text("listening"));
        let Some(place) = self.planners.listens.iter().position(|l| *l == listening) else { return };
        self.seated.retain(|s| s.seat != seat && s.place != place);
        self.seated.push(Seated { seat, place });
    }

    /// Machines to which some planner is linked.
    async fn linked(&mut self) -> io::Result<usize> {
        Ok(self.machine_sum("linked").await? as usize)
    }

    async fn machine_sum(&mut self, field: &str) -> io::Result<u64> {
        let mut sum = 0;
        for process in &mut self.machines {
            sum += process.request("tell").await?[field].as_u64().unwrap_or(0);
        }
        Ok(sum)
    }

    /// Clients begin to ask the real planners that are seated.
    pub async fn ask(&mut self) -> io::Result<()> {
        let m = &self.measure;
        let real = m.real + m.spares();
        let mut at: Vec<usize> = self.seated.iter().map(|s| s.place).filter(|p| *p < real).collect();
        at.sort_unstable();
        // Spares are at the end: who is killed has its successor there.
        let spares: Vec<usize> = (0..real).filter(|n| !at.contains(n)).collect();
        let to: Vec<&str> = at.iter().chain(&spares).map(|n| self.planners.listens[*n].as_str()).collect();
        for n in 0..2u64 {
            let (rate, runs) = ((m.real_rate() / 2.0).to_string(), m.runs_s().to_string());
            let (seed, tenants) = ((m.seed * 2 + n).to_string(), m.tenants.to_string());
            let (planners, conns) = (to.join(","), at.len().to_string());
            let args = ["simulated", "clients", "--planners", &planners, "--conns", &conns, "--rate", &rate];
            let more = ["--runs", &runs, "--tenants", &tenants, "--seed", &seed];
            self.clients.push(Process::start_with_commands(&[&args[..], &more].concat())?);
        }
        Ok(())
    }

    /// The measured time begins.
    pub async fn begin(&mut self) -> io::Result<Reading> {
        for clients in &mut self.clients {
            clients.send_command("begin").await?;
        }
        progress("the measured time begins");
        self.read().await
    }

    /// Lets time pass, and looks after the memory of all.
    pub async fn watched(&mut self, time: Duration) -> io::Result<()> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now()).min(Duration::from_secs(1));
            tokio::time::sleep(left).await;
            let mut mib = 0.0;
            for process in self.roles().into_iter().flat_map(|r| r.1).flatten() {
                mib += process.used().map_or(0.0, |u| u.mib);
            }
            self.most_mib = self.most_mib.max(mib);
            if mib > MAX_MIB {
                return Err(io::Error::other(format!("the run uses {mib:.0} MiB; {MAX_MIB} at most")));
            }
        }
        Ok(())
    }

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

    async fn read(&mut self) -> io::Result<Reading> {
        let at = Instant::now();
        let used = |p: Option<&Process>| p.and_then(|p| p.used().ok());
        let used =
            self.roles().into_iter().map(|(r, all)| (r, all.into_iter().map(used).collect())).collect();
        self.sit()?;
        let own_s = processes::usage_of(std::process::id())?.cpu_s;
        let machine_cpu_s = processes::machine_cpu_s()?;
        Ok(Reading { at, used, own_s, machine_cpu_s, traffic: self.traffic().await? })
    }

    /// What each real planner carried so far.
    async fn traffic(&mut self) -> io::Result<BTreeMap<(String, usize), Traffic>> {
        let each = self.each().await?;
        Ok(self
            .measured()
            .into_iter()
            .filter_map(|of| {
                let t = *each.get(&of.1)?;
                Some((of, t))
            })
            .collect())
    }

    /// What each planner carried so far, by its place, as the far ends of its links and the relays on them
    /// counted it.
    pub async fn each(&mut self) -> io::Result<BTreeMap<usize, Traffic>> {
        let mut of_ends: BTreeMap<String, Traffic> = BTreeMap::new();
        for process in self.machines.iter_mut().chain(&mut self.clients) {
            let told = process.request("tell").await?;
            for (planner, of) in told["planners"].as_object().into_iter().flatten() {
                of_ends.entry(planner.clone()).or_default().add(&Traffic::read(of).reversed());
            }
        }
        let mut found = BTreeMap::new();
        for s in &self.seated {
            let mut sum = of_ends.get(&s.seat).copied().unwrap_or_default();
            sum.add(&self.to_voters[s.place].traffic.borrow().reversed());
            sum.add(&self.to_registry[s.place].traffic.borrow().reversed());
            sum.add(&self.before[s.place].0.traffic.borrow());
            for (way, _) in &self.before {
                if let Some(of) = way.by_peer.borrow().get(&s.seat) {
                    sum.add(&of.reversed());
                }
            }
            found.insert(s.place, sum);
        }
        Ok(found)
    }

    /// Seconds of processor time of all real planners, and of all simulated ones.
    pub fn used_by_sort(&self) -> io::Result<[f64; 2]> {
        let sum = |all: &mut dyn Iterator<Item = &Process>| -> io::Result<f64> {
            all.map(|p| Ok(p.used()?.cpu_s)).sum()
        };
        Ok([sum(&mut self.real.iter().flatten())?, sum(&mut self.simulated.iter())?])
    }

    /// What goes wrong begins.
    pub async fn fault(&mut self, fault: Fault) -> io::Result<()> {
        if fault != Fault::None {
            progress("what goes wrong begins");
        }
        match fault {
            Fault::None => {}
            Fault::Cut => self.cut(true, true),
            Fault::OneWay => self.cut(true, false),
            Fault::Zone => {
                self.tell_machines(&format!("vanish {}", site::first_zone(&self.measure.region))).await?
            }
            Fault::Roll => self.tell_machines("roll 2").await?,
            Fault::Kill => {
                let taken: Vec<usize> = self.seated.iter().map(|s| s.place).collect();
                let real = self.measure.real + self.measure.spares();
                let kills = self.measure.spares().min(self.measure.real);
                let dies: Vec<usize> = (0..real).filter(|n| taken.contains(n)).take(kills).collect();
                let begun = Instant::now();
                for n in &dies {
                    if let Some(mut process) = self.real[*n].take() {
                        process.child.kill().await?;
                    }
                    self.seated.retain(|s| s.place != *n);
                }
                self.seats(self.measure.planners).await?;
                self.reseated_s = Some(rounded(begun.elapsed().as_secs_f64(), 10.0));
            }
        }
        Ok(())
    }

    pub async fn heal(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Cut | Fault::OneWay => self.cut(false, false),
            Fault::Zone => {
                self.tell_machines(&format!("return {}", site::first_zone(&self.measure.region))).await?
            }
            Fault::None | Fault::Roll | Fault::Kill => {}
        }
        Ok(())
    }

    async fn tell_machines(&mut self, word: &str) -> io::Result<()> {
        for process in &mut self.machines {
            process.send_command(word).await?;
        }
        Ok(())
    }

    /// Cuts links between planners of one region and of the others: what the one says (`from`), and what it
    /// hears (`to`).
    fn cut(&self, from: bool, to: bool) {
        let region = |s: &Seated| site::region_of(&self.planners.zones[s.place]) == self.measure.region;
        for listener in &self.seated {
            for dialler in self.seated.iter().filter(|d| region(d) != region(listener)) {
                // From who dials, and back to it.
                let cut = if region(dialler) { (from, to) } else { (to, from) };
                self.before[listener.place].1.cut_by_peer.borrow_mut().insert(dialler.seat.clone(), cut);
            }
        }
    }

    /// Real planners that are seated: seat and place.
    fn measured(&self) -> Vec<(String, usize)> {
        let real = self.measure.real + self.measure.spares();
        self.seated.iter().filter(|s| s.place < real).map(|s| (s.seat.clone(), s.place)).collect()
    }
}
