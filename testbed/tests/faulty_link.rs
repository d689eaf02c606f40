//! A faulty link shows each frame twice each way: on the socket, and with the simulated peer.
use basaltpitch_agent::frame_decoder::FrameDecoder;
use basaltpitch_agent::link::Clock;
use basaltpitch_agent::wire::{Body, Frame, Heartbeat, Hello, Role};
use basaltpitch_testbed::faulty_link::{carry, FaultInjection, LinkObservation};
use prost::Message;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

fn bytes(body: Body) -> Vec<u8> {
    let frame = Frame::from(body).encode_to_vec();
    [(frame.len() as u32).to_be_bytes().to_vec(), frame].concat()
}

/// Reads one whole frame.
async fn reads(from: &mut (impl AsyncReadExt + Unpin)) -> Option<Body> {
    let (mut cutter, mut some) = (FrameDecoder::default(), [0; 256]);
    loop {
        let n = from.read(&mut some).await.ok().filter(|&n| n > 0)?;
        cutter.push_bytes(&some[..n]);
        if let Some((_, body)) = cutter.next_frame() {
            return body;
        }
    }
}

#[test]
fn a_frame_that_is_held_is_on_the_socket_and_not_yet_heard_said_and_not_yet_sent() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = listener.local_addr().expect("its address");
        let mut planner = TcpStream::connect(at).await.expect("a connection");
        let (socket, _) = listener.accept().await.expect("the other end");
        let (outer, mut machine) = tokio::io::duplex(4096);
        let (faults, clock) = (Rc::new(FaultInjection::default()), Clock::start());
        faults.hold_until_us.set(i64::MAX);
        let seen: Rc<RefCell<Vec<String>>> = Rc::default();
        let shown = seen.clone();
        let show = move |peer: &Hello, seen: LinkObservation| {
            let word = match seen {
                LinkObservation::SocketRead { .. } => "read",
                LinkObservation::Received { .. } => "heard",
                LinkObservation::Sent { .. } => "wrote",
                LinkObservation::SocketWritten { .. } => "sent",
                LinkObservation::Closed => "gone",
            };
            shown.borrow_mut().push(format!("{word} {}", peer.epoch));
        };
        let link = tokio::task::spawn_local(carry(socket, outer, 1, faults.clone(), clock, show));
        let hello =
            Hello { role: Role::Planner as i32, name: "planner-1".into(), epoch: 7, ..Hello::default() };
        planner.write_all(&bytes(Body::Hello(hello.clone()))).await.expect("it is written");
        while seen.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        machine.write_all(&bytes(Body::Heartbeat(Heartbeat { seq: 1, seen: 0 }))).await.expect("written");
        while seen.borrow().len() < 2 {
            tokio::task::yield_now().await;
        }
        assert_eq!(*seen.borrow(), ["read 7", "wrote 7"], "while all is held");

        faults.hold_until_us.set(0);
        assert_eq!(reads(&mut machine).await, Some(Body::Hello(hello)));
        assert!(matches!(reads(&mut planner).await, Some(Body::Heartbeat(_))));
        drop(planner);
        link.await.expect("the link ends");
        assert_eq!(*seen.borrow(), ["read 7", "wrote 7", "heard 7", "sent 7", "gone 7"], "once it is let go");
    });
}
