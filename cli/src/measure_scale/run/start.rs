//! Starts the processes of a run, with relays between them.
use super::{Planners, ScaleRun, PATIENCE};
use crate::measure_scale::{progress, site, Fault, Measure};
use crate::processes::Process;
use basaltpitch_testbed::process_harness::free_addresses;
use basaltpitch_testbed::relay::{self, RelayControl};
use basaltpitch_testbed::scale::traffic::{self, RelayCounts};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Processes that registries, machines and voters are in.
struct Fleet {
    registries: Vec<Process>,
    machines: Vec<Process>,
    voters: Vec<Process>,
    /// Where registries listen: one that lists the machines, and one that lists nothing.
    registry_addresses: Vec<String>,
}

async fn start_fleet(measure: &Measure, file: &str, folder: &Path) -> io::Result<Fleet> {
    progress("registers and machines start");
    let (mut registries, mut registry_addresses) = (Vec::new(), Vec::new());
    for _ in 0..2 {
        let mut registry = Process::start_with_commands(&["simulated", "register"])?;
        let line = registry.read_line().await?;
        registry_addresses.push(line["register"].as_str().unwrap_or("").to_owned());
        registries.push(registry);
    }
    let machines = start_machines(measure, file, &registry_addresses[0]).await?;
    progress("voters and planners start");
    let state = folder.join("state").display().to_string();
    let mut voters = Vec::new();
    for n in 0..measure.voters {
        let name = format!("v{n}");
        let mut voter = Process::start(&["voter", file, "--name", &name, "--state", &state])?;
        voter.read_line().await?;
        voters.push(voter);
    }
    Ok(Fleet { registries, machines, voters, registry_addresses })
}

async fn start_machines(measure: &Measure, file: &str, registry: &str) -> io::Result<Vec<Process>> {
    let (seed, restarts) = (measure.seed.to_string(), measure.restarts.to_string());
    let mut machines = Vec::new();
    for first in (0..measure.machines).step_by(measure.machines_per_process()) {
        let count = measure.machines_per_process().min(measure.machines - first);
        // What simulated planners would place takes capacity all the same, and changes the list.
        let share = count as f64 / measure.machines as f64;
        let absent = (measure.rate - measure.real_rate()).max(0.0) * share;
        let (first, count) = (first.to_string(), count.to_string());
        let (absent, runs) = (absent.to_string(), measure.runs_s().to_string());
        let args = ["simulated", "machines", file, "--first", &first, "--count", &count];
        let more = ["--register", registry, "--seed", &seed, "--restarts", &restarts];
        let load = ["--others", &absent, "--runs", &runs];
        machines.push(Process::start_with_commands(&[&args[..], &more, &load].concat())?);
    }
    for process in &mut machines {
        process.read_line().await?;
    }
    Ok(machines)
}

/// The relays before planners: one that counts, and one that may be cut; and where planners are reached.
async fn start_relays_before(
    measure: &Measure,
    listens: &[String],
) -> io::Result<(Vec<(Rc<RelayCounts>, Rc<RelayControl>)>, Vec<String>)> {
    let (mut relays, mut advertised) = (Vec::new(), Vec::new());
    let cuts = matches!(measure.faults, Fault::Cut | Fault::OneWay);
    for listen in listens {
        let (counts, control) = (Rc::new(RelayCounts::default()), Rc::new(RelayControl::default()));
        let to = if cuts { relay::start(listen.clone(), control.clone()).await? } else { listen.clone() };
        advertised.push(traffic::relay(to, counts.clone()).await?);
        relays.push((counts, control));
    }
    Ok((relays, advertised))
}

/// What planners are started with, by their places.
struct PlannerFiles {
    files: Vec<String>,
    /// Where each reaches its registry.
    registries: Vec<String>,
    to_voters: Vec<Rc<RelayCounts>>,
    to_registry: Vec<Rc<RelayCounts>>,
}

