//! Simulations of many peers: counting of traffic by kind of frame, line fitting, and the registry.
use basaltpitch_agent::link::{self, Clock, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{self, Body, Entry, Frame, Readiness, Role};
use basaltpitch_testbed::scale::linear_fit::fit_line;
use basaltpitch_testbed::scale::registry;
use basaltpitch_testbed::scale::traffic::{relay, RelayCounts, Traffic, KINDS};
use prost::Message;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Returns the frame as written to a socket, with its length prefix.
fn bytes_of(body: Body) -> Vec<u8> {
    let frame = Frame::from(body).encode_to_vec();
    [&(frame.len() as u32).to_be_bytes()[..], &frame].concat()
}

/// Returns a random frame with the kind that it is counted as.
fn random_frame(rng: &mut fastrand::Rng) -> (&'static str, Body) {
    let text: String = "x".repeat(rng.usize(0..400));
    match rng.u32(0..9) {
        0 => ("heartbeats", Body::Heartbeat(wire::Heartbeat { seq: rng.u64(0..1 << 40), seen: 0 })),
        1 => ("summaries", Body::Digest(wire::Digest { question: rng.u64(..), ..wire::Digest::default() })),
        2 => ("council", Body::Freed(wire::Freed { duty: text, handed: false })),
        3 => ("inventories", Body::Inventory(wire::Inventory::default())),
        4 => ("lists", Body::List(wire::List { whole: rng.bool(), ..wire::List::default() })),
        7 => ("probes", Body::Probe(wire::Probe { number: rng.u64(..) })),
        8 => ("heartbeats", Body::Heartbeat(wire::Heartbeat::default())),
        5 => ("tasks", Body::Launch(wire::Launch { key: text, ..wire::Launch::default() })),
        _ => ("links", Body::Goodbye(wire::Goodbye { reason: text })),
    }
}

/// Frames are forwarded in pieces of random sizes, in both directions. Every frame and every byte
/// must be counted under the frame's kind, even if a piece ends within the length or the first tag.
#[test]
fn relay_counts_all_bytes_by_kind_of_frame() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        for seed in 0..20 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let counts = Rc::new(RelayCounts::default());
            let relay_address =
                relay(listener.local_addr().unwrap().to_string(), counts.clone()).await.unwrap();
            let mut client = TcpStream::connect(relay_address).await.unwrap();
            let (mut server, _) = listener.accept().await.unwrap();
            let hello = Body::Hello(wire::Hello { name: "planner-9".into(), ..wire::Hello::default() });
            let mut sent: [Vec<u8>; 2] = [bytes_of(hello), Vec::new()];
            // Bytes and frames by kind, for each direction.
            let mut expected: [BTreeMap<&str, (u64, u64)>; 2] = Default::default();
            expected[0].insert("links", (sent[0].len() as u64, 1));
            for _ in 0..rng.usize(1..60) {
                let ((kind, body), direction) = (random_frame(&mut rng), rng.usize(0..2));
                let bytes = bytes_of(body);
                let count = expected[direction].entry(kind).or_default();
                *count = (count.0 + bytes.len() as u64, count.1 + 1);
                sent[direction].extend(bytes);
            }
            for (from, to, bytes) in [(0, 1, &sent[0]), (1, 0, &sent[1])] {
                let (mut offset, mut received) = (0, Vec::new());
                while offset < bytes.len() {
                    let count = rng.usize(1..40).min(bytes.len() - offset);
                    let (writer, reader) =
                        if from < to { (&mut client, &mut server) } else { (&mut server, &mut client) };
                    writer.write_all(&bytes[offset..offset + count]).await.unwrap();
                    let mut piece = vec![0; count];
                    reader.read_exact(&mut piece).await.unwrap();
                    received.extend(piece);
                    offset += count;
                }
                assert_eq!(&received, bytes, "seed {seed}: the relay forwards the bytes unchanged");
            }
            let traffic = *counts.traffic.borrow();
            for (index, kind) in KINDS.iter().enumerate() {
                let of = |direction: usize| expected[direction].get(kind).copied().unwrap_or_default();
                let count = traffic.0[index];
                assert_eq!((count.bytes_in, count.frames_in), of(0), "seed {seed}: {kind} in");
                assert_eq!((count.bytes_out, count.frames_out), of(1), "seed {seed}: {kind} out");
            }
            assert_eq!(counts.bytes.get(), (sent[0].len() + sent[1].len()) as u64, "seed {seed}");
            assert_eq!(traffic.bytes(), counts.bytes.get(), "seed {seed}");
            assert_eq!(
                counts.by_peer.borrow().get("planner-9"),
                Some(&traffic),
                "seed {seed}: by the name of the client"
            );
            assert_eq!(Traffic::read(&traffic.view()), traffic, "seed {seed}");
        }
    });
}

