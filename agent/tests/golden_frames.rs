//! Frames are encoded to the same bytes as by earlier builds, and those bytes are decoded to the
//! same frames. `golden/frames.txt` has one line for each frame of this test, with the field number
//! of its kind and its bytes in hex. The file is never edited, because peers may run an earlier
//! build.
use basaltpitch_agent::wire::{self, Body, Frame};
use prost::Message;

/// Returns the field number of a frame's kind. The match is exhaustive, so that a new kind must be
/// added here and thus to the file.
fn frame_number(body: &Body) -> u32 {
    match body {
        Body::Hello(_) => 1,
        Body::Heartbeat(_) => 2,
        Body::Credit(_) => 3,
        Body::Goodbye(_) => 4,
        Body::Launch(_) => 10,
        Body::Yes(_) => 11,
        Body::Refused(_) => 12,
        Body::Failed(_) => 13,
        Body::Running(_) => 14,
        Body::Note(_) => 15,
        Body::Ended(_) => 16,
        Body::Noted(_) => 17,
        Body::Cancel(_) => 18,
        Body::Stop(_) => 19,
        Body::Probe(_) => 20,
        Body::Probed(_) => 21,
        Body::Inventory(_) => 22,
        Body::Drain(_) => 23,
        Body::Watch(_) => 30,
        Body::Fetch(_) => 31,
        Body::List(_) => 32,
        Body::Submit(_) => 40,
        Body::Answer(_) => 41,
        Body::Life(_) => 42,
        Body::Withdraw(_) => 43,
        Body::Query(_) => 50,
        Body::Told(_) => 51,
        Body::Accept(_) => 52,
        Body::Clauses(_) => 53,
        Body::Ballots(_) => 60,
        Body::Votes(_) => 61,
        Body::GiveBack(_) => 62,
        Body::Freed(_) => 63,
        Body::Record(_) => 64,
        Body::Kept(_) => 65,
        Body::HandOn(_) => 66,
        Body::Digest(_) => 72,
        Body::Summaries(_) => 73,
    }
}

const FRAME_NUMBERS: [u32; 38] = [
    1, 2, 3, 4, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 30, 31, 32, 40, 41, 42, 43, 50, 51,
    52, 53, 60, 61, 62, 63, 64, 65, 66, 72, 73,
];

fn launch_id() -> Option<wire::LaunchId> {
    Some(wire::LaunchId { epoch: 1_700_000_000_000_001, number: 300 })
}

fn report() -> Option<wire::Report> {
    Some(wire::Report { values: vec![0.25, 16.0] })
}

fn launch() -> wire::Launch {
    wire::Launch {
        id: launch_id(),
        key: "task-1".into(),
        ask: 2,
        framework: "small".into(),
        tenant: "orders".into(),
        service: 3,
        cores: 1.5,
        memory: 2.25,
        runs_for_us: 4_000_000,
        time_out_us: 5_000_000,
        kind: "keyed".into(),
        tenant_id: "00000000-0000-0000-0000-000000000006".into(),
    }
}

fn hello(role: wire::Role) -> Body {
    Body::Hello(wire::Hello {
        version: 1,
        role: role.into(),
        name: "planner-0".into(),
        epoch: 2,
        link: 3,
        credit: 4096,
        login: "asha".into(),
        heartbeat_us: 250_000,
    })
}

fn ended(how: wire::EndedHow) -> Body {
    Body::Ended(wire::Ended { id: launch_id(), key: "task-1".into(), how: how.into(), report: report() })
}

fn entry(readiness: wire::Readiness) -> wire::Entry {
    wire::Entry {
        machine: "m1".into(),
        address: "127.0.0.1:7000".into(),
        kind: "std".into(),
        zone: "hall-a".into(),
        cell: 5,
        readiness: readiness.into(),
        started_us: 7,
        cores_left: 8.5,
        memory_left: 9.75,
        labels: vec!["fast".into(), "new".into()],
    }
}

fn answer(kind: wire::AnswerKind) -> Body {
    Body::Answer(wire::Answer {
        key: "task-1".into(),
        ask: 2,
        kind: kind.into(),
        machine: "m1".into(),
        retry_after_us: 5_000_000,
        reason: "no room".into(),
        stale_us: -1,
        not_allowed: true,
    })
}

