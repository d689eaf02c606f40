//! Launches, and what became of them, as machines' sockets carried it.
use crate::drains::NoticeSource;
use crate::{Incarnation, InvariantChecker, RequestId};
use basaltpitch_agent::wire::{self, Body, Launch, LaunchId};
use std::collections::{BTreeMap, HashMap, HashSet};

/// How a launch ended, as far as the planner can know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LaunchEnd {
    NeverRan,
    MayHaveRun,
}

/// A launch that a machine read. Times are microseconds.
#[derive(Debug)]
pub(crate) struct SentLaunch {
    pub(crate) at_us: i64,
    /// Read by a machine that had stopped reading for a while: when it was sent is not known.
    pub(crate) late: bool,
    pub(crate) machine: String,
    pub(crate) time_out_us: i64,
    /// Since when the planner can know of its end, and which end.
    pub(crate) end: Option<(i64, LaunchEnd)>,
    accepted: bool,
    /// The machine is done with it.
    pub(crate) over: bool,
    pub(crate) over_at: i64,
    pub(crate) number: u64,
}

impl SentLaunch {
    /// It has no outcome yet; one that was accepted is active until it is over.
    pub(crate) fn is_active(&self, at_us: i64) -> bool {
        !self.over && (self.accepted || (self.end.is_none() && at_us < self.at_us + self.time_out_us))
    }

    fn may_have_run(&mut self, at_us: i64) {
        self.end = self.end.or(Some((at_us, LaunchEnd::MayHaveRun)));
    }
}

/// A launch as a machine reads it.
#[derive(Clone, Copy)]
pub(crate) struct LaunchArrival<'a> {
    pub(crate) at_us: i64,
    pub(crate) machine: &'a str,
    connection: u64,
    pub(crate) planner: &'a Incarnation,
    pub(crate) launch: &'a Launch,
    pub(crate) late: bool,
}

/// A launch by its request and its place among the request's launches.
type LaunchIndex = (RequestId, usize);

/// All launches.
#[derive(Default)]
pub(crate) struct Launches {
    tasks: HashMap<(Incarnation, u64), Launch>,
    by_request: BTreeMap<RequestId, Vec<SentLaunch>>,
    by_number: HashMap<(Incarnation, u64), RequestId>,
    by_connection: HashMap<u64, Vec<LaunchIndex>>,
    /// By planner and machine: launches since its last inventory, and those that it held then.
    open: HashMap<(Incarnation, String), Vec<LaunchIndex>>,
}

impl Launches {
    /// All of a planner's.
    pub(crate) fn of_planner<'a>(&'a self, planner: &'a Incarnation) -> impl Iterator<Item = &'a SentLaunch> {
        self.by_request.iter().filter(move |(id, _)| id.0 == *planner).flat_map(|(_, sent)| sent)
    }

    pub(crate) fn task(&self, planner: &Incarnation, number: u64) -> Option<&Launch> {
        self.tasks.get(&(planner.clone(), number))
    }

    pub(crate) fn get(&self, planner: &Incarnation, number: u64) -> Option<&SentLaunch> {
        let request = self.by_number.get(&(planner.clone(), number))?;
        self.by_request.get(request)?.iter().find(|sent| sent.number == number)
    }

    pub(crate) fn take_by_request(&mut self) -> BTreeMap<RequestId, Vec<SentLaunch>> {
        std::mem::take(&mut self.by_request)
    }

    /// What ran on the machine runs no more; what was sent is judged by its connection.
    pub(crate) fn machine_started(&mut self, machine: &str) {
        let accepted = |sent: &&mut SentLaunch| sent.machine == machine && sent.accepted;
        self.by_request.values_mut().flatten().filter(accepted).for_each(|sent| sent.over = true);
    }

    fn change(&mut self, planner: &Incarnation, id: Option<LaunchId>, change: impl Fn(&mut SentLaunch)) {
        let Some(id) = id else { return };
        let launcher = (planner.0.clone(), id.epoch);
        let Some(request) = self.by_number.get(&(launcher, id.number)) else { return };
        let all = self.by_request.get_mut(request);
        if let Some(sent) = all.and_then(|all| all.iter_mut().find(|sent| sent.number == id.number)) {
            change(sent);
        }
    }

    fn add(&mut self, arrival: &LaunchArrival, number: u64) {
        let LaunchArrival { at_us, machine, connection, planner, launch, late } = *arrival;
        let request = (planner.clone(), launch.key.clone(), launch.ask);
        let all = self.by_request.entry(request.clone()).or_default();
        all.push(SentLaunch {
            at_us,
            late,
            machine: machine.to_owned(),
            time_out_us: launch.time_out_us,
            end: None,
            accepted: false,
            over: false,
            over_at: 0,
            number,
        });
        let index = (request, all.len() - 1);
        self.open.entry((planner.clone(), machine.to_owned())).or_default().push(index.clone());
        self.by_connection.entry(connection).or_default().push(index);
    }

