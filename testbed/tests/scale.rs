//! Hollow stand-ins: counting of frames by kind, a fit_line through points, and a register.
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

fn bytes_of(body: Body) -> Vec<u8> {
    let frame = Frame::from(body).encode_to_vec();
    [&(frame.len() as u32).to_be_bytes()[..], &frame].concat()
}

/// A frame of each kind that counts apart, of a drawn size.
fn drawn(chance: &mut fastrand::Rng) -> (&'static str, Body) {
    let text: String = "x".repeat(chance.usize(0..400));
    match chance.u32(0..9) {
        0 => ("heartbeats", Body::Heartbeat(wire::Heartbeat { seq: chance.u64(0..1 << 40), seen: 0 })),
        1 => {
            ("summaries", Body::Digest(wire::Digest { question: chance.u64(..), ..wire::Digest::default() }))
        }
        2 => ("council", Body::Freed(wire::Freed { duty: text, handed: false })),
        3 => ("inventories", Body::Inventory(wire::Inventory::default())),
        4 => ("lists", Body::List(wire::List { whole: chance.bool(), ..wire::List::default() })),
        7 => ("probes", Body::Probe(wire::Probe { number: chance.u64(..) })),
        8 => ("heartbeats", Body::Heartbeat(wire::Heartbeat::default())),
        5 => ("tasks", Body::Launch(wire::Launch { key: text, ..wire::Launch::default() })),
        _ => ("links", Body::Goodbye(wire::Goodbye { reason: text })),
    }
}

/// Frames that come in drawn pieces, both ways at once, are counted whole by kind, and nothing of the bytes
/// is left out.
#[test]
fn a_relay_counts_every_byte_by_kind() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        for seed in 0..20 {
            let mut chance = fastrand::Rng::with_seed(seed);
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let way = Rc::new(RelayCounts::default());
            let through = relay(listener.local_addr().unwrap().to_string(), way.clone()).await.unwrap();
            let mut near = TcpStream::connect(through).await.unwrap();
            let (mut far, _) = listener.accept().await.unwrap();
            let hello = Body::Hello(wire::Hello { name: "planner-9".into(), ..wire::Hello::default() });
            let mut sent: [Vec<u8>; 2] = [bytes_of(hello), Vec::new()];
            // By kind: bytes and frames of either way.
            let mut expected: [BTreeMap<&str, (u64, u64)>; 2] = Default::default();
            expected[0].insert("links", (sent[0].len() as u64, 1));
            for _ in 0..chance.usize(1..60) {
                let ((kind, body), way) = (drawn(&mut chance), chance.usize(0..2));
                let bytes = bytes_of(body);
                let count = expected[way].entry(kind).or_default();
                *count = (count.0 + bytes.len() as u64, count.1 + 1);
                sent[way].extend(bytes);
            }
            for (from, to, bytes) in [(0, 1, &sent[0]), (1, 0, &sent[1])] {
                let (mut at, mut got) = (0, Vec::new());
                while at < bytes.len() {
                    let n = chance.usize(1..40).min(bytes.len() - at);
                    let (a, b) = if from < to { (&mut near, &mut far) } else { (&mut far, &mut near) };
                    a.write_all(&bytes[at..at + n]).await.unwrap();
                    let mut piece = vec![0; n];
                    b.read_exact(&mut piece).await.unwrap();
                    got.extend(piece);
                    at += n;
                }
                assert_eq!(&got, bytes, "seed {seed}: what is counted is carried as it is");
            }
            let traffic = *way.traffic.borrow();
            for (n, kind) in KINDS.iter().enumerate() {
                let of = |way: usize| expected[way].get(kind).copied().unwrap_or_default();
                let c = traffic.0[n];
                assert_eq!((c.bytes_in, c.frames_in), of(0), "seed {seed}: {kind} in");
                assert_eq!((c.bytes_out, c.frames_out), of(1), "seed {seed}: {kind} out");
            }
            assert_eq!(way.bytes.get(), (sent[0].len() + sent[1].len()) as u64, "seed {seed}");
            assert_eq!(traffic.bytes(), way.bytes.get(), "seed {seed}");
            assert_eq!(way.by_peer.borrow().get("planner-9"), Some(&traffic), "seed {seed}: by who dialled");
            assert_eq!(Traffic::read(&traffic.view()), traffic, "seed {seed}");
        }
    });
}

/// Points on a fit_line leave nothing over; others leave what they lie beside it; one place of the axis has none.
#[test]
fn a_line_is_drawn_through_points() {
    let on: Vec<(f64, f64)> = (1..6).map(|x| (f64::from(x) * 100.0, f64::from(x) * 50.0 + 7.0)).collect();
    let found = fit_line(&on).unwrap();
    assert!((found.slope - 0.5).abs() < 1e-9 && (found.intercept - 7.0).abs() < 1e-9, "{found:?}");
    assert!(found.residual < 1e-9, "{found:?}");
    let beside = [(0.0, 1.0), (1.0, -1.0), (2.0, -1.0), (3.0, 1.0)];
    let found = fit_line(&beside).unwrap();
    assert!(found.slope.abs() < 1e-9 && found.intercept.abs() < 1e-9, "{found:?}");
    assert!((found.residual - 1.0).abs() < 1e-9, "{found:?}");
    assert_eq!(fit_line(&[(2.0, 1.0), (2.0, 3.0)]), None);
    assert_eq!(fit_line(&[]), None);
    // A draw of noise: no other fit_line leaves less over.
    for seed in 0..50 {
        let mut chance = fastrand::Rng::with_seed(seed);
        let points: Vec<(f64, f64)> =
            (0..chance.usize(4..9)).map(|x| (x as f64, chance.f64() * 10.0)).collect();
        let found = fit_line(&points).unwrap();
        let left = |slope: f64, intercept: f64| {
            let each = points.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2)).sum::<f64>();
            (each / points.len() as f64).sqrt()
        };
        assert!((left(found.slope, found.intercept) - found.residual).abs() < 1e-9, "seed {seed}");
        for _ in 0..20 {
            let (slope, intercept) = (found.slope + chance.f64() - 0.5, found.intercept + chance.f64() - 0.5);
            assert!(left(slope, intercept) >= found.residual - 1e-9, "seed {seed}: {slope} {intercept}");
        }
    }
}

