//! The record of a case: a line for everything that was sent, received and run, with the time in
//! milliseconds since the start of the case.
use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

struct Record {
    start: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Starts the record in the file that `RECORD` names, `record.txt` by default.
pub fn start() {
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    let file = Mutex::new(File::create(path).expect("the record can be written"));
    let _ = RECORD.set(Record { start: Instant::now(), file });
}

/// Milliseconds since the start of the case.
pub fn now_ms() -> f64 {
    RECORD.get().map_or(0.0, |record| record.start.elapsed().as_secs_f64() * 1000.0)
}

/// Adds what `who` did.
pub fn add(who: &str, what: &str) {
    if let Some(record) = RECORD.get() {
        let mut file = record.file.lock().unwrap();
        let at = record.start.elapsed().as_secs_f64() * 1000.0;
        let _ = writeln!(file, "{at:>9.1} {who:<12} {}", what.trim_end());
    }
}

/// Adds a remark of the case itself, and prints it.
pub fn note(text: &str) {
    add("case", text);
    println!("{text}");
}
