//! The frame of a case: its folder, whether it makes trouble, its time limit and its exit code.
use crate::record::Record;
use std::path::PathBuf;
use std::time::Duration;

/// What a case found.
pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

/// Runs a case; the folder is the first argument. Exits with 0 if the rule held, 1 if it was broken
/// and 2 if the case could not run.
pub fn run(case: impl FnOnce(&Record, bool, &PathBuf) -> Verdict + std::panic::UnwindSafe) -> ! {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&folder).expect("record.txt can be written");
    record.note("case", if trouble { "with the disruption" } else { "without the disruption" });
    let watched = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        watched.note("case", "could not run: the time is up");
        std::process::exit(2)
    });
    let result = std::panic::catch_unwind(|| case(&record, trouble, &folder));
    let verdict = result.unwrap_or_else(|_| Verdict::CouldNotRun("the case stopped with an error".into()));
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("rule held: {text}")),
        Verdict::Broken(text) => (1, format!("rule broken: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("could not run: {text}")),
    };
    let record = &record;
    record.note("case", &text);
    println!("{text}");
    std::process::exit(code)
}

/// The longest time that a case may take.
pub const LIMIT: Duration = Duration::from_secs(110);
