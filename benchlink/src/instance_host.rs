//! What a planner acts through on the bench: each of its calls becomes a line of the wire.
use basaltpitch::host::Host;
use basaltpitch_interner::IdAllocator;
use basaltpitch_json_fields::NameLists;
use serde_json::Value;
use std::fmt::Write as _;

/// One instance's side of the wire: its ids, and the lines that its planner wants written.
#[derive(Default)]
pub struct InstanceHost {
    /// The instance's number on the wire.
    instance: u64,
    /// Lines to be written.
    pub lines: String,
    /// Open tasks, by the bench's id.
    pub tasks: IdAllocator<String>,
    /// Machines, by name.
    pub machines: IdAllocator<String>,
    /// Services, by number.
    pub services: IdAllocator<u64>,
    /// Names that the settings list.
    pub names: NameLists,
    /// Attempts of each task without an outcome.
    open_attempts: Vec<u32>,
    /// Whether each task has had its final answer.
    answered: Vec<bool>,
}

impl InstanceHost {
    /// An instance by its number on the wire, with the names that its settings list.
    pub fn new(instance: u64, names: NameLists) -> Self {
        InstanceHost { instance, names, ..InstanceHost::default() }
    }

    fn start_line(&mut self, action: &str) {
        let _ = write!(self.lines, "{{\"type\":\"{action}\",\"who\":{}", self.instance);
    }

    fn start_task_line(&mut self, action: &str, task: usize) {
        self.start_line(action);
        let _ = write!(self.lines, ",\"opId\":\"{}\"", self.tasks.id(task));
    }

    fn write_machine(&mut self, machine: usize) {
        let name = Value::from(self.machines.id(machine).as_str());
        let _ = write!(self.lines, ",\"machine\":{name}");
    }

    /// Writes a line with a text.
    pub fn write_text(&mut self, action: &str, text: &str) {
        self.start_line(action);
        let _ = writeln!(self.lines, ",\"bodyText\":{}}}", Value::from(text));
    }

    /// The index of a task that is asked for or found, with the attempts that are open.
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

    /// Counts an attempt as ended.
    pub fn close_attempt(&mut self, task: usize) {
        self.open_attempts[task] = self.open_attempts[task].saturating_sub(1);
    }

    /// Whether a task has had its final answer.
    pub fn is_answered(&self, task: usize) -> bool {
        self.answered[task]
    }

    /// Marks the final answer, and frees the index where no attempt is open any more.
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
