//! What tests of several processes share: processes of the binary, relays between them, an installation.
#![allow(dead_code)]
use basaltpitch_testbed::relay::{self, RelayControl};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::time::Duration;

pub const PATIENCE: Duration = Duration::from_secs(30);

/// A process of the binary, and the lines that it prints; it ends with the test.
pub struct Process {
    pub child: Child,
    pub lines: Receiver<Value>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    pub fn start(args: &[&str]) -> Process {
        let mut child = Command::new(env!("CARGO_BIN_EXE_basaltpitch"))
            .args(args)
            .args(["-o", "json"])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let (found, lines) = channel();
        let out = BufReader::new(child.stdout.take().unwrap());
        std::thread::spawn(move || {
            for line in out.lines().map_while(Result::ok) {
                let _ = found.send(serde_json::from_str(&line).unwrap_or(Value::Null));
            }
        });
        Process { child, lines }
    }

    pub fn next(&self) -> Value {
        self.lines.recv_timeout(PATIENCE).expect("a line in time")
    }

    pub fn signal(&self, name: &str) {
        assert!(Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap().success());
    }
}

/// What is done to the links of one process to the voters, by their numbers.
pub type Turn = Box<dyn Fn(&[Rc<RelayControl>]) + Send>;

/// Relays to the voters for one process, on a thread of their own; knobs are turned by word.
pub struct Relays {
    pub addresses: Vec<String>,
    pub turns: tokio::sync::mpsc::UnboundedSender<Turn>,
}

impl Relays {
    pub fn start(to: Vec<String>) -> Relays {
        let (turns, mut inbox) = tokio::sync::mpsc::unbounded_channel::<Turn>();
        let (found, addresses) = channel();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            tokio::task::LocalSet::new().block_on(&runtime, async {
                let ways: Vec<Rc<RelayControl>> = to.iter().map(|_| Rc::default()).collect();
                let mut at = Vec::new();
                for (to, ways) in to.into_iter().zip(&ways) {
                    at.push(relay::start(to, ways.clone()).await.unwrap());
                }
                found.send(at).unwrap();
                while let Some(turn) = inbox.recv().await {
                    turn(&ways);
                }
            });
        });
        Relays { addresses: addresses.recv().unwrap(), turns }
    }

    pub fn turn(&self, turn: impl Fn(&[Rc<RelayControl>]) + Send + 'static) {
        assert!(self.turns.send(Box::new(turn)).is_ok());
    }
}

pub struct Site {
    pub folder: PathBuf,
    pub file: String,
    pub planners: usize,
    pub term_ms: u32,
    pub voters: Vec<String>,
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// An installation with three voters, and so many seats. Voters have a loopback address of this process's
    /// and test's own: a port that was free a moment ago on the usual one had gone to another test's planner.
    pub fn new(name: &str, planners: usize) -> Site {
        Site::with_term(name, planners, 1200)
    }

