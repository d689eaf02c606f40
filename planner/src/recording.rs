//! A recording: everything that the placement module was told, and every call that it made. Text, a line each:
//!
//! ```text
//! # basaltpitch recording 1
//! {"seed":7,"now":10,"given":{...}}         how the module was started
//! > watch true                               a call
//! {"at":20,"told":{"timer":{"token":0}}}     an event that it was told of, and when
//! {"at":20,"told":{..},"answers":{"allows":"110","wishes":[],"alike":[]}}   and what constraints answered
//! ```
//!
//! `replay` tells a new module the same and compares its calls, line by line.
use crate::host_adapter::{CallTranscript, ConstraintAnswers};
use crate::placement_event::{InvalidCode, PlacementEvent};
use basaltpitch::host::{Settings, Value};
use basaltpitch::placement::Planner;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, Write};
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};

const FIRST_LINE: &str = "# basaltpitch recording 1";
/// Pieces that may wait for the disk.
const MAX_WAITING: usize = 4096;
/// A piece goes to the disk once it is this long, in bytes.
const PIECE_BYTES: usize = 16 * 1024;

/// How the module was started: the second line.
#[derive(Serialize, Deserialize)]
#[serde(expecting = "struct Start")]
struct Header {
    seed: u64,
    now: i64,
    #[serde(rename = "given")]
    settings: BTreeMap<String, SettingValue>,
}

#[derive(Serialize, Deserialize)]
#[serde(untagged, expecting = "data did not match any variant of untagged enum Plain")]
enum SettingValue {
    Number(f64),
    Text(String),
}

/// An event that the module was told of.
#[derive(Serialize, Deserialize)]
#[serde(expecting = "struct Line")]
struct EventLine {
    at: i64,
    #[serde(rename = "told")]
    event: PlacementEvent,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    answers: Option<RecordedAnswers>,
}

impl EventLine {
    /// Tells a module again, with the answers of constraints that it got then.
    fn apply(self, planner: &mut Planner<CallTranscript>) -> Result<(), InvalidCode> {
        planner.set_clock(self.at);
        let answers = self.answers.map(ConstraintAnswers::from).unwrap_or_default();
        planner.host.answers.replace(answers);
        self.event.apply(planner)
    }
}

/// What constraints answered to the module, in the order of its questions.
#[derive(Serialize, Deserialize)]
#[serde(expecting = "struct Said")]
struct RecordedAnswers {
    allows: String,
    #[serde(rename = "wishes")]
    preferences: VecDeque<u64>,
    #[serde(rename = "alike")]
    groups: VecDeque<usize>,
}

impl From<ConstraintAnswers> for RecordedAnswers {
    fn from(answers: ConstraintAnswers) -> Self {
        let digit = |allowed| if allowed { '1' } else { '0' };
        RecordedAnswers {
            allows: answers.allows.into_iter().map(digit).collect(),
            preferences: answers.preferences,
            groups: answers.groups,
        }
    }
}

