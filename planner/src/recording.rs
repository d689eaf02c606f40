//! A recording: everything that the placing module was told, and every call that it made. Text, a line each:
//!
//! ```text
//! # basaltpitch recording 1
//! {"seed":7,"now":10,"given":{...}}         how the module was started
//! > watch true                               a call
//! {"at":20,"told":{"timer":{"token":0}}}     what it was told, and when
//! {"at":20,"told":{..},"answers":{"allows":"110","wishes":[],"alike":[]}}   and what clauses answered meanwhile
//! ```
//!
//! `replay` tells a new module the same and compares its calls, line by line.
use crate::host_adapter::{CallTranscript, ConstraintAnswers};
use crate::placement_event::PlacementEvent;
use basaltpitch::host::{Settings, Value};
use basaltpitch::placement::Planner;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, Write};
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};

const FIRST: &str = "# basaltpitch recording 1";
/// Pieces that may wait for the disk.
const MOST_WAITING: usize = 4096;

#[derive(Serialize, Deserialize)]
struct Start {
    seed: u64,
    now: i64,
    given: BTreeMap<String, Plain>,
}

#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum Plain {
    Number(f64),
    Text(String),
}

#[derive(Serialize, Deserialize)]
struct Line {
    at: i64,
    told: PlacementEvent,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    answers: Option<Said>,
}

impl Line {
    /// Tells a module again, with the answers of clauses that it got then.
    fn tell(self, planner: &mut Planner<CallTranscript>) -> Result<(), String> {
        planner.set_clock(self.at);
        planner
            .host
            .answers
            .replace(self.answers.map_or_else(ConstraintAnswers::default, ConstraintAnswers::from));
        self.told.apply(planner)
    }
}

/// What clauses answered to the module, in the order of its questions.
#[derive(Serialize, Deserialize)]
struct Said {
    allows: String,
    wishes: VecDeque<u64>,
    alike: VecDeque<usize>,
}

impl From<ConstraintAnswers> for Said {
    fn from(a: ConstraintAnswers) -> Said {
        let allows = a.allows.into_iter().map(|x| if x { '1' } else { '0' }).collect();
        Said { allows, wishes: a.wishes, alike: a.alike }
    }
}

impl From<Said> for ConstraintAnswers {
    fn from(s: Said) -> ConstraintAnswers {
        ConstraintAnswers {
            allows: s.allows.chars().map(|c| c == '1').collect(),
            wishes: s.wishes,
            alike: s.alike,
        }
    }
}

/// Writes a recording beside the planner's thread. When the disk is full or too slow the recording ends with
/// one error, and the planner serves on: a recording with a gap would replay nothing.
pub struct Recorder {
    pieces: Option<SyncSender<String>>,
    piece: String,
}

impl Recorder {
    pub fn start(mut out: impl Write + Send + 'static, seed: u64, now: i64, given: &Settings) -> Self {
        let given = given.iter().map(|(name, value)| {
            let value = match value {
                Value::Number(n) => Plain::Number(*n),
                Value::Text(t) => Plain::Text(t.clone()),
            };
            (name.clone(), value)
        });
        let start = Start { seed, now, given: given.collect() };
        let head = format!("{FIRST}\n{}\n", serde_json::to_string(&start).expect("plain values"));
        let (pieces, inbox) = sync_channel::<String>(MOST_WAITING);
        std::thread::spawn(move || {
            let mut write = |piece: &str| out.write_all(piece.as_bytes()).and_then(|()| out.flush());
            let mut wrote = write(&head);
            while let (Ok(()), Ok(mut piece)) = (&wrote, inbox.recv()) {
                inbox.try_iter().for_each(|more| piece.push_str(&more));
                wrote = write(&piece);
            }
            if let Err(e) = wrote {
                tracing::error!(error = %e, "the recording ended: it cannot be written; the planner serves on");
            }
        });
        Recorder { pieces: Some(pieces), piece: String::new() }
    }

    /// What the module was told, and what clauses answered it meanwhile. Its calls follow.
    pub fn told(&mut self, at: i64, told: &PlacementEvent, answers: ConstraintAnswers) {
        if self.pieces.is_some() {
            let answers = (!answers.is_empty()).then(|| answers.into());
            let line =
                serde_json::to_string(&Line { at, told: told.clone(), answers }).expect("plain values");
            self.piece.push_str(&line);
            self.piece.push('\n');
        }
    }

