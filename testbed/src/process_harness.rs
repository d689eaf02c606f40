//! Voters, planners under seats, and spares as processes of their own. Each process reaches the voters
//! through relays of its own, and others reach each planner through one; processes are killed, stopped,
//! woken and told to stop, their links cut. What each prints says who is seated, so the time that a seat
//! stands without a planner is known from outside.
use crate::client::PlannerAddresses;
use crate::drill_config::DrillConfig;
use crate::fault_scenario::{drawn, PlannerControl, ScheduledFault};
use crate::machine::TestbedContext;
use crate::relay::{self, RelayControl};
use basaltpitch_config::ResolvedValue;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rustix::process::{kill_process, Pid, Signal};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::io;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// DrillConfig seats went from process to process.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SlotReport {
    pub hand_overs: u64,
    /// Share of the time of all seats in which a planner that nothing had struck stood under them.
    pub held: f64,
    /// By trouble: from its strike to the line of the successor, in terms.
    pub by_trouble: Vec<TakeoverTimes>,
    /// From a holder's death to the first launch of its successor.
    pub first_launch: Option<TakeoverTimes>,
    /// From the beginning of the roll to the last machine's restart.
    pub roll_s: Option<f64>,
    /// What must not be: an epoch that did not rise, a seat that nobody has at the end, a process that ended.
    pub faults: Vec<String>,
}

#[derive(Clone, Debug, Serialize)]
pub struct TakeoverTimes {
    pub trouble: String,
    pub count: u64,
    pub median_terms: f64,
    pub p99_terms: f64,
    pub most_terms: f64,
}

/// A line that `serve` prints whenever it is seated.
#[derive(serde::Deserialize)]
struct Seated {
    listening: String,
    name: String,
    epoch: u64,
}

/// One process, and its ways to the voters.
struct Process {
    name: String,
    args: Vec<String>,
    child: RefCell<Option<Child>>,
    /// Set until it has ended: one that was stopped is woken while its end is waited for.
    pid: Cell<Option<Pid>>,
    /// It was killed or told to stop: that it ended is no fault.
    ends: Cell<bool>,
    /// Of planners: the seat that it last said it has, and under which epoch.
    seat: Cell<Option<(usize, u64)>>,
    ways: Vec<Rc<RelayControl>>,
    /// Of planners: the way to it of other planners.
    between: Rc<RelayControl>,
    /// Of voters: where it keeps what it voted.
    state: Option<PathBuf>,
}

#[derive(Default)]
struct Seat {
    epoch: Cell<u64>,
    holder: Cell<Option<usize>>,
    /// When its holder was struck, and by what, until another is seated.
    struck: RefCell<Option<(i64, String)>>,
    since: Cell<Option<i64>>,
    /// Microseconds without a holder that nothing had struck.
    without: Cell<i64>,
}

pub struct ProcessHarness {
    me: std::rc::Weak<ProcessHarness>,
    how: Rc<DrillConfig>,
    zones: Vec<String>,
    world: Rc<TestbedContext>,
    front: PlannerAddresses,
    term_us: i64,
    /// The installation's files, with the voters' own addresses: operators are not cut off.
    files: Vec<String>,
    seats: Vec<Seat>,
    /// Those that were seated first and the spares; then the voters.
    planners: Vec<Process>,
    voters: Vec<Process>,
    /// SlotReport that the others are cut off from, and whether those hear the others all the same.
    apart: RefCell<Option<(BTreeSet<usize>, bool)>>,
    /// Processes that `kill` ended and `start` brings back, by the seat that was struck.
    dead: RefCell<BTreeMap<usize, usize>>,
    gaps: RefCell<BTreeMap<String, Histogram<u64>>>,
    faults: RefCell<Vec<String>>,
}

