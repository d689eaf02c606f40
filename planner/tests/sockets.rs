//! A planner on real sockets, beside stand-ins in the same process. Nothing waits for luck: each
//! test waits for the frame that it wants, within a bound.
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

const SITE: &str = r#"
zones: ["hall-a"]
kinds: [{name: "std", cores: 16, memory: 32}]
frameworks: [
	{name: "small", repeat: "repeatable", goal: 600ms, limit: 6s},
	{name: "big", repeat: "keyed", window: 6s, goal: 5s, limit: 9s},
]
day: {length: 1s, machines: [{kind: "std", zone: "hall-a", count: 2}], tasks: [{framework: "small", per_s: 1, cores: [1], memory: [1]}]}
"#;

/// Starts two machines, a register and a planner; gives the planner's address.
async fn start(record: Option<Box<dyn Write + Send>>) -> (String, Rc<TestbedContext>) {
    let site = load_texts(&[("site.rec", SITE)]).map_err(|e| e.1).unwrap();
    let world = settings::context(&site, Rc::default());
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
        fleet.push(machine::start(world.clone(), spec).await.unwrap());
    }
    let late = RegistryDelays { notice_us: 0, silent_notice_us: 100_000, period_us: 20_000 };
    let register = registry::start(world.clone(), fleet, late).await.unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let seat = PlannerSlot { number: 0, planners: 1, zone: "hall-a".into() };
    let value = |laid| match laid {
        FlattenedValue::Number(n) => Value::Number(n),
        FlattenedValue::Text(t) => Value::Text(t),
    };
    let given: Settings = site.flatten(&seat).into_iter().map(|(k, v)| (k, value(v))).collect();
    let who = Identity { name: "p".into(), epoch: 1, seed: 1, registry_address: register.address.clone() };
    let config = PlannerConfig {
        identity: who,
        settings: given,
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
    (address, world)
}

struct Talk {
    orders: mpsc::Sender<LinkCommand>,
    heard: mpsc::Receiver<LinkEvent>,
}

impl Talk {
    async fn to(address: &str, role: Role) -> Talk {
        let stream = TcpStream::connect(address).await.unwrap();
        let (orders, inbox) = mpsc::channel(64);
        let (news, heard) = mpsc::channel(64);
        let me = PeerIdentity { role, name: "tester".into(), epoch: 1, link: 1, login: String::new() };
        tokio::task::spawn_local(link::run(
            stream,
            link::LinkContext::new(me, Clock::start()),
            inbox,
            news,
            |n| n,
        ));
        Talk { orders, heard }
    }

    async fn say(&self, body: Body) {
        self.orders.send(LinkCommand::Send(body, None)).await.unwrap();
    }

    /// The next frame, or why the connection ended.
    async fn hear(&mut self) -> Result<Body, String> {
        loop {
            let news = tokio::time::timeout(Duration::from_secs(20), self.heard.recv()).await;
            match news.expect("a frame within 20 s") {
                Some(LinkEvent::Session(SessionEvent::Frame(body))) => return Ok(body),
                Some(LinkEvent::Ended { why, .. }) => return Err(why),
                Some(LinkEvent::Session(_)) => {}
                None => return Err("ended".into()),
            }
        }
    }

    async fn answer(&mut self) -> wire::Answer {
        match self.hear().await {
            Ok(Body::Answer(a)) => a,
            other => panic!("{other:?} instead of an answer"),
        }
    }
}

fn submit(key: &str, ask: u64, framework: &str, cores: f64) -> Body {
    Body::Submit(wire::Submit {
        key: key.into(),
        ask,
        framework: framework.into(),
        tenant: String::new(),
        service: 1,
        cores,
        memory: 1.0,
        runs_for_us: 50_000,
        time_left_us: 6_000_000,
    })
}

