//! Sets up voters and planners: their files, relays and command lines.
use super::{HarnessProcess, ProcessHarness, SlotState};
use crate::client::PlannerAddresses;
use crate::context::TestbedContext;
use crate::drill_config::DrillConfig;
use crate::relay::{self, RelayControl};
use basaltpitch_config::ResolvedValue;
use std::cell::RefCell;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Lease duration, unless the scenario sets it, in microseconds.
const LEASE_DURATION_US: i64 = 1_000_000;

/// Parameters of a harness.
pub struct HarnessSetup {
    /// The configuration of the drill.
    pub config: Rc<DrillConfig>,
    /// State shared by all simulated peers.
    pub context: Rc<TestbedContext>,
    /// Addresses of the planners by slot, updated whenever a slot is acquired.
    pub addresses: PlannerAddresses,
    /// Address of the registry.
    pub registry: String,
    /// Folder for the files of the processes and the stored votes of the voters.
    pub folder: PathBuf,
}

/// Returns distinct free loopback addresses for voters and planners. The host is specific to this
/// process, because on 127.0.0.1 another process could bind a port between its check here and its
/// use.
///
/// # Errors
///
/// Fails if a port cannot be bound.
pub fn free_addresses(count: usize) -> io::Result<Vec<String>> {
    let id = std::process::id();
    let host = format!("127.{}.{}.{}", 64 + id / 65_536 % 32, id / 256 % 256, id % 254 + 1);
    let bound = |_| std::net::TcpListener::bind((host.as_str(), 0));
    let all: Vec<std::net::TcpListener> = (0..count).map(bound).collect::<io::Result<_>>()?;
    all.iter().map(|listener| Ok(listener.local_addr()?.to_string())).collect()
}

/// Writes a file of settings with these addresses of the voters, and returns its path.
fn voters_file(
    folder: &Path,
    name: &str,
    settings: &ResolvedValue,
    addresses: &[String],
) -> io::Result<PathBuf> {
    let time = |field: &str| settings.duration_us(field).unwrap_or(LEASE_DURATION_US);
    let voter = |(n, address): (usize, &String)| format!("{{name: \"voter-{n}\", address: {address:?}}}");
    let voters: Vec<String> = addresses.iter().enumerate().map(voter).collect();
    let (term, drift, voters) = (time("term"), time("drift"), voters.join(", "));
    let parts =
        settings.number("copies").map_or(String::new(), |copies| format!("parts: {{copies: {copies}}}\n"));
    let text = format!("council: {{term: {term}us, drift: {drift}us, voters: [{voters}]}}\n{parts}");
    let file = folder.join(format!("{name}.rec"));
    std::fs::write(&file, text)?;
    Ok(file)
}

/// Addresses, files and zones that the processes are set up with.
struct Layout<'a> {
    setup: &'a HarnessSetup,
    settings: &'a ResolvedValue,
    /// Files of the installation.
    files: Vec<String>,
    zones: Vec<String>,
    /// Addresses that voters listen on.
    voters: Vec<String>,
    /// Addresses that planners listen on, spares included.
    planners: Vec<String>,
}

