//! A planner on real sockets, with a simulated registry and simulated machines in the same process.
//! Tests wait for the frames that they expect, within a time limit, and never for a fixed time.
use basaltpitch::host::{Settings, Value};
use basaltpitch_agent::link::{self, Clock, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{LinkConfig, PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{self, AnswerKind, Body, LifeHow, Role};
use basaltpitch_config::installation::{load_texts, FlattenedValue, PlannerSlot};
use basaltpitch_planner::service::{serve, PlannerConfig};
use basaltpitch_planner::state::Identity;
use basaltpitch_testbed::context::TestbedContext;
use basaltpitch_testbed::machine::{self, MachineSpec};
use basaltpitch_testbed::registry::{self, RegistryDelays};
use basaltpitch_testbed::settings;
use std::io::{self, Write};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// An installation of one zone, one machine kind and two frameworks.
const SITE: &str = r#"
zones: ["hall-a"]
kinds: [{name: "std", cores: 16, memory: 32}]
frameworks: [
	{name: "small", repeat: "repeatable", goal: 600ms, limit: 6s},
	{name: "big", repeat: "keyed", window: 6s, goal: 5s, limit: 9s},
]
day: {length: 1s, machines: [{kind: "std", zone: "hall-a", count: 2}], tasks: [{framework: "small", per_s: 1, cores: [1], memory: [1]}]}
"#;

/// Starts two machines, a registry and a planner. Returns the planner's address.
async fn start(record: Option<Box<dyn Write + Send>>) -> (String, Rc<TestbedContext>) {
    let site = load_texts(&[("site.rec", SITE)]).map_err(|e| e.1).unwrap();
    let context = settings::context(&site, Rc::default());
    let mut fleet = Vec::new();
    for n in 0..2 {
        let spec = MachineSpec {
            name: format!("m{n}"),
            zone: "hall-a".to_owned(),
            cell: 0,
            kind: "std".into(),
            size: (16.0, 32.0),
            labels: Vec::new(),
            seed: n,
        };
        fleet.push(machine::start(context.clone(), spec).await.unwrap());
    }
    let delays = RegistryDelays { notice_us: 0, silent_notice_us: 100_000, period_us: 20_000 };
    let registry = registry::start(context.clone(), fleet, delays).await.unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let slot = PlannerSlot { number: 0, planners: 1, zone: "hall-a".into() };
    let value = |flattened| match flattened {
        FlattenedValue::Number(n) => Value::Number(n),
        FlattenedValue::Text(t) => Value::Text(t),
    };
    let placement_settings: Settings = site.flatten(&slot).into_iter().map(|(k, v)| (k, value(v))).collect();
    let identity =
        Identity { name: "p".into(), epoch: 1, seed: 1, registry_address: registry.address.clone() };
    let config = PlannerConfig {
        identity,
        settings: placement_settings,
        recording: record,
        constraints: Vec::new(),
        directory: None,
        store: None,
        lease_deadline: None,
        rolling_restart: None,
        admission_enabled: false,
        peer_links: None,
        links: LinkConfig::default(),
        subset: None,
    };
    tokio::task::spawn_local(serve(listener, config, std::future::pending()));
    (address, context)
}

/// A connection to the planner.
struct Connection {
    commands: mpsc::Sender<LinkCommand>,
    events: mpsc::Receiver<LinkEvent>,
}

impl Connection {
    async fn open(address: &str, role: Role) -> Connection {
        let stream = TcpStream::connect(address).await.unwrap();
        let (commands, inbox) = mpsc::channel(64);
        let (event_sender, events) = mpsc::channel(64);
        let identity = PeerIdentity { role, name: "tester".into(), epoch: 1, link: 1, login: String::new() };
        tokio::task::spawn_local(link::run(
            stream,
            link::LinkContext::new(identity, Clock::start()),
            inbox,
            event_sender,
            |event| event,
        ));
        Connection { commands, events }
    }

    /// Sends a frame.
    async fn send(&self, body: Body) {
        self.commands.send(LinkCommand::Send(body, None)).await.unwrap();
    }

    /// Returns the next frame, or the reason for which the connection ended.
    async fn receive(&mut self) -> Result<Body, String> {
        loop {
            let event = tokio::time::timeout(Duration::from_secs(20), self.events.recv()).await;
            match event.expect("a frame within 20 s") {
                Some(LinkEvent::Session(SessionEvent::Frame(body))) => return Ok(body),
                Some(LinkEvent::Ended { why, .. }) => return Err(why),
                Some(LinkEvent::Session(_)) => {}
                None => return Err("ended".into()),
            }
        }
    }

    /// Returns the next frame, which must be an answer.
    async fn answer(&mut self) -> wire::Answer {
        match self.receive().await {
            Ok(Body::Answer(answer)) => answer,
            other => panic!("found {other:?}; expected an answer"),
        }
    }
}

/// Returns a frame that submits a task.
fn submit(key: &str, request_id: u64, framework: &str, cores: f64) -> Body {
    Body::Submit(wire::Submit {
        key: key.into(),
        ask: request_id,
        framework: framework.into(),
        tenant: String::new(),
        service: 1,
        cores,
        memory: 1.0,
        runs_for_us: 50_000,
        time_left_us: 6_000_000,
    })
}

/// Runs a test on a single-threaded runtime.
fn on_sockets(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn places_task_and_reports_its_end() {
    on_sockets(async {
        let (address, _) = start(None).await;
        let mut client = Connection::open(&address, Role::Owner).await;
        client.send(submit("page", 1, "small", 1.0)).await;
        let answer = client.answer().await;
        assert_eq!(
            (answer.kind, answer.key.as_str(), answer.ask),
            (AnswerKind::Placed as i32, "page", 1),
            "{answer:?}"
        );
        assert!(["m0", "m1"].contains(&answer.machine.as_str()));
        let end = client.receive().await;
        assert!(matches!(&end, Ok(Body::Life(life)) if life.how == LifeHow::LifeEnded as i32), "{end:?}");
    });
}

#[test]
fn closes_invalid_connections_with_reason_and_serves_others() {
    on_sockets(async {
        let (address, _) = start(None).await;
        let mut client = Connection::open(&address, Role::Owner).await;
        let silent = TcpStream::connect(&address).await.unwrap();
        let invalid_starts: [&[u8]; 3] = [b"GET / HTTP/1.1\r\n\r\n", &[0xff; 64], &[0, 0, 0, 3, 9, 9, 9]];
        for bytes in invalid_starts {
            let mut stream = TcpStream::connect(&address).await.unwrap();
            stream.write_all(bytes).await.unwrap();
            let mut reply = Vec::new();
            let read = tokio::time::timeout(Duration::from_secs(20), stream.read_to_end(&mut reply)).await;
            let _ = read.expect("the planner closes the connection");
            let reply = String::from_utf8_lossy(&reply).into_owned();
            assert!(reply.contains("expected"), "{reply:?}");
        }
        let mut machine = Connection::open(&address, Role::Machine).await;
        assert_eq!(
            machine.receive().await,
            Err("the peer said goodbye: role: expected an owner or an operator".into())
        );
        let mut probing = Connection::open(&address, Role::Owner).await;
        probing.send(Body::Probe(wire::Probe { number: 1 })).await;
        assert!(probing.receive().await.unwrap_err().contains("expected submit, withdraw, drain or query"));
        client.send(submit("page", 1, "small", 1.0)).await;
        assert_eq!(client.answer().await.kind, AnswerKind::Placed as i32);
        drop(silent);
    });
}

#[test]
fn declines_invalid_submit_with_found_and_expected_values() {
    on_sockets(async {
        let (address, _) = start(None).await;
        let mut client = Connection::open(&address, Role::Owner).await;
        let cases = [
            (submit("k", 1, "huge", 1.0), "framework: found \"huge\"; expected one of small, big"),
            (submit("k", 1, "small", -1.0), "cores, memory: found -1 and 1; expected two numbers over 0"),
            (submit("", 1, "small", 1.0), "key: found 0 bytes; expected 1 to 500"),
        ];
        for (body, expected) in cases {
            client.send(body).await;
            let answer = client.answer().await;
            assert_eq!((answer.kind, answer.reason.as_str()), (AnswerKind::Declined as i32, expected));
        }
    });
}

#[test]
fn repeated_request_on_new_connection_gets_same_answer() {
    on_sockets(async {
        let (address, context) = start(None).await;
        let mut first = Connection::open(&address, Role::Owner).await;
        first.send(submit("tally", 1, "big", 2.0)).await;
        let answer = first.answer().await;
        drop(first);
        let mut second = Connection::open(&address, Role::Owner).await;
        second.send(submit("tally", 1, "big", 2.0)).await;
        assert_eq!(second.answer().await, answer);
        let (_, totals) = context
            .checker
            .replace(basaltpitch_invariants::InvariantChecker::new(settings::invariant_config_of(SITE)))
            .finish(0);
        assert_eq!(totals.launches, 1);
    });
}

#[test]
fn operator_queries_return_planner_state() {
    on_sockets(async {
        let (address, _) = start(None).await;
        let mut client = Connection::open(&address, Role::Owner).await;
        client.send(submit("page", 1, "small", 1.0)).await;
        client.answer().await;
        let mut operator = Connection::open(&address, Role::Operator).await;
        for (what, about, expected) in [
            ("machines", "", "\"ucac\""),
            ("task", "page", "\"repeatable\""),
            ("planner", "", "\"submitted\":1"),
        ] {
            operator.send(Body::Query(wire::Query { what: what.into(), about: about.into() })).await;
            match operator.receive().await {
                Ok(Body::Told(reply)) => assert!(reply.json.contains(expected), "{what}: {}", reply.json),
                other => panic!("{other:?}"),
            }
        }
        // The traffic counters include the links to machines, registry, client and operator.
        operator.send(Body::Query(wire::Query { what: "planner".into(), about: String::new() })).await;
        let Ok(Body::Told(reply)) = operator.receive().await else { panic!("no answer") };
        let reply: serde_json::Value = serde_json::from_str(&reply.json).unwrap();
        let frames = |kind: &str, direction: &str| reply["traffic"][kind][direction].as_u64().unwrap();
        assert_eq!(frames("operators", "frames_in"), 4, "{reply}");
        assert!(frames("inventories", "frames_in") >= 1, "{reply}");
        // In: a submit and a machine's acceptance. Out: a launch and an answer.
        assert!(frames("tasks", "frames_in") >= 2 && frames("tasks", "frames_out") >= 2, "{reply}");
        assert!(frames("lists", "frames_in") >= 1 && frames("lists", "bytes_in") > 10, "{reply}");
        operator.send(Body::Query(wire::Query { what: "weather".into(), about: String::new() })).await;
        assert!(operator
            .receive()
            .await
            .unwrap_err()
            .contains("found \"weather\"; expected planner, machines, tasks, task, tenants,"));
    });
}

/// A writer that fails once this number of bytes is written, as on a full disk.
struct FullDisk(usize);

impl Write for FullDisk {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.0.checked_sub(bytes.len()) {
            Some(left) => {
                self.0 = left;
                Ok(bytes.len())
            }
            None => Err(io::Error::other("no space left on device")),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn full_disk_ends_recording_but_not_planner() {
    on_sockets(async {
        let (address, _) = start(Some(Box::new(FullDisk(3000)))).await;
        let mut client = Connection::open(&address, Role::Owner).await;
        for n in 0..200 {
            client.send(submit(&format!("page{n}"), 1, "small", 0.1)).await;
        }
        let mut answers = 0;
        while answers < 200 {
            answers += usize::from(matches!(client.receive().await.unwrap(), Body::Answer(_)));
        }
    });
}
