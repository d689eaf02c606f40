//! The planner's records of tasks, machines, services and frameworks, addressed by their indices.
use super::estimates::UsageEstimate;
use super::Planner;
use crate::host::{number, text, Host, Location, Resources, Settings};

/// The phase of a task, as seen by the planner.
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) enum TaskPhase {
    /// The task has its final answer or has ended; its index may be reused.
    #[default]
    Over,
    /// The task waits for capacity.
    Waiting,
    /// An attempt was sent, and its machine has not answered yet.
    Sent,
    /// A machine accepted the task, or the task was found running.
    Placed,
}

/// The settings of a framework. They are parsed once, because ranking the machines of a large fleet
/// reads them for every machine.
pub(super) struct FrameworkRules {
    /// Whether a task may run twice: `retryable` (always), `dedup` (where machines drop duplicates)
    /// or another value (never).
    pub(super) semantics: String,
    /// The topology level to which `max_together` applies: `machine`, `cell` or `zone`; with any
    /// other value there is no limit.
    pub(super) spread: String,
    /// Maximum number of tasks of one service that run on one machine, or in one cell or zone.
    pub(super) max_together: usize,
    /// Index of the machine kind that the tasks require; negative if any kind will do.
    pub(super) required_kind: f64,
    /// Priority for preemption; tasks of a higher priority may evict tasks of a lower one.
    pub(super) priority: f64,
    /// Priority weight; waiting tasks of a higher weight are served first.
    pub(super) weight: f64,
    /// Latency objective of the framework's requests, in microseconds.
    pub(super) latency_objective_us: f64,
    /// Share of a machine's cores in use up to which the framework's tasks run at full speed.
    pub(super) congestion_threshold: f64,
    /// Middle of the range of core usage over which the tasks' service level falls to 0, minus the
    /// share of a machine's cores that is filled without congestion. If negative, the tasks are
    /// never placed on a congested machine.
    pub(super) congestion_tolerance: f64,
}

impl FrameworkRules {
    /// Reads the settings of the framework with the given index; returns `None` past the last
    /// index. `cores_share` is the share of a machine's cores that is filled without congestion.
    pub(super) fn read(settings: &Settings, index: usize, cores_share: f64) -> Option<Self> {
        let class_number = |name: &str| number(settings, &format!("classes.{index}.{name}"));
        let family_number =
            |name: &str| number(settings, &format!("familyInfo.{name}.{index}")).unwrap_or(0.0);
        Some(FrameworkRules {
            latency_objective_us: class_number("objectiveUs")?,
            semantics: text(settings, &format!("classes.{index}.semantics")).to_owned(),
            spread: text(settings, &format!("familyInfo.classSpread.{index}")).to_owned(),
            max_together: family_number("mostTogether") as usize,
            required_kind: family_number("classKind"),
            priority: family_number("priorityByClass"),
            weight: class_number("worth").unwrap_or(0.0),
            congestion_threshold: family_number("calmLevel"),
            congestion_tolerance: family_number("calmLevel") + 0.5 * family_number("fadeSpan") - cores_share,
        })
    }
}

/// A task, from its request or its discovery on a machine until its final answer or its end. Times
/// are in microseconds.
#[derive(Default)]
pub(super) struct Task {
    /// Order of arrival; also distinguishes successive tasks that use the same index.
    pub(super) sequence: u64,
    pub(super) phase: TaskPhase,
    pub(super) framework: usize,
    pub(super) service: usize,
    pub(super) cores: f64,
    pub(super) memory: f64,
    pub(super) requested_at: i64,
    pub(super) deadline_at: i64,
    /// Machine of the latest attempt.
    pub(super) machine: usize,
    /// Number of attempts so far, including the running one of a task that was found.
    pub(super) attempts: u32,
    /// Time at which the latest attempt was sent.
    pub(super) sent_at: i64,
    /// Time from which the latest attempt is known to run; 0 if it is not known to run.
    pub(super) running_at: i64,
    /// Machine and send time of the first failed attempt that may have run; `None` if no attempt
    /// can have run.
    pub(super) possibly_ran: Option<(usize, i64)>,
    /// Machine that last answered an attempt with an error; `None` if no machine did.
    pub(super) errored_on: Option<usize>,
    /// Machines whose attempt failed since the task last entered the queue; they are not chosen
    /// again until it re-enters the queue.
    pub(super) tried: Vec<usize>,
}