/// Points on a line are fitted without a residual, other points with their distance from the line.
/// Points with the same x, or no points, have no fit. No other line has a smaller residual.
#[test]
fn fit_line_minimizes_the_residual() {
    let on_line: Vec<(f64, f64)> =
        (1..6).map(|x| (f64::from(x) * 100.0, f64::from(x) * 50.0 + 7.0)).collect();
    let found = fit_line(&on_line).unwrap();
    assert!((found.slope - 0.5).abs() < 1e-9 && (found.intercept - 7.0).abs() < 1e-9, "{found:?}");
    assert!(found.residual < 1e-9, "{found:?}");
    let off_line = [(0.0, 1.0), (1.0, -1.0), (2.0, -1.0), (3.0, 1.0)];
    let found = fit_line(&off_line).unwrap();
    assert!(found.slope.abs() < 1e-9 && found.intercept.abs() < 1e-9, "{found:?}");
    assert!((found.residual - 1.0).abs() < 1e-9, "{found:?}");
    assert_eq!(fit_line(&[(2.0, 1.0), (2.0, 3.0)]), None);
    assert_eq!(fit_line(&[]), None);
    // Random points: no other line has a smaller residual.
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let points: Vec<(f64, f64)> = (0..rng.usize(4..9)).map(|x| (x as f64, rng.f64() * 10.0)).collect();
        let found = fit_line(&points).unwrap();
        let residual = |slope: f64, intercept: f64| {
            let squares = points.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2)).sum::<f64>();
            (squares / points.len() as f64).sqrt()
        };
        assert!((residual(found.slope, found.intercept) - found.residual).abs() < 1e-9, "seed {seed}");
        for _ in 0..20 {
            let (slope, intercept) = (found.slope + rng.f64() - 0.5, found.intercept + rng.f64() - 0.5);
            assert!(residual(slope, intercept) >= found.residual - 1e-9, "seed {seed}: {slope} {intercept}");
        }
    }
}

/// A peer of the registry: a watcher, or a process of machines that sends its entries.
struct Peer {
    commands: mpsc::Sender<LinkCommand>,
    events: mpsc::Receiver<LinkEvent>,
}

impl Peer {
    /// Connects to the registry at `address`.
    async fn start(address: &str, role: Role, name: &str) -> Peer {
        let identity = PeerIdentity { role, name: name.into(), epoch: 1, link: 1, login: String::new() };
        let stream = TcpStream::connect(address).await.unwrap();
        let ((commands, inbox), (out, events)) = (mpsc::channel(16), mpsc::channel(64));
        tokio::task::spawn_local(link::run(
            stream,
            link::LinkContext::new(identity, Clock::start()),
            inbox,
            out,
            |event| event,
        ));
        Peer { commands, events }
    }

    /// Sends a frame.
    async fn send_frame(&self, body: Body) {
        self.commands.send(LinkCommand::Send(body, None)).await.unwrap();
    }

    /// Sends entries of machines.
    async fn send_entries(&self, entries: &[&Entry]) {
        let entries = entries.iter().map(|entry| (*entry).clone()).collect();
        self.send_frame(Body::List(wire::List { entries, ..wire::List::default() })).await;
    }

