//! `basaltpitch serve`: one planner, under a name and number of its own or under a seat of the council.
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

#[derive(clap::Args)]
pub struct Serve {
    /// The installation's files
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// This planner's name; a successor under the same name takes over what it placed
    #[arg(long, required_unless_present = "seat")]
    name: Option<String>,
    /// Its number among the installation's planners, from 0
    #[arg(long, default_value_t = 0, conflicts_with = "seat")]
    number: usize,
    /// Take a seat of the council, which gives name, number and epoch: `any`, or one by its name, such as
    /// planner-3. Waits as a spare while none is free
    #[arg(long, conflicts_with = "name")]
    seat: Option<String>,
    /// The zone that it is in
    #[arg(long)]
    zone: String,
    /// Where the register listens
    #[arg(long)]
    register: String,
    /// Where owners and operators are listened to
    #[arg(long, default_value = "127.0.0.1:7410")]
    listen: String,
    /// Where other planners reach it, host and port, if not where it listens; only under a seat
    #[arg(long, requires = "seat")]
    advertise: Option<String>,
    /// Its incarnation; later lives need a higher one. By default the time of its start in microseconds
    #[arg(long, conflicts_with = "seat")]
    epoch: Option<u64>,
    /// Where chance starts from; by default its epoch
    #[arg(long)]
    seed: Option<u64>,
    /// A folder for what outlives this planner; two planners may share it
    #[arg(long)]
    state: Option<PathBuf>,
    /// Write everything that the decisions are told, and their calls, into this file; under a seat its name
    /// ends with the epoch
    #[arg(long)]
    record: Option<PathBuf>,
}

/// Who a planner is for one life.
struct Life {
    name: String,
    number: usize,
    epoch: u64,
    /// Of a seat.
    under: Option<Under>,
    /// What all links of the process share.
    links: LinkConfig,
}

/// What a life under a seat has beside its name.
struct Under {
    tenure: LeaseDeadline,
    duties: RollingRestartConfig,
    /// All seats, in order.
    seats: Vec<Rc<str>>,
}

/// Cores and memory of each kind of machine.
fn sizes(installation: &Installation) -> HashMap<String, (f64, f64)> {
    let number = |k: &ResolvedValue, field: &str| k.number(field).unwrap_or(f64::MAX);
    let size = |k: &ResolvedValue| {
        (k.text("name").unwrap_or("").to_owned(), (number(k, "cores"), number(k, "memory")))
    };
    installation.all.list("kinds").iter().map(size).collect()
}

/// The terms of a planner's part, where the installation has parts, and all seats.
fn part(installation: &Installation, seats: &[Rc<str>], me: usize) -> Option<(SubsetConfig, Vec<Rc<str>>)> {
    let (copies, term) =
        (installation.planners_per_machine()?, installation.all.duration_us("council.term")?);
    let names = seats.iter().map(|seat| name_hash(seat)).collect();
    Some((SubsetConfig::from_lease_duration(copies, names, me, term), seats.to_vec()))
}

