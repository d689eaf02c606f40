//! The small indices by which the placement module knows tasks: allocated when a request is opened
//! or an attempt is adopted, and freed once the module no longer needs them.
use std::collections::BTreeSet;

/// A task that the placement module knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct IndexedTask<K> {
    key: K,
    /// Whether the placement module still awaits the outcome of an attempt of the task.
    awaits_outcome: bool,
    over: bool,
}

impl<K> IndexedTask<K> {
    fn is_unneeded(&self) -> bool {
        self.over && !self.awaits_outcome
    }
}

/// The indices in use and the free indices.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TaskIndices<K> {
    entries: Vec<Option<IndexedTask<K>>>,
    free: BTreeSet<usize>,
    /// Indices that the placement module no longer needs once it has received all actions so far.
    unneeded: Vec<usize>,
}

impl<K> Default for TaskIndices<K> {
    fn default() -> Self {
        TaskIndices { entries: Vec::new(), free: BTreeSet::new(), unneeded: Vec::new() }
    }
}

impl<K> TaskIndices<K> {
    /// Allocates the lowest free index to a task.
    pub(crate) fn allocate(&mut self, key: K) -> usize {
        let task = self.free.pop_first().unwrap_or(self.entries.len());
        if task == self.entries.len() {
            self.entries.push(None);
        }
        self.entries[task] = Some(IndexedTask { key, awaits_outcome: false, over: false });
        task
    }

    pub(crate) fn key(&self, task: usize) -> Option<&K> {
        self.entries.get(task)?.as_ref().map(|entry| &entry.key)
    }

    /// Marks a task as awaiting the outcome of an attempt.
    pub(crate) fn await_outcome(&mut self, task: usize) {
        if let Some(entry) = &mut self.entries[task] {
            entry.awaits_outcome = true;
        }
    }

    /// Records that the outcome of the task's attempt was reported.
    pub(crate) fn record_outcome(&mut self, task: usize, over: bool) {
        if let Some(entry) = &mut self.entries[task] {
            entry.awaits_outcome = false;
            entry.over |= over;
        }
        self.note_unneeded(task);
    }

    /// Marks a task as over for the placement module.
    pub(crate) fn task_over(&mut self, task: usize) {
        if let Some(entry) = &mut self.entries[task] {
            entry.over = true;
        }
        self.note_unneeded(task);
    }

    fn note_unneeded(&mut self, task: usize) {
        if self.entries[task].as_ref().is_some_and(IndexedTask::is_unneeded) {
            self.unneeded.push(task);
        }
    }

    /// Frees the indices that the placement module no longer needs and returns them in ascending
    /// order.
    pub(crate) fn free_unneeded(&mut self) -> Vec<usize> {
        let mut freed = std::mem::take(&mut self.unneeded);
        freed.retain(|&task| self.entries[task].as_ref().is_some_and(IndexedTask::is_unneeded));
        freed.sort_unstable();
        freed.dedup();
        for &task in &freed {
            self.entries[task] = None;
            self.free.insert(task);
        }
        freed
    }
}