/// Who talks to the register: a watcher, or a process that tells of its machines.
struct Side {
    orders: mpsc::Sender<LinkCommand>,
    news: mpsc::Receiver<LinkEvent>,
}

impl Side {
    async fn start(address: &str, role: Role, name: &str) -> Side {
        let me = PeerIdentity { role, name: name.into(), epoch: 1, link: 1, login: String::new() };
        let stream = TcpStream::connect(address).await.unwrap();
        let ((orders, inbox), (out, news)) = (mpsc::channel(16), mpsc::channel(64));
        tokio::task::spawn_local(link::run(
            stream,
            link::LinkContext::new(me, Clock::start()),
            inbox,
            out,
            |n| n,
        ));
        Side { orders, news }
    }

    async fn say(&self, body: Body) {
        self.orders.send(LinkCommand::Send(body, None)).await.unwrap();
    }

    async fn tell(&self, entries: &[&Entry]) {
        let entries = entries.iter().map(|e| (*e).clone()).collect();
        self.say(Body::List(wire::List { entries, ..wire::List::default() })).await;
    }

    async fn frame(&mut self) -> Body {
        loop {
            let next = tokio::time::timeout(Duration::from_secs(20), self.news.recv()).await;
            if let Some(LinkEvent::Session(SessionEvent::Frame(body))) = next.expect("a frame in time") {
                return body;
            }
        }
    }

    /// Machines of the next list, in order.
    async fn names(&mut self) -> Vec<String> {
        let Body::List(list) = self.frame().await else { panic!("another frame than a list") };
        let mut names: Vec<String> = list.entries.into_iter().map(|e| e.machine).collect();
        names.sort_unstable();
        names
    }
}

/// A watcher is told of each change once, a brief one not of room alone; questions name machines with room; a
/// drain goes to who tells of the machine, and an older token's does not; machines are gone with who tells of
/// them.
#[test]
fn a_register_of_many_tells_each_watcher_what_changed() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap().to_string();
        let (_words, inbox) = mpsc::channel(1);
        tokio::task::spawn_local(registry::run(listener, Vec::new(), inbox, |_| {}));
        let entry = |n: usize| Entry {
            machine: format!("machine-{n}"),
            cores_left: 16.0,
            memory_left: 64.0,
            ..Entry::default()
        };
        let (mut a, mut b, c) = (entry(0), entry(1), entry(2));
        let mut source = Side::start(&at, Role::Machine, "machines").await;
        source.tell(&[&a, &b, &c]).await;
        let mut usual = Side::start(&at, Role::Planner, "usual").await;
        let mut brief = Side::start(&at, Role::Planner, "brief").await;
        // The whole list comes at once, and what it lacks yet comes next.
        for (watcher, is_brief) in [(&mut usual, false), (&mut brief, true)] {
            watcher.say(Body::Watch(wire::Watch { on: true, brief: is_brief })).await;
            let mut names = watcher.names().await;
            while names.len() < 3 {
                names.extend(watcher.names().await);
            }
            assert_eq!(names, ["machine-0", "machine-1", "machine-2"]);
        }
        a.cores_left = 2.0;
        source.tell(&[&a, &b]).await;
        assert_eq!(usual.names().await, ["machine-0"], "what did not change is not told");
        b.readiness = Readiness::Draining as i32;
        source.tell(&[&b]).await;
        assert_eq!(brief.names().await, ["machine-1"], "the drain comes first");
        assert_eq!(usual.names().await, ["machine-1"]);
        b.cores_left = 15.0;
        source.tell(&[&b]).await;
        assert_eq!(brief.names().await, ["machine-1"], "room of one that drains is told");
        assert_eq!(usual.names().await, ["machine-1"]);
        let fetch = wire::Fetch { question: 7, cores: 8.0, memory: 8.0, most: 5, ..wire::Fetch::default() };
        brief.say(Body::Fetch(fetch)).await;
        assert_eq!(brief.names().await, ["machine-2"], "the others drain or have no room");
        for (token, machine) in [(5, "machine-2"), (4, "machine-0"), (5, "machine-1")] {
            let drain = wire::Drain { machine: machine.into(), on: true, token, ..wire::Drain::default() };
            usual.say(Body::Drain(drain)).await;
        }
        for expected in ["machine-2", "machine-1"] {
            let Body::Drain(drain) = source.frame().await else { panic!("another frame than a drain") };
            assert_eq!(drain.machine, expected);
        }
        source.orders.send(LinkCommand::Close("over".into())).await.unwrap();
        assert_eq!(
            brief.names().await,
            ["machine-0", "machine-1", "machine-2"],
            "gone with who told of them"
        );
    });
}
