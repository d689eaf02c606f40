//! Recordings of the placement module: every event that it received and every call that it made, as
//! text, with one line for each:
//!
//! ```text
//! # basaltpitch recording 1
//! {"seed":7,"now":10,"given":{...}}         how the module was started
//! > watch true                               a call that the module made
//! {"at":20,"told":{"timer":{"token":0}}}     an event, with its time in microseconds
//! {"at":20,"told":{..},"answers":{"allows":"110","wishes":[],"alike":[]}}   an event, with the
//!                                            answers of constraints to the module
//! ```
//!
//! `replay` passes the events of a recording to a new module and compares the calls, line by line.
use crate::host_adapter::{CallTranscript, ConstraintAnswers};
use crate::placement_event::{InvalidCode, PlacementEvent};
use basaltpitch::host::{Settings, Value};
use basaltpitch::placement::Planner;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, Write};
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};

/// The first line of every recording: the format and its version.
const FIRST_LINE: &str = "# basaltpitch recording 1";
/// Limit on the chunks that wait to be written to disk.
const MAX_QUEUED_CHUNKS: usize = 4096;
/// A chunk is written to disk once it has this length, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// The second line of a recording: how the placement module was started.
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

/// A line with an event of the placement module.
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
    /// Passes the event to a module, which receives the recorded answers of constraints.
    fn apply(self, planner: &mut Planner<CallTranscript>) -> Result<(), InvalidCode> {
        planner.set_clock(self.at);
        let answers = self.answers.map(ConstraintAnswers::from).unwrap_or_default();
        planner.host.answers.replace(answers);
        self.event.apply(planner)
    }
}

/// The constraints' answers to the module during one event, in the order of the module's queries.
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

/// Writes a recording on a thread of its own. If the disk is full or too slow, the recording ends
/// with one logged error, because a recording with a gap could not be replayed. The planner
/// continues without it.
pub struct Recorder {
    /// Chunks for the writing thread; `None` once the recording has ended early.
    chunks: Option<SyncSender<String>>,
    /// Lines that were not handed to the writing thread yet.
    chunk: String,
}

impl Recorder {
    /// Starts a recording of a placement module that was started with this seed, time and settings.
    pub fn start(mut out: impl Write + Send + 'static, seed: u64, now: i64, settings: &Settings) -> Self {
        let settings = settings.iter().map(|(name, value)| {
            let value = match value {
                Value::Number(number) => SettingValue::Number(*number),
                Value::Text(text) => SettingValue::Text(text.clone()),
            };
            (name.clone(), value)
        });
        let header = Header { seed, now, settings: settings.collect() };
        let head = format!(
            "{FIRST_LINE}\n{}\n",
            serde_json::to_string(&header).expect("a header serializes to JSON")
        );
        let (chunks, queued_chunks) = sync_channel::<String>(MAX_QUEUED_CHUNKS);
        std::thread::spawn(move || {
            let mut write = |chunk: &str| out.write_all(chunk.as_bytes()).and_then(|()| out.flush());
            let mut result = write(&head);
            while let (Ok(()), Ok(mut chunk)) = (&result, queued_chunks.recv()) {
                queued_chunks.try_iter().for_each(|more| chunk.push_str(&more));
                result = write(&chunk);
            }
            if let Err(error) = result {
                tracing::error!(%error, "cannot write the recording; it ends here and the planner continues");
            }
        });
        Recorder { chunks: Some(chunks), chunk: String::new() }
    }

    /// Records an event and the answers of constraints that the module received during it. The
    /// module's calls are recorded after it, with `record_calls`.
    pub fn record_event(&mut self, at: i64, event: &PlacementEvent, answers: ConstraintAnswers) {
        if self.chunks.is_some() {
            let answers = (!answers.is_empty()).then(|| answers.into());
            let line = EventLine { at, event: event.clone(), answers };
            self.chunk.push_str(&serde_json::to_string(&line).expect("an event serializes to JSON"));
            self.chunk.push('\n');
        }
    }

    /// Records the calls in the transcript, and empties it.
    pub fn record_calls(&mut self, transcript: &mut CallTranscript) {
        self.chunk.push_str(&transcript.text);
        transcript.text.clear();
        if self.chunk.len() >= CHUNK_BYTES {
            self.flush();
        }
    }

    /// Hands the recorded lines to the writing thread.
    pub fn flush(&mut self) {
        let chunk = std::mem::take(&mut self.chunk);
        if chunk.is_empty() {
            return;
        }
        match self.chunks.as_ref().map(|chunks| chunks.try_send(chunk)) {
            Some(Err(TrySendError::Full(_))) => {
                tracing::error!(
                    "the disk is too slow for the recording; it ends here and the planner continues"
                );
                self.chunks = None;
            }
            Some(Err(TrySendError::Disconnected(_))) => self.chunks = None,
            _ => {}
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.flush();
    }
}

/// The result of replaying a recording.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplayOutcome {
    /// The module made the same calls as in the recording.
    Same {
        /// The number of events that the module received.
        events: usize,
        /// The number of calls that the module made.
        calls: usize,
    },
    /// The module made a different call; the first difference is given.
    Differs {
        /// The line number in the file, from 1.
        line: usize,
        /// The call in the recording; empty if the recording has none at this point.
        recorded: String,
        /// The call that the module made in the replay; empty if it made none at this point.
        now: String,
    },
}

