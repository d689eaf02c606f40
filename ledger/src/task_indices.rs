//! The small indices by which the placement module knows tasks: handed out with a request, and freed when the
//! module needs them no more.
use std::collections::BTreeSet;

/// A task that the module knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct IndexedTask<K> {
    key: K,
    /// An attempt of it has no outcome yet.
    awaits_outcome: bool,
    over: bool,
}

impl<K> IndexedTask<K> {
    fn is_unneeded(&self) -> bool {
        self.over && !self.awaits_outcome
    }
}

/// The indices in use and the free ones.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TaskIndices<K> {
    entries: Vec<Option<IndexedTask<K>>>,
    free: BTreeSet<usize>,
    /// Indices that the module needs no more once it was told all actions so far.
    unneeded: Vec<usize>,
}

impl<K> Default for TaskIndices<K> {
    fn default() -> Self {
        TaskIndices { entries: Vec::new(), free: BTreeSet::new(), unneeded: Vec::new() }
    }
}

impl<K> TaskIndices<K> {
    /// The lowest free index, given to a task.
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

    /// An attempt of the task is to have an outcome.
    pub(crate) fn await_outcome(&mut self, task: usize) {
        if let Some(entry) = &mut self.entries[task] {
            entry.awaits_outcome = true;
        }
    }

    /// The outcome of the task's attempt came.
    pub(crate) fn outcome_came(&mut self, task: usize, over: bool) {
        if let Some(entry) = &mut self.entries[task] {
            entry.awaits_outcome = false;
            entry.over |= over;
        }
        self.note_unneeded(task);
    }

    /// The task is over for the module.
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

    /// Frees the indices that the module needs no more, in their order.
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
