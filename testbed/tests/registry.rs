//! The stand-in register: what watchers of the list are told, whole, of each change, or brief; and who is named
//! to those that ask for room.
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

const SITE: &str = "zones: [\"hall-a\"]\nkinds: [{name: \"std\", cores: 16, memory: 32GiB}]\n\
    frameworks: [{name: \"small\", repeat: \"repeatable\", goal: 600ms, limit: 6s}]\n\
    day: {length: 1s, machines: [{kind: \"std\", zone: \"hall-a\", count: 1}], \
    tasks: [{framework: \"small\", per_s: 1, cores: [1], memory: [1]}]}\n";

struct Watcher {
    orders: mpsc::Sender<LinkCommand>,
    news: mpsc::Receiver<LinkEvent>,
}

impl Watcher {
    async fn start(address: &str, name: &str, brief: bool) -> Watcher {
        let (role, login) = (Role::Planner, String::new());
        let me = PeerIdentity { role, name: name.into(), epoch: 1, link: 1, login };
        let stream = tokio::net::TcpStream::connect(address).await.unwrap();
        let ((orders, inbox), (out, news)) = (mpsc::channel(16), mpsc::channel(64));
        tokio::task::spawn_local(link::run(
            stream,
            link::LinkContext::new(me, Clock::start()),
            inbox,
            out,
            |n| n,
        ));
        let watch = Body::Watch(Watch { on: true, brief });
        orders.send(LinkCommand::Send(watch, None)).await.unwrap();
        Watcher { orders, news }
    }

    async fn list(&mut self) -> List {
        loop {
            let next = tokio::time::timeout(Duration::from_secs(20), self.news.recv()).await;
            if let Some(LinkEvent::Session(SessionEvent::Frame(Body::List(list)))) =
                next.expect("a list in time")
            {
                return list;
            }
        }
    }

    /// Machines of the next list.
    async fn names(&mut self) -> Vec<String> {
        self.list().await.entries.into_iter().map(|e| e.machine).collect()
    }
}

#[test]
fn a_brief_watch_leaves_out_room_alone_and_a_question_names_machines_with_room() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let site = load_texts(&[("site.rec", SITE)]).map_err(|e| format!("{:?}", e.1)).unwrap();
        let context = context(&site, Rc::default());
        let fleet = start_machines(&site.all, &context, "std", "hall-a", 4).await.unwrap();
        let late = RegistryDelays { notice_us: 0, silent_notice_us: 1_000_000, period_us: 20_000 };
        let address = registry::start(context, fleet.clone(), late).await.unwrap().address.clone();
        tokio::time::sleep(Duration::from_millis(100)).await;
        let mut usual = Watcher::start(&address, "usual", false).await;
        let mut brief = Watcher::start(&address, "brief", true).await;
        assert_eq!((usual.list().await.entries.len(), brief.list().await.entries.len()), (4, 4));
        // Room alone: told as ever, and not to who watches brief.
        fleet[0].reserved.set((12.0, 8.0));
        assert_eq!(usual.names().await, ["machine-0"]);
        fleet[1].send(MachineCommand::Drain(true));
        assert_eq!(brief.names().await, ["machine-1"], "the drain comes first");
        assert_eq!(usual.names().await, ["machine-1"]);
        // While a machine drains, its room tells when it is empty.
        fleet[1].reserved.set((1.0, 1.0));
        assert_eq!(brief.names().await, ["machine-1"]);
        let fetch = Fetch { question: 7, cores: 8.0, memory: 8.0, most: 8, ..Fetch::default() };
        brief.orders.send(LinkCommand::Send(Body::Fetch(fetch.clone()), None)).await.unwrap();
        let list = brief.list().await;
        let mut named: Vec<&str> = list.entries.iter().map(|e| e.machine.as_str()).collect();
        named.sort_unstable();
        assert_eq!((list.question, list.whole, named), (7, false, vec!["machine-2", "machine-3"]));
        let among = vec!["machine-0".into(), "machine-3".into()];
        let one = Fetch { question: 8, among, ..fetch };
        brief.orders.send(LinkCommand::Send(Body::Fetch(one), None)).await.unwrap();
        assert_eq!(brief.names().await, ["machine-3"]);
    });
}
