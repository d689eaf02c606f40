//! The planner under test: started with the command `run` of the deploy file, as the platform does.
use crate::record::Record;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;

/// Returns a free loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Returns the command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file, from the root");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("a line 'run' in the deploy file");
    line.split('"').nth(1).expect("a quoted command").to_owned()
}

pub struct Planner {
    child: Child,
    folder: PathBuf,
    pub listen: SocketAddr,
    pub name: String,
    record: Record,
}

impl Planner {
    /// Writes the configuration to a temporary folder, starts the planner and waits until it passes a
    /// test.
    pub fn start(
        record: &Record,
        name: &str,
        listen: SocketAddr,
        configuration: &str,
        log: Option<&PathBuf>,
    ) -> Planner {
        let folder = std::env::temp_dir().join(format!("review-2-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let file = folder.join("config.json");
        std::fs::write(&file, configuration).unwrap();
        let stderr =
            log.and_then(|log| std::fs::File::create(log).ok()).map_or_else(Stdio::null, Stdio::from);
        let mut command = Command::new("/bin/sh");
        // SAFETY: the call is made between fork and exec and takes two integers.
        unsafe {
            command.pre_exec(|| {
                // The planner ends with the case, however the case ends.
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            })
        };
        let child = command
            .args(["-c", &run_command()])
            .env("PROXY_CONFIG", &file)
            .env("PROXY_NAME", name)
            .env("PROXY_LISTEN", listen.to_string())
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(stderr)
            .spawn()
            .expect("the planner starts");
        record.note(name, "process started");
        let mut planner = Planner { child, folder, listen, name: name.to_owned(), record: record.clone() };
        let until = Instant::now() + Duration::from_secs(20);
        while !planner.passes_test() {
            assert!(Instant::now() < until, "the planner passes no test");
            assert!(planner.is_running(), "the planner has ended");
            std::thread::sleep(Duration::from_millis(50));
        }
        record.note(name, "passed its first test");
        planner
    }

    fn passes_test(&self) -> bool {
        use std::io::{BufRead, BufReader, Write};
        let Ok(mut stream) = std::net::TcpStream::connect(self.listen) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let sent =
            stream.write_all(b"{\"msg\":\"probe\",\"sid\":\"00000000000000ff\",\"attrs\":{},\"code\":0}\n");
        let mut line = String::new();
        sent.is_ok() && BufReader::new(stream).read_line(&mut line).is_ok() && line.contains("probed")
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        self.record.note(&self.name, &format!("signal {signal}"));
        // SAFETY: `kill` takes two integers; the process is a child that was not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Replaces the configuration file.
    pub fn configure(&self, configuration: &str) {
        let new = self.folder.join("config.new");
        std::fs::write(&new, configuration).unwrap();
        std::fs::rename(new, self.folder.join("config.json")).unwrap();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Planner {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
