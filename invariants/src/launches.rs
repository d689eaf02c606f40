//! Launches and their outcomes, from the frames on the machines' sockets.
use crate::drains::NoticeSource;
use crate::{Incarnation, InvariantChecker, RequestId};
use basaltpitch_agent::wire::{self, Body, Launch, LaunchId};
use std::collections::{BTreeMap, HashMap, HashSet};

/// The outcome of a launch that has ended, as far as the planner can know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LaunchEnd {
    /// The task did not run.
    NeverRan,
    /// The task may have run, completely or in part.
    MayHaveRun,
}

/// A launch that was written to a machine's socket. Times are microseconds.
#[derive(Debug)]
pub(crate) struct SentLaunch {
    pub(crate) at_us: i64,
    /// Whether the machine had stopped reading, so that the time of sending is not known.
    pub(crate) late: bool,
    pub(crate) machine: String,
    /// How long after the launch the planner may treat it as ended without any reply.
    pub(crate) time_out_us: i64,
    /// When the planner could first know that the launch ended, and how; `None`: it cannot know
    /// yet.
    pub(crate) end: Option<(i64, LaunchEnd)>,
    accepted: bool,
    /// Whether the launch has ended on the machine, known to the planner or not.
    pub(crate) finished: bool,
    /// When a frame of the machine set `finished`, in microseconds; 0 if none has.
    pub(crate) finished_at: i64,
    pub(crate) number: u64,
}

impl SentLaunch {
    /// Returns whether the launch counts as running: an accepted launch until it has finished, any
    /// other launch until the planner can know of its end or its timeout expires.
    pub(crate) fn is_active(&self, at_us: i64) -> bool {
        !self.finished && (self.accepted || (self.end.is_none() && at_us < self.at_us + self.time_out_us))
    }

    fn may_have_run(&mut self, at_us: i64) {
        self.end = self.end.or(Some((at_us, LaunchEnd::MayHaveRun)));
    }
}

/// A launch frame on a machine's socket.
#[derive(Clone, Copy)]
pub(crate) struct LaunchArrival<'a> {
    pub(crate) at_us: i64,
    pub(crate) machine: &'a str,
    connection: u64,
    pub(crate) planner: &'a Incarnation,
    pub(crate) launch: &'a Launch,
    pub(crate) late: bool,
}

/// Identifies a launch: its request, and its index among the launches of the request.
type LaunchIndex = (RequestId, usize);

/// All launches that were observed.
#[derive(Default)]
pub(crate) struct Launches {
    /// The frames, by planner and launch number.
    tasks: HashMap<(Incarnation, u64), Launch>,
    by_request: BTreeMap<RequestId, Vec<SentLaunch>>,
    /// The request of each launch, by planner and launch number.
    by_number: HashMap<(Incarnation, u64), RequestId>,
    by_connection: HashMap<u64, Vec<LaunchIndex>>,
    /// By planner and machine: launches since the machine's last inventory, and those that were not
    /// settled by it.
    open: HashMap<(Incarnation, String), Vec<LaunchIndex>>,
}

impl Launches {
    /// Returns all launches of a planner.
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

    /// Ends all accepted launches of a machine, as its start ends what ran on it. Launches that
    /// were not accepted yet end with their connection.
    pub(crate) fn machine_started(&mut self, machine: &str) {
        let accepted = |sent: &&mut SentLaunch| sent.machine == machine && sent.accepted;
        self.by_request.values_mut().flatten().filter(accepted).for_each(|sent| sent.finished = true);
    }

    /// Changes the launch that a frame refers to, if it was observed.
    fn change(&mut self, planner: &Incarnation, id: Option<LaunchId>, change: impl Fn(&mut SentLaunch)) {
        let Some(id) = id else { return };
        let launcher = (planner.0.clone(), id.epoch);
        let Some(request) = self.by_number.get(&(launcher, id.number)) else { return };
        let sent = self.by_request.get_mut(request);
        if let Some(sent) = sent.and_then(|sent| sent.iter_mut().find(|sent| sent.number == id.number)) {
            change(sent);
        }
    }

    fn add(&mut self, arrival: &LaunchArrival, number: u64) {
        let LaunchArrival { at_us, machine, connection, planner, launch, late } = *arrival;
        let request = (planner.clone(), launch.key.clone(), launch.ask);
        let launches = self.by_request.entry(request.clone()).or_default();
        launches.push(SentLaunch {
            at_us,
            late,
            machine: machine.to_owned(),
            time_out_us: launch.time_out_us,
            end: None,
            accepted: false,
            finished: false,
            finished_at: 0,
            number,
        });
        let index = (request, launches.len() - 1);
        self.open.entry((planner.clone(), machine.to_owned())).or_default().push(index.clone());
        self.by_connection.entry(connection).or_default().push(index);
    }

    /// Applies a machine's inventory: a launch that the machine read before it sent the inventory,
    /// has not accepted and does not list will not run.
    fn inventory(&mut self, at_us: i64, machine: &str, planner: &Incarnation, inventory: &wire::Inventory) {
        let held = inventory.held.iter().filter_map(|held| Some(held.launch.as_ref()?.id?.number));
        let held: HashSet<u64> = held.collect();
        let key = (planner.clone(), machine.to_owned());
        for (request, index) in self.open.remove(&key).unwrap_or_default() {
            let sent =
                &mut self.by_request.get_mut(&request).expect("every open launch is in by_request")[index];
            if !sent.finished && !sent.accepted && !held.contains(&sent.number) {
                sent.end = Some((sent.end.map_or(at_us, |end| end.0), LaunchEnd::NeverRan));
            } else if !sent.finished {
                self.open.entry(key.clone()).or_default().push((request, index));
            }
        }
    }
}

impl InvariantChecker {
    /// Records a frame that a machine sent to a planner and that was delivered without a delay.
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

    /// Records that a machine's frame was written to the planner's socket. The planner can know the
    /// frame's content from now on. Its earlier actions are checked as those of a planner that does
    /// not know the content, however long ago the machine sent the frame.
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
                // A refusal proves that the task did not run, also after a cancel left that open.
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

    /// Records a frame that a machine sent to a planner, whether or not it has been delivered yet.
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
                self.launches
                    .change(planner, refused.id, |sent| (sent.finished, sent.finished_at) = (true, at_us));
            }
            Body::Failed(wire::Failed { id, .. }) | Body::Ended(wire::Ended { id, .. }) => {
                self.launches.change(planner, *id, |sent| (sent.finished, sent.finished_at) = (true, at_us));
            }
            _ => {}
        }
    }

    /// Records a frame that a machine received from a planner.
    pub fn machine_received(&mut self, at_us: i64, machine: &str, planner: &Incarnation, body: &Body) {
        if let Body::Hello(_) = body {
            self.epochs.greeted(at_us, machine, planner);
        }
    }

    /// Records the end of a connection between a planner and a machine: launches that were sent on
    /// it and whose end is not known may have run.
    pub fn machine_disconnected(&mut self, at_us: i64, connection: u64) {
        for (request, index) in self.launches.by_connection.remove(&connection).unwrap_or_default() {
            let launches =
                self.launches.by_request.get_mut(&request).expect("every sent launch is in by_request");
            launches[index].may_have_run(at_us);
        }
    }

    /// Records a planner's frame on a machine's socket. `late`: the socket had not been read for a
    /// while, so that the time of sending is not known.
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

    /// Records a launch and checks it. A frame that repeats a launch number is only counted.
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