impl Layout<'_> {
    /// Sets up the process of this number; the voters have the lowest numbers.
    async fn process(&self, number: usize) -> io::Result<HarnessProcess> {
        let voters = self.voters.len();
        let name =
            if number < voters { format!("voter-{number}") } else { format!("process-{}", number - voters) };
        let (mut relays, mut through) = (Vec::new(), Vec::new());
        for (voter, address) in self.voters.iter().enumerate() {
            let control = Rc::new(RelayControl::default());
            let itself = number == voter;
            through.push(match itself {
                true => address.clone(),
                false => relay::start(address.clone(), control.clone()).await?,
            });
            relays.push(control);
        }
        let file = voters_file(&self.setup.folder, &name, self.settings, &through)?.display().to_string();
        let own_relay = Rc::new(RelayControl::default());
        let mut state = None;
        let mut args = if number < voters {
            let folder = self.setup.folder.join(&name);
            let args = self.voter_args(&file, &name, &folder);
            state = Some(folder);
            args
        } else {
            self.planner_args(number, &file, &name, &own_relay).await?
        };
        args.extend(["-o", "json"].map(str::to_owned));
        Ok(HarnessProcess { name, args, relays, own_relay, state, ..HarnessProcess::default() })
    }

    /// Returns the command line of a voter.
    fn voter_args(&self, file: &str, name: &str, folder: &Path) -> Vec<String> {
        let mut args = vec!["voter".to_owned()];
        args.extend(self.files.clone());
        args.extend([file, "--name", name, "--state", &folder.display().to_string()].map(str::to_owned));
        args
    }

    /// Starts a planner's relay, and returns the planner's command line.
    async fn planner_args(
        &self,
        number: usize,
        file: &str,
        name: &str,
        own_relay: &Rc<RelayControl>,
    ) -> io::Result<Vec<String>> {
        let mut args = vec!["serve".to_owned()];
        args.extend(self.files.clone());
        let zone = &self.zones[number % self.zones.len()];
        let registry = &self.setup.registry;
        args.extend([file, "--seat", "any", "--zone", zone, "--register", registry].map(str::to_owned));
        let listen = &self.planners[number - self.voters.len()];
        let advertised = relay::start(listen.clone(), own_relay.clone()).await?;
        args.extend(["--listen", listen, "--advertise", &advertised].map(str::to_owned));
        if let Some(folder) = &self.setup.config.recordings {
            args.extend(["--record".to_owned(), folder.join(name).display().to_string()]);
        }
        Ok(args)
    }
}

impl ProcessHarness {
    /// Sets up the voters and planners of a scenario without starting them.
    ///
    /// # Errors
    ///
    /// Fails if the scenario has no slots, the installation has voters of its own, or a port or
    /// file is not available.
    pub async fn new(setup: HarnessSetup, scenario: &ResolvedValue) -> io::Result<Rc<ProcessHarness>> {
        let settings =
            scenario.get("seats").ok_or_else(|| io::Error::other("found no `day.seats`; expected slots"))?;
        let installation = &setup.config.installation;
        if installation.all.get("council").is_some() {
            let why =
                "found `council` beside `day.seats`; expected only one, as the drill starts its own voters";
            return Err(io::Error::other(why));
        }
        let number = |field: &str| settings.number(field).unwrap_or(1.0) as usize;
        let (slots, voters) = (setup.addresses.borrow().len(), number("voters"));
        let process_count = voters + slots + number("spares");
        // All addresses are requested at once: a second call could return a voter's port again, and
        // the process that binds it later would exit.
        let mut voter_addresses = free_addresses(process_count)?;
        let planner_addresses = voter_addresses.split_off(voters);
        let layout = Layout {
            setup: &setup,
            settings,
            files: setup.config.files.iter().map(|file| file.display().to_string()).collect(),
            zones: installation.names("zones"),
            voters: voter_addresses,
            planners: planner_addresses,
        };
        let mut processes = Vec::new();
        for index in 0..process_count {
            processes.push(layout.process(index).await?);
        }
        let operators = voters_file(&setup.folder, "operators", settings, &layout.voters)?;
        let Layout { mut files, zones, .. } = layout;
        files.push(operators.display().to_string());
        let planners = processes.split_off(voters);
        let lease_duration_us = settings.duration_us("term").unwrap_or(LEASE_DURATION_US);
        let HarnessSetup { config, context, addresses, .. } = setup;
        Ok(Rc::new_cyclic(|self_weak| ProcessHarness {
            self_weak: self_weak.clone(),
            config,
            zones,
            context,
            addresses,
            lease_duration_us,
            files,
            slots: (0..slots).map(|_| SlotState::default()).collect(),
            planners,
            voters: processes,
            isolated: RefCell::default(),
            killed: RefCell::default(),
            gaps: RefCell::default(),
            errors: RefCell::default(),
        }))
    }
}