    /// The same with a term of so many milliseconds.
    pub fn with_term(name: &str, planners: usize, term_ms: u32) -> Site {
        let (id, test) = (std::process::id(), name.bytes().map(usize::from).sum::<usize>() % 100);
        let own = |n| format!("127.{}.{}.{}:{}", 100 + test, id / 256 % 256, id % 256, 7420 + n);
        let voters: Vec<String> = (0..3).map(own).collect();
        let folder = std::env::temp_dir().join(format!("basaltpitch-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut site = Site { folder, file: String::new(), planners, voters, term_ms };
        site.file = site.written("site.rec", &site.voters);
        site
    }

    /// The installation with these ways to the voters.
    pub fn written(&self, name: &str, voters: &[String]) -> String {
        let voters = voters.iter().enumerate().map(|(n, a)| format!("{{name: \"v{n}\", address: \"{a}\"}}"));
        let text = format!(
            "zones: [\"hall-a\"]\nkinds: [{{name: \"std\", cores: 16, memory: 32GiB}}]\n\
             frameworks: [{{name: \"small\", repeat: \"repeatable\", goal: 600ms, limit: 6s}}]\n\
             planners: {}\ncouncil: {{term: {}ms, drift: 80ms, voters: [{}]}}\n\
             day: {{length: 1s, updater: {{most: 4s, away: 300ms}}, \
             machines: [{{kind: \"std\", zone: \"hall-a\", count: 3}}], \
             tasks: [{{framework: \"small\", per_s: 1, cores: [1], memory: [1]}}]}}\n",
            self.planners,
            self.term_ms,
            voters.collect::<Vec<_>>().join(", ")
        );
        let file = self.folder.join(name);
        std::fs::write(&file, text).unwrap();
        file.display().to_string()
    }

    pub fn voter(&self, n: usize, state: bool) -> Process {
        let (name, folder) = (format!("v{n}"), self.folder.display().to_string());
        let mut args = vec!["voter", &self.file, "--name", &name];
        if state {
            args.extend(["--state", &folder]);
        }
        let voter = Process::start(&args);
        voter.next();
        voter
    }

    pub fn planner(&self, register: &str) -> Process {
        self.planner_by(&self.file, register)
    }

    /// A planner that reaches the voters through relays of its own.
    pub fn planner_apart(&self, n: usize, register: &str) -> (Relays, Process) {
        let relays = Relays::start(self.voters.clone());
        let file = self.written(&format!("by-{n}.rec"), &relays.addresses);
        let planner = self.planner_by(&file, register);
        (relays, planner)
    }

    pub fn planner_by(&self, file: &str, register: &str) -> Process {
        self.planner_with(file, register, &["--listen", "127.0.0.1:0"])
    }

    fn planner_with(&self, file: &str, register: &str, more: &[&str]) -> Process {
        let args = ["serve", file, "--seat", "any", "--zone", "hall-a", "--register", register];
        Process::start(&[&args[..], more].concat())
    }

    /// Planners that reach each other through relays, one before each, and the relays.
    pub fn planners_that_meet(&self, count: usize, register: &str) -> (Relays, Vec<Process>) {
        let host = self.voters[0].rsplit_once(':').map_or("127.0.0.1", |x| x.0);
        let listens: Vec<String> = (0..count).map(|n| format!("{host}:{}", 7440 + n)).collect();
        let relays = Relays::start(listens.clone());
        let start = |(listens, relay): (&String, &String)| {
            self.planner_with(&self.file, register, &["--listen", listens, "--advertise", relay])
        };
        let all = listens.iter().zip(&relays.addresses).map(start).collect();
        (relays, all)
    }
}

/// Stand-in machines, and where their register listens. They restart once they are drained and empty.
pub fn machines(file: &str) -> (Process, String) {
    let machines = Process::start(&["machine", file, "--count", "3"]);
    loop {
        if let Some(register) = machines.next()["register"].as_str() {
            let register = register.to_owned();
            return (machines, register);
        }
    }
}

/// The next of these processes that is seated: which it is, and what it printed.
pub fn seated(all: &[&Process]) -> (usize, Value) {
    let until = std::time::Instant::now() + PATIENCE;
    while std::time::Instant::now() < until {
        for (n, p) in all.iter().enumerate() {
            match p.lines.recv_timeout(Duration::from_millis(10)) {
                Ok(line) => return (n, line),
                Err(RecvTimeoutError::Timeout) => {}
                Err(e) => panic!("process {n} ended: {e}"),
            }
        }
    }
    panic!("nobody was seated in time");
}

pub fn asked(args: &[&str]) -> Value {
    let out =
        Command::new(env!("CARGO_BIN_EXE_basaltpitch")).args(args).args(["-o", "json"]).output().unwrap();
    serde_json::from_slice(&out.stdout).unwrap_or(Value::Null)
}

pub fn submitted(at: &Value, key: &str) -> Value {
    let to = at["listening"].as_str().unwrap();
    asked(&[
        "submit",
        key,
        "--planner",
        to,
        "--framework",
        "small",
        "--service",
        "1",
        "--cores",
        "1",
        "--memory",
        "2",
    ])
}
