//! A link with fault injection reports each frame twice per direction: at the socket and at the
//! simulated peer.
use basaltpitch_agent::frame_decoder::FrameDecoder;
use basaltpitch_agent::link::Clock;
use basaltpitch_agent::wire::{Body, Frame, Heartbeat, Hello, Role};
use basaltpitch_testbed::faulty_link::{forward, FaultInjection, LinkObservation};
use prost::Message;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

/// Returns the frame as written to a socket, with its length prefix.
fn bytes(body: Body) -> Vec<u8> {
    let frame = Frame::from(body).encode_to_vec();
    [(frame.len() as u32).to_be_bytes().to_vec(), frame].concat()
}

/// Reads one whole frame; `None` if the connection closes before.
async fn read_frame(from: &mut (impl AsyncReadExt + Unpin)) -> Option<Body> {
    let (mut decoder, mut buffer) = (FrameDecoder::default(), [0; 256]);
    loop {
        let count = from.read(&mut buffer).await.ok().filter(|&count| count > 0)?;
        decoder.push_bytes(&buffer[..count]);
        if let Some((_, body)) = decoder.next_frame() {
            return body;
        }
    }
}

/// A frame that is held back counts as read from the socket but not as received by the peer, and as
/// sent by the peer but not as written to the socket. If the two were mixed up, the checker would
/// expect a peer to know of frames that have not reached it.
#[test]
fn reports_held_frames_as_delivered_only_after_the_hold_ends() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime is built");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is bound");
        let address = listener.local_addr().expect("the listener has an address");
        let mut planner = TcpStream::connect(address).await.expect("the connection is accepted");
        let (socket, _) = listener.accept().await.expect("a connection arrives");
        let (outer, mut machine) = tokio::io::duplex(4096);
        let (faults, clock) = (Rc::new(FaultInjection::default()), Clock::start());
        faults.hold_until_us.set(i64::MAX);
        let seen: Rc<RefCell<Vec<String>>> = Rc::default();
        let events = seen.clone();
        let observe = move |peer: &Hello, observation: LinkObservation| {
            let event = match observation {
                LinkObservation::SocketRead { .. } => "read",
                LinkObservation::Received { .. } => "received",
                LinkObservation::Sent { .. } => "sent",
                LinkObservation::SocketWritten { .. } => "written",
                LinkObservation::Closed => "closed",
            };
            events.borrow_mut().push(format!("{event} {}", peer.epoch));
        };
        let link = tokio::task::spawn_local(forward(socket, outer, 1, faults.clone(), clock, observe));
        let hello =
            Hello { role: Role::Planner as i32, name: "planner-1".into(), epoch: 7, ..Hello::default() };
        planner.write_all(&bytes(Body::Hello(hello.clone()))).await.expect("the hello is written");
        while seen.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        machine
            .write_all(&bytes(Body::Heartbeat(Heartbeat { seq: 1, seen: 0 })))
            .await
            .expect("the heartbeat is written");
        while seen.borrow().len() < 2 {
            tokio::task::yield_now().await;
        }
        assert_eq!(*seen.borrow(), ["read 7", "sent 7"], "while the link is held");

        faults.hold_until_us.set(0);
        assert_eq!(read_frame(&mut machine).await, Some(Body::Hello(hello)));
        assert!(matches!(read_frame(&mut planner).await, Some(Body::Heartbeat(_))));
        drop(planner);
        link.await.expect("the link ends");
        assert_eq!(
            *seen.borrow(),
            ["read 7", "sent 7", "received 7", "written 7", "closed 7"],
            "after the hold"
        );
    });
}
