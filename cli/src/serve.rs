//! `basaltpitch serve`: runs one planner, either under a fixed name and number or under a planner
//! slot whose lease a quorum of voters grants.
use crate::council::{open_store, quorum_settings, slot_names, stop_signal, SLOT_PREFIX};
use crate::{load, Failure};
use basaltpitch::host::{Settings, Value};
use basaltpitch_agent::session::{LinkConfig, PeerIdentity};
use basaltpitch_agent::wire::Role;
use basaltpitch_config::installation::{FlattenedValue, Installation, PlannerSlot};
use basaltpitch_config::ResolvedValue;
use basaltpitch_planner::lease_client::{self, LeaseClientConfig, LeaseCommand, LeaseDeadline, SlotEvent};
use basaltpitch_planner::peer_links::PeerLinksConfig;
use basaltpitch_planner::rolling_restart::{self, RollingRestartConfig};
use basaltpitch_planner::service::{self, PlannerConfig};
use basaltpitch_planner::state::Identity;
use basaltpitch_planner::zone_monitor;
use basaltpitch_subsetting::{name_hash, SubsetConfig};
use std::collections::HashMap;
use std::future::Future;
use std::io::Write;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::sync::mpsc;

/// The arguments of `basaltpitch serve`.
#[derive(clap::Args)]
pub struct Serve {
    /// The installation's files
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Name of this planner; a successor with the same name takes over its placed tasks
    #[arg(long, required_unless_present = "seat")]
    name: Option<String>,
    /// Number of this planner among the installation's planners, from 0
    #[arg(long, default_value_t = 0, conflicts_with = "seat")]
    number: usize,
    /// Serve under a planner slot, whose lease gives name, number and epoch: `any`, or a slot's
    /// name such as planner-3. Waits as a spare until a slot is free
    #[arg(long, conflicts_with = "name")]
    seat: Option<String>,
    /// Zone that this planner runs in
    #[arg(long)]
    zone: String,
    /// Address (host:port) of the machine registry
    #[arg(long)]
    register: String,
    /// Address (host:port) to listen on for clients, operators and other planners
    #[arg(long, default_value = "127.0.0.1:7410")]
    listen: String,
    /// Address (host:port) that other planners connect to, if it differs from --listen; only with
    /// --seat
    #[arg(long, requires = "seat")]
    advertise: Option<String>,
    /// Epoch of this process; each restart needs a higher one. By default the start time in
    /// microseconds
    #[arg(long, conflicts_with = "seat")]
    epoch: Option<u64>,
    /// Seed of the random number generator; by default the epoch
    #[arg(long)]
    seed: Option<u64>,
    /// Folder for the state that is kept across restarts; several planners may share it
    #[arg(long)]
    state: Option<PathBuf>,
    /// Record all inputs and calls of the planner's decisions into this file, for `replay`; with
    /// --seat the epoch is appended to the file's name
    #[arg(long)]
    record: Option<PathBuf>,
}

/// The identity and dependencies of a planner from one start or slot acquisition to its end.
struct PlannerRun {
    /// The planner's name; with a slot, the slot's name.
    name: String,
    /// The planner's number among the installation's planners, from 0.
    number: usize,
    /// The planner's epoch; with a slot, the fencing token of its lease.
    epoch: u64,
    /// The slot that the planner serves under, `None` for a planner with a fixed name.
    slot: Option<SlotContext>,
    /// Link settings shared by all links of the process.
    links: LinkConfig,
}

/// What a planner with a slot needs besides its name.
struct SlotContext {
    /// When the lease of the slot ends, moved by each renewal.
    lease_deadline: LeaseDeadline,
    /// The connection to the lease client and the settings for coordinating rolling restarts.
    rolling_restart: RollingRestartConfig,
    /// The names of all slots of the installation, indexed by planner number.
    slots: Vec<Rc<str>>,
}

