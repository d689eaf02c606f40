//! The record of a run: one line for each thing that was sent, answered or run, with its time.
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates `record.txt` in the folder of the case.
    pub fn create(folder: &Path) -> std::io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line.
    pub fn note(&self, who: &str, what: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {who:<12} {}", what.trim_end());
    }
}