/// The state of all machines, in parallel arrays indexed by machine. Times are in microseconds, 0
/// if the event has not happened.
#[derive(Default)]
pub(super) struct Machines {
    /// Whether the machine list shows the machine as ready.
    pub(super) listed: Vec<bool>,
    pub(super) location: Vec<Location>,
    pub(super) started_at: Vec<i64>,
    pub(super) cores: Vec<f64>,
    pub(super) memory: Vec<f64>,
    pub(super) used_cores: Vec<f64>,
    pub(super) used_memory: Vec<f64>,
    pub(super) reported_at: Vec<i64>,
    /// Number derived from the machine's id, the same in every planner.
    pub(super) stable_number: Vec<u64>,
    /// Cores and memory that tasks had requested of the machine, according to the machine list, at
    /// the last call of `read_report`, even if that report was empty.
    pub(super) requested_at_report: Vec<Resources>,
    /// Cores and memory that no task has requested, according to the machine list.
    pub(super) unrequested: Vec<Resources>,
    /// Time at which the latest entry of the machine list for the machine arrived.
    pub(super) listed_at: Vec<i64>,
    /// This planner's tasks with an attempt on the machine that has not ended.
    pub(super) own_tasks: Vec<Vec<usize>>,
    /// Times at which the latest attempts were sent to the machine, the most recent first.
    pub(super) launch_times: Vec<Vec<i64>>,
    pub(super) slow_start_until: Vec<i64>,
    pub(super) ejected_until: Vec<i64>,
    pub(super) probed_at: Vec<i64>,
    /// Time of the last message from the machine: an answer to an attempt or probe, a status of a
    /// task, or the end of a task.
    pub(super) last_contact_at: Vec<i64>,
}

impl Machines {
    /// Grows the arrays to contain the index, with default values for new machines.
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
        self.launch_times.resize(count, Vec::new());
        let report_times = [&mut self.started_at, &mut self.reported_at, &mut self.listed_at];
        let health_times = [
            &mut self.slow_start_until,
            &mut self.ejected_until,
            &mut self.probed_at,
            &mut self.last_contact_at,
        ];
        report_times.into_iter().chain(health_times).for_each(|times| times.resize(count, 0));
        for amounts in [&mut self.cores, &mut self.memory, &mut self.used_cores, &mut self.used_memory] {
            amounts.resize(count, 0.0);
        }
    }

    /// Resets the state of a machine that no longer exists.
    fn clear(&mut self, machine: usize) {
        self.listed[machine] = false;
        self.location[machine] = (0, 0, 0);
        self.own_tasks[machine] = Vec::new();
        self.launch_times[machine] = Vec::new();
        (self.unrequested[machine], self.requested_at_report[machine]) = ((0.0, 0.0), (0.0, 0.0));
        for times in
            [&mut self.started_at, &mut self.reported_at, &mut self.listed_at, &mut self.slow_start_until]
        {
            times[machine] = 0;
        }
        (self.ejected_until[machine], self.probed_at[machine], self.last_contact_at[machine]) = (0, 0, 0);
        (self.used_cores[machine], self.used_memory[machine]) = (0.0, 0.0);
    }

    /// Ejects a machine until the given time, unless it is already ejected for longer.
    pub(super) fn eject_until(&mut self, machine: usize, until: i64) {
        self.ejected_until[machine] = self.ejected_until[machine].max(until);
    }
}

impl<H: Host> Planner<H> {
    /// Sets a service's number, which is derived from its id and the same in every planner. Has no
    /// effect if the index already has a number.
    pub fn set_service_number(&mut self, service: usize, number: u64) {
        let known = self.service_numbers.len().max(service + 1);
        self.service_numbers.resize(known, number);
    }

    /// Resets the usage estimate of a service without tasks, because its index is about to be
    /// reused.
    pub fn service_removed(&mut self, service: usize) {
        self.service_usage[service] = UsageEstimate::PRIOR;
    }

    /// Resets the state of a machine that no longer exists and has no open attempt, so that its
    /// index can be reused.
    pub fn machine_removed(&mut self, machine: usize) {
        self.machines.clear(machine);
    }

    pub(super) fn ensure_machine(&mut self, machine: usize) {
        self.machines.ensure(machine);
    }

    /// Stores a new task under the index, in the phase `Over` until the caller sets another one.
    pub(super) fn insert_task(&mut self, task: usize, framework: usize, service: usize, demand: Resources) {
        self.ensure_service_usage(service, demand.0);
        let count = self.tasks.len().max(task + 1);
        self.tasks.resize_with(count, Task::default);
        self.last_sequence += 1;
        let (sequence, (cores, memory)) = (self.last_sequence, demand);
        self.tasks[task] = Task { sequence, framework, service, cores, memory, ..Task::default() };
    }

    /// Returns the machines that the list shows as ready, in the order of their indices.
    pub(super) fn ready_machines(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.machines.listed.len()).filter(|&machine| self.machines.listed[machine])
    }

    /// Returns this planner's tasks with an attempt on the machine that has not ended.
    pub(super) fn own_tasks_on(&self, machine: usize) -> impl Iterator<Item = &Task> {
        self.machines.own_tasks[machine].iter().map(|&task| &self.tasks[task])
    }

    /// Returns a numeric setting, or 0 if it is absent.
    pub(super) fn setting(&self, name: &str) -> f64 {
        number(&self.settings, name).unwrap_or(0.0)
    }

    /// Returns whether machines accept an attempt only after the task has started.
    pub(super) fn accepted_means_running(&self) -> bool {
        text(&self.settings, "familyInfo.yesAt") == "running"
    }
}