/// An installation's file of the council with these ways to the voters.
fn council_file(folder: &Path, name: &str, seats: &ResolvedValue, ways: &[String]) -> io::Result<PathBuf> {
    let time = |field: &str| seats.duration_us(field).unwrap_or(1_000_000);
    let voters = ways.iter().enumerate().map(|(n, a)| format!("{{name: \"voter-{n}\", address: {a:?}}}"));
    let (term, drift, voters) = (time("term"), time("drift"), voters.collect::<Vec<_>>().join(", "));
    let file = folder.join(format!("{name}.rec"));
    let parts =
        seats.number("copies").map_or(String::new(), |copies| format!("parts: {{copies: {copies}}}\n"));
    let council = format!("council: {{term: {term}us, drift: {drift}us, voters: [{voters}]}}\n{parts}");
    std::fs::write(&file, council)?;
    Ok(file)
}

/// Loopback addresses of this process's own for voters and planners, each another: a port that was free a
/// moment ago on the usual one may go to another process before its owner has it.
pub fn free_addresses(count: usize) -> io::Result<Vec<String>> {
    let id = std::process::id();
    let host = format!("127.{}.{}.{}", 64 + id / 65_536 % 32, id / 256 % 256, id % 254 + 1);
    let bound = |_| std::net::TcpListener::bind((host.as_str(), 0));
    let all: Vec<std::net::TcpListener> = (0..count).map(bound).collect::<io::Result<_>>()?;
    all.iter().map(|l| Ok(l.local_addr()?.to_string())).collect()
}

/// Of microseconds.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("bounds that are in order")
}

impl ProcessHarness {
    /// Lays out voters and planners of `day.seats`; nothing is started yet.
    pub async fn new(
        how: Rc<DrillConfig>,
        day: &ResolvedValue,
        world: Rc<TestbedContext>,
        front: PlannerAddresses,
        register: &str,
        folder: &Path,
    ) -> io::Result<Rc<ProcessHarness>> {
        let seats = day.get("seats").ok_or_else(|| io::Error::other("the day has no seats"))?;
        if how.installation.all.get("council").is_some() {
            let why =
                "found a council beside day.seats; expected one of them: the drill starts voters itself";
            return Err(io::Error::other(why));
        }
        let number = |field: &str| seats.number(field).unwrap_or(1.0) as usize;
        let (count, voters) = (front.borrow().len(), number("voters"));
        let zones = how.installation.names("zones");
        // Asked for in one go: a second time could bring a voter's port once more, and whoever came later ended.
        let mut at = free_addresses(voters + count + number("spares"))?;
        let listens = at.split_off(voters);
        let mut files: Vec<String> = how.files.iter().map(|f| f.display().to_string()).collect();
        let mut all = Vec::new();
        for n in 0..voters + count + number("spares") {
            let name = if n < voters { format!("voter-{n}") } else { format!("process-{}", n - voters) };
            let (mut ways, mut through, between) = (Vec::new(), Vec::new(), Rc::new(RelayControl::default()));
            for (v, address) in at.iter().enumerate() {
                let way = Rc::new(RelayControl::default());
                let itself = n == v;
                through.push(match itself {
                    true => address.clone(),
                    false => relay::start(address.clone(), way.clone()).await?,
                });
                ways.push(way);
            }
            let file = council_file(folder, &name, seats, &through)?.display().to_string();
            let (mut args, mut state) = (vec![], None);
            if n < voters {
                args.extend(["voter".to_owned()].into_iter().chain(files.clone()));
                let kept = folder.join(&name);
                let more = [&file, "--name", &name, "--state", &kept.display().to_string()];
                args.extend(more.map(str::to_owned));
                state = Some(kept);
            } else {
                args.extend(["serve".to_owned()].into_iter().chain(files.clone()));
                let zone = &zones[n % zones.len()];
                let more = [&file, "--seat", "any", "--zone", zone, "--register", register];
                args.extend(more.map(str::to_owned));
                let listens = &listens[n - voters];
                let reached = relay::start(listens.clone(), between.clone()).await?;
                args.extend(["--listen", listens, "--advertise", &reached].map(str::to_owned));
                if let Some(folder) = &how.record {
                    args.extend(["--record".to_owned(), folder.join(&name).display().to_string()]);
                }
            }
            args.extend(["-o", "json"].map(str::to_owned));
            let (child, pid, ends, seat) =
                (RefCell::default(), Cell::default(), Cell::default(), Cell::default());
            all.push(Process { name, args, child, pid, ends, seat, ways, between, state });
        }
        files.push(council_file(folder, "operators", seats, &at)?.display().to_string());
        let planners = all.split_off(voters);
        Ok(Rc::new_cyclic(|me| ProcessHarness {
            me: me.clone(),
            how,
            zones,
            world,
            front,
            files,
            term_us: seats.duration_us("term").unwrap_or(1_000_000),
            seats: (0..count).map(|_| Seat::default()).collect(),
            planners,
            voters: all,
            apart: RefCell::default(),
            dead: RefCell::default(),
            gaps: RefCell::default(),
            faults: RefCell::default(),
        }))
    }

