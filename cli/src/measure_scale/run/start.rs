//! Starts the processes of a scale run and the relays between them.
use super::{Planners, ScaleRun, SETUP_TIMEOUT};
use crate::measure_scale::{progress, site, Fault, Measure};
use crate::processes::Process;
use basaltpitch_testbed::process_harness::free_addresses;
use basaltpitch_testbed::relay::{self, RelayControl};
use basaltpitch_testbed::scale::traffic::{self, RelayCounts};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The processes of registries, machines and voters.
struct Fleet {
    registries: Vec<Process>,
    machines: Vec<Process>,
    voters: Vec<Process>,
    /// Addresses of the registries: one that lists the machines, and one that lists nothing.
    registry_addresses: Vec<String>,
}

/// Starts registries, machines and voters.
async fn start_fleet(measure: &Measure, file: &str, folder: &Path) -> io::Result<Fleet> {
    progress("starting registries and machines");
    let (mut registries, mut registry_addresses) = (Vec::new(), Vec::new());
    for _ in 0..2 {
        let mut registry = Process::start_with_commands(&["simulated", "register"])?;
        let line = registry.read_line().await?;
        registry_addresses.push(line["register"].as_str().unwrap_or("").to_owned());
        registries.push(registry);
    }
    let machines = start_machines(measure, file, &registry_addresses[0]).await?;
    progress("starting voters and planners");
    let state = folder.join("state").display().to_string();
    let mut voters = Vec::new();
    for index in 0..measure.voters {
        let name = format!("v{index}");
        let mut voter = Process::start(&["voter", file, "--name", &name, "--state", &state])?;
        voter.read_line().await?;
        voters.push(voter);
    }
    Ok(Fleet { registries, machines, voters, registry_addresses })
}

