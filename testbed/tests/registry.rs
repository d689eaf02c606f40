//! The simulated registry: the machine list that watchers and brief watchers receive, and the
//! machines that answer queries for capacity.
use basaltpitch_agent::link::{self, Clock, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{Body, Fetch, List, Role, Watch};
use basaltpitch_config::installation::load_texts;
use basaltpitch_testbed::drill::start_machines;
use basaltpitch_testbed::machine::MachineCommand;
use basaltpitch_testbed::registry::{self, RegistryDelays};
use basaltpitch_testbed::settings::context;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// An installation with one kind of machine in one zone.
const INSTALLATION: &str = "zones: [\"hall-a\"]\nkinds: [{name: \"std\", cores: 16, memory: 32GiB}]\n\
    frameworks: [{name: \"small\", repeat: \"repeatable\", goal: 600ms, limit: 6s}]\n\
    day: {length: 1s, machines: [{kind: \"std\", zone: \"hall-a\", count: 1}], \
    tasks: [{framework: \"small\", per_s: 1, cores: [1], memory: [1]}]}\n";

/// A planner that watches the machine list.
struct Watcher {
    commands: mpsc::Sender<LinkCommand>,
    events: mpsc::Receiver<LinkEvent>,
}

impl Watcher {
    /// Connects to the registry at `address` and watches the list.
    async fn start(address: &str, name: &str, brief: bool) -> Watcher {
        let (role, login) = (Role::Planner, String::new());
        let identity = PeerIdentity { role, name: name.into(), epoch: 1, link: 1, login };
        let stream = tokio::net::TcpStream::connect(address).await.unwrap();
        let ((commands, inbox), (out, events)) = (mpsc::channel(16), mpsc::channel(64));
        tokio::task::spawn_local(link::run(
            stream,
            link::LinkContext::new(identity, Clock::start()),
            inbox,
            out,
            |event| event,
        ));
        let watch = Body::Watch(Watch { on: true, brief });
        commands.send(LinkCommand::Send(watch, None)).await.unwrap();
        Watcher { commands, events }
    }

    /// Receives the next list.
    async fn list(&mut self) -> List {
        loop {
            let next = tokio::time::timeout(Duration::from_secs(20), self.events.recv()).await;
            if let Some(LinkEvent::Session(SessionEvent::Frame(Body::List(list)))) =
                next.expect("a list arrives in time")
            {
                return list;
            }
        }
    }

    /// Receives the next list, and returns its machines.
    async fn names(&mut self) -> Vec<String> {
        self.list().await.entries.into_iter().map(|entry| entry.machine).collect()
    }
}

/// A change of capacity alone is sent to watchers but not to brief watchers, unless the machine
/// drains: then the capacity shows when the machine is empty. A query returns only ready machines
/// with enough capacity, among the named machines if it names any.
#[test]
fn brief_watch_omits_capacity_changes_and_query_returns_machines_with_capacity() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let installation =
            load_texts(&[("site.rec", INSTALLATION)]).map_err(|e| format!("{:?}", e.1)).unwrap();
        let context = context(&installation, Rc::default());
        let fleet = start_machines(&installation.all, &context, "std", "hall-a", 4).await.unwrap();
        let delays = RegistryDelays { notice_us: 0, silent_notice_us: 1_000_000, period_us: 20_000 };
        let address = registry::start(context, fleet.clone(), delays).await.unwrap().address.clone();
        tokio::time::sleep(Duration::from_millis(100)).await;
        let mut usual = Watcher::start(&address, "usual", false).await;
        let mut brief = Watcher::start(&address, "brief", true).await;
        assert_eq!((usual.list().await.entries.len(), brief.list().await.entries.len()), (4, 4));
        // A change of capacity alone is sent to the usual watcher only.
        fleet[0].reserved.set((12.0, 8.0));
        assert_eq!(usual.names().await, ["machine-0"]);
        fleet[1].send(MachineCommand::Drain(true));
        assert_eq!(
            brief.names().await,
            ["machine-1"],
            "the change of capacity is left out, so the drain comes first"
        );
        assert_eq!(usual.names().await, ["machine-1"]);
        // The capacity of a draining machine is sent to brief watchers too: it shows when the
        // machine is empty.
        fleet[1].reserved.set((1.0, 1.0));
        assert_eq!(brief.names().await, ["machine-1"]);
        let fetch = Fetch { question: 7, cores: 8.0, memory: 8.0, most: 8, ..Fetch::default() };
        brief.commands.send(LinkCommand::Send(Body::Fetch(fetch.clone()), None)).await.unwrap();
        let list = brief.list().await;
        let mut names: Vec<&str> = list.entries.iter().map(|entry| entry.machine.as_str()).collect();
        names.sort_unstable();
        assert_eq!((list.question, list.whole, names), (7, false, vec!["machine-2", "machine-3"]));
        let among = vec!["machine-0".into(), "machine-3".into()];
        let restricted = Fetch { question: 8, among, ..fetch };
        brief.commands.send(LinkCommand::Send(Body::Fetch(restricted), None)).await.unwrap();
        assert_eq!(brief.names().await, ["machine-3"]);
    });
}