fn task_change(how: wire::LifeHow) -> Body {
    Body::Life(wire::Life { key: "task-1".into(), ask: 2, how: how.into() })
}

fn connection() -> Vec<Body> {
    use wire::Role::*;
    let mut all: Vec<Body> =
        [Unknown, Planner, Machine, Register, Owner, Operator, Voter].into_iter().map(hello).collect();
    all.push(Body::Heartbeat(wire::Heartbeat { seq: 1, seen: 2 }));
    all.push(Body::Heartbeat(wire::Heartbeat::default()));
    all.push(Body::Credit(wire::Credit { bytes: 70_000 }));
    all.push(Body::Goodbye(wire::Goodbye { reason: "stops".into() }));
    all
}

fn machines() -> Vec<Body> {
    use wire::EndedHow::*;
    let (id, key) = (launch_id(), || "task-1".to_owned());
    let mut all = vec![
        Body::Launch(launch()),
        Body::Yes(wire::Yes { id, key: key(), report: report() }),
        Body::Refused(wire::Refused { id, key: key(), why: 3, report: report() }),
        Body::Failed(wire::Failed { id, key: key(), report: report() }),
        Body::Running(wire::Running { id, key: key() }),
        Body::Note(wire::Note { id, key: key(), sort: 3, value: 0.5 }),
    ];
    all.extend([EndedDone, EndedEvicted, EndedPushedOut, EndedSentAway, EndedStopped].into_iter().map(ended));
    let held = wire::Held { launch: Some(launch()), running: true, accepted: true };
    all.extend([
        Body::Noted(wire::Noted { id }),
        Body::Cancel(wire::Cancel { id }),
        Body::Stop(wire::Stop { id }),
        Body::Probe(wire::Probe { number: 9 }),
        Body::Probed(wire::Probed { number: 9, why: 2, report: report() }),
        Body::Inventory(wire::Inventory { held: vec![held], draining: true }),
    ]);
    all
}

fn registry() -> Vec<Body> {
    use wire::Readiness::*;
    let fetch = wire::Fetch {
        question: 1,
        cores: 2.5,
        memory: 3.5,
        kind: "std".into(),
        zone: "hall-a".into(),
        among: vec!["m1".into(), "m2".into()],
        most: 8,
    };
    let entries = [Ready, Draining, Gone].into_iter().map(entry).collect();
    vec![
        Body::Drain(wire::Drain { machine: "m1".into(), on: true, token: 2, number: 3, started_us: 4 }),
        Body::Watch(wire::Watch { on: true, brief: true }),
        Body::Fetch(fetch),
        Body::List(wire::List { whole: true, stamp: 2, entries, question: 3 }),
    ]
}

fn clients() -> Vec<Body> {
    use wire::{AnswerKind, LifeHow};
    let submit = wire::Submit {
        key: "task-1".into(),
        ask: 2,
        framework: "small".into(),
        tenant: "orders".into(),
        service: 3,
        cores: 1.5,
        memory: 2.25,
        runs_for_us: 4_000_000,
        time_left_us: 6_000_000,
    };
    let answers = [AnswerKind::AnswerUnknown, AnswerKind::Placed, AnswerKind::Declined, AnswerKind::Aborted];
    let task_changes = [
        LifeHow::LifeUnknown,
        LifeHow::LifeEnded,
        LifeHow::LifeLost,
        LifeHow::LifeEvicted,
        LifeHow::LifeMoved,
        LifeHow::LifeStopped,
    ];
    let mut all = vec![Body::Submit(submit)];
    all.extend(answers.into_iter().map(answer));
    all.extend(task_changes.into_iter().map(task_change));
    all.push(Body::Withdraw(wire::Withdraw { key: "task-1".into(), ask: 2 }));
    all
}

fn operators() -> Vec<Body> {
    vec![
        Body::Query(wire::Query { what: "tasks".into(), about: "task-1".into() }),
        Body::Told(wire::Told { json: "{}".into(), more: true }),
        Body::Accept(wire::Accept {}),
        Body::Clauses(wire::Clauses { json: "[]".into(), take: true }),
    ]
}

