//! Hollow stand-ins: counting of frames by kind, and a line through points.
use basaltpitch_agent::wire::{self, Body, Frame};
use basaltpitch_standins::hollow::fit::line;
use basaltpitch_standins::hollow::traffic::{relay, Traffic, Way, KINDS};
use prost::Message;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

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
            let way = Rc::new(Way::default());
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
            assert_eq!(way.carried.get(), (sent[0].len() + sent[1].len()) as u64, "seed {seed}");
            assert_eq!(traffic.bytes(), way.carried.get(), "seed {seed}");
            assert_eq!(way.by.borrow().get("planner-9"), Some(&traffic), "seed {seed}: by who dialled");
            assert_eq!(Traffic::read(&traffic.view()), traffic, "seed {seed}");
        }
    });
}

/// Points on a line leave nothing over; others leave what they lie beside it; one place of the axis has none.
#[test]
fn a_line_is_drawn_through_points() {
    let on: Vec<(f64, f64)> = (1..6).map(|x| (f64::from(x) * 100.0, f64::from(x) * 50.0 + 7.0)).collect();
    let found = line(&on).unwrap();
    assert!((found.slope - 0.5).abs() < 1e-9 && (found.intercept - 7.0).abs() < 1e-9, "{found:?}");
    assert!(found.residual < 1e-9, "{found:?}");
    let beside = [(0.0, 1.0), (1.0, -1.0), (2.0, -1.0), (3.0, 1.0)];
    let found = line(&beside).unwrap();
    assert!(found.slope.abs() < 1e-9 && found.intercept.abs() < 1e-9, "{found:?}");
    assert!((found.residual - 1.0).abs() < 1e-9, "{found:?}");
    assert_eq!(line(&[(2.0, 1.0), (2.0, 3.0)]), None);
    assert_eq!(line(&[]), None);
    // A draw of noise: no other line leaves less over.
    for seed in 0..50 {
        let mut chance = fastrand::Rng::with_seed(seed);
        let points: Vec<(f64, f64)> =
            (0..chance.usize(4..9)).map(|x| (x as f64, chance.f64() * 10.0)).collect();
        let found = line(&points).unwrap();
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
