//! Helpers of the tests that run several processes of the binary: processes, relays on their
//! connections and a temporary installation.
#![allow(dead_code)]
use basaltpitch_testbed::relay::{self, RelayControl};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::time::Duration;

/// How long a test waits for an expected line or state of a process.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// A process of the binary; dropping it kills the process.
pub struct Process {
    /// The running process.
    pub child: Child,
    /// The JSON lines that the process prints on stdout; `Null` for a line that is not JSON.
    pub lines: Receiver<Value>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts the binary with these arguments and JSON output.
    pub fn start(args: &[&str]) -> Process {
        let mut child = Command::new(env!("CARGO_BIN_EXE_basaltpitch"))
            .args(args)
            .args(["-o", "json"])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let (sender, lines) = channel();
        let stdout = BufReader::new(child.stdout.take().unwrap());
        std::thread::spawn(move || {
            for line in stdout.lines().map_while(Result::ok) {
                let _ = sender.send(serde_json::from_str(&line).unwrap_or(Value::Null));
            }
        });
        Process { child, lines }
    }

    /// Waits for the next line on stdout.
    pub fn next_line(&self) -> Value {
        self.lines.recv_timeout(TIMEOUT).expect("a line on stdout before the timeout")
    }

    /// Sends a signal, given as an option of `kill` such as `-TERM`.
    pub fn signal(&self, name: &str) {
        assert!(Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap().success());
    }
}

/// A change to the relayed links, which are indexed as the relays' target addresses.
pub type LinkChange = Box<dyn Fn(&[Rc<RelayControl>]) + Send>;

/// Relays that run on a thread of their own and whose links a test can delay or cut.
pub struct Relays {
    /// The relays' listening addresses, in the order of their targets.
    pub addresses: Vec<String>,
    /// Changes that the relays' thread applies in order.
    pub changes: tokio::sync::mpsc::UnboundedSender<LinkChange>,
}

impl Relays {
    /// Starts a relay to each target address.
    pub fn start(targets: Vec<String>) -> Relays {
        let (changes, mut inbox) = tokio::sync::mpsc::unbounded_channel::<LinkChange>();
        let (sender, addresses) = channel();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            tokio::task::LocalSet::new().block_on(&runtime, async {
                let links: Vec<Rc<RelayControl>> = targets.iter().map(|_| Rc::default()).collect();
                let mut listening = Vec::new();
                for (target, link) in targets.into_iter().zip(&links) {
                    listening.push(relay::start(target, link.clone()).await.unwrap());
                }
                sender.send(listening).unwrap();
                while let Some(change) = inbox.recv().await {
                    change(&links);
                }
            });
        });
        Relays { addresses: addresses.recv().unwrap(), changes }
    }

    /// Queues a change to the links.
    pub fn apply(&self, change: impl Fn(&[Rc<RelayControl>]) + Send + 'static) {
        assert!(self.changes.send(Box::new(change)).is_ok());
    }
}

/// An installation in a temporary directory, which is removed on drop.
pub struct Site {
    /// The temporary directory.
    pub folder: PathBuf,
    /// The path of the installation's file.
    pub file: String,
    /// The number of planner slots.
    pub slots: usize,
    /// The lease duration in milliseconds.
    pub lease_ms: u32,
    /// The addresses of the voters.
    pub voters: Vec<String>,
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// Creates an installation with three voters, `slots` planner slots and a lease duration of 1.2
    /// s. The voters listen on a loopback address derived from the process id and the test's name:
    /// on 127.0.0.1 a port found free was taken by another test's planner before the voter bound
    /// it.
    pub fn new(name: &str, slots: usize) -> Site {
        Site::with_lease_duration(name, slots, 1200)
    }

