//! A voter on a real socket tells its record by what changed.
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

struct Talk {
    orders: mpsc::Sender<LinkCommand>,
    heard: mpsc::Receiver<LinkEvent>,
}

impl Talk {
    async fn to(address: &str) -> Talk {
        let stream = TcpStream::connect(address).await.unwrap();
        let (orders, inbox) = mpsc::channel(64);
        let (news, heard) = mpsc::channel(64);
        let me = PeerIdentity {
            role: Role::Planner,
            name: "tester".into(),
            epoch: 1,
            link: 1,
            login: String::new(),
        };
        tokio::task::spawn_local(link::run(
            stream,
            link::LinkContext::new(me, Clock::start()),
            inbox,
            news,
            |n| n,
        ));
        Talk { orders, heard }
    }

    async fn ask(&mut self, body: Body) -> Body {
        self.orders.send(LinkCommand::Send(body, None)).await.unwrap();
        loop {
            let news = tokio::time::timeout(Duration::from_secs(20), self.heard.recv()).await;
            match news.expect("a frame within 20 s").expect("a link that stands") {
                LinkEvent::Session(SessionEvent::Frame(body)) => return body,
                LinkEvent::Session(_) => {}
                LinkEvent::Ended { why, .. } => panic!("{why}"),
            }
        }
    }

    async fn record(&mut self, of: wire::Record) -> wire::Kept {
        match self.ask(Body::Record(of)).await {
            Body::Kept(kept) => kept,
            other => panic!("{other:?}"),
        }
    }

    /// Asks for a vote until it is granted: a voter that begins with nothing waits for a term.
    async fn vote(&mut self, duty: &str, token: u64, note: Option<u64>) {
        loop {
            let ballot = wire::Ballot {
                duty: duty.into(),
                token,
                round: 1,
                note_number: note.unwrap_or(0),
                note: note.map_or(Vec::new(), |n| n.to_string().into_bytes()),
                renews: false,
            };
            match self.ask(Body::Ballots(wire::Ballots { ballots: vec![ballot] })).await {
                Body::Votes(votes) if votes.votes[0].granted => return,
                Body::Votes(votes) => {
                    let left = votes.votes[0].left_us.clamp(1000, CONFIG.duration_us) as u64;
                    tokio::time::sleep(Duration::from_micros(left)).await;
                }
                other => panic!("{other:?}"),
            }
        }
    }
}

fn names(kept: &wire::Kept) -> Vec<&str> {
    kept.duties.iter().map(|d| d.duty.as_str()).collect()
}

#[test]
fn a_voter_tells_who_has_its_record_what_changed_and_all_others_all() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let voters = vec![VoterEndpoint { name: "v0".into(), address: address.clone() }];
        let start = voter_server::VoterConfig {
            name: "v0".into(),
            lease_config: CONFIG,
            voters,
            index: 0,
            store: None,
        };
        tokio::task::spawn_local(voter_server::serve(listener, start, std::future::pending()));
        let mut talk = Talk::to(&address).await;
        for duty in ["planner-0", "planner-1", "halls"] {
            talk.vote(duty, 1, None).await;
            talk.vote(duty, 1, None).await;
        }
        let of = |life, revision| wire::Record { brief: true, prefix: "planner-".into(), life, revision };
        let all = talk.record(of(0, 0)).await;
        assert_eq!((names(&all), all.since), (vec!["planner-0", "planner-1"], 0));
        assert!(all.life > 0 && all.revision > 0 && all.prefix == "planner-", "{all:?}");
        // A renewal is no change, and another duty's is none of these.
        talk.vote("planner-0", 1, None).await;
        talk.vote("halls", 1, Some(1)).await;
        let same = talk.record(of(all.life, all.revision)).await;
        assert_eq!((names(&same), same.since), (vec![], all.revision));
        talk.vote("planner-1", 1, Some(1)).await;
        let one = talk.record(of(same.life, same.revision)).await;
        assert_eq!((names(&one), one.since), (vec!["planner-1"], same.revision));
        assert_eq!(one.duties[0].note, b"1");
        // Who has not heard of that yet hears it, whatever was asked meanwhile.
        let late = talk.record(of(all.life, all.revision)).await;
        assert_eq!((names(&late), late.revision), (vec!["planner-1"], one.revision));
        // Of another life; from the time to come; by an older build, which says neither.
        for (life, revision) in [(all.life + 1, one.revision), (all.life, one.revision + 1), (0, 0)] {
            let kept = talk.record(of(life, revision)).await;
            assert_eq!((names(&kept), kept.since), (vec!["planner-0", "planner-1"], 0));
        }
        // The note that stands there comes with a vote, unless its holder renews it.
        for (renews, note) in [(false, &b"1"[..]), (true, b"")] {
            let ballot = wire::Ballot { duty: "planner-1".into(), token: 1, renews, ..Default::default() };
            let votes = talk.ask(Body::Ballots(wire::Ballots { ballots: vec![ballot] })).await;
            assert!(
                matches!(&votes, Body::Votes(v) if v.votes[0].granted && v.votes[0].note == note),
                "{votes:?}"
            );
        }
        // With the time that each is taken, which changes all the time, it tells all each time.
        let record =
            wire::Record { brief: true, life: all.life, revision: one.revision, ..Default::default() };
        let kept = talk.record(record).await;
        assert_eq!((names(&kept), kept.life, kept.revision), (vec!["halls", "planner-0", "planner-1"], 0, 0));
    });
}