/// Starts the processes of simulated machines and waits until they listen.
async fn start_machines(measure: &Measure, file: &str, registry: &str) -> io::Result<Vec<Process>> {
    let (seed, restarts) = (measure.seed.to_string(), measure.restarts.to_string());
    let mut machines = Vec::new();
    for first in (0..measure.machines).step_by(measure.machines_per_process()) {
        let count = measure.machines_per_process().min(measure.machines - first);
        // Machines simulate the tasks that simulated planners would place, because these tasks take
        // capacity and change the machine list.
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

/// Starts the relays in front of planners: one that counts and, for the faults `cut` and `one-way`,
/// one that can hold back bytes. Returns them and the addresses that other planners connect to.
async fn start_relays_before(
    measure: &Measure,
    listen_addresses: &[String],
) -> io::Result<(Vec<(Rc<RelayCounts>, Rc<RelayControl>)>, Vec<String>)> {
    let (mut relays, mut advertised_addresses) = (Vec::new(), Vec::new());
    let can_cut = matches!(measure.faults, Fault::Cut | Fault::OneWay);
    for listen in listen_addresses {
        let (counts, control) = (Rc::new(RelayCounts::default()), Rc::new(RelayControl::default()));
        let target =
            if can_cut { relay::start(listen.clone(), control.clone()).await? } else { listen.clone() };
        advertised_addresses.push(traffic::relay(target, counts.clone()).await?);
        relays.push((counts, control));
    }
    Ok((relays, advertised_addresses))
}

/// What planners are started with, by planner index.
struct PlannerFiles {
    /// The installation's file, with the planner's own relays as the voters' addresses.
    files: Vec<String>,
    /// The address of the planner's relay to its registry.
    registries: Vec<String>,
    /// Counters of the relays to the voters.
    to_voters: Vec<Rc<RelayCounts>>,
    /// Counters of the relay to the registry.
    to_registry: Vec<Rc<RelayCounts>>,
}

impl ScaleRun {
    /// Starts everything, and waits until all slots are taken and all machines are linked.
    pub async fn start(measure: &Measure, folder: &Path) -> io::Result<ScaleRun> {
        let (real, simulated) = (measure.real + measure.spares(), measure.simulated_planners());
        let mut voter_addresses = free_addresses(measure.voters + real + simulated)?;
        let listen_addresses = voter_addresses.split_off(measure.voters);
        let file = write_installation(measure, folder, "site.rec", &voter_addresses)?;
        let zones = site::zones();
        let zones: Vec<String> =
            (0..real + simulated).map(|index| zones[index % zones.len()].to_owned()).collect();
        let Fleet { registries, machines, voters, registry_addresses } =
            start_fleet(measure, &file, folder).await?;
        let (incoming_relays, advertised_addresses) = start_relays_before(measure, &listen_addresses).await?;
        let started = Instant::now();
        let planners = Planners { zones, listen_addresses, advertised_addresses };
        let files =
            write_planner_files(measure, folder, (&voter_addresses, &registry_addresses), real + simulated)
                .await?;
        let mut run = ScaleRun {
            measure: measure.clone(),
            holders: Vec::new(),
            real: start_real(&planners, &files, real)?,
            planners,
            simulated: Vec::new(),
            machines,
            registries,
            voters,
            clients: Vec::new(),
            to_voters: files.to_voters.clone(),
            to_registry: files.to_registry.clone(),
            incoming_relays,
            slots_held_after_s: 0.0,
            max_mib: 0.0,
            file,
            reacquired_after_s: None,
            moved_slots: 0,
        };
        // Real planners acquire their slots before simulated planners request any.
        run.wait_for_holders(measure.real).await?;
        run.wait_for_inventories(0, real).await?;
        run.start_simulated(&files, real..real + simulated).await?;
        run.slots_held_after_s = started.elapsed().as_secs_f64();
        progress("all slots are held; waiting until every machine is linked");
        run.wait_for_links().await?;
        Ok(run)
    }

    /// Starts the simulated planners, one process after the other.
    async fn start_simulated(
        &mut self,
        files: &PlannerFiles,
        places: std::ops::Range<usize>,
    ) -> io::Result<()> {
        let per_process = self.measure.planners_per_process();
        for from in places.clone().step_by(per_process) {
            let to = (from + per_process).min(places.end);
            let joined = |all: &[String]| all[from..to].join(",");
            let (registry, zone) = (joined(&files.registries), joined(&self.planners.zones));
            let (listen, advertise) =
                (joined(&self.planners.listen_addresses), joined(&self.planners.advertised_addresses));
            let mut args = vec!["simulated", "planners"];
            args.extend(files.files[from..to].iter().map(String::as_str));
            args.extend(["--register", &registry, "--listen", &listen, "--advertise", &advertise]);
            args.extend(["--zone", &zone]);
            self.simulated.push(Process::start_with_commands(&args)?);
            // With subsets each planner fetches the inventories of all machines when it starts, so
            // only the planners of one process start together.
            self.wait_for_holders(self.measure.real + to - places.start).await?;
            self.wait_for_inventories(from, to).await?;
        }
        Ok(())
    }

    /// Waits until every machine is linked to a planner.
    async fn wait_for_links(&mut self) -> io::Result<()> {
        let until = Instant::now() + SETUP_TIMEOUT;
        while self.linked_machines().await? < self.measure.machines {
            if Instant::now() > until {
                return Err(io::Error::other(format!(
                    "found {} of {} machines linked to a planner after {} s; expected all",
                    self.linked_machines().await?,
                    self.measure.machines,
                    SETUP_TIMEOUT.as_secs()
                )));
            }
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
        Ok(())
    }
}

/// Writes the installation's file with these voter addresses, and returns its path.
fn write_installation(measure: &Measure, folder: &Path, name: &str, voters: &[String]) -> io::Result<String> {
    let path = folder.join(name);
    std::fs::write(&path, measure.installation_params().text(voters)).map(|()| path.display().to_string())
}

/// Starts relays to the voters and a registry for each planner, so that their traffic is counted
/// per planner, and writes the installation's file of each planner.
async fn write_planner_files(
    measure: &Measure,
    folder: &Path,
    (voters, registries): (&[String], &[String]),
    count: usize,
) -> io::Result<PlannerFiles> {
    let mut planner_files =
        PlannerFiles { files: vec![], registries: vec![], to_voters: vec![], to_registry: vec![] };
    for index in 0..count {
        let (counts, mut relays) = (Rc::new(RelayCounts::default()), Vec::new());
        for voter in voters {
            relays.push(traffic::relay(voter.clone(), counts.clone()).await?);
        }
        planner_files.files.push(write_installation(
            measure,
            folder,
            &format!("planner-{index}.rec"),
            &relays,
        )?);
        planner_files.to_voters.push(counts);
        let counts = Rc::new(RelayCounts::default());
        let needs_machine_list = index < measure.real + measure.spares() || measure.hollow_links();
        let registry = registries[usize::from(!needs_machine_list)].clone();
        planner_files.registries.push(traffic::relay(registry, counts.clone()).await?);
        planner_files.to_registry.push(counts);
    }
    Ok(planner_files)
}

/// Starts real planners and spares.
fn start_real(planners: &Planners, files: &PlannerFiles, count: usize) -> io::Result<Vec<Option<Process>>> {
    let start = |index: usize| {
        let (file, registry, zone) = (&files.files[index], &files.registries[index], &planners.zones[index]);
        let args = ["serve", file, "--seat", "any", "--register", registry, "--zone", zone];
        let addresses = [
            "--listen",
            &planners.listen_addresses[index],
            "--advertise",
            &planners.advertised_addresses[index],
        ];
        Process::start(&[&args[..], &addresses].concat()).map(Some)
    };
    (0..count).map(start).collect()
}