    /// Starts everything and waits until each seat has a planner.
    pub async fn begin(&self) -> io::Result<()> {
        (0..self.voters.len()).try_for_each(|v| self.spawn(&self.voters[v], None))?;
        (0..self.planners.len()).try_for_each(|p| self.spawn(&self.planners[p], Some(p)))?;
        for _ in 0..600 {
            if self.seats.iter().all(|s| s.holder.get().is_some()) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(io::Error::other("found seats without a planner 30 s after the start"))
    }

    fn spawn(&self, process: &Process, planner: Option<usize>) -> io::Result<()> {
        let mut command = Command::new(&self.how.binary);
        command.args(&process.args).stdout(Stdio::piped()).stdin(Stdio::null()).kill_on_drop(true);
        let mut child = command.spawn()?;
        let out = child.stdout.take().ok_or_else(|| io::Error::other("no output"))?;
        process.pid.set(child.id().and_then(|id| Pid::from_raw(id as i32)));
        process.ends.set(false);
        *process.child.borrow_mut() = Some(child);
        let (me, mut lines) = (self.me.clone(), BufReader::new(out).lines());
        tokio::task::spawn_local(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                let (Some(me), Some(planner)) = (me.upgrade(), planner) else { continue };
                if let Ok(seated) = serde_json::from_str(&line) {
                    me.seated(planner, seated);
                }
            }
        });
        Ok(())
    }

    /// A process says that it has a seat.
    fn seated(&self, planner: usize, line: Seated) {
        let number = line.name.rsplit('-').next().and_then(|n| n.parse::<usize>().ok());
        let Some((n, seat)) = number.and_then(|n| Some((n, self.seats.get(n)?))) else {
            return self.faults.borrow_mut().push(format!("found seat {:?}", line.name));
        };
        let now = self.world.clock.now();
        if line.epoch <= seat.epoch.get() {
            let (before, who) = (seat.epoch.get(), &self.planners[planner].name);
            let what = format!("{} of {who}: epoch {} after {before}", line.name, line.epoch);
            self.faults.borrow_mut().push(what);
        }
        if seat.since.get().is_none() {
            seat.since.set(Some(now));
        } else {
            // One that nothing struck lost it by itself: a machine that stalls, or a voter that went.
            let (at, by) = seat.struck.take().unwrap_or((now, "nothing".into()));
            seat.without.set(seat.without.get() + now - at);
            let mut gaps = self.gaps.borrow_mut();
            gaps.entry(by).or_insert_with(new_histogram).saturating_record((now - at).max(1) as u64);
        }
        for p in &self.planners {
            p.seat.set(p.seat.get().filter(|s| s.0 != n));
        }
        seat.epoch.set(line.epoch);
        seat.holder.set(Some(planner));
        self.planners[planner].seat.set(Some((n, line.epoch)));
        // SlotReport stay on their side of a cut, whichever process has them.
        self.cut_between();
        self.front.borrow_mut()[n] = line.listening;
    }

    /// A seat's holder is struck; its time without a planner begins.
    fn strike(&self, n: usize, by: &str) {
        let now = self.world.clock.now();
        self.seats[n].struck.borrow_mut().get_or_insert_with(|| (now, by.to_owned()));
    }

    /// A trouble of this holder is over. Where it still has the seat two terms later, it never lost it.
    async fn healed(&self, n: usize, p: usize, epoch: u64) {
        tokio::time::sleep(Duration::from_micros(2 * self.term_us as u64)).await;
        let seat = &self.seats[n];
        if seat.holder.get() == Some(p) && seat.epoch.get() == epoch {
            seat.struck.take();
        }
    }

    fn signal(&self, process: &Process, signal: Signal) {
        self.look(process);
        process.ends.set(process.ends.get() || matches!(signal, Signal::KILL | Signal::TERM));
        if let Some(pid) = process.pid.get() {
            let _ = kill_process(pid, signal);
        }
    }

    /// A process that nothing has ended must run, also if a trouble would end it next.
    fn look(&self, process: &Process) {
        let ended = process.child.borrow_mut().as_mut().and_then(|child| child.try_wait().ok().flatten());
        if let Some(status) = ended.filter(|_| !process.ends.get()) {
            process.ends.set(true);
            self.faults.borrow_mut().push(format!("{} ended by itself: {status}", process.name));
        }
    }

    /// Kills a process and takes it away; a planner's owners are owed no answer any more.
    async fn end(&self, process: &Process, signal: Signal) {
        if let Some((n, epoch)) = process.seat.take() {
            let (now, name) = (self.world.clock.now(), format!("planner-{n}"));
            self.world.checker.borrow_mut().planner_killed(now, &name, epoch);
        }
        self.signal(process, signal);
        let child = process.child.borrow_mut().take();
        if let Some(mut child) = child {
            match tokio::time::timeout(Duration::from_secs(10), child.wait()).await {
                Ok(Ok(status)) if signal == Signal::TERM && !status.success() => {
                    self.faults.borrow_mut().push(format!("{}, told to stop: {status}", process.name));
                }
                Ok(_) => {}
                Err(_) => {
                    self.faults.borrow_mut().push(format!("{} did not end in 10 s", process.name));
                    let _ = child.kill().await;
                }
            }
            process.pid.set(None);
        }
    }

    fn back(&self, process: &Process, planner: Option<usize>) {
        if let Err(e) = self.spawn(process, planner) {
            self.faults.borrow_mut().push(format!("{} did not come back: {e}", process.name));
        }
    }

    /// The processes that a trouble strikes, with the seats that they have: the conductor, or the holders of
    /// a drawn part of the seats, one at least.
    async fn struck(&self, t: &ScheduledFault, chance: &mut StdRng) -> Vec<(usize, Option<(usize, u64)>)> {
        let processes = if t.what.starts_with("conductor") {
            self.conductor("roll").await.into_iter().collect()
        } else if t.what.starts_with("halls") {
            self.conductor("halls").await.into_iter().collect()
        } else {
            let all = drawn((0..self.seats.len()).collect(), t.part, chance);
            all.into_iter().filter_map(|n| self.seats[n].holder.get()).collect::<Vec<usize>>()
        };
        // One that another trouble has just ended has nothing to lose.
        let there = |p: &usize| self.planners[*p].pid.get().is_some();
        let seat = |p: usize| (p, self.planners[p].seat.get());
        let struck: Vec<_> = processes.into_iter().filter(there).map(seat).collect();
        struck.iter().filter_map(|s| s.1).for_each(|(n, _)| self.strike(n, &t.what));
        struck
    }

    /// A command of the binary about the installation, as an operator gives it; what it prints.
    async fn command(&self, name: &str, more: &[&str]) -> Option<serde_json::Value> {
        let files = self.files.iter().map(String::as_str);
        self.run([name].into_iter().chain(files).chain(more.iter().copied())).await
    }

    async fn run<'a>(&self, args: impl Iterator<Item = &'a str>) -> Option<serde_json::Value> {
        let mut command = Command::new(&self.how.binary);
        command.args(args).args(["-o", "json"]).kill_on_drop(true);
        let out = command.stderr(Stdio::inherit()).output().await.ok()?;
        serde_json::from_slice(&out.stdout).ok()
    }

    /// Which process has this duty, as most voters have it.
    async fn conductor(&self, duty: &str) -> Option<usize> {
        let rows = self.command("council", &[]).await?;
        let out = |r: &&serde_json::Value| r["duty"] == *duty && r["state"] == "vote is out";
        let holders: Vec<&str> =
            rows.as_array()?.iter().filter(out).filter_map(|r| r["holder"].as_str()).collect();
        let most =
            holders.iter().find(|h| 2 * holders.iter().filter(|o| o == h).count() > self.voters.len())?;
        let pid = most.strip_prefix("process-")?.split(' ').next()?.parse::<i32>().ok()?;
        self.planners.iter().position(|p| p.pid.get().is_some_and(|x| x.as_raw_pid() == pid))
    }

    /// Operators begin a roll of a zone, so many machines at once.
    async fn roll(&self, t: &ScheduledFault) {
        let zone = t.zone.clone().unwrap_or_else(|| self.zones[0].clone());
        let at_once = t.size as usize;
        let now = self.world.clock.now();
        self.world.checker.borrow_mut().rolling_restart_started(now, at_once, &zone);
        let at_once = at_once.to_string();
        let times = ["--empty-within", "4", "--restart-within", "6"];
        let begun =
            self.command("roll", &[&["--zone", &zone, "--at-once", &at_once][..], &times].concat()).await;
        if begun.is_none() {
            self.faults.borrow_mut().push(format!("the roll of {zone} was not taken"));
        }
    }

    /// Processes die, or are told to stop, and come back as spares.
    async fn lose(&self, t: &ScheduledFault, chance: &mut StdRng, signal: Signal) {
        let gone = self.struck(t, chance).await;
        for &(p, _) in &gone {
            self.signal(&self.planners[p], signal);
        }
        for &(p, _) in &gone {
            self.end(&self.planners[p], signal).await;
        }
        tokio::time::sleep(Duration::from_micros(t.for_us as u64)).await;
        gone.iter().for_each(|&(p, _)| self.back(&self.planners[p], Some(p)));
    }

    async fn stop(&self, t: &ScheduledFault, chance: &mut StdRng) {
        let stopped = self.struck(t, chance).await;
        for &(p, seat) in &stopped {
            if let Some((n, life)) = seat {
                let now = self.world.clock.now();
                self.world.checker.borrow_mut().planner_stopped(now, &format!("planner-{n}"), life);
            }
            self.signal(&self.planners[p], Signal::STOP);
        }
        tokio::time::sleep(Duration::from_micros(t.for_us as u64)).await;
        stopped.iter().for_each(|s| self.signal(&self.planners[s.0], Signal::CONT));
        tokio::time::sleep(Duration::from_micros(self.term_us as u64)).await;
        for (p, seat) in stopped {
            let Some((n, life)) = seat else { continue };
            self.world.checker.borrow_mut().planner_resumed(&format!("planner-{n}"), life);
            self.healed(n, p, life).await;
        }
    }

    /// RelayControl to the voters are cut: so many of them, this direction or that.
    async fn cut(&self, t: &ScheduledFault, chance: &mut StdRng, (to, back): (bool, bool), voters: usize) {
        let cut = self.struck(t, chance).await;
        for &(p, _) in &cut {
            for way in self.planners[p].ways.iter().take(voters) {
                (way.cut_forward.set(to), way.cut_backward.set(back)).1
            }
        }
        tokio::time::sleep(Duration::from_micros(t.for_us as u64)).await;
        for &(p, _) in &cut {
            self.planners[p]
                .ways
                .iter()
                .for_each(|w| (w.cut_forward.set(false), w.cut_backward.set(false)).1);
        }
        for (p, seat) in cut {
            if let Some((n, life)) = seat {
                self.healed(n, p, life).await;
            }
        }
    }

    /// The ways between planners, as seats are apart now: those apart are heard by nobody else, and hear
    /// nobody, or do. Voters and machines are reached by all.
    fn cut_between(&self) {
        let apart = self.apart.borrow();
        for process in &self.planners {
            let mut cut = process.between.cut_by_peer.borrow_mut();
            cut.clear();
            let (Some((apart, hear)), Some((seat, _))) = (&*apart, process.seat.get()) else { continue };
            for other in (0..self.seats.len()).filter(|o| apart.contains(o) != apart.contains(&seat)) {
                // Who dials is apart, or who is dialled: what those say is cut, and what they hear unless
                // they do.
                let cuts = if apart.contains(&other) { (true, !hear) } else { (!hear, true) };
                cut.insert(format!("planner-{other}"), cuts);
            }
        }
    }

    /// A drawn part of the seats is cut off from the other planners for a while.
    async fn set_apart(&self, t: &ScheduledFault, chance: &mut StdRng, hear: bool) {
        let all = drawn((0..self.seats.len()).collect::<Vec<usize>>(), t.part, chance);
        *self.apart.borrow_mut() = Some((all.into_iter().collect(), hear));
        self.cut_between();
        tokio::time::sleep(Duration::from_micros(t.for_us as u64)).await;
        *self.apart.borrow_mut() = None;
        self.cut_between();
    }

    /// A part of all processes dies at once, voters among them, and is back after the trouble's time.
    async fn kill_many(&self, t: &ScheduledFault, chance: &mut StdRng) {
        let planners = self.planners.iter().enumerate().map(|(p, x)| (x, Some(p)));
        let all = planners.chain(self.voters.iter().map(|v| (v, None))).collect();
        let all: Vec<_> = drawn(all, t.part, chance);
        for (process, _) in &all {
            if let Some((n, _)) = process.seat.get() {
                self.strike(n, &t.what);
            }
            self.signal(process, Signal::KILL);
        }
        for (process, _) in &all {
            self.end(process, Signal::KILL).await;
        }
        tokio::time::sleep(Duration::from_micros(t.for_us as u64)).await;
        all.into_iter().for_each(|(process, planner)| self.back(process, planner));
    }

    /// So many voters die at once and start again, this many of them without what they kept.
    async fn lose_voters(&self, t: &ScheduledFault, chance: &mut StdRng, count: usize, lost: usize) {
        let mut struck: Vec<&Process> = self.voters.iter().collect();
        struck.shuffle(chance);
        struck.truncate(count);
        for voter in &struck {
            self.end(voter, Signal::KILL).await;
        }
        for folder in struck.iter().take(lost).filter_map(|voter| voter.state.as_ref()) {
            let _ = std::fs::remove_dir_all(folder);
        }
        tokio::time::sleep(Duration::from_micros(t.for_us as u64)).await;
        struck.into_iter().for_each(|voter| self.back(voter, None));
    }

    fn all_ways(&self) -> impl Iterator<Item = &Rc<RelayControl>> {
        self.planners.iter().chain(&self.voters).flat_map(|p| &p.ways)
    }

    /// Ends all processes; how the seats fared.
    pub async fn finish(&self) -> SlotReport {
        let now = self.world.clock.now();
        self.planners.iter().chain(&self.voters).for_each(|process| self.look(process));
        let mut faults = self.faults.take();
        for (n, seat) in self.seats.iter().enumerate() {
            if let Some((at, by)) = seat.struck.take() {
                faults.push(format!("planner-{n}: nobody has it {} ms after {by}", (now - at) / 1000));
                seat.without.set(seat.without.get() + now - at);
            }
        }
        for machine in self.world.checker.borrow().machines_not_restarted() {
            faults.push(format!("{machine}: not restarted by the roll"));
        }
        for process in self.planners.iter().chain(&self.voters) {
            let child = process.child.borrow_mut().take();
            let Some(mut child) = child else { continue };
            let _ = child.kill().await;
            process.pid.set(None);
        }
        let all: i64 = self.seats.iter().map(|s| s.since.get().map_or(0, |at| now - at)).sum();
        let without: i64 = self.seats.iter().map(|s| s.without.get()).sum();
        let terms = |us: u64| (us as f64 / self.term_us as f64 * 100.0).round() / 100.0;
        let gaps = self.gaps.take();
        let figures = |trouble: &str, h: &Histogram<u64>| TakeoverTimes {
            trouble: trouble.to_owned(),
            count: h.len(),
            median_terms: terms(h.value_at_quantile(0.5)),
            p99_terms: terms(h.value_at_quantile(0.99)),
            most_terms: terms(h.max()),
        };
        let by_trouble = gaps.iter().map(|(trouble, h)| figures(trouble, h));
        let mut launches = new_histogram();
        let checker = self.world.checker.borrow();
        checker.takeover_times_us().iter().for_each(|&us| launches.saturating_record(us.max(1) as u64));
        SlotReport {
            hand_overs: gaps.values().map(Histogram::len).sum(),
            held: 1.0 - without as f64 / all.max(1) as f64,
            by_trouble: by_trouble.collect(),
            roll_s: checker.rolling_restart_us().map(|us| us as f64 / 1e6),
            first_launch: (!launches.is_empty()).then(|| figures("first launch", &launches)),
            faults,
        }
    }
}

