//! The host of a planner in the simulator: each action of the planner becomes a line of output.
use basaltpitch::host::Host;
use basaltpitch_interner::IdAllocator;
use basaltpitch_json_fields::NameLists;
use serde_json::Value;
use std::fmt::Write as _;

/// The host of one planner instance: the mapping of its ids to indices, and its pending output
/// lines.
#[derive(Default)]
pub struct InstanceHost {
    /// Number of the instance in the simulator.
    instance: u64,
    /// Output lines that have not been added to the reply yet.
    pub lines: String,
    /// Indices of the open tasks, by the simulator's id.
    pub tasks: IdAllocator<String>,
    /// Indices of the machines, by name.
    pub machines: IdAllocator<String>,
    /// Indices of the services, by number.
    pub services: IdAllocator<u64>,
    /// Names of frameworks, zones, machine kinds and tenants, as listed in the settings.
    pub names: NameLists,
    /// Number of attempts without an outcome, by task.
    open_attempts: Vec<u32>,
    /// Whether the task has its final answer, by task.
    answered: Vec<bool>,
}

impl InstanceHost {
    /// Creates the host of the instance with a number, with the names listed in its settings.
    pub fn new(instance: u64, names: NameLists) -> Self {
        InstanceHost { instance, names, ..InstanceHost::default() }
    }

    /// Writes the beginning of a line for an action, up to the instance's number.
    fn start_line(&mut self, action: &str) {
        let _ = write!(self.lines, "{{\"type\":\"{action}\",\"who\":{}", self.instance);
    }

    /// Writes the beginning of a line for an action on a task, up to the task's id.
    fn start_task_line(&mut self, action: &str, task: usize) {
        self.start_line(action);
        let _ = write!(self.lines, ",\"opId\":\"{}\"", self.tasks.id(task));
    }

    /// Writes the field with a machine's name.
    fn write_machine(&mut self, machine: usize) {
        let name = Value::from(self.machines.id(machine).as_str());
        let _ = write!(self.lines, ",\"machine\":{name}");
    }

    /// Writes a line with an action and its text.
    pub fn write_text(&mut self, action: &str, text: &str) {
        self.start_line(action);
        let _ = writeln!(self.lines, ",\"bodyText\":{}}}", Value::from(text));
    }

    /// Opens a task that was requested or found running, with its number of open attempts, and
    /// returns its index.
    pub fn open_task(&mut self, id: String, open_attempts: u32) -> usize {
        let task = self.tasks.intern(id);
        if task >= self.open_attempts.len() {
            self.open_attempts.resize(task + 1, 0);
            self.answered.resize(task + 1, false);
        }
        self.open_attempts[task] = open_attempts;
        self.answered[task] = false;
        task
    }

    /// Counts one open attempt of a task as ended.
    pub fn close_attempt(&mut self, task: usize) {
        self.open_attempts[task] = self.open_attempts[task].saturating_sub(1);
    }

    /// Returns whether a task has its final answer.
    pub fn is_answered(&self, task: usize) -> bool {
        self.answered[task]
    }

    /// Marks a task as having its final answer, and frees its index if it has no open attempt.
    pub fn close_task(&mut self, task: usize) {
        self.answered[task] = true;
        if self.open_attempts[task] == 0 {
            self.tasks.release(task);
        }
    }
}

impl Host for InstanceHost {
    fn launch(&mut self, task: usize, machine: usize, timeout_us: i64) {
        self.open_attempts[task] += 1;
        self.start_task_line("put", task);
        self.write_machine(machine);
        let _ = writeln!(self.lines, ",\"capUs\":{timeout_us}}}");
    }

    fn cancel(&mut self, task: usize, attempt: u32) {
        self.start_task_line("cancel", task);
        let _ = writeln!(self.lines, ",\"sendNo\":{attempt}}}");
    }

    fn reject(&mut self, task: usize, retry_after_us: i64) {
        self.start_task_line("deny", task);
        let _ = writeln!(self.lines, ",\"comeBackUs\":{retry_after_us}}}");
        self.close_task(task);
    }

    fn abort(&mut self, task: usize) {
        self.start_task_line("lose", task);
        self.lines.push_str("}\n");
        self.close_task(task);
    }

    fn evict(&mut self, task: usize) {
        self.start_task_line("reassign", task);
        self.lines.push_str("}\n");
        self.close_task(task);
    }

    fn probe(&mut self, machine: usize) {
        self.start_line("test");
        self.write_machine(machine);
        self.lines.push_str("}\n");
    }

    fn watch_list(&mut self, on: bool) {
        self.start_line("follow");
        let _ = writeln!(self.lines, ",\"on\":{on}}}");
    }

    fn fetch_list(&mut self) {
        self.start_line("resolve");
        self.lines.push_str("}\n");
    }

    fn set_timer(&mut self, after_us: i64, token: u64) {
        self.start_line("setAlarm");
        let _ = writeln!(self.lines, ",\"fromNowUs\":{after_us},\"ref\":{token}}}");
    }

    fn log(&mut self, text: &str) {
        self.write_text("print", text);
    }
}
