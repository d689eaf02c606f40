//! Child processes of this binary for the measure commands: voters, planners with slots, and
//! simulated machines, planners and clients. Also reads the resource usage of processes from /proc.
use crate::Failure;
use serde_json::Value;
use std::io;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};

/// The resources that a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// CPU time in user and kernel mode since the start, in seconds.
    pub cpu_s: f64,
    /// Resident memory in MiB.
    pub mib: f64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// A child process with its standard output, and its standard input if it accepts commands.
/// Dropping it kills the child.
pub struct Process {
    /// The child process.
    pub child: Child,
    lines: Lines<BufReader<ChildStdout>>,
    command_input: Option<ChildStdin>,
}

impl Process {
    /// Starts a process without standard input.
    pub fn start(args: &[&str]) -> io::Result<Process> {
        Process::start_with(args, false)
    }

    /// Starts a process that reads commands from standard input, one a line, and exits at the end
    /// of the input.
    pub fn start_with_commands(args: &[&str]) -> io::Result<Process> {
        Process::start_with(args, true)
    }

    fn start_with(args: &[&str], accepts_commands: bool) -> io::Result<Process> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(args)
            .args(["-o", "json"])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .stdin(if accepts_commands { Stdio::piped() } else { Stdio::null() })
            .kill_on_drop(true)
            .spawn()?;
        let out = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("the child process has no standard output"))?;
        let command_input = child.stdin.take();
        Ok(Process { child, lines: BufReader::new(out).lines(), command_input })
    }

    /// Sends a command to a process that was started with `start_with_commands`.
    pub async fn send_command(&mut self, command: &str) -> io::Result<()> {
        let command_input = self
            .command_input
            .as_mut()
            .ok_or_else(|| io::Error::other("the process was started without standard input for commands"))?;
        command_input.write_all(format!("{command}\n").as_bytes()).await
    }

    /// Sends a command and waits up to 20 s for the line that answers it.
    pub async fn request(&mut self, command: &str) -> io::Result<Value> {
        self.send_command(command).await?;
        let timed_out = |_| io::Error::other(format!("no answer to the command {command:?} in 20 s"));
        tokio::time::timeout(Duration::from_secs(20), self.read_line()).await.map_err(timed_out)?
    }

    /// Waits for the next line of standard output and decodes it from JSON.
    pub async fn read_line(&mut self) -> io::Result<Value> {
        let line = self
            .lines
            .next_line()
            .await?
            .ok_or_else(|| io::Error::other("a child process ended unexpectedly"))?;
        serde_json::from_str(&line).map_err(io::Error::other)
    }

    /// Returns the resources that the process has used.
    pub fn used(&self) -> io::Result<Usage> {
        usage_of(self.id()?)
    }

    /// Returns the process id; a process that has ended is an error.
    pub fn id(&self) -> io::Result<u32> {
        self.child.id().ok_or_else(|| io::Error::other("a child process ended unexpectedly"))
    }
}

/// Reads from /proc what a process has used, assuming clock ticks of 10 ms and pages of 4 KiB.
pub fn usage_of(id: u32) -> io::Result<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields = stat.rsplit(')').next().unwrap_or("");
    let ticks = |index: usize| {
        fields.split_whitespace().nth(index).and_then(|value| value.parse::<f64>().ok()).unwrap_or(0.0)
    };
    let pages = std::fs::read_to_string(format!("/proc/{id}/statm"))?;
    let pages = pages.split_whitespace().nth(1).and_then(|value| value.parse::<f64>().ok()).unwrap_or(0.0);
    let descriptors = std::fs::read_dir(format!("/proc/{id}/fd"))?.count();
    Ok(Usage { cpu_s: (ticks(11) + ticks(12)) / 100.0, mib: pages * 4.0 / 1024.0, descriptors })
}

/// Reads from /proc the CPU time that all processes of this host have used since boot, in seconds.
pub fn machine_cpu_s() -> io::Result<f64> {
    let stat = std::fs::read_to_string("/proc/stat")?;
    let ticks: Vec<f64> = stat.lines().next().unwrap_or("").split_whitespace().flat_map(str::parse).collect();
    // The first eight columns cover all CPU states. Columns 4 and 5, idle and waiting for I/O, are
    // not used CPU time.
    let idle = ticks.iter().skip(3).take(2).sum::<f64>();
    Ok((ticks.iter().take(8).sum::<f64>() - idle) / 100.0)
}

/// Writes an installation with this number of planner slots and voters (v0, v1, ...) at these
/// addresses, and returns the file's path. The lease duration is in milliseconds; the clock drift
/// is a twenty-fifth of it.
pub fn write_installation(
    folder: &Path,
    name: &str,
    slots: usize,
    lease_ms: u64,
    voter_addresses: &[String],
) -> io::Result<String> {
    let voters = voter_addresses
        .iter()
        .enumerate()
        .map(|(index, address)| format!("{{name: \"v{index}\", address: {address:?}}}"));
    let text = format!(
        "zones: [\"hall-a\"]\nkinds: [{{name: \"std\", cores: 16, memory: 32GiB}}]\n\
         frameworks: [{{name: \"small\", repeat: \"repeatable\", goal: 600ms, limit: 6s}}]\n\
         planners: {slots}\ncouncil: {{term: {lease_ms}ms, drift: {}ms, voters: [{}]}}\n",
        (lease_ms / 25).max(1),
        voters.collect::<Vec<_>>().join(", ")
    );
    let path = folder.join(name);
    std::fs::write(&path, text).map(|()| path.display().to_string())
}

/// Runs a measurement in a temporary folder, which is removed afterwards, and prints its rows.
pub fn measure_and_print(
    name: &str,
    as_json: bool,
    measure: impl AsyncFnOnce(&Path) -> io::Result<Vec<Value>>,
) -> Result<(), Failure> {
    let rows = measure_in_temp_folder(name, measure)?;
    crate::ask::print_value(&Value::Array(rows), as_json);
    Ok(())
}

/// Runs a measurement in a temporary folder, which is removed afterwards, and returns its result.
/// SIGINT and SIGTERM abort the measurement and end the processes that it started.
pub fn measure_in_temp_folder<T>(
    name: &str,
    measure: impl AsyncFnOnce(&Path) -> io::Result<T>,
) -> Result<T, Failure> {
    let failed = |e: io::Error| Failure::Failed(e.to_string());
    let folder = std::env::temp_dir().join(format!("basaltpitch-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(failed)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(failed)?;
    let result = tokio::task::LocalSet::new().block_on(&runtime, async {
        tokio::select! {
            result = measure(&folder) => result,
            () = crate::council::stop_signal() => Err(io::Error::other("stopped by a signal")),
        }
    });
    let _ = std::fs::remove_dir_all(&folder);
    result.map_err(failed)
}