/// Returns cores and memory (GiB) of a machine by kind; an unset size is unlimited.
fn machine_sizes(installation: &Installation) -> HashMap<String, (f64, f64)> {
    let number = |kind: &ResolvedValue, field: &str| kind.number(field).unwrap_or(f64::MAX);
    let size = |kind: &ResolvedValue| {
        (kind.text("name").unwrap_or("").to_owned(), (number(kind, "cores"), number(kind, "memory")))
    };
    installation.all.list("kinds").iter().map(size).collect()
}

/// Returns the subsetting configuration of one planner and all slot names, `None` where the
/// installation does not assign subsets of the machines.
fn subset_config(
    installation: &Installation,
    slots: &[Rc<str>],
    own_number: usize,
) -> Option<(SubsetConfig, Vec<Rc<str>>)> {
    let (planners_per_machine, lease_duration_us) =
        (installation.planners_per_machine()?, installation.all.duration_us("council.term")?);
    let names = slots.iter().map(|slot| name_hash(slot)).collect();
    Some((
        SubsetConfig::from_lease_duration(planners_per_machine, names, own_number, lease_duration_us),
        slots.to_vec(),
    ))
}

impl Serve {
    /// Serves as a planner until SIGINT (with --name), or SIGINT or SIGTERM (with --seat).
    ///
    /// # Errors
    /// The options or the installation are invalid, or the lease client ended unexpectedly.
    pub fn run(self, json: bool) -> Result<(), Failure> {
        let installation = load(&self.files)?;
        let zones = installation.names("zones");
        if !zones.contains(&self.zone) {
            return Err(Failure::InvalidInput(format!(
                "--zone: found {:?}; expected one of {}",
                self.zone,
                zones.join(", ")
            )));
        }
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| Failure::Failed(e.to_string()))?;
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let started = since_epoch.map_or(1, |d| d.as_micros() as u64);
        if self.seat.is_some() {
            // Faulty settings must fail the start of a spare, not its takeover of a slot, when the
            // spare is needed.
            crate::named_constraints(&installation)?;
            crate::directory_settings(&installation)?;
            let bound = std::net::TcpListener::bind(&self.listen);
            bound.map_err(|e| Failure::InvalidInput(format!("--listen {}: {e}", self.listen)))?;
        }
        let quorum = quorum_settings(&installation);
        let links = LinkConfig { heartbeat_us: installation.heartbeat_us(), ..LinkConfig::default() };
        match (&self.name, &self.seat, quorum) {
            // A planner with a fixed name beside the slots could share its number with a slot's
            // holder, and both would spend the full budgets of that number.
            (Some(name), _, Some(_)) => Err(Failure::InvalidInput(format!(
                "--name: found {name:?} beside a council; expected --seat any, or --seat with a slot's name"
            ))),
            (None, Some(seat), None) => Err(Failure::InvalidInput(format!(
                "--seat: found {seat:?} without a council; expected one in the installation, or --name"
            ))),
            (None, Some(seat), Some((lease_config, voters))) => {
                let slots = slot_names(&installation);
                let wanted_slots: Vec<Rc<str>> =
                    slots.iter().filter(|slot| seat == "any" || ***slot == **seat).cloned().collect();
                if wanted_slots.is_empty() {
                    let last = slots.len() - 1;
                    return Err(Failure::InvalidInput(format!(
                        "--seat: found {seat:?}; expected any, or planner-0 to planner-{last}"
                    )));
                }
                let name = format!("process-{}", std::process::id());
                let identity =
                    PeerIdentity { role: Role::Planner, name, epoch: started, link: 0, login: String::new() };
                let seed = self.seed.unwrap_or(started);
                let (leases, followed) = (
                    vec![rolling_restart::RESTART_LEASE.into(), zone_monitor::LEASE_NAME.into()],
                    vec![rolling_restart::PLAN_LEASE.into()],
                );
                let (slot_prefix, announced) =
                    (Some(SLOT_PREFIX.into()), vec![zone_monitor::LEASE_NAME.into()]);
                let config = LeaseClientConfig {
                    lease_config,
                    voters,
                    slots: wanted_slots,
                    leases,
                    followed,
                    slot_prefix,
                    announced,
                    events: None,
                    identity,
                    links: links.clone(),
                    seed,
                };
                let local = tokio::task::LocalSet::new();
                local.block_on(&runtime, self.serve_under_slots(&installation, &slots, config, json))
            }
            (Some(name), None, None) => {
                let (name, number) = (name.clone(), self.number);
                let epoch = self.epoch.unwrap_or(started);
                let planner_run = PlannerRun { name, number, epoch, slot: None, links };
                let stop = async {
                    let _ = tokio::signal::ctrl_c().await;
                };
                runtime.block_on(self.serve_once(&installation, planner_run, stop, json))
            }
            (Some(_), Some(_), None) | (None, None, _) => Err(Failure::InvalidInput(
                "--name: found none; expected a planner's name, or --seat in an installation with a council"
                    .into(),
            )),
        }
    }

    /// Waits for a slot, serves under it until its lease is lost, and waits again, until a stop
    /// signal arrives.
    async fn serve_under_slots(
        &self,
        installation: &Installation,
        slots: &[Rc<str>],
        config: LeaseClientConfig,
        json: bool,
    ) -> Result<(), Failure> {
        let links = config.links.clone();
        let (lease_deadline, (slot_event_sender, mut slot_events), (commands, command_receiver)) =
            (LeaseDeadline::default(), mpsc::channel(16), mpsc::channel(16));
        let lease_client = tokio::task::spawn_local(lease_client::run(
            config,
            lease_deadline.clone(),
            slot_event_sender,
            command_receiver,
        ));
        let stop = stop_signal();
        tokio::pin!(stop);
        tracing::info!("waiting for the lease of a planner slot");
        let result = loop {
            let (slot, token, lease_events) = tokio::select! {
                () = &mut stop => break Ok(()),
                event = slot_events.recv() => match event {
                    Some(SlotEvent::Acquired { slot, token, lease_events }) => (slot, token, lease_events),
                    Some(SlotEvent::Lost) => {
                        let _ = commands.send(LeaseCommand::SeekSlot).await;
                        continue;
                    }
                    None => break Err(Failure::Failed("the lease client ended; expected it to run until the planner stops".into())),
                },
            };
            let number = slots.iter().position(|slot_name| *slot_name == slot).unwrap_or(0);
            let machine_sizes = machine_sizes(installation);
            let drain_grace_us = installation.all.duration_us("rules.drain_grace").unwrap_or(0);
            let rolling_restart = RollingRestartConfig {
                lease_events,
                lease_commands: commands.clone(),
                machine_sizes,
                drain_grace_us,
            };
            let context = Some(SlotContext {
                lease_deadline: lease_deadline.clone(),
                rolling_restart,
                slots: slots.to_vec(),
            });
            let links = links.clone();
            let planner_run =
                PlannerRun { name: slot.to_string(), number, epoch: token, slot: context, links };
            let mut stopping = false;
            let stop = async {
                tokio::select! {
                    _ = slot_events.recv() => {}
                    () = &mut stop => stopping = true,
                }
            };
            let result = self.serve_once(installation, planner_run, stop, json).await;
            if stopping || result.is_err() {
                break result;
            }
            tracing::warn!(seat = &*slot, "slot lease lost; planner stopped, waiting for a slot as a spare");
            let _ = commands.send(LeaseCommand::SeekSlot).await;
        };
        // Nothing acts under the slot any more, so its lease is released for a spare instead of
        // expiring.
        let _ = commands.send(LeaseCommand::ReleaseAll).await;
        let _ = lease_client.await;
        result
    }

    /// Serves one run of a planner until `stop` completes.
    async fn serve_once(
        &self,
        installation: &Installation,
        planner_run: PlannerRun,
        stop: impl Future<Output = ()>,
        json: bool,
    ) -> Result<(), Failure> {
        let PlannerRun { name, number, epoch, slot, links } = planner_run;
        let planners = installation.all.number("planners").unwrap_or(1.0) as usize;
        if number >= planners {
            let last = planners - 1;
            return Err(Failure::InvalidInput(format!("--number: found {number}; expected 0 to {last}")));
        }
        let planner_slot = PlannerSlot { number, planners, zone: self.zone.clone() };
        let value = |flattened| match flattened {
            FlattenedValue::Number(n) => Value::Number(n),
            FlattenedValue::Text(t) => Value::Text(t),
        };
        let settings: Settings =
            installation.flatten(&planner_slot).into_iter().map(|(k, v)| (k, value(v))).collect();
        let subset = slot.as_ref().and_then(|slot| subset_config(installation, &slot.slots, number));
        let constraints = crate::named_constraints(installation)?;
        let directory = crate::directory_settings(installation)?;
        let store = match (self.state.as_ref().map(|folder| open_store(folder, &name)).transpose(), &slot) {
            (Ok(store), _) => store,
            // A suspended predecessor may still have the file open. Serving without stored state is
            // better than a slot without a planner.
            (Err(Failure::InvalidInput(why) | Failure::Failed(why)), Some(_)) => {
                tracing::error!(why, "stored state cannot be opened; serving without it");
                None
            }
            (Err(invalid), None) => return Err(invalid),
        };
        let record = self.record.as_ref().map(|path| {
            let mut path = path.clone().into_os_string();
            if slot.is_some() {
                path.push(format!(".{epoch}"));
            }
            let file = std::fs::File::create(&path);
            let file =
                file.map_err(|e| Failure::InvalidInput(format!("--record {}: {e}", path.display())))?;
            Ok::<Box<dyn Write + Send>, Failure>(Box::new(file))
        });
        let record = record.transpose()?;
        let identity = Identity {
            name,
            epoch,
            seed: self.seed.unwrap_or(epoch),
            registry_address: self.register.clone(),
        };
        let listener = tokio::net::TcpListener::bind(&self.listen).await;
        let listener =
            listener.map_err(|e| Failure::InvalidInput(format!("--listen {}: {e}", self.listen)))?;
        let address = listener.local_addr().map_err(|e| Failure::Failed(e.to_string()))?;
        if json {
            println!(
                "{}",
                serde_json::json!({"listening": address.to_string(), "epoch": epoch, "name": identity.name})
            );
        } else {
            println!("{} listens on {address}, epoch {epoch}", identity.name);
        }
        let _ = std::io::stdout().flush();
        let zones = installation.names("zones");
        // With admission by own demand alone, this planner still reports its demand to the others.
        let ignore_peer_demand = installation.all.text("admission") == Some("own");
        let own_zone = zones.iter().position(|zone| *zone == self.zone).unwrap_or(0);
        let with_slot = |slot: SlotContext| {
            // An unspecified address (0.0.0.0 or ::) cannot be dialled by another planner.
            let listen_address = Some(address.to_string()).filter(|_| !address.ip().is_unspecified());
            let address = self.advertise.clone().or(listen_address);
            let (lease_deadline, commands) =
                (slot.lease_deadline.clone(), slot.rolling_restart.lease_commands.clone());
            let regions = installation.regions();
            let region =
                |zone: usize| regions.iter().position(|(_, zones)| zones.contains(&zone)).unwrap_or(0);
            let regions = (0..zones.len()).map(region).collect();
            let bytes_per_second = installation.control_bytes_per_s();
            let slots = slot.slots;
            let peer_links = PeerLinksConfig {
                slots,
                own_slot: number,
                address,
                zones,
                own_zone,
                zone_regions: regions,
                bytes_per_second,
                ignore_peer_demand,
                lease_deadline,
                commands,
            };
            (Some(slot.lease_deadline), Some(slot.rolling_restart), Some(peer_links))
        };
        let (lease_deadline, rolling_restart, peer_links) = slot.map_or((None, None, None), with_slot);
        let admission_enabled = installation.all.text("admission") != Some("none");
        let config = PlannerConfig {
            identity,
            settings,
            recording: record,
            constraints,
            directory,
            store,
            lease_deadline,
            rolling_restart,
            admission_enabled,
            peer_links,
            subset,
            links,
        };
        service::serve(listener, config, stop).await;
        Ok(())
    }
}