/// Why a file cannot be read as a recording.
#[derive(Debug, thiserror::Error)]
pub enum RecordingError {
    /// The file ends before its second line is complete.
    #[error("found the end of the file; expected {0}")]
    EndOfFile(&'static str),
    /// The file has no second line.
    #[error("line 2: found the end of the file; expected seed, now and given in JSON")]
    NoHeader,
    /// The first line is not that of a recording.
    #[error("line 1: found {0:?}; expected {FIRST_LINE:?}")]
    FirstLine(String),
    /// The second line does not describe how the module was started.
    #[error("line 2: found {0}; expected seed, now and given in JSON")]
    Header(serde_json::Error),
    /// The first or the second line cannot be read.
    #[error("cannot read line {line}: {error}; expected {expected}")]
    UnreadableHead {
        /// The line number, from 1.
        line: usize,
        /// Why the line cannot be read.
        error: std::io::Error,
        /// What the line should contain.
        expected: &'static str,
    },
    /// A line cannot be read.
    #[error("cannot read line {line}: {error}")]
    Unreadable {
        /// The line number, from 1.
        line: usize,
        /// Why the line cannot be read.
        error: std::io::Error,
    },
    /// A line is neither an event nor a call.
    #[error(
        "line {line}: found {error}; expected an event of the module, or a call, which begins with \"> \""
    )]
    Line {
        /// The line number, from 1.
        line: usize,
        /// Why the line is not an event.
        error: serde_json::Error,
    },
    /// An event has an unknown code.
    #[error("line {line}: found {error}")]
    Code {
        /// The line number, from 1.
        line: usize,
        /// The unknown code.
        error: InvalidCode,
    },
    /// An event has an unknown code; its line number is not known.
    #[error(transparent)]
    UncountedCode(#[from] InvalidCode),
}

/// Replays a recording's events without comparing the calls, and returns the time that the
/// placement module took for them. Reading and parsing the file does not count.
///
/// # Errors
/// The file's second line is not that of a recording, or an event has an unknown code.
pub fn time_replay(file: impl BufRead) -> Result<std::time::Duration, RecordingError> {
    let mut lines = file.lines().skip(1).map_while(Result::ok);
    let header = lines.next().ok_or(RecordingError::NoHeader)?;
    let mut planner = start_planner(&header)?;
    let events: Vec<EventLine> = lines.filter_map(|line| serde_json::from_str(&line).ok()).collect();
    let started_at = std::time::Instant::now();
    for event in events {
        event.apply(&mut planner)?;
        planner.host.text.clear();
    }
    Ok(started_at.elapsed())
}

/// Starts a placement module with the seed, time and settings in a recording's second line.
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

/// A replay in progress.
struct Replay {
    planner: Planner<CallTranscript>,
    /// Calls that the module made in the replay and that were not compared with the recording yet.
    pending_calls: VecDeque<String>,
    events: usize,
    calls: usize,
}

impl Replay {
    fn new(mut planner: Planner<CallTranscript>) -> Self {
        let pending_calls = take_calls(&mut planner);
        Replay { planner, pending_calls, events: 0, calls: 0 }
    }

    /// Compares a recorded call with the module's next call; the error is the module's call if the
    /// two differ, or empty if the module made none.
    fn check_call(&mut self, recorded: &str) -> Result<(), String> {
        let now = self.pending_calls.pop_front().unwrap_or_default();
        if now != recorded {
            return Err(now);
        }
        self.calls += 1;
        Ok(())
    }

    fn apply_event(&mut self, line: EventLine) -> Result<(), InvalidCode> {
        line.apply(&mut self.planner)?;
        self.events += 1;
        self.pending_calls.extend(take_calls(&mut self.planner));
        Ok(())
    }
}

fn take_calls(planner: &mut Planner<CallTranscript>) -> VecDeque<String> {
    std::mem::take(&mut planner.host.text).lines().map(str::to_owned).collect()
}

/// Replays a recording with a new placement module and compares the module's calls with the
/// recorded ones. A truncated last line is ignored, because the planner may have been killed while
/// it wrote it.
///
/// # Errors
/// The file is not a recording; the error names the line, what was found and what was expected.
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
    let mut replay =
        Replay::new(start_planner(&next("line 2 with the seed, time and settings of the module")?)?);
    while let Some((line, text)) = lines.next() {
        let text = text.map_err(|error| RecordingError::Unreadable { line, error })?;
        let is_last = lines.peek().is_none();
        if text.starts_with("> ") {
            if let Err(now) = replay.check_call(&text) {
                // The last line was cut off, because the planner was killed while it wrote the
                // file.
                if is_last && now.starts_with(&text) {
                    break;
                }
                return Ok(ReplayOutcome::Differs { line, recorded: text, now });
            }
            continue;
        }
        if let Some(now) = replay.pending_calls.pop_front() {
            return Ok(ReplayOutcome::Differs { line, recorded: String::new(), now });
        }
        match serde_json::from_str(&text) {
            Ok(event) => replay.apply_event(event).map_err(|error| RecordingError::Code { line, error })?,
            Err(_) if is_last => break,
            Err(error) => return Err(RecordingError::Line { line, error }),
        }
    }
    Ok(ReplayOutcome::Same { events: replay.events, calls: replay.calls })
}