    /// The calls that the module made since.
    pub fn calls(&mut self, calls: &mut CallTranscript) {
        self.piece.push_str(&calls.text);
        calls.text.clear();
        if self.piece.len() >= 16 * 1024 {
            self.flush();
        }
    }

    pub fn flush(&mut self) {
        let piece = std::mem::take(&mut self.piece);
        if piece.is_empty() {
            return;
        }
        match self.pieces.as_ref().map(|pieces| pieces.try_send(piece)) {
            Some(Err(TrySendError::Full(_))) => {
                tracing::error!("the recording ended: the disk is too slow; the planner serves on");
                self.pieces = None;
            }
            Some(Err(TrySendError::Disconnected(_))) => self.pieces = None,
            _ => {}
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.flush();
    }
}

/// What a replay found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Replayed {
    /// Every call was the same: so many things told, so many calls.
    Same { told: usize, calls: usize },
    /// The first call that differs, with its line in the file; empty where there was none.
    Differs { line: usize, recorded: String, now: String },
}

/// The time that a new module takes for all that a recording holds, reading the recording not counted.
pub fn time_bare(file: impl BufRead) -> Result<std::time::Duration, String> {
    let mut lines = file.lines().skip(1).map_while(Result::ok);
    let start = lines.next().ok_or("found no start; expected one in line 2")?;
    let mut planner = begin(&start)?;
    let told: Vec<Line> = lines.filter_map(|l| serde_json::from_str(&l).ok()).collect();
    let began = std::time::Instant::now();
    for line in told {
        line.tell(&mut planner)?;
        planner.host.text.clear();
    }
    Ok(began.elapsed())
}

/// A new module, started as a recording's second line says.
fn begin(start: &str) -> Result<Planner<CallTranscript>, String> {
    let start: Start = serde_json::from_str(start)
        .map_err(|e| format!("line 2: found {e}; expected seed, now and given in JSON"))?;
    let given = start.given.into_iter().map(|(name, value)| {
        let value = match value {
            Plain::Number(n) => Value::Number(n),
            Plain::Text(t) => Value::Text(t),
        };
        (name, value)
    });
    Ok(Planner::new(CallTranscript::default(), start.seed, start.now, given.collect()))
}

/// Tells a new module what a recording holds and compares its calls. An error names the line, what was found
/// and what was expected. A last line that was cut off by a sudden end is passed over.
pub fn replay(file: impl BufRead) -> Result<Replayed, String> {
    let mut lines = file.lines().enumerate().map(|(i, l)| (i + 1, l)).peekable();
    let mut next = |expected: &str| match lines.next() {
        Some((n, Ok(text))) => Ok((n, text)),
        Some((n, Err(e))) => Err(format!("line {n}: found {e}; expected {expected}")),
        None => Err(format!("found the end of the file; expected {expected}")),
    };
    let (_, first) = next(FIRST)?;
    if first != FIRST {
        return Err(format!("line 1: found {first:?}; expected {FIRST:?}"));
    }
    let (_, start) = next("how the module was started")?;
    let mut planner = begin(&start)?;
    let (mut told, mut calls) = (0, 0);
    let mut due: VecDeque<String> =
        std::mem::take(&mut planner.host.text).lines().map(str::to_owned).collect();
    while let Some((n, line)) = lines.next() {
        let line = line.map_err(|e| format!("line {n}: {e}"))?;
        if line.starts_with("> ") {
            let now = due.pop_front().unwrap_or_default();
            if now != line {
                // The end of a file that was being written when the planner was killed.
                if lines.peek().is_none() && now.starts_with(&line) {
                    break;
                }
                return Ok(Replayed::Differs { line: n, recorded: line, now });
            }
            calls += 1;
            continue;
        }
        if let Some(now) = due.pop_front() {
            return Ok(Replayed::Differs { line: n, recorded: String::new(), now });
        }
        let parsed: Line = match serde_json::from_str(&line) {
            Ok(parsed) => parsed,
            Err(_) if lines.peek().is_none() => break,
            Err(e) => {
                return Err(format!("line {n}: found {e}; expected what the module was told, or a call"))
            }
        };
        parsed.tell(&mut planner).map_err(|e| format!("line {n}: found {e}"))?;
        told += 1;
        due.extend(std::mem::take(&mut planner.host.text).lines().map(str::to_owned));
    }
    Ok(Replayed::Same { told, calls })
}
