//! What the planner keeps of tasks, machines, services and frameworks, under their small indices.
use super::estimates::UsageEstimate;
use super::Planner;
use crate::host::{number, text, Host, Location, Resources, Settings};

/// Where a task is in its life, as far as the planner is concerned.
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) enum TaskPhase {
    /// Answered or ended; its index may be used again.
    #[default]
    Over,
    /// Waits for capacity.
    Waiting,
    /// An attempt is under way, without an answer yet.
    Sent,
    /// A machine accepted it.
    Placed,
}

/// What the settings say of a framework, read once: ranking a large fleet asks for it all the time.
pub(super) struct FrameworkRules {
    pub(super) semantics: String,
    /// The level at which `max_together` counts: machine, cell, zone or nothing.
    pub(super) spread: String,
    /// Tasks of one service that may run together at that level.
    pub(super) max_together: usize,
    /// The machine kind that it needs; below 0: any.
    pub(super) required_kind: f64,
    pub(super) priority: f64,
    /// Its priority weight, by which waiting tasks are served.
    pub(super) weight: f64,
    pub(super) latency_objective_us: f64,
    /// Share of a machine's cores in use up to which its tasks are not slowed.
    pub(super) calm_level: f64,
    /// The middle of its fade over the headroom share: below 0, crowding stops its tasks.
    pub(super) crowding_tolerance: f64,
}

impl FrameworkRules {
    /// The rules of the framework with an index, `None` past the last one.
    pub(super) fn read(settings: &Settings, index: usize, headroom: f64) -> Option<Self> {
        let of_class = |name: &str| number(settings, &format!("classes.{index}.{name}"));
        let of_family = |name: &str| number(settings, &format!("familyInfo.{name}.{index}")).unwrap_or(0.0);
        Some(FrameworkRules {
            latency_objective_us: of_class("objectiveUs")?,
            semantics: text(settings, &format!("classes.{index}.semantics")).to_owned(),
            spread: text(settings, &format!("familyInfo.classSpread.{index}")).to_owned(),
            max_together: of_family("mostTogether") as usize,
            required_kind: of_family("classKind"),
            priority: of_family("priorityByClass"),
            weight: of_class("worth").unwrap_or(0.0),
            calm_level: of_family("calmLevel"),
            crowding_tolerance: of_family("calmLevel") + 0.5 * of_family("fadeSpan") - headroom,
        })
    }
}

/// A task, from its request or from when it was found running until its answer or end.
#[derive(Default)]
pub(super) struct Task {
    /// Distinguishes the tasks that use one index after each other, and orders them by arrival.
    pub(super) sequence: u64,
    pub(super) phase: TaskPhase,
    pub(super) framework: usize,
    pub(super) service: usize,
    pub(super) cores: f64,
    pub(super) memory: f64,
    pub(super) requested_at: i64,
    pub(super) deadline_at: i64,
    /// The machine of the latest attempt.
    pub(super) machine: usize,
    pub(super) attempts: u32,
    pub(super) sent_at: i64,
    /// When it is known to have run; 0: not known.
    pub(super) running_at: i64,
    /// The first attempt that may have run: its machine and when it was sent.
    pub(super) possibly_ran: Option<(usize, i64)>,
    /// The machine that answered it with an error.
    pub(super) errored_on: Option<usize>,
    /// Machines that are not tried again before it has waited.
    pub(super) tried: Vec<usize>,
}

/// What is known of machines, in parallel arrays under the machine's index. Times are in microseconds, 0
/// where there was none.
#[derive(Default)]
pub(super) struct Machines {
    pub(super) listed: Vec<bool>,
    pub(super) location: Vec<Location>,
    pub(super) started_at: Vec<i64>,
    pub(super) cores: Vec<f64>,
    pub(super) memory: Vec<f64>,
    pub(super) used_cores: Vec<f64>,
    pub(super) used_memory: Vec<f64>,
    pub(super) reported_at: Vec<i64>,
    /// The id's number, which is the same at every planner.
    pub(super) stable_number: Vec<u64>,
    /// What was requested of it when its last report came.
    pub(super) requested_at_report: Vec<Resources>,
    /// Cores and memory that nobody had requested, as listed.
    pub(super) unrequested: Vec<Resources>,
    pub(super) listed_at: Vec<i64>,
    /// Own tasks with an attempt on it that has no outcome yet.
    pub(super) own_tasks: Vec<Vec<usize>>,
    /// When the latest attempts were sent to it, the latest first.
    pub(super) sent_times: Vec<Vec<i64>>,
    pub(super) slow_start_until: Vec<i64>,
    pub(super) ejected_until: Vec<i64>,
    pub(super) probed_at: Vec<i64>,
    /// When the machine last said anything: an answer, a status, an end.
    pub(super) heard_at: Vec<i64>,
}