impl From<RecordedAnswers> for ConstraintAnswers {
    fn from(recorded: RecordedAnswers) -> Self {
        ConstraintAnswers {
            allows: recorded.allows.chars().map(|digit| digit == '1').collect(),
            preferences: recorded.preferences,
            groups: recorded.groups,
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
    /// Begins a recording of a module that is started with this seed, time and settings.
    pub fn start(mut out: impl Write + Send + 'static, seed: u64, now: i64, settings: &Settings) -> Self {
        let settings = settings.iter().map(|(name, value)| {
            let value = match value {
                Value::Number(number) => SettingValue::Number(*number),
                Value::Text(text) => SettingValue::Text(text.clone()),
            };
            (name.clone(), value)
        });
        let header = Header { seed, now, settings: settings.collect() };
        let head = format!("{FIRST_LINE}\n{}\n", serde_json::to_string(&header).expect("plain values"));
        let (pieces, inbox) = sync_channel::<String>(MAX_WAITING);
        std::thread::spawn(move || {
            let mut write = |piece: &str| out.write_all(piece.as_bytes()).and_then(|()| out.flush());
            let mut wrote = write(&head);
            while let (Ok(()), Ok(mut piece)) = (&wrote, inbox.recv()) {
                inbox.try_iter().for_each(|more| piece.push_str(&more));
                wrote = write(&piece);
            }
            if let Err(error) = wrote {
                tracing::error!(%error, "the recording ended: it cannot be written; the planner serves on");
            }
        });
        Recorder { pieces: Some(pieces), piece: String::new() }
    }

    /// An event that the module was told of, and what constraints answered it meanwhile. Its calls follow.
    pub fn record_event(&mut self, at: i64, event: &PlacementEvent, answers: ConstraintAnswers) {
        if self.pieces.is_some() {
            let answers = (!answers.is_empty()).then(|| answers.into());
            let line = EventLine { at, event: event.clone(), answers };
            self.piece.push_str(&serde_json::to_string(&line).expect("plain values"));
            self.piece.push('\n');
        }
    }

    /// The calls that the module made since.
    pub fn record_calls(&mut self, transcript: &mut CallTranscript) {
        self.piece.push_str(&transcript.text);
        transcript.text.clear();
        if self.piece.len() >= PIECE_BYTES {
            self.flush();
        }
    }

    /// Hands what was recorded to the writing thread.
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
pub enum ReplayOutcome {
    /// Every call was the same.
    Same {
        /// Events that the module was told of.
        events: usize,
        /// Calls that it made.
        calls: usize,
    },
    /// The first call that differs.
    Differs {
        /// The line in the file.
        line: usize,
        /// The call in the recording; empty where there is none.
        recorded: String,
        /// The call that is made now; empty where there is none.
        now: String,
    },
}

/// A file that is no recording.
#[derive(Debug, thiserror::Error)]
pub enum RecordingError {
    /// The file ends where more is expected.
    #[error("found the end of the file; expected {0}")]
    EndOfFile(&'static str),
    /// There is no second line.
    #[error("found no start; expected one in line 2")]
    NoHeader,
    /// The first line is another one.
    #[error("line 1: found {0:?}; expected {FIRST_LINE:?}")]
    FirstLine(String),
    /// The second line does not say how the module was started.
    #[error("line 2: found {0}; expected seed, now and given in JSON")]
    Header(serde_json::Error),
    /// A line of the head cannot be read.
    #[error("line {line}: found {error}; expected {expected}")]
    UnreadableHead {
        /// Its number.
        line: usize,
        /// Why.
        error: std::io::Error,
        /// What it should hold.
        expected: &'static str,
    },
    /// A line cannot be read.
    #[error("line {line}: {error}")]
    Unreadable {
        /// Its number.
        line: usize,
        /// Why.
        error: std::io::Error,
    },
    /// A line that is neither an event nor a call.
    #[error("line {line}: found {error}; expected what the module was told, or a call")]
    Line {
        /// Its number.
        line: usize,
        /// What is wrong with it.
        error: serde_json::Error,
    },
    /// An event with a code that stands for nothing.
    #[error("line {line}: found {error}")]
    Code {
        /// Its number.
        line: usize,
        /// The code.
        error: InvalidCode,
    },
    /// The same, where lines are not counted.
    #[error(transparent)]
    UncountedCode(#[from] InvalidCode),
}

/// The time that a new module takes for all that a recording holds, reading the recording not counted.
///
/// # Errors
/// The file does not begin as a recording, or has a code that stands for nothing.
pub fn time_bare(file: impl BufRead) -> Result<std::time::Duration, RecordingError> {
    let mut lines = file.lines().skip(1).map_while(Result::ok);
    let header = lines.next().ok_or(RecordingError::NoHeader)?;
    let mut planner = start_planner(&header)?;
    let events: Vec<EventLine> = lines.filter_map(|line| serde_json::from_str(&line).ok()).collect();
    let began = std::time::Instant::now();
    for event in events {
        event.apply(&mut planner)?;
        planner.host.text.clear();
    }
    Ok(began.elapsed())
}

/// A new module, started as a recording's second line says.
fn start_planner(header: &str) -> Result<Planner<CallTranscript>, RecordingError> {
    let header: Header = serde_json::from_str(header).map_err(RecordingError::Header)?;
    let settings = header.settings.into_iter().map(|(name, value)| {
        let value = match value {
            SettingValue::Number(number) => Value::Number(number),
            SettingValue::Text(text) => Value::Text(text),
        };
        (name, value)
    });
    Ok(Planner::new(CallTranscript::default(), header.seed, header.now, settings.collect()))
}

/// A module that is told a recording again.
struct Replay {
    planner: Planner<CallTranscript>,
    /// Calls that the module made now and that the recording is to have next.
    due: VecDeque<String>,
    events: usize,
    calls: usize,
}

impl Replay {
    fn new(mut planner: Planner<CallTranscript>) -> Self {
        let due = take_calls(&mut planner);
        Replay { planner, due, events: 0, calls: 0 }
    }

    /// Compares a recorded call with the one that is made now; the latter where they differ.
    fn check_call(&mut self, recorded: &str) -> Result<(), String> {
        let now = self.due.pop_front().unwrap_or_default();
        if now != recorded {
            return Err(now);
        }
        self.calls += 1;
        Ok(())
    }

    fn tell(&mut self, line: EventLine) -> Result<(), InvalidCode> {
        line.apply(&mut self.planner)?;
        self.events += 1;
        self.due.extend(take_calls(&mut self.planner));
        Ok(())
    }
}

fn take_calls(planner: &mut Planner<CallTranscript>) -> VecDeque<String> {
    std::mem::take(&mut planner.host.text).lines().map(str::to_owned).collect()
}

/// Tells a new module what a recording holds and compares its calls. A last line that was cut off by a sudden
/// end is passed over.
///
/// # Errors
/// The file is no recording; the error names the line, what was found and what was expected.
pub fn replay(file: impl BufRead) -> Result<ReplayOutcome, RecordingError> {
    let mut lines = file.lines().enumerate().map(|(index, line)| (index + 1, line)).peekable();
    let mut next = |expected| match lines.next() {
        Some((_, Ok(text))) => Ok(text),
        Some((line, Err(error))) => Err(RecordingError::UnreadableHead { line, error, expected }),
        None => Err(RecordingError::EndOfFile(expected)),
    };
    let first = next(FIRST_LINE)?;
    if first != FIRST_LINE {
        return Err(RecordingError::FirstLine(first));
    }
    let mut replay = Replay::new(start_planner(&next("how the module was started")?)?);
    while let Some((line, text)) = lines.next() {
        let text = text.map_err(|error| RecordingError::Unreadable { line, error })?;
        let is_last = lines.peek().is_none();
        if text.starts_with("> ") {
            if let Err(now) = replay.check_call(&text) {
                // The end of a file that was being written when the planner was killed.
                if is_last && now.starts_with(&text) {
                    break;
                }
                return Ok(ReplayOutcome::Differs { line, recorded: text, now });
            }
            continue;
        }
        if let Some(now) = replay.due.pop_front() {
            return Ok(ReplayOutcome::Differs { line, recorded: String::new(), now });
        }
        match serde_json::from_str(&text) {
            Ok(event) => replay.tell(event).map_err(|error| RecordingError::Code { line, error })?,
            Err(_) if is_last => break,
            Err(error) => return Err(RecordingError::Line { line, error }),
        }
    }
    Ok(ReplayOutcome::Same { events: replay.events, calls: replay.calls })
}