fn on_sockets(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn a_task_goes_the_whole_path() {
    on_sockets(async {
        let (address, _) = start(None).await;
        let mut owner = Talk::to(&address, Role::Owner).await;
        owner.say(submit("page", 1, "small", 1.0)).await;
        let a = owner.answer().await;
        assert_eq!((a.kind, a.key.as_str(), a.ask), (AnswerKind::Placed as i32, "page", 1), "{a:?}");
        assert!(["m0", "m1"].contains(&a.machine.as_str()));
        let life = owner.hear().await;
        assert!(matches!(&life, Ok(Body::Life(l)) if l.how == LifeHow::LifeEnded as i32), "{life:?}");
    });
}

#[test]
fn hostile_peers_end_with_one_word_and_others_are_served() {
    on_sockets(async {
        let (address, _) = start(None).await;
        let mut owner = Talk::to(&address, Role::Owner).await;
        let silent = TcpStream::connect(&address).await.unwrap();
        let strangers: [&[u8]; 3] = [b"GET / HTTP/1.1\r\n\r\n", &[0xff; 64], &[0, 0, 0, 3, 9, 9, 9]];
        for bytes in strangers {
            let mut stream = TcpStream::connect(&address).await.unwrap();
            stream.write_all(bytes).await.unwrap();
            let mut said = Vec::new();
            let read = tokio::time::timeout(Duration::from_secs(20), stream.read_to_end(&mut said)).await;
            let _ = read.expect("the planner ends it");
            let said = String::from_utf8_lossy(&said).into_owned();
            assert!(said.contains("expected"), "{said:?}");
        }
        let mut machine = Talk::to(&address, Role::Machine).await;
        assert_eq!(
            machine.hear().await,
            Err("the peer said goodbye: role: expected an owner or an operator".into())
        );
        let mut lost = Talk::to(&address, Role::Owner).await;
        lost.say(Body::Probe(wire::Probe { number: 1 })).await;
        assert!(lost.hear().await.unwrap_err().contains("expected submit, withdraw, drain or query"));
        owner.say(submit("page", 1, "small", 1.0)).await;
        assert_eq!(owner.answer().await.kind, AnswerKind::Placed as i32);
        drop(silent);
    });
}

#[test]
fn a_wrong_submit_is_declined_with_what_was_found_and_expected() {
    on_sockets(async {
        let (address, _) = start(None).await;
        let mut owner = Talk::to(&address, Role::Owner).await;
        let wrong = [
            (submit("k", 1, "huge", 1.0), "framework: found \"huge\"; expected one of small, big"),
            (submit("k", 1, "small", -1.0), "cores, memory: found -1 and 1; expected two numbers over 0"),
            (submit("", 1, "small", 1.0), "key: found 0 bytes; expected 1 to 500"),
        ];
        for (body, want) in wrong {
            owner.say(body).await;
            let a = owner.answer().await;
            assert_eq!((a.kind, a.reason.as_str()), (AnswerKind::Declined as i32, want));
        }
    });
}

#[test]
fn an_asking_repeated_on_a_new_connection_gets_the_same_answer() {
    on_sockets(async {
        let (address, world) = start(None).await;
        let mut first = Talk::to(&address, Role::Owner).await;
        first.say(submit("tally", 1, "big", 2.0)).await;
        let a = first.answer().await;
        drop(first);
        let mut second = Talk::to(&address, Role::Owner).await;
        second.say(submit("tally", 1, "big", 2.0)).await;
        assert_eq!(second.answer().await, a);
        let (_, tally) = world
            .checker
            .replace(basaltpitch_invariants::InvariantChecker::new(settings::invariant_config_of(SITE)))
            .finish(0);
        assert_eq!(tally.launches, 1);
    });
}

#[test]
fn operators_are_told_what_the_planner_believes() {
    on_sockets(async {
        let (address, _) = start(None).await;
        let mut owner = Talk::to(&address, Role::Owner).await;
        owner.say(submit("page", 1, "small", 1.0)).await;
        owner.answer().await;
        let mut operator = Talk::to(&address, Role::Operator).await;
        for (what, about, want) in [
            ("machines", "", "\"ucac\""),
            ("task", "page", "\"repeatable\""),
            ("planner", "", "\"submitted\":1"),
        ] {
            operator.say(Body::Query(wire::Query { what: what.into(), about: about.into() })).await;
            match operator.hear().await {
                Ok(Body::Told(told)) => assert!(told.json.contains(want), "{what}: {}", told.json),
                other => panic!("{other:?}"),
            }
        }
        // Its links to machines, register, owner and operator all count.
        operator.say(Body::Query(wire::Query { what: "planner".into(), about: String::new() })).await;
        let Ok(Body::Told(told)) = operator.hear().await else { panic!("no answer") };
        let told: serde_json::Value = serde_json::from_str(&told.json).unwrap();
        let frames = |kind: &str, way: &str| told["traffic"][kind][way].as_u64().unwrap();
        assert_eq!(frames("operators", "frames_in"), 4, "{told}");
        assert!(frames("inventories", "frames_in") >= 1, "{told}");
        // Submit, yes; launch, answer.
        assert!(frames("tasks", "frames_in") >= 2 && frames("tasks", "frames_out") >= 2, "{told}");
        assert!(frames("lists", "frames_in") >= 1 && frames("lists", "bytes_in") > 10, "{told}");
        operator.say(Body::Query(wire::Query { what: "weather".into(), about: String::new() })).await;
        assert!(operator
            .hear()
            .await
            .unwrap_err()
            .contains("found \"weather\"; expected planner, machines, tasks, task, tenants,"));
    });
}

/// A disk that is full after some bytes.
struct Full(usize);

impl Write for Full {
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
fn a_full_disk_ends_the_recording_and_not_the_planner() {
    on_sockets(async {
        let (address, _) = start(Some(Box::new(Full(3000)))).await;
        let mut owner = Talk::to(&address, Role::Owner).await;
        for n in 0..200 {
            owner.say(submit(&format!("page{n}"), 1, "small", 0.1)).await;
        }
        let mut answers = 0;
        while answers < 200 {
            answers += usize::from(matches!(owner.hear().await.unwrap(), Body::Answer(_)));
        }
    });
}