    /// Receives the next frame.
    async fn next_frame(&mut self) -> Body {
        loop {
            let next = tokio::time::timeout(Duration::from_secs(20), self.events.recv()).await;
            if let Some(LinkEvent::Session(SessionEvent::Frame(body))) =
                next.expect("a frame arrives in time")
            {
                return body;
            }
        }
    }

    /// Receives the next list, and returns its machines in order.
    async fn names(&mut self) -> Vec<String> {
        let Body::List(list) = self.next_frame().await else { panic!("expected a list") };
        let mut names: Vec<String> = list.entries.into_iter().map(|entry| entry.machine).collect();
        names.sort_unstable();
        names
    }
}

/// The registry sends each watcher every change once, and a brief watcher no changes of capacity
/// alone. Queries return machines with capacity. A drain order is passed on to the process of the
/// machine, unless its fencing token is older than an earlier order's. When a process disconnects,
/// its machines are listed as gone.
#[test]
fn registry_sends_each_watcher_what_changed() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (_commands, inbox) = mpsc::channel(1);
        tokio::task::spawn_local(registry::run(listener, Vec::new(), inbox, |_| {}));
        let entry = |number: usize| Entry {
            machine: format!("machine-{number}"),
            cores_left: 16.0,
            memory_left: 64.0,
            ..Entry::default()
        };
        let (mut machine_0, mut machine_1, machine_2) = (entry(0), entry(1), entry(2));
        let mut source = Peer::start(&address, Role::Machine, "machines").await;
        source.send_entries(&[&machine_0, &machine_1, &machine_2]).await;
        let mut usual = Peer::start(&address, Role::Planner, "usual").await;
        let mut brief = Peer::start(&address, Role::Planner, "brief").await;
        // The whole list is sent at once; machines that it still lacks follow in updates.
        for (watcher, is_brief) in [(&mut usual, false), (&mut brief, true)] {
            watcher.send_frame(Body::Watch(wire::Watch { on: true, brief: is_brief })).await;
            let mut names = watcher.names().await;
            while names.len() < 3 {
                names.extend(watcher.names().await);
            }
            assert_eq!(names, ["machine-0", "machine-1", "machine-2"]);
        }
        machine_0.cores_left = 2.0;
        source.send_entries(&[&machine_0, &machine_1]).await;
        assert_eq!(usual.names().await, ["machine-0"], "an unchanged entry is not sent");
        machine_1.readiness = Readiness::Draining as i32;
        source.send_entries(&[&machine_1]).await;
        assert_eq!(brief.names().await, ["machine-1"], "a change of capacity alone is not sent");
        assert_eq!(usual.names().await, ["machine-1"]);
        machine_1.cores_left = 15.0;
        source.send_entries(&[&machine_1]).await;
        assert_eq!(brief.names().await, ["machine-1"], "the capacity of a draining machine is sent");
        assert_eq!(usual.names().await, ["machine-1"]);
        let fetch = wire::Fetch { question: 7, cores: 8.0, memory: 8.0, most: 5, ..wire::Fetch::default() };
        brief.send_frame(Body::Fetch(fetch)).await;
        assert_eq!(brief.names().await, ["machine-2"], "the other machines drain or lack capacity");
        for (token, machine) in [(5, "machine-2"), (4, "machine-0"), (5, "machine-1")] {
            let drain = wire::Drain { machine: machine.into(), on: true, token, ..wire::Drain::default() };
            usual.send_frame(Body::Drain(drain)).await;
        }
        for expected in ["machine-2", "machine-1"] {
            let Body::Drain(drain) = source.next_frame().await else { panic!("expected a drain order") };
            assert_eq!(drain.machine, expected);
        }
        source.commands.send(LinkCommand::Close("over".into())).await.unwrap();
        assert_eq!(brief.names().await, ["machine-0", "machine-1", "machine-2"], "gone with their process");
    });
}