impl ScaleRun {
    /// Starts everything, and waits until all slots are taken and all machines are linked.
    pub async fn start(measure: &Measure, folder: &Path) -> io::Result<ScaleRun> {
        let (real, simulated) = (measure.real + measure.spares(), measure.simulated_planners());
        let mut voter_addresses = free_addresses(measure.voters + real + simulated)?;
        let listens = voter_addresses.split_off(measure.voters);
        let file = write_site(measure, folder, "site.rec", &voter_addresses)?;
        let zones = site::zones();
        let zones: Vec<String> = (0..real + simulated).map(|n| zones[n % zones.len()].to_owned()).collect();
        let Fleet { registries, machines, voters, registry_addresses } =
            start_fleet(measure, &file, folder).await?;
        let (before, advertise) = start_relays_before(measure, &listens).await?;
        let begun = Instant::now();
        let planners = Planners { zones, listens, advertise };
        let files =
            write_planner_files(measure, folder, (&voter_addresses, &registry_addresses), real + simulated)
                .await?;
        let mut run = ScaleRun {
            measure: measure.clone(),
            seated: Vec::new(),
            real: start_real(&planners, &files, real)?,
            planners,
            simulated: Vec::new(),
            machines,
            registries,
            voters,
            clients: Vec::new(),
            to_voters: files.to_voters.clone(),
            to_registry: files.to_registry.clone(),
            before,
            seats_after_s: 0.0,
            most_mib: 0.0,
            file,
            reseated_s: None,
            moved: 0,
        };
        // The real ones have slots before simulated ones ask for any.
        run.seats(measure.real).await?;
        run.visited(0, real).await?;
        run.start_simulated(&files, real..real + simulated).await?;
        run.seats_after_s = begun.elapsed().as_secs_f64();
        progress("all seats are taken; machines are linked");
        run.wait_for_links().await?;
        Ok(run)
    }

    async fn start_simulated(
        &mut self,
        files: &PlannerFiles,
        places: std::ops::Range<usize>,
    ) -> io::Result<()> {
        let each = self.measure.planners_per_process();
        for from in places.clone().step_by(each) {
            let to = (from + each).min(places.end);
            let joined = |all: &[String]| all[from..to].join(",");
            let (registry, zone) = (joined(&files.registries), joined(&self.planners.zones));
            let (listen, advertise) = (joined(&self.planners.listens), joined(&self.planners.advertise));
            let mut args = vec!["simulated", "planners"];
            args.extend(files.files[from..to].iter().map(String::as_str));
            args.extend(["--register", &registry, "--listen", &listen, "--advertise", &advertise]);
            args.extend(["--zone", &zone]);
            self.simulated.push(Process::start_with_commands(&args)?);
            // With subsets each visits all machines when it begins: a few at a time.
            self.seats(self.measure.real + to - places.start).await?;
            self.visited(from, to).await?;
        }
        Ok(())
    }

    async fn wait_for_links(&mut self) -> io::Result<()> {
        let until = Instant::now() + PATIENCE;
        while self.linked().await? < self.measure.machines {
            if Instant::now() > until {
                return Err(io::Error::other(format!(
                    "{} of {} machines are linked to a planner after {} s",
                    self.linked().await?,
                    self.measure.machines,
                    PATIENCE.as_secs()
                )));
            }
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
        Ok(())
    }
}

fn write_site(measure: &Measure, folder: &Path, name: &str, voters: &[String]) -> io::Result<String> {
    let path = folder.join(name);
    std::fs::write(&path, measure.installation_params().text(voters)).map(|()| path.display().to_string())
}

/// Votes and lists are counted apart for each planner.
async fn write_planner_files(
    measure: &Measure,
    folder: &Path,
    (voters, registries): (&[String], &[String]),
    count: usize,
) -> io::Result<PlannerFiles> {
    let mut all = PlannerFiles { files: vec![], registries: vec![], to_voters: vec![], to_registry: vec![] };
    for n in 0..count {
        let (counts, mut relays) = (Rc::new(RelayCounts::default()), Vec::new());
        for to in voters {
            relays.push(traffic::relay(to.clone(), counts.clone()).await?);
        }
        all.files.push(write_site(measure, folder, &format!("planner-{n}.rec"), &relays)?);
        all.to_voters.push(counts);
        let counts = Rc::new(RelayCounts::default());
        let lists = n < measure.real + measure.spares() || measure.hollow_links();
        let registry = registries[usize::from(!lists)].clone();
        all.registries.push(traffic::relay(registry, counts.clone()).await?);
        all.to_registry.push(counts);
    }
    Ok(all)
}

fn start_real(planners: &Planners, files: &PlannerFiles, count: usize) -> io::Result<Vec<Option<Process>>> {
    let start = |n: usize| {
        let (file, registry, zone) = (&files.files[n], &files.registries[n], &planners.zones[n]);
        let args = ["serve", file, "--seat", "any", "--register", registry, "--zone", zone];
        let addresses = ["--listen", &planners.listens[n], "--advertise", &planners.advertise[n]];
        Process::start(&[&args[..], &addresses].concat()).map(Some)
    };
    (0..count).map(start).collect()
}