impl PlannerControl for ProcessHarness {
    fn count(&self) -> usize {
        self.seats.len()
    }

    fn zone(&self, planner: usize) -> String {
        let process = self.seats[planner].holder.get().unwrap_or(planner);
        self.zones[(process + self.voters.len()) % self.zones.len()].clone()
    }

    fn say_lost<'a>(&'a self, zone: &'a str) -> Pin<Box<dyn Future<Output = bool> + 'a>> {
        Box::pin(async move {
            let front = self.front.borrow().clone();
            for listens in front {
                let asked = ["planner", "--planner", &listens];
                let told = self.run(asked.into_iter()).await.unwrap_or_default();
                if told["others"]["halls"]["halls"][zone]["state"] != "lost" {
                    return false;
                }
            }
            true
        })
    }

    fn wrong(&self, what: String) {
        self.faults.borrow_mut().push(what);
    }

    fn kill(&self, planner: usize) -> Pin<Box<dyn Future<Output = ()> + '_>> {
        Box::pin(async move {
            if let Some(p) = self.seats[planner].holder.get() {
                self.strike(planner, "planner_kill");
                self.end(&self.planners[p], Signal::KILL).await;
                self.dead.borrow_mut().insert(planner, p);
            }
        })
    }

    fn start(&self, planner: usize) -> Pin<Box<dyn Future<Output = ()> + '_>> {
        Box::pin(async move {
            let dead = self.dead.borrow_mut().remove(&planner);
            if let Some(p) = dead {
                self.back(&self.planners[p], Some(p));
            }
        })
    }

    fn strikes<'a>(
        &'a self,
        t: &'a ScheduledFault,
        chance: &'a mut StdRng,
    ) -> Pin<Box<dyn Future<Output = bool> + 'a>> {
        Box::pin(async move {
            let last = Duration::from_micros(t.for_us as u64);
            let voters = self.voters.len();
            match t.what.as_str() {
                "holder_kill" | "conductor_kill" | "halls_kill" => self.lose(t, chance, Signal::KILL).await,
                "holder_leaves" => self.lose(t, chance, Signal::TERM).await,
                "holder_stop" | "conductor_stop" | "halls_stop" => self.stop(t, chance).await,
                "holder_cut" => self.cut(t, chance, (true, true), voters).await,
                "holder_mute" => self.cut(t, chance, (true, false), voters).await,
                "holder_deaf" => self.cut(t, chance, (false, true), voters).await,
                "holder_alone" => self.cut(t, chance, (true, true), voters - 1).await,
                "roll" => self.roll(t).await,
                "many_killed" => self.kill_many(t, chance).await,
                "voter_kill" => self.lose_voters(t, chance, 1, 0).await,
                "voter_lost" => self.lose_voters(t, chance, 1, 1).await,
                "two_voters" => self.lose_voters(t, chance, 2, 1).await,
                "votes_late" => {
                    self.all_ways().for_each(|w| w.delay.set(Duration::from_secs_f64(t.size)));
                    tokio::time::sleep(last).await;
                    self.all_ways().for_each(|w| w.delay.set(Duration::ZERO));
                }
                "planners_apart" => self.set_apart(t, chance, false).await,
                "planners_mute" => self.set_apart(t, chance, true).await,
                "planners_late" => {
                    let late = |d| self.planners.iter().for_each(|p| p.between.delay.set(d));
                    late(Duration::from_secs_f64(t.size));
                    tokio::time::sleep(last).await;
                    late(Duration::ZERO);
                }
                "votes_reset" => self.all_ways().for_each(|w| w.resets.set(w.resets.get() + 1)),
                _ => return false,
            }
            true
        })
    }
}
