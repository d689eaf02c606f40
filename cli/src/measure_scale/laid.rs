//! A scale run as it is laid out: its processes, and what is read off them.
use super::{progress, site, Fault, Measure, MOST_MIB};
use crate::processes::{self, Process, Used};
use basaltpitch_testbed::process_harness::free_addresses;
use basaltpitch_testbed::relay::{self, RelayControl};
use basaltpitch_testbed::scale::traffic::{self, RelayCounts, Traffic, KINDS};
use futures_util::FutureExt;
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a thing may take that is waited for.
const PATIENCE: Duration = Duration::from_secs(120);
/// How long planners that begin together may take to visit all machines.
const VISITS: Duration = Duration::from_secs(300);

/// The target for the time to start of the urgent framework, at 99.9 %.
const URGENT_MS: u64 = 2400;

/// A planner as it was seated.
struct Seated {
    seat: String,
    /// Its place among the addresses: real ones first, then spares, then hollow ones.
    place: usize,
}

pub struct Laid {
    measure: Measure,
    zones: Vec<String>,
    listens: Vec<String>,
    advertise: Vec<String>,
    seated: Vec<Seated>,
    real: Vec<Option<Process>>,
    hollow: Vec<Process>,
    machines: Vec<Process>,
    registers: Vec<Process>,
    voters: Vec<Process>,
    clients: Vec<Process>,
    /// Of each planner: relays to the voters, and to the register.
    to_voters: Vec<Rc<RelayCounts>>,
    to_register: Vec<Rc<RelayCounts>>,
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
    used: Vec<(&'static str, Vec<Option<Used>>)>,
    /// Seconds of processor time that this process, and that all of the machine's, have used.
    own_s: f64,
    busy_s: f64,
    /// By seat and place: a successor is another planner.
    traffic: BTreeMap<(String, usize), Traffic>,
}

/// The next line of any of these, and whose it is.
async fn next_line(all: &mut [&mut Process], until: Instant) -> io::Result<(usize, Value)> {
    let first = futures_util::future::select_all(all.iter_mut().map(|p| Box::pin(p.line())));
    let late = |_| io::Error::other("planners were not all seated in time");
    let (line, n, _) = tokio::time::timeout_at(until.into(), first).await.map_err(late)?;
    Ok((n, line?))
}

pub fn minus(now: &Traffic, before: Option<&Traffic>) -> Traffic {
    let mut all = *now;
    for (a, b) in all.0.iter_mut().zip(before.map_or(Traffic::default().0, |b| b.0)) {
        a.bytes_in = a.bytes_in.saturating_sub(b.bytes_in);
        a.bytes_out = a.bytes_out.saturating_sub(b.bytes_out);
        a.frames_in = a.frames_in.saturating_sub(b.frames_in);
        a.frames_out = a.frames_out.saturating_sub(b.frames_out);
    }
    all
}

/// What a planner carried, from what its peer did: in and out change places.
fn turned(of: &Traffic) -> Traffic {
    let mut all = *of;
    for c in &mut all.0 {
        (c.bytes_in, c.bytes_out) = (c.bytes_out, c.bytes_in);
        (c.frames_in, c.frames_out) = (c.frames_out, c.frames_in);
    }
    all
}

fn rounded(x: f64, to: f64) -> f64 {
    (x * to).round() / to
}

impl Laid {
    /// Starts everything, and waits until all seats are taken and all machines are linked.
    pub async fn lay(m: &Measure, folder: &Path) -> io::Result<Laid> {
        let site = m.site();
        let write = |name: &str, ways: &[String]| -> io::Result<String> {
            let path = folder.join(name);
            std::fs::write(&path, site.text(ways)).map(|()| path.display().to_string())
        };
        let (real, hollow) = (m.real + m.spares(), m.hollow());
        let mut listens = free_addresses(m.voters + real + hollow)?;
        let planners = listens.split_off(m.voters);
        let (at_voters, listens) = (listens, planners);
        let file = write("site.rec", &at_voters)?;
        let all_zones = site::zones();
        let zones: Vec<String> =
            (0..real + hollow).map(|n| all_zones[n % all_zones.len()].to_owned()).collect();

        progress("registers and machines start");
        let mut registers = Vec::new();
        let mut at_register = Vec::new();
        for _ in 0..2 {
            let mut register = Process::that_listens(&["simulated", "register"])?;
            let line = register.line().await?;
            at_register.push(line["register"].as_str().unwrap_or("").to_owned());
            registers.push(register);
        }
        let (seed, restarts) = (m.seed.to_string(), m.restarts.to_string());
        let mut machines = Vec::new();
        for first in (0..m.machines).step_by(m.machines_each()) {
            let count = m.machines_each().min(m.machines - first);
            // What hollow planners would place takes room all the same, and changes the list.
            let others = (m.rate - m.asked_rate()).max(0.0) * count as f64 / m.machines as f64;
            let (first, count) = (first.to_string(), count.to_string());
            let (others, runs) = (others.to_string(), m.runs_s().to_string());
            let args = ["simulated", "machines", &file, "--first", &first, "--count", &count];
            let more = ["--register", &at_register[0], "--seed", &seed, "--restarts", &restarts];
            let rest = ["--others", &others, "--runs", &runs];
            machines.push(Process::that_listens(&[&args[..], &more, &rest].concat())?);
        }
        for process in &mut machines {
            process.line().await?;
        }

        progress("voters and planners start");
        let state = folder.join("state").display().to_string();
        let mut voters = Vec::new();
        for n in 0..m.voters {
            let name = format!("v{n}");
            let mut voter = Process::start(&["voter", &file, "--name", &name, "--state", &state])?;
            voter.line().await?;
            voters.push(voter);
        }
        let (mut before, mut advertise) = (Vec::new(), Vec::new());
        for listen in &listens {
            let (way, ways) = (Rc::new(RelayCounts::default()), Rc::new(RelayControl::default()));
            let cuts = matches!(m.faults, Fault::Cut | Fault::OneWay);
            let to = if cuts { relay::start(listen.clone(), ways.clone()).await? } else { listen.clone() };
            advertise.push(traffic::relay(to, way.clone()).await?);
            before.push((way, ways));
        }
        let begun = Instant::now();
        let (mut to_voters, mut to_register, mut files, mut registered) = (vec![], vec![], vec![], vec![]);
        for n in 0..real + hollow {
            // Votes and lists are counted apart for each planner.
            let (way, mut ways) = (Rc::new(RelayCounts::default()), Vec::new());
            for to in &at_voters {
                ways.push(traffic::relay(to.clone(), way.clone()).await?);
            }
            files.push(write(&format!("planner-{n}.rec"), &ways)?);
            to_voters.push(way);
            let way = Rc::new(RelayCounts::default());
            let lists = n < real || m.hollow_links();
            registered.push(traffic::relay(at_register[usize::from(!lists)].clone(), way.clone()).await?);
            to_register.push(way);
        }
        let mut reals = Vec::new();
        for n in 0..real {
            let args =
                ["serve", &files[n], "--seat", "any", "--register", &registered[n], "--zone", &zones[n]];
            let more = ["--listen", &listens[n], "--advertise", &advertise[n]];
            reals.push(Some(Process::start(&[&args[..], &more].concat())?));
        }
        let mut laid = Laid {
            measure: m.clone(),
            zones,
            listens,
            advertise,
            seated: Vec::new(),
            real: reals,
            hollow: Vec::new(),
            machines,
            registers,
            voters,
            clients: Vec::new(),
            to_voters,
            to_register,
            before,
            seats_after_s: 0.0,
            most_mib: 0.0,
            file,
            reseated_s: None,
            moved: 0,
        };
        // The real ones have seats before hollow ones ask for any.
        laid.seats(m.real).await?;
        laid.visited(0, real).await?;
        let each = m.planners_each();
        for from in (real..real + hollow).step_by(each) {
            let to = (from + each).min(real + hollow);
            let each = |all: &[String]| all[from..to].join(",");
            let (register, zone) = (each(&registered), each(&laid.zones));
            let (listen, at) = (each(&laid.listens), each(&laid.advertise));
            let mut args = vec!["simulated", "planners"];
            args.extend(files[from..to].iter().map(String::as_str));
            let more = ["--register", &register, "--listen", &listen, "--advertise", &at, "--zone", &zone];
            let process = Process::that_listens(&[&args[..], &more].concat())?;
            laid.hollow.push(process);
            // With parts each visits all machines when it begins: a few at a time.
            laid.seats(m.real + to - real).await?;
            laid.visited(from, to).await?;
        }
        laid.seats_after_s = begun.elapsed().as_secs_f64();
        progress("all seats are taken; machines are linked");
        let until = Instant::now() + PATIENCE;
        while laid.linked().await? < m.machines {
            if Instant::now() > until {
                return Err(io::Error::other(format!(
                    "{} of {} machines are linked to a planner after {} s",
                    laid.linked().await?,
                    m.machines,
                    PATIENCE.as_secs()
                )));
            }
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
        Ok(laid)
    }

    /// Waits until so many have seats.
    async fn seats(&mut self, count: usize) -> io::Result<()> {
        let until = Instant::now() + PATIENCE;
        while self.seated.len() < count {
            let mut all: Vec<&mut Process> = self.real.iter_mut().flatten().chain(&mut self.hollow).collect();
            let (_, line) = next_line(&mut all, until).await?;
            self.sits(&line);
        }
        Ok(())
    }

    /// Takes in who was seated meanwhile.
    fn sit(&mut self) -> io::Result<()> {
        let mut lines = Vec::new();
        for process in self.real.iter_mut().flatten().chain(&mut self.hollow) {
            while let Some(line) = process.line().now_or_never() {
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
            let args = ["planner", "--planner", &self.advertise[s.place], "-o", "json"];
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
        let Some(place) = self.listens.iter().position(|l| *l == listening) else { return };
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
            sum += process.answer("tell").await?[field].as_u64().unwrap_or(0);
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
        let to: Vec<&str> = at.iter().chain(&spares).map(|n| self.listens[*n].as_str()).collect();
        for n in 0..2u64 {
            let (rate, runs) = ((m.asked_rate() / 2.0).to_string(), m.runs_s().to_string());
            let (seed, tenants) = ((m.seed * 2 + n).to_string(), m.tenants.to_string());
            let (planners, conns) = (to.join(","), at.len().to_string());
            let args = ["simulated", "clients", "--planners", &planners, "--conns", &conns, "--rate", &rate];
            let more = ["--runs", &runs, "--tenants", &tenants, "--seed", &seed];
            self.clients.push(Process::that_listens(&[&args[..], &more].concat())?);
        }
        Ok(())
    }

    /// The measured time begins.
    pub async fn begin(&mut self) -> io::Result<Reading> {
        for clients in &mut self.clients {
            clients.say("begin").await?;
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
            if mib > MOST_MIB {
                return Err(io::Error::other(format!("the run uses {mib:.0} MiB; {MOST_MIB} at most")));
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
            ("hollow planners", all(&self.hollow)),
            ("voter", all(&self.voters)),
            ("register", all(&self.registers[..1])),
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
        let own_s = processes::used_by(std::process::id())?.cpu_s;
        let busy_s = processes::busy_s()?;
        Ok(Reading { at, used, own_s, busy_s, traffic: self.traffic().await? })
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
            let told = process.answer("tell").await?;
            for (planner, of) in told["planners"].as_object().into_iter().flatten() {
                of_ends.entry(planner.clone()).or_default().add(&turned(&Traffic::read(of)));
            }
        }
        let mut found = BTreeMap::new();
        for s in &self.seated {
            let mut sum = of_ends.get(&s.seat).copied().unwrap_or_default();
            sum.add(&turned(&self.to_voters[s.place].traffic.borrow()));
            sum.add(&turned(&self.to_register[s.place].traffic.borrow()));
            sum.add(&self.before[s.place].0.traffic.borrow());
            for (way, _) in &self.before {
                if let Some(of) = way.by.borrow().get(&s.seat) {
                    sum.add(&turned(of));
                }
            }
            found.insert(s.place, sum);
        }
        Ok(found)
    }

    /// Seconds of processor time of all real planners, and of all hollow ones.
    pub fn used_by_sort(&self) -> io::Result<[f64; 2]> {
        let sum = |all: &mut dyn Iterator<Item = &Process>| -> io::Result<f64> {
            all.map(|p| Ok(p.used()?.cpu_s)).sum()
        };
        Ok([sum(&mut self.real.iter().flatten())?, sum(&mut self.hollow.iter())?])
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
            process.say(word).await?;
        }
        Ok(())
    }

    /// RelayControl between planners of one region and of the others: what the one says (`from`), and what it
    /// hears (`to`).
    fn cut(&self, from: bool, to: bool) {
        let region = |s: &Seated| site::region_of(&self.zones[s.place]) == self.measure.region;
        for listener in &self.seated {
            for dialler in self.seated.iter().filter(|d| region(d) != region(listener)) {
                // From who dials, and back to it.
                let cut = if region(dialler) { (from, to) } else { (to, from) };
                self.before[listener.place].1.cut_by_peer.borrow_mut().insert(dialler.seat.clone(), cut);
            }
        }
    }

    /// The measured time is over: all that was found.
    pub async fn end(&mut self, before: Reading) -> io::Result<Value> {
        let now = self.read().await?;
        let running = self.machine_sum("running").await?;
        let others = self.machine_sum("others").await?;
        let links = self.machine_sum("links").await?;
        let refused = self.machine_sum("refused").await?;
        let mut load = Vec::new();
        for clients in &mut self.clients {
            clients.say("stop").await?;
        }
        progress("what is open ends");
        // The longest limit, and its grace.
        let until = Instant::now() + Duration::from_secs(13);
        loop {
            load.clear();
            for clients in &mut self.clients {
                load.push(clients.answer("tell").await?);
            }
            if load.iter().all(|l| l["open"] == 0) || Instant::now() > until {
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        // Machines that restarted at the end are linked anew, and seats that moved are taken.
        let until = Instant::now() + Duration::from_secs(20);
        let (mut linked, mut holders) = (self.linked().await?, self.holders().await?);
        while (linked < self.measure.machines || holders < self.measure.planners) && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(250)).await;
            (linked, holders) = (self.linked().await?, self.holders().await?);
        }
        let seconds = (now.at - before.at).as_secs_f64();
        let busy = (now.busy_s - before.busy_s) / seconds;
        let sum =
            |r: &Reading| r.used.iter().flat_map(|x| &x.1).flatten().map(|u| u.cpu_s).sum::<f64>() + r.own_s;
        let own = (sum(&now) - sum(&before)) / seconds;
        let roles = roles_of(&before, &now, seconds);
        let (traffic, planner_traffic) = traffic_of(&before, &now, seconds);
        let (load, laws_of_load) = load_of(&load);
        let sum = |field: &str| laws_of_load[field].as_u64().unwrap_or(0);
        let answered = sum("asked") == sum("answered") && sum("again") == 0 && sum("asked") > 0;
        let (mut adds_up, mut planners_add_up) = (None, None);
        if self.measure.counters {
            adds_up = Some(self.adds_up().await?);
            planners_add_up = self.planners_add_up().await?;
        }
        Ok(json!({
            "roles": roles,
            "traffic": traffic,
            "planner_traffic": planner_traffic,
            "load": load,
            "laws": {
                "seats_taken": holders, "all_seated": holders == self.measure.planners,
                "machines_linked": linked, "all_machines_linked": linked == self.measure.machines,
                "asked": laws_of_load["asked"], "answered": laws_of_load["answered"],
                "answered_again": laws_of_load["again"], "one_answer_a_task": answered,
                "counters_add_up": adds_up, "planners_counters_add_up": planners_add_up,
            },
            "seen": {
                "all_seated_after_s": rounded(self.seats_after_s, 10.0),
                "seated_again_after_s": self.reseated_s,
                "seats_that_moved": self.moved,
                "running": running,
                "running_of_hollow_planners": others,
                "links_a_machine": rounded(links as f64 / self.measure.machines as f64, 100.0),
                "urgent_target_ms": URGENT_MS,
                "refused_by_machines": refused,
                "measured_s": rounded(seconds, 10.0),
                "most_mib": self.most_mib.round(),
                "cores_busy": rounded(busy, 100.0),
                "cores_busy_by_others": rounded((busy - own).max(0.0), 100.0),
            },
        }))
    }

    /// Real planners that are seated: seat and place.
    fn measured(&self) -> Vec<(String, usize)> {
        let real = self.measure.real + self.measure.spares();
        self.seated.iter().filter(|s| s.place < real).map(|s| (s.seat.clone(), s.place)).collect()
    }

    /// Whether what the register counted of each real planner, by kind, adds up to the bytes that a relay
    /// between them carried: at some moment at which nothing is under way.
    async fn adds_up(&mut self) -> io::Result<bool> {
        let mut left = self.measured();
        for _ in 0..200 {
            let told = self.registers[0].answer("tell").await?;
            left.retain(|(seat, place)| {
                let (way, of) = (&self.to_register[*place], Traffic::read(&told["planners"][seat]));
                let kinds = *way.traffic.borrow() == of;
                !(kinds && way.carried.get() == of.bytes() && of.bytes() > 0)
            });
            if left.is_empty() {
                return Ok(true);
            }
            tokio::time::sleep(Duration::from_millis(7)).await;
        }
        tracing::error!(?left, "what the register counted is not what the relays before it carried");
        Ok(false)
    }

    /// Whether what each real planner counts itself, by kind, lies between what the far ends of its links
    /// counted before it was asked and after; none where planners do not count. It is asked through the relay
    /// before it, so that the question is counted at both ends, too.
    async fn planners_add_up(&mut self) -> io::Result<Option<bool>> {
        let mut left = self.measured();
        for _ in 0..50 {
            let mut still = Vec::new();
            for (seat, place) in left {
                let before = self.each().await?;
                let args = ["planner", "--planner", &self.advertise[place], "-o", "json"];
                let out = tokio::process::Command::new(std::env::current_exe()?).args(args).output().await?;
                let told: Value = serde_json::from_slice(&out.stdout).unwrap_or_default();
                if told["traffic"].is_null() {
                    return Ok(None);
                }
                let (own, after) = (Traffic::read(&told["traffic"]), self.each().await?);
                let of = |all: &BTreeMap<usize, Traffic>| all.get(&place).copied().unwrap_or_default();
                let (before, after) = (of(&before), of(&after));
                let within = |n: usize| {
                    let four = |t: &Traffic| {
                        let c = t.0[n];
                        [c.bytes_in, c.bytes_out, c.frames_in, c.frames_out]
                    };
                    let (least, own, most) = (four(&before), four(&own), four(&after));
                    (0..4).all(|i| (least[i]..=most[i]).contains(&own[i]))
                };
                let off: Vec<&str> = (0..KINDS.len()).filter(|n| !within(*n)).map(|n| KINDS[n]).collect();
                if !off.is_empty() {
                    tracing::info!(seat, ?off, ?before, ?own, ?after, "a planner's counts");
                    still.push((seat, place));
                }
            }
            left = still;
            if left.is_empty() {
                return Ok(Some(true));
            }
        }
        tracing::error!(?left, "what planners counted is not what the far ends of their links did");
        Ok(Some(false))
    }

    /// Seats that most voters have with a holder.
    async fn holders(&mut self) -> io::Result<usize> {
        let args = ["council", &self.file, "-o", "json"];
        let out = tokio::process::Command::new(std::env::current_exe()?).args(args).output().await?;
        let rows: Value = serde_json::from_slice(&out.stdout).unwrap_or_default();
        let mut by: BTreeMap<(String, u64), usize> = BTreeMap::new();
        for row in rows.as_array().into_iter().flatten() {
            let seat = row["duty"].as_str().unwrap_or("");
            if seat.starts_with(crate::council::SEATS) && row["state"] == "vote is out" {
                *by.entry((seat.to_owned(), row["token"].as_u64().unwrap_or(0))).or_default() += 1;
            }
        }
        Ok(by.values().filter(|n| **n > self.measure.voters / 2).count())
    }
}

/// By role: mean and largest of what a process used.
fn roles_of(before: &Reading, now: &Reading, seconds: f64) -> Value {
    let row = |(role, all): &(&str, Vec<Option<Used>>), was: &[Option<Used>]| {
        let both: Vec<(Used, Used)> = all.iter().zip(was).filter_map(|(a, b)| Some(((*a)?, (*b)?))).collect();
        let n = both.len().max(1) as f64;
        let cpu: Vec<f64> = both.iter().map(|(a, b)| (a.cpu_s - b.cpu_s) / seconds * 100.0).collect();
        let most = |of: &mut dyn Iterator<Item = f64>| of.fold(0.0, f64::max);
        json!({
            "role": role, "processes": both.len(),
            "cpu_percent": rounded(cpu.iter().sum::<f64>() / n, 100.0),
            "cpu_percent_most": rounded(most(&mut cpu.iter().copied()), 100.0),
            "mib": rounded(both.iter().map(|b| b.0.mib).sum::<f64>() / n, 10.0),
            "mib_most": rounded(most(&mut both.iter().map(|b| b.0.mib)), 10.0),
            "descriptors_most": both.iter().map(|b| b.0.descriptors).max().unwrap_or(0),
        })
    };
    now.used.iter().zip(&before.used).map(|(now, was)| row(now, &was.1)).collect()
}

/// Of real planners that had a seat all the while, a second: a row a kind with mean and largest, and all of
/// each planner. `control` is all but tasks.
fn traffic_of(before: &Reading, now: &Reading, seconds: f64) -> (Value, Value) {
    let had = now.traffic.iter().filter(|t| before.traffic.contains_key(t.0));
    let each: Vec<(&String, Traffic)> = had.map(|(s, t)| (&s.0, minus(t, before.traffic.get(s)))).collect();
    let n = each.len().max(1) as f64;
    type Part<'a> = &'a dyn Fn(&Traffic) -> (u64, u64);
    let row = |kind: &str, part: Part| {
        let all: Vec<(u64, u64)> = each.iter().map(|(_, t)| part(t)).collect();
        let mean = |of: &dyn Fn(&(u64, u64)) -> u64| {
            rounded(all.iter().map(of).sum::<u64>() as f64 / n / seconds, 10.0)
        };
        let most = all.iter().map(|a| a.0).max().unwrap_or(0) as f64 / seconds;
        json!({"kind": kind, "bytes_a_s": mean(&|a| a.0), "bytes_a_s_most": rounded(most, 10.0),
            "frames_a_s": mean(&|a| a.1)})
    };
    let of = |t: &Traffic, kinds: &dyn Fn(&str) -> bool| {
        let counts = t.0.iter().zip(KINDS).filter(|c| kinds(c.1)).map(|c| c.0);
        counts.fold((0, 0), |s, c| (s.0 + c.bytes_in + c.bytes_out, s.1 + c.frames_in + c.frames_out))
    };
    let mut rows: Vec<Value> = KINDS.iter().map(|kind| row(kind, &|t| of(t, &|k| k == *kind))).collect();
    let control = |k: &str| k != "tasks";
    rows.push(row("control", &|t| of(t, &control)));
    let planners: Map<String, Value> = each.iter().map(|(s, t)| ((*s).clone(), t.view())).collect();
    (Value::Array(rows), Value::Object(planners))
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