impl Machines {
    /// Makes place for an index, with nothing known of it.
    fn ensure(&mut self, machine: usize) {
        let count = machine + 1;
        if count <= self.listed.len() {
            return;
        }
        self.listed.resize(count, false);
        self.location.resize(count, (0, 0, 0));
        self.stable_number.resize(count, machine as u64);
        for resources in [&mut self.unrequested, &mut self.requested_at_report] {
            resources.resize(count, (0.0, 0.0));
        }
        self.own_tasks.resize(count, Vec::new());
        self.sent_times.resize(count, Vec::new());
        let of_reports = [&mut self.started_at, &mut self.reported_at, &mut self.listed_at];
        let of_health =
            [&mut self.slow_start_until, &mut self.ejected_until, &mut self.probed_at, &mut self.heard_at];
        of_reports.into_iter().chain(of_health).for_each(|times| times.resize(count, 0));
        for amounts in [&mut self.cores, &mut self.memory, &mut self.used_cores, &mut self.used_memory] {
            amounts.resize(count, 0.0);
        }
    }

    /// Forgets a machine that is gone.
    fn clear(&mut self, machine: usize) {
        self.listed[machine] = false;
        self.location[machine] = (0, 0, 0);
        self.own_tasks[machine] = Vec::new();
        self.sent_times[machine] = Vec::new();
        (self.unrequested[machine], self.requested_at_report[machine]) = ((0.0, 0.0), (0.0, 0.0));
        for times in
            [&mut self.started_at, &mut self.reported_at, &mut self.listed_at, &mut self.slow_start_until]
        {
            times[machine] = 0;
        }
        (self.ejected_until[machine], self.probed_at[machine], self.heard_at[machine]) = (0, 0, 0);
        (self.used_cores[machine], self.used_memory[machine]) = (0.0, 0.0);
    }

    /// Bars a machine until then, or longer where it was barred for longer.
    pub(super) fn eject_until(&mut self, machine: usize, until: i64) {
        self.ejected_until[machine] = self.ejected_until[machine].max(until);
    }
}

impl<H: Host> Planner<H> {
    /// A service's id as a number that is the same at every planner.
    pub fn set_service_number(&mut self, service: usize, number: u64) {
        let known = self.service_numbers.len().max(service + 1);
        self.service_numbers.resize(known, number);
    }

    /// Nothing runs of a service any more and its index goes to another: what was learnt of it is forgotten.
    pub fn service_removed(&mut self, service: usize) {
        self.service_usage[service] = UsageEstimate::START;
    }

    /// A machine that is gone and holds no attempt gives up its index.
    pub fn machine_removed(&mut self, machine: usize) {
        self.machines.clear(machine);
    }

    pub(super) fn ensure_machine(&mut self, machine: usize) {
        self.machines.ensure(machine);
    }

    /// Puts a new task under an index, in the phase `Over`.
    pub(super) fn insert_task(&mut self, task: usize, framework: usize, service: usize, demand: Resources) {
        self.ensure_service_usage(service, demand.0);
        let slots = self.tasks.len().max(task + 1);
        self.tasks.resize_with(slots, Task::default);
        self.last_sequence += 1;
        let (sequence, (cores, memory)) = (self.last_sequence, demand);
        self.tasks[task] = Task { sequence, framework, service, cores, memory, ..Task::default() };
    }

    /// Machines that the list shows as ready.
    pub(super) fn ready_machines(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.machines.listed.len()).filter(|&machine| self.machines.listed[machine])
    }

    /// Own tasks with an attempt on a machine that has no outcome yet.
    pub(super) fn own_tasks_on(&self, machine: usize) -> impl Iterator<Item = &Task> {
        self.machines.own_tasks[machine].iter().map(|&task| &self.tasks[task])
    }

    /// A number of the settings, 0 where it is absent.
    pub(super) fn setting(&self, name: &str) -> f64 {
        number(&self.settings, name).unwrap_or(0.0)
    }

    /// Whether a machine accepts a task only once it runs.
    pub(super) fn accepted_means_running(&self) -> bool {
        text(&self.settings, "familyInfo.yesAt") == "running"
    }
}