impl Serve {
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
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let started = since.map_or(1, |d| d.as_micros() as u64);
        if self.seat.is_some() {
            // A spare must not find only once it is seated that it cannot serve.
            crate::named_constraints(&installation)?;
            crate::directory_settings(&installation)?;
            let tried = std::net::TcpListener::bind(&self.listen);
            tried.map_err(|e| Failure::InvalidInput(format!("--listen {}: {e}", self.listen)))?;
        }
        let council = quorum_settings(&installation);
        let links = LinkConfig { heartbeat_us: installation.heartbeat_us(), ..LinkConfig::default() };
        match (&self.name, &self.seat, council) {
            // Two planners under one number would each spend the whole of its part of the budgets.
            (Some(name), _, Some(_)) => Err(Failure::InvalidInput(format!(
                "--name: found {name:?} beside a council; expected --seat any or a seat's name"
            ))),
            (None, Some(seat), None) => Err(Failure::InvalidInput(format!(
                "--seat: found {seat:?} without a council; expected one in the installation, or --name"
            ))),
            (None, Some(seat), Some((terms, voters))) => {
                let all = slot_names(&installation);
                let may: Vec<Rc<str>> =
                    all.iter().filter(|s| seat == "any" || ***s == **seat).cloned().collect();
                if may.is_empty() {
                    let most = all.len() - 1;
                    return Err(Failure::InvalidInput(format!(
                        "--seat: found {seat:?}; expected any, or planner-0 to planner-{most}"
                    )));
                }
                let name = format!("process-{}", std::process::id());
                let me =
                    PeerIdentity { role: Role::Planner, name, epoch: started, link: 0, login: String::new() };
                let seed = self.seed.unwrap_or(started);
                let (duties, follows) = (
                    vec![rolling_restart::RESTART_LEASE.into(), zone_monitor::LEASE_NAME.into()],
                    vec![rolling_restart::PLAN_LEASE.into()],
                );
                let (peers, words) = (Some(SLOT_PREFIX.into()), vec![zone_monitor::LEASE_NAME.into()]);
                let start = LeaseClientConfig {
                    lease_config: terms,
                    voters,
                    slots: may,
                    leases: duties,
                    followed: follows,
                    slot_prefix: peers,
                    announced: words,
                    events: None,
                    identity: me,
                    links: links.clone(),
                    seed,
                };
                let local = tokio::task::LocalSet::new();
                local.block_on(&runtime, self.under_seats(&installation, &all, start, json))
            }
            (Some(name), None, None) => {
                let (name, number) = (name.clone(), self.number);
                let epoch = self.epoch.unwrap_or(started);
                let life = Life { name, number, epoch, under: None, links };
                let stop = async {
                    let _ = tokio::signal::ctrl_c().await;
                };
                runtime.block_on(self.live(&installation, life, stop, json))
            }
            (Some(_), Some(_), None) | (None, None, _) => {
                Err(Failure::InvalidInput("--name: expected one".into()))
            }
        }
    }

    /// Waits for a seat, serves under it until it is lost, and waits again; until it is told to stop.
    async fn under_seats(
        &self,
        installation: &Installation,
        all: &[Rc<str>],
        start: LeaseClientConfig,
        json: bool,
    ) -> Result<(), Failure> {
        let links = start.links.clone();
        let (tenure, (words_out, mut words), (wishes, wishes_in)) =
            (LeaseDeadline::default(), mpsc::channel(16), mpsc::channel(16));
        let council =
            tokio::task::spawn_local(lease_client::run(start, tenure.clone(), words_out, wishes_in));
        let stopped = stop_signal();
        tokio::pin!(stopped);
        tracing::info!("waiting for a seat");
        let done = loop {
            let (seat, token, heard) = tokio::select! {
                () = &mut stopped => break Ok(()),
                word = words.recv() => match word {
                    Some(SlotEvent::Acquired { slot, token, lease_events }) => (slot, token, lease_events),
                    Some(SlotEvent::Lost) => {
                        let _ = wishes.send(LeaseCommand::SeekSlot).await;
                        continue;
                    }
                    None => break Err(Failure::Failed("the council's task ended".into())),
                },
            };
            let number = all.iter().position(|s| *s == seat).unwrap_or(0);
            let sizes = sizes(installation);
            let grace = installation.all.duration_us("rules.drain_grace").unwrap_or(0);
            let duties = RollingRestartConfig {
                lease_events: heard,
                lease_commands: wishes.clone(),
                machine_sizes: sizes,
                drain_grace_us: grace,
            };
            let under = Some(Under { tenure: tenure.clone(), duties, seats: all.to_vec() });
            let links = links.clone();
            let life = Life { name: seat.to_string(), number, epoch: token, under, links };
            let mut ends = false;
            let stop = async {
                tokio::select! {
                    _ = words.recv() => {}
                    () = &mut stopped => ends = true,
                }
            };
            let lived = self.live(installation, life, stop, json).await;
            if ends || lived.is_err() {
                break lived;
            }
            tracing::warn!(seat = &*seat, "no planner any more; waiting for a seat as a spare");
            let _ = wishes.send(LeaseCommand::SeekSlot).await;
        };
        // Nothing acts under the seat any more: a spare can have it at once.
        let _ = wishes.send(LeaseCommand::ReleaseAll).await;
        let _ = council.await;
        done
    }

    /// Serves until `stop` is done.
    async fn live(
        &self,
        installation: &Installation,
        life: Life,
        stop: impl Future<Output = ()>,
        json: bool,
    ) -> Result<(), Failure> {
        let Life { name, number, epoch, under, links } = life;
        let planners = installation.all.number("planners").unwrap_or(1.0) as usize;
        if number >= planners {
            let most = planners - 1;
            return Err(Failure::InvalidInput(format!("--number: found {number}; expected 0 to {most}")));
        }
        let seat = PlannerSlot { number, planners, zone: self.zone.clone() };
        let value = |laid| match laid {
            FlattenedValue::Number(n) => Value::Number(n),
            FlattenedValue::Text(t) => Value::Text(t),
        };
        let given: Settings = installation.flatten(&seat).into_iter().map(|(k, v)| (k, value(v))).collect();
        let part = under.as_ref().and_then(|under| part(installation, &under.seats, number));
        let clauses = crate::named_constraints(installation)?;
        let directory = crate::directory_settings(installation)?;
        let store = match (self.state.as_ref().map(|folder| open_store(folder, &name)).transpose(), &under) {
            (Ok(store), _) => store,
            // The one before may still have the file, stopped as it is: the seat matters more.
            (Err(Failure::InvalidInput(why) | Failure::Failed(why)), Some(_)) => {
                tracing::error!(why, "serving without what is remembered");
                None
            }
            (Err(wrong), None) => return Err(wrong),
        };
        let record = self.record.as_ref().map(|path| {
            let mut path = path.clone().into_os_string();
            if under.is_some() {
                path.push(format!(".{epoch}"));
            }
            let file = std::fs::File::create(&path);
            let file =
                file.map_err(|e| Failure::InvalidInput(format!("--record {}: {e}", path.display())))?;
            Ok::<Box<dyn Write + Send>, Failure>(Box::new(file))
        });
        let record = record.transpose()?;
        let who = Identity {
            name,
            epoch,
            seed: self.seed.unwrap_or(epoch),
            registry_address: self.register.clone(),
        };
        let listener = tokio::net::TcpListener::bind(&self.listen).await;
        let listener =
            listener.map_err(|e| Failure::InvalidInput(format!("--listen {}: {e}", self.listen)))?;
        let at = listener.local_addr().map_err(|e| Failure::Failed(e.to_string()))?;
        if json {
            println!(
                "{}",
                serde_json::json!({"listening": at.to_string(), "epoch": epoch, "name": who.name})
            );
        } else {
            println!("{} listens on {at}, epoch {epoch}", who.name);
        }
        let _ = std::io::stdout().flush();
        let halls = installation.names("zones");
        // By its own askings alone, it tells the others all the same.
        let alone = installation.all.text("admission") == Some("own");
        let stands = halls.iter().position(|h| *h == self.zone).unwrap_or(0);
        let meets = |under: Under| {
            // All addresses of a machine are no address that another could dial.
            let listens = Some(at.to_string()).filter(|_| !at.ip().is_unspecified());
            let address = self.advertise.clone().or(listens);
            let (tenure, wishes) = (under.tenure.clone(), under.duties.lease_commands.clone());
            let regions = installation.regions();
            let region =
                |zone: usize| regions.iter().position(|(_, zones)| zones.contains(&zone)).unwrap_or(0);
            let regions = (0..halls.len()).map(region).collect();
            let bytes_a_second = installation.control_bytes_per_s();
            let seats = under.seats;
            let meeting = PeerLinksConfig {
                slots: seats,
                own_slot: number,
                address,
                zones: halls,
                own_zone: stands,
                zone_regions: regions,
                bytes_per_second: bytes_a_second,
                ignore_peer_demand: alone,
                lease_deadline: tenure,
                commands: wishes,
            };
            (Some(under.tenure), Some(under.duties), Some(meeting))
        };
        let (tenure, duties, meeting) = under.map_or((None, None, None), meets);
        let weighs = installation.all.text("admission") != Some("none");
        let config = PlannerConfig {
            identity: who,
            settings: given,
            recording: record,
            constraints: clauses,
            directory,
            store,
            lease_deadline: tenure,
            rolling_restart: duties,
            admission_enabled: weighs,
            peer_links: meeting,
            subset: part,
            links,
        };
        service::serve(listener, config, stop).await;
        Ok(())
    }
}