fn stored_votes() -> wire::Kept {
    let past = wire::Holding { holder: "planner-1#2".into(), token: 3, since_us: 4 };
    let stored_vote = wire::KeptDuty {
        past: vec![past],
        duty: "planner-0".into(),
        token: 2,
        holder: "planner-2#5".into(),
        left_us: 6,
        note_token: 7,
        note_number: 8,
        note: vec![9, 255],
        renewed: true,
    };
    wire::Kept {
        whole: true,
        votes_in_us: 2,
        duties: vec![stored_vote],
        life: 4,
        revision: 5,
        since: 6,
        prefix: "planner-".into(),
    }
}

fn voters() -> Vec<Body> {
    let lease = || "planner-0".to_owned();
    let ballot =
        wire::Ballot { duty: lease(), token: 2, round: 3, note_number: 4, note: vec![5, 255], renews: true };
    let vote = wire::Vote {
        duty: lease(),
        round: 2,
        granted: true,
        token: 4,
        left_us: 5,
        note_token: 6,
        note_number: 7,
        note: vec![8, 255],
    };
    vec![
        Body::Ballots(wire::Ballots { ballots: vec![ballot] }),
        Body::Votes(wire::Votes { votes: vec![vote], term_us: 1_200_000 }),
        Body::GiveBack(wire::GiveBack { duty: lease(), token: 2, to: "spare-1".into() }),
        Body::Freed(wire::Freed { duty: lease(), handed: true }),
        Body::Record(wire::Record { brief: true, prefix: "planner-".into(), life: 3, revision: 4 }),
        Body::Kept(stored_votes()),
        Body::HandOn(wire::HandOn { duty: lease(), to: "spare-1".into(), token: 3 }),
    ]
}

fn planners() -> Vec<Body> {
    let digest =
        wire::Digest { question: 1, took: 2, news: true, subjects: vec![4, 300], numbers: vec![5, 600] };
    let summaries = wire::Summaries {
        question: 1,
        subjects: vec![2, 300],
        tokens: vec![-3, 400],
        numbers: vec![4, 500],
        behind: vec![5, 600],
        ages_ms: vec![6, 700],
        counts: vec![1, 1],
        places: vec![8, 900],
        figures: vec![9, 1000],
    };
    vec![Body::Digest(digest), Body::Summaries(summaries)]
}

/// Returns frames of every kind, with a distinct value in each field and every value of each
/// enumeration.
fn frames() -> Vec<Frame> {
    let parts = [connection(), machines(), registry(), clients(), operators(), voters(), planners()];
    parts.into_iter().flatten().map(Frame::from).collect()
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(hex: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hex digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

fn number_of_frame(frame: &Frame) -> u32 {
    frame_number(frame.body.as_ref().expect("every frame has a body"))
}

/// Returns the lines of the file: the field number of the kind and the bytes.
fn golden_lines() -> Vec<(u32, Vec<u8>)> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/frames.txt");
    let text = std::fs::read_to_string(path).expect("golden/frames.txt is readable");
    let line = |line: &str| {
        let (number, hex) = line.split_once(' ').expect("a line is a number, a space and hex digits");
        (number.parse().expect("the first column is a number"), decode_hex(hex))
    };
    text.lines().map(line).collect()
}

#[test]
fn golden_file_has_every_kind_of_frame() {
    let mut found: Vec<u32> = golden_lines().iter().map(|line| line.0).collect();
    found.sort_unstable();
    found.dedup();
    assert_eq!(found, FRAME_NUMBERS);
}

#[test]
fn encodes_frames_to_bytes_of_earlier_build() {
    let line = |number: u32, bytes: &[u8]| format!("{number} {}", encode_hex(bytes));
    let written: Vec<String> =
        frames().iter().map(|frame| line(number_of_frame(frame), &frame.encode_to_vec())).collect();
    let expected: Vec<String> = golden_lines().iter().map(|(number, bytes)| line(*number, bytes)).collect();
    assert_eq!(written, expected);
}

#[test]
fn decodes_and_reencodes_bytes_of_earlier_build() {
    let read: Vec<Frame> = golden_lines()
        .iter()
        .map(|(_, bytes)| Frame::decode(&bytes[..]).expect("the bytes decode as a frame"))
        .collect();
    assert_eq!(read, frames());
    for (frame, (number, bytes)) in read.iter().zip(golden_lines()) {
        assert_eq!((number_of_frame(frame), frame.encode_to_vec()), (number, bytes));
    }
}
