//! Several processes of this binary on loopback, for measurements: voters, planners under seats, and hollow ones.
use crate::Failure;
use serde_json::Value;
use std::io;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};

/// What a process has used: seconds of processor time, memory in MiB, and descriptors that are open.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub cpu_s: f64,
    pub mib: f64,
    pub descriptors: usize,
}

/// A process, and the lines that it prints; it ends with this.
pub struct Process {
    pub child: Child,
    lines: Lines<BufReader<ChildStdout>>,
    words: Option<ChildStdin>,
}

impl Process {
    pub fn start(args: &[&str]) -> io::Result<Process> {
        Process::start_with(args, false)
    }

    /// One that takes words, a line each, and ends when there are no more.
    pub fn start_with_commands(args: &[&str]) -> io::Result<Process> {
        Process::start_with(args, true)
    }

    fn start_with(args: &[&str], listens: bool) -> io::Result<Process> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(args)
            .args(["-o", "json"])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .stdin(if listens { Stdio::piped() } else { Stdio::null() })
            .kill_on_drop(true)
            .spawn()?;
        let out = child.stdout.take().ok_or_else(|| io::Error::other("no output"))?;
        let words = child.stdin.take();
        Ok(Process { child, lines: BufReader::new(out).lines(), words })
    }

    /// Says a word to one that listens.
    pub async fn say(&mut self, word: &str) -> io::Result<()> {
        let words = self.words.as_mut().ok_or_else(|| io::Error::other("a process that does not listen"))?;
        words.write_all(format!("{word}\n").as_bytes()).await
    }

    /// Says a word, and waits for the line that answers it.
    pub async fn answer(&mut self, word: &str) -> io::Result<Value> {
        self.say(word).await?;
        let late = |_| io::Error::other(format!("no answer to {word:?} in 20 s"));
        tokio::time::timeout(Duration::from_secs(20), self.line()).await.map_err(late)?
    }

    pub async fn line(&mut self) -> io::Result<Value> {
        let line = self.lines.next_line().await?.ok_or_else(|| io::Error::other("a process ended"))?;
        serde_json::from_str(&line).map_err(io::Error::other)
    }

    pub fn used(&self) -> io::Result<Usage> {
        usage_of(self.id()?)
    }

    pub fn id(&self) -> io::Result<u32> {
        self.child.id().ok_or_else(|| io::Error::other("a process ended"))
    }
}

/// What a process has used, of /proc: clock ticks are of 10 ms, pages of 4 KiB.
pub fn usage_of(id: u32) -> io::Result<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let after = stat.rsplit(')').next().unwrap_or("");
    let ticks = |n: usize| after.split_whitespace().nth(n).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
    let pages = std::fs::read_to_string(format!("/proc/{id}/statm"))?;
    let pages = pages.split_whitespace().nth(1).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
    let descriptors = std::fs::read_dir(format!("/proc/{id}/fd"))?.count();
    Ok(Usage { cpu_s: (ticks(11) + ticks(12)) / 100.0, mib: pages * 4.0 / 1024.0, descriptors })
}

/// Seconds of processor time that all of the machine has used, of /proc.
pub fn machine_cpu_s() -> io::Result<f64> {
    let stat = std::fs::read_to_string("/proc/stat")?;
    let ticks: Vec<f64> = stat.lines().next().unwrap_or("").split_whitespace().flat_map(str::parse).collect();
    // All but idle and waiting for a disk.
    let idle = ticks.iter().skip(3).take(2).sum::<f64>();
    Ok((ticks.iter().take(8).sum::<f64>() - idle) / 100.0)
}

/// Writes an installation with so many seats and these ways to its voters, v0 and so on; the term is in
/// milliseconds, the drift a twenty-fifth of it.
pub fn site(folder: &Path, name: &str, seats: usize, term: u64, ways: &[String]) -> io::Result<String> {
    let voters = ways.iter().enumerate().map(|(n, a)| format!("{{name: \"v{n}\", address: {a:?}}}"));
    let text = format!(
        "zones: [\"hall-a\"]\nkinds: [{{name: \"std\", cores: 16, memory: 32GiB}}]\n\
         frameworks: [{{name: \"small\", repeat: \"repeatable\", goal: 600ms, limit: 6s}}]\n\
         planners: {seats}\ncouncil: {{term: {term}ms, drift: {}ms, voters: [{}]}}\n",
        (term / 25).max(1),
        voters.collect::<Vec<_>>().join(", ")
    );
    let path = folder.join(name);
    std::fs::write(&path, text).map(|()| path.display().to_string())
}

/// Measures in a folder that is gone afterwards, and shows the rows.
pub fn measure_and_print(
    name: &str,
    as_json: bool,
    measure: impl AsyncFnOnce(&Path) -> io::Result<Vec<Value>>,
) -> Result<(), Failure> {
    let found = measure_in_temp_folder(name, measure)?;
    crate::ask::print_value(&Value::Array(found), as_json);
    Ok(())
}

/// The same without showing what was found. Told to stop, it ends what was started.
pub fn measure_in_temp_folder<T>(
    name: &str,
    measure: impl AsyncFnOnce(&Path) -> io::Result<T>,
) -> Result<T, Failure> {
    let failed = |e: io::Error| Failure::Failed(e.to_string());
    let folder = std::env::temp_dir().join(format!("basaltpitch-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(failed)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(failed)?;
    let found = tokio::task::LocalSet::new().block_on(&runtime, async {
        tokio::select! {
            found = measure(&folder) => found,
            () = crate::council::stop_signal() => Err(io::Error::other("told to stop")),
        }
    });
    let _ = std::fs::remove_dir_all(&folder);
    found.map_err(failed)
}
