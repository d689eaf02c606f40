//! A voter on a real socket sends its record as deltas of what changed.
use basaltpitch_agent::link::{self, Clock, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{self, Body, Role};
use basaltpitch_lease::LeaseConfig;
use basaltpitch_planner::voter_links::VoterEndpoint;
use basaltpitch_planner::voter_server;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

const CONFIG: LeaseConfig = LeaseConfig { duration_us: 40_000, clock_drift_us: 2_000 };

/// A planner's connection to the voter.
struct Connection {
    commands: mpsc::Sender<LinkCommand>,
    events: mpsc::Receiver<LinkEvent>,
}

impl Connection {
    async fn open(address: &str) -> Connection {
        let stream = TcpStream::connect(address).await.unwrap();
        let (commands, inbox) = mpsc::channel(64);
        let (event_sender, events) = mpsc::channel(64);
        let identity = PeerIdentity {
            role: Role::Planner,
            name: "tester".into(),
            epoch: 1,
            link: 1,
            login: String::new(),
        };
        tokio::task::spawn_local(link::run(
            stream,
            link::LinkContext::new(identity, Clock::start()),
            inbox,
            event_sender,
            |event| event,
        ));
        Connection { commands, events }
    }

    /// Sends a frame and returns the next frame from the voter.
    async fn request(&mut self, body: Body) -> Body {
        self.commands.send(LinkCommand::Send(body, None)).await.unwrap();
        loop {
            let event = tokio::time::timeout(Duration::from_secs(20), self.events.recv()).await;
            match event.expect("a frame within 20 s").expect("a link that is up") {
                LinkEvent::Session(SessionEvent::Frame(body)) => return body,
                LinkEvent::Session(_) => {}
                LinkEvent::Ended { why, .. } => panic!("{why}"),
            }
        }
    }

    /// Requests the voter's record.
    async fn record(&mut self, request: wire::Record) -> wire::Kept {
        match self.request(Body::Record(request)).await {
            Body::Kept(record) => record,
            other => panic!("{other:?}"),
        }
    }

    /// Requests a vote until it is granted: a voter that starts without state waits for a lease
    /// duration first. `metadata` is the number and the text of the metadata to write.
    async fn vote(&mut self, lease: &str, token: u64, metadata: Option<u64>) {
        loop {
            let ballot = wire::Ballot {
                duty: lease.into(),
                token,
                round: 1,
                note_number: metadata.unwrap_or(0),
                note: metadata.map_or(Vec::new(), |n| n.to_string().into_bytes()),
                renews: false,
            };
            match self.request(Body::Ballots(wire::Ballots { ballots: vec![ballot] })).await {
                Body::Votes(votes) if votes.votes[0].granted => return,
                Body::Votes(votes) => {
                    let left_us = votes.votes[0].left_us.clamp(1000, CONFIG.duration_us) as u64;
                    tokio::time::sleep(Duration::from_micros(left_us)).await;
                }
                other => panic!("{other:?}"),
            }
        }
    }
}

/// Returns the names of the leases in a record.
fn lease_names(record: &wire::Kept) -> Vec<&str> {
    record.duties.iter().map(|d| d.duty.as_str()).collect()
}

#[test]
fn voter_sends_delta_to_known_revision_and_full_record_otherwise() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let voters = vec![VoterEndpoint { name: "v0".into(), address: address.clone() }];
        let config = voter_server::VoterConfig {
            name: "v0".into(),
            lease_config: CONFIG,
            voters,
            index: 0,
            store: None,
        };
        tokio::task::spawn_local(voter_server::serve(listener, config, std::future::pending()));
        let mut connection = Connection::open(&address).await;
        for lease in ["planner-0", "planner-1", "halls"] {
            connection.vote(lease, 1, None).await;
            connection.vote(lease, 1, None).await;
        }
        let request =
            |life, revision| wire::Record { brief: true, prefix: "planner-".into(), life, revision };
        let all = connection.record(request(0, 0)).await;
        assert_eq!((lease_names(&all), all.since), (vec!["planner-0", "planner-1"], 0));
        assert!(all.life > 0 && all.revision > 0 && all.prefix == "planner-", "{all:?}");
        // A renewal is not a change, and changes of a lease with another prefix are not included.
        connection.vote("planner-0", 1, None).await;
        connection.vote("halls", 1, Some(1)).await;
        let same = connection.record(request(all.life, all.revision)).await;
        assert_eq!((lease_names(&same), same.since), (vec![], all.revision));
        connection.vote("planner-1", 1, Some(1)).await;
        let one = connection.record(request(same.life, same.revision)).await;
        assert_eq!((lease_names(&one), one.since), (vec!["planner-1"], same.revision));
        assert_eq!(one.duties[0].note, b"1");
        // A request from an older revision gets the change too, whatever was requested meanwhile.
        let older = connection.record(request(all.life, all.revision)).await;
        assert_eq!((lease_names(&older), older.revision), (vec!["planner-1"], one.revision));
        // A full record is sent to a request with the incarnation of another voter process, with a
        // future revision, or from an older build, which sends neither.
        for (life, revision) in [(all.life + 1, one.revision), (all.life, one.revision + 1), (0, 0)] {
            let full = connection.record(request(life, revision)).await;
            assert_eq!((lease_names(&full), full.since), (vec!["planner-0", "planner-1"], 0));
        }
        // The reply to a ballot includes the stored metadata, unless the ballot renews the lease.
        for (renews, metadata) in [(false, &b"1"[..]), (true, b"")] {
            let ballot = wire::Ballot { duty: "planner-1".into(), token: 1, renews, ..Default::default() };
            let votes = connection.request(Body::Ballots(wire::Ballots { ballots: vec![ballot] })).await;
            assert!(
                matches!(&votes, Body::Votes(v) if v.votes[0].granted && v.votes[0].note == metadata),
                "{votes:?}"
            );
        }
        // A request for all leases gets a full record each time: it includes the remaining times,
        // which change constantly.
        let request =
            wire::Record { brief: true, life: all.life, revision: one.revision, ..Default::default() };
        let full = connection.record(request).await;
        assert_eq!(
            (lease_names(&full), full.life, full.revision),
            (vec!["halls", "planner-0", "planner-1"], 0, 0)
        );
    });
}
