//! `basaltpitch measure-seats`: measures how long a planner slot has no holder after its holder is
//! killed, suspended or asked to stop. Voters and planners are processes of this binary on
//! loopback. Fails if the slot's epoch does not increase at a takeover.
use crate::processes::{measure_and_print, write_installation, Process};
use crate::Failure;
use basaltpitch_testbed::process_harness::free_addresses;
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::process::Command;

/// The arguments of `basaltpitch measure-seats`.
#[derive(clap::Args)]
pub struct Measure {
    /// Number of takeovers of each kind
    #[arg(long, default_value_t = 20)]
    each: usize,
    /// Number of spare planners beside the holder of the slot
    #[arg(long, default_value_t = 2)]
    spares: usize,
    /// Lease duration in milliseconds; the clock drift is a twenty-fifth of it
    #[arg(long, default_value_t = 1000)]
    term: u64,
    /// Voters store their votes on disk
    #[arg(long)]
    disk: bool,
}

/// The kinds of faults: the holder is killed, suspended, terminated, or killed together with a
/// voter.
const FAULTS: [&str; 4] = ["kill", "stop", "term", "voter"];
/// How long to wait for a spare to acquire the slot.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends a signal to a process, named as an option of `kill`.
async fn signal(process: &Process, name: &str) -> io::Result<()> {
    Command::new("kill").args([name, &process.id()?.to_string()]).status().await.map(drop)
}

/// Waits until one of the processes acquires the slot, and returns its index and epoch.
async fn wait_for_holder(processes: &mut [Process]) -> io::Result<(usize, u64)> {
    let first =
        futures_util::future::select_all(processes.iter_mut().map(|process| Box::pin(process.read_line())));
    let timed_out = |_| io::Error::other("no planner acquired the slot in time");
    let (line, index, _) = tokio::time::timeout(TAKEOVER_TIMEOUT, first).await.map_err(timed_out)?;
    Ok((index, line?["epoch"].as_u64().unwrap_or(0)))
}

impl Measure {
    /// Runs the measurement and prints one row for each kind of fault.
    pub fn run(self, as_json: bool) -> Result<(), Failure> {
        measure_and_print("seats", as_json, async |folder| self.measure(folder).await)
    }

    /// Causes the faults in turn and measures the time until the next planner holds the slot.
    async fn measure(&self, folder: &Path) -> io::Result<Vec<Value>> {
        let (file, state) = (
            write_installation(folder, "site.rec", 1, self.term, &free_addresses(3)?)?,
            folder.display().to_string(),
        );
        let voter = |index: usize| {
            let name = format!("v{index}");
            let mut args = vec!["voter", &file, "--name", &name];
            if self.disk {
                args.extend(["--state", &state]);
            }
            Process::start(&args)
        };
        let args = ["serve", &file, "--seat", "any", "--zone", "hall-a", "--register", "127.0.0.1:1"];
        let planner = || Process::start(&[&args[..], &["--listen", "127.0.0.1:0"]].concat());
        let mut voters = vec![voter(0)?, voter(1)?, voter(2)?];
        let mut planners = Vec::new();
        for _ in 0..=self.spares {
            planners.push(planner()?);
        }
        let (mut holder, mut epoch) = wait_for_holder(&mut planners).await?;
        let max_us = TAKEOVER_TIMEOUT.as_micros() as u64;
        let new_histogram =
            || Histogram::<u64>::new_with_max(max_us, 3).map_err(|e| io::Error::other(e.to_string()));
        let mut times = vec![new_histogram()?, new_histogram()?, new_histogram()?, new_histogram()?];
        for takeover in 0..FAULTS.len() * self.each {
            // The pause varies, so that faults occur at different times relative to the renewals of
            // the lease.
            tokio::time::sleep(Duration::from_millis(self.term * (17 + 7 * takeover as u64 % 60) / 60)).await;
            let kind = takeover % FAULTS.len();
            let mut former_holder = planners.swap_remove(holder);
            let started = Instant::now();
            match FAULTS[kind] {
                "kill" => signal(&former_holder, "-KILL").await?,
                "stop" => signal(&former_holder, "-STOP").await?,
                "term" => signal(&former_holder, "-TERM").await?,
                // A voter is killed at the same time as the holder.
                _ => {
                    signal(&voters.swap_remove(takeover % 3), "-KILL").await?;
                    signal(&former_holder, "-KILL").await?;
                }
            }
            let (new_holder, new_epoch) = wait_for_holder(&mut planners).await?;
            times[kind].saturating_record(started.elapsed().as_micros() as u64);
            if new_epoch <= epoch {
                return Err(io::Error::other(format!(
                    "takeover {takeover}: epoch {new_epoch} after {epoch}; expected it to increase"
                )));
            }
            (holder, epoch) = (new_holder, new_epoch);
            match FAULTS[kind] {
                "stop" => {
                    // The suspended holder resumes long after its lease expired and must not serve
                    // under it again.
                    tokio::time::sleep(Duration::from_millis(2 * self.term)).await;
                    signal(&former_holder, "-CONT").await?;
                    let claim =
                        tokio::time::timeout(Duration::from_millis(self.term), former_holder.read_line())
                            .await;
                    if let Ok(Ok(line)) = claim {
                        return Err(io::Error::other(format!(
                            "takeover {takeover}: the former holder serves again beside the new one: {line}"
                        )));
                    }
                    planners.push(former_holder);
                }
                _ => {
                    let _ = former_holder.child.wait().await;
                    planners.push(planner()?);
                }
            }
            if voters.len() < 3 {
                for index in 0..3 {
                    // Only the killed voter can start: the other two still run, so a second start
                    // of them fails at once on the occupied port and is dropped.
                    let mut voter = voter(index)?;
                    if voter.read_line().await.is_ok() {
                        voters.push(voter);
                    }
                }
                tokio::time::sleep(Duration::from_millis(2 * self.term)).await;
            }
        }
        let to_ms = |us: u64| us as f64 / 1000.0;
        let to_lease_durations = |us: u64| (us as f64 / 1000.0 / self.term as f64 * 100.0).round() / 100.0;
        let rows = FAULTS.iter().zip(&times).map(|(kind, histogram)| {
            let quantile = |fraction: f64| histogram.value_at_quantile(fraction);
            json!({"kind": kind, "hand_overs": histogram.len(), "median_ms": to_ms(quantile(0.5)), "p99_ms": to_ms(quantile(0.99)),
                "most_ms": to_ms(histogram.max()), "median_terms": to_lease_durations(quantile(0.5)), "most_terms": to_lease_durations(histogram.max())})
        });
        Ok(rows.collect())
    }
}