    /// A launch that was read before the inventory and is not in it has ended, or was never accepted: it runs
    /// no more.
    fn inventory(&mut self, at_us: i64, machine: &str, planner: &Incarnation, inventory: &wire::Inventory) {
        let held = inventory.held.iter().filter_map(|held| Some(held.launch.as_ref()?.id?.number));
        let held: HashSet<u64> = held.collect();
        let key = (planner.clone(), machine.to_owned());
        for (request, index) in self.open.remove(&key).unwrap_or_default() {
            let sent = &mut self.by_request.get_mut(&request).expect("kept together")[index];
            if !sent.over && !sent.accepted && !held.contains(&sent.number) {
                sent.end = Some((sent.end.map_or(at_us, |end| end.0), LaunchEnd::NeverRan));
            } else if !sent.over {
                self.open.entry(key.clone()).or_default().push((request, index));
            }
        }
    }
}

impl InvariantChecker {
    /// A frame of a machine's, where nothing holds any back: sent and delivered at once.
    pub fn machine_sent_and_delivered(
        &mut self,
        at_us: i64,
        machine: &str,
        planner: &Incarnation,
        body: &Body,
    ) {
        self.machine_sent(at_us, machine, planner, body);
        self.machine_frame_delivered(at_us, machine, planner, body);
    }

    /// A frame of a machine's is on the socket: the planner can know of it. What it does before that rests
    /// on less, whatever the machine has long decided.
    pub fn machine_frame_delivered(&mut self, at_us: i64, machine: &str, planner: &Incarnation, body: &Body) {
        match body {
            Body::Drain(drain) => {
                self.drains.notice(planner, machine, NoticeSource::Machine, drain.on.then_some(at_us));
            }
            Body::Inventory(inventory) => {
                let since = inventory.draining.then_some(at_us);
                self.drains.notice(planner, machine, NoticeSource::Machine, since);
            }
            Body::Refused(refused) => self.launches.change(planner, refused.id, |sent| {
                sent.end = sent.end.or(Some((at_us, LaunchEnd::NeverRan)));
                // A cancelled launch that is refused after all is known not to have run from then on.
                if !sent.accepted {
                    sent.end = sent.end.map(|end| (end.0, LaunchEnd::NeverRan));
                }
            }),
            Body::Failed(wire::Failed { id, .. }) | Body::Ended(wire::Ended { id, .. }) => {
                self.launches.change(planner, *id, |sent| sent.may_have_run(at_us));
            }
            _ => {}
        }
    }

    /// A frame that a machine sent to a planner, though it may still be held back.
    pub fn machine_sent(&mut self, at_us: i64, machine: &str, planner: &Incarnation, body: &Body) {
        match body {
            Body::Inventory(inventory) => {
                self.check_greeting(at_us, machine, planner);
                self.launches.inventory(at_us, machine, planner, inventory);
            }
            Body::Yes(accepted) => {
                self.totals.accepted += 1;
                self.check_fence(at_us, machine, planner, accepted.id);
                self.launches.change(planner, accepted.id, |sent| sent.accepted = true);
            }
            Body::Refused(refused) => {
                self.totals.refused += 1;
                self.launches.change(planner, refused.id, |sent| (sent.over, sent.over_at) = (true, at_us));
            }
            Body::Failed(wire::Failed { id, .. }) | Body::Ended(wire::Ended { id, .. }) => {
                self.launches.change(planner, *id, |sent| (sent.over, sent.over_at) = (true, at_us));
            }
            _ => {}
        }
    }

    /// A frame that a machine received from a planner.
    pub fn machine_received(&mut self, at_us: i64, machine: &str, planner: &Incarnation, body: &Body) {
        if let Body::Hello(_) = body {
            self.epochs.greeted(at_us, machine, planner);
        }
    }

    /// A connection between a planner and a machine ended: what was sent on it may have run.
    pub fn machine_disconnected(&mut self, at_us: i64, connection: u64) {
        for (request, index) in self.launches.by_connection.remove(&connection).unwrap_or_default() {
            let all = self.launches.by_request.get_mut(&request).expect("kept together");
            all[index].may_have_run(at_us);
        }
    }

    /// A frame of a planner's is on a machine's socket. `late`: nothing had been read there for a while.
    pub fn machine_socket_read(
        &mut self,
        at_us: i64,
        machine: &str,
        connection: u64,
        planner: &Incarnation,
        body: &Body,
        late: bool,
    ) {
        match body {
            Body::Launch(launch) => {
                self.launched(&LaunchArrival { at_us, machine, connection, planner, launch, late });
            }
            Body::Cancel(wire::Cancel { id }) | Body::Stop(wire::Stop { id }) => {
                self.launches.change(planner, *id, |sent| sent.may_have_run(at_us));
            }
            _ => {}
        }
    }

    fn launched(&mut self, arrival: &LaunchArrival) {
        let LaunchArrival { at_us, machine, planner, launch, .. } = *arrival;
        let Some(id) = launch.id else { return };
        let key = (planner.clone(), id.number);
        if self.launches.by_number.contains_key(&key) {
            self.totals.repeated_launches += 1;
            return;
        }
        self.totals.launches += 1;
        let request = (planner.clone(), launch.key.clone(), launch.ask);
        self.launches.by_number.insert(key.clone(), request);
        self.launches.tasks.insert(key, launch.clone());
        self.check_drain(arrival);
        self.check_warm_up(at_us, machine, planner);
        self.check_zone_recovery(at_us, machine, planner);
        self.check_spread(arrival);
        self.check_placement(arrival);
        self.launches.add(arrival, id.number);
        let planners = &self.planners;
        self.epochs.acted(at_us, planner, |epoch| planners.killed_at(&(planner.0.clone(), epoch)));
    }
}