    /// Creates the same installation with the given lease duration.
    pub fn with_lease_duration(name: &str, slots: usize, lease_ms: u32) -> Site {
        let (id, test) = (std::process::id(), name.bytes().map(usize::from).sum::<usize>() % 100);
        let address = |n| format!("127.{}.{}.{}:{}", 100 + test, id / 256 % 256, id % 256, 7420 + n);
        let voters: Vec<String> = (0..3).map(address).collect();
        let folder = std::env::temp_dir().join(format!("basaltpitch-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut site = Site { folder, file: String::new(), slots, voters, lease_ms };
        site.file = site.write_installation("site.rec", &site.voters);
        site
    }

    /// Writes the installation's file with the given voter addresses and returns its path.
    pub fn write_installation(&self, name: &str, voters: &[String]) -> String {
        let voters = voters.iter().enumerate().map(|(n, a)| format!("{{name: \"v{n}\", address: \"{a}\"}}"));
        let text = format!(
            "zones: [\"hall-a\"]\nkinds: [{{name: \"std\", cores: 16, memory: 32GiB}}]\n\
             frameworks: [{{name: \"small\", repeat: \"repeatable\", goal: 600ms, limit: 6s}}]\n\
             planners: {}\ncouncil: {{term: {}ms, drift: 80ms, voters: [{}]}}\n\
             day: {{length: 1s, updater: {{most: 4s, away: 300ms}}, \
             machines: [{{kind: \"std\", zone: \"hall-a\", count: 3}}], \
             tasks: [{{framework: \"small\", per_s: 1, cores: [1], memory: [1]}}]}}\n",
            self.slots,
            self.lease_ms,
            voters.collect::<Vec<_>>().join(", ")
        );
        let file = self.folder.join(name);
        std::fs::write(&file, text).unwrap();
        file.display().to_string()
    }

    /// Starts voter `n` and waits until it listens; `persistent` gives it a state directory.
    pub fn start_voter(&self, n: usize, persistent: bool) -> Process {
        let (name, folder) = (format!("v{n}"), self.folder.display().to_string());
        let mut args = vec!["voter", &self.file, "--name", &name];
        if persistent {
            args.extend(["--state", &folder]);
        }
        let voter = Process::start(&args);
        voter.next_line();
        voter
    }

    /// Starts a planner that competes for any slot, given the registry's address.
    pub fn start_planner(&self, registry: &str) -> Process {
        self.start_planner_from(&self.file, registry)
    }

    /// Starts planner `n`, which reaches the voters through relays of its own; returns the relays
    /// too.
    pub fn start_planner_behind_relays(&self, n: usize, registry: &str) -> (Relays, Process) {
        let relays = Relays::start(self.voters.clone());
        let file = self.write_installation(&format!("by-{n}.rec"), &relays.addresses);
        let planner = self.start_planner_from(&file, registry);
        (relays, planner)
    }

    /// Starts a planner with another file of the installation.
    pub fn start_planner_from(&self, file: &str, registry: &str) -> Process {
        self.start_planner_with(file, registry, &["--listen", "127.0.0.1:0"])
    }

    fn start_planner_with(&self, file: &str, registry: &str, more: &[&str]) -> Process {
        let args = ["serve", file, "--seat", "any", "--zone", "hall-a", "--register", registry];
        Process::start(&[&args[..], more].concat())
    }

    /// Starts planners that reach each other through relays, one in front of each planner.
    pub fn start_planners_behind_relays(&self, count: usize, registry: &str) -> (Relays, Vec<Process>) {
        let host = self.voters[0].rsplit_once(':').map_or("127.0.0.1", |x| x.0);
        let listens: Vec<String> = (0..count).map(|n| format!("{host}:{}", 7440 + n)).collect();
        let relays = Relays::start(listens.clone());
        let start = |(listens, relay): (&String, &String)| {
            self.start_planner_with(&self.file, registry, &["--listen", listens, "--advertise", relay])
        };
        let all = listens.iter().zip(&relays.addresses).map(start).collect();
        (relays, all)
    }
}

/// Starts three simulated machines, which restart once they are drained and empty; returns the
/// process and the address of its registry.
pub fn start_machines(file: &str) -> (Process, String) {
    let machines = Process::start(&["machine", file, "--count", "3"]);
    loop {
        if let Some(registry) = machines.next_line()["register"].as_str() {
            let registry = registry.to_owned();
            return (machines, registry);
        }
    }
}

/// Waits until one of the processes acquires a slot; returns its index and the line that it
/// printed.
pub fn next_slot_holder(processes: &[&Process]) -> (usize, Value) {
    let deadline = std::time::Instant::now() + TIMEOUT;
    while std::time::Instant::now() < deadline {
        for (n, p) in processes.iter().enumerate() {
            match p.lines.recv_timeout(Duration::from_millis(10)) {
                Ok(line) => return (n, line),
                Err(RecvTimeoutError::Timeout) => {}
                Err(e) => panic!("process {n} has closed its stdout: {e}"),
            }
        }
    }
    panic!("no process acquired a slot before the timeout");
}

/// Runs a command to its end and returns its JSON output, or `Null` when stdout is not JSON.
pub fn run_command(args: &[&str]) -> Value {
    let out =
        Command::new(env!("CARGO_BIN_EXE_basaltpitch")).args(args).args(["-o", "json"]).output().unwrap();
    serde_json::from_slice(&out.stdout).unwrap_or(Value::Null)
}

/// Submits a small task to the planner that printed `slot_line` and returns its answer.
pub fn submit_task(slot_line: &Value, key: &str) -> Value {
    let planner = slot_line["listening"].as_str().unwrap();
    run_command(&[
        "submit",
        key,
        "--planner",
        planner,
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
