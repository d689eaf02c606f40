//! `basaltpitch measure-seats`: how long a seat stands without a planner when its holder is killed, stopped,
//! or told to stop, with voters and planners as processes of this binary on loopback. Fails if a seat's epoch
//! does not rise.
use crate::processes::{measure_and_print, write_installation, Process};
use crate::Failure;
use basaltpitch_testbed::process_harness::free_addresses;
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::process::Command;

#[derive(clap::Args)]
pub struct Measure {
    /// Hand-overs of each kind
    #[arg(long, default_value_t = 20)]
    each: usize,
    /// Spares beside the planner that has the seat
    #[arg(long, default_value_t = 2)]
    spares: usize,
    /// The term, in milliseconds; the drift is a twenty-fifth of it
    #[arg(long, default_value_t = 1000)]
    term: u64,
    /// Voters keep what they vote on the disk
    #[arg(long)]
    disk: bool,
}

/// How a holder ceases.
const KINDS: [&str; 4] = ["kill", "stop", "term", "voter"];
const PATIENCE: Duration = Duration::from_secs(30);

async fn signal(process: &Process, name: &str) -> io::Result<()> {
    Command::new("kill").args([name, &process.id()?.to_string()]).status().await.map(drop)
}

/// The first of these that is seated, with its epoch.
async fn seated(all: &mut [Process]) -> io::Result<(usize, u64)> {
    let first = futures_util::future::select_all(all.iter_mut().map(|p| Box::pin(p.read_line())));
    let late = |_| io::Error::other("nobody was seated in time");
    let (line, n, _) = tokio::time::timeout(PATIENCE, first).await.map_err(late)?;
    Ok((n, line?["epoch"].as_u64().unwrap_or(0)))
}

impl Measure {
    pub fn run(self, as_json: bool) -> Result<(), Failure> {
        measure_and_print("seats", as_json, async |folder| self.measure(folder).await)
    }

    async fn measure(&self, folder: &Path) -> io::Result<Vec<Value>> {
        let (file, state) = (
            write_installation(folder, "site.rec", 1, self.term, &free_addresses(3)?)?,
            folder.display().to_string(),
        );
        let voter = |n: usize| {
            let name = format!("v{n}");
            let mut args = vec!["voter", &file, "--name", &name];
            if self.disk {
                args.extend(["--state", &state]);
            }
            Process::start(&args)
        };
        let args = ["serve", &file, "--seat", "any", "--zone", "hall-a", "--register", "127.0.0.1:1"];
        let planner = || Process::start(&[&args[..], &["--listen", "127.0.0.1:0"]].concat());
        let mut voters = vec![voter(0)?, voter(1)?, voter(2)?];
        let mut all = Vec::new();
        for _ in 0..=self.spares {
            all.push(planner()?);
        }
        let (mut holder, mut epoch) = seated(&mut all).await?;
        let most = PATIENCE.as_micros() as u64;
        let new = || Histogram::<u64>::new_with_max(most, 3).map_err(|e| io::Error::other(e.to_string()));
        let mut times = vec![new()?, new()?, new()?, new()?];
        for i in 0..KINDS.len() * self.each {
            // A renewal is under way at any moment, so that hand-overs begin everywhere in a term.
            tokio::time::sleep(Duration::from_millis(self.term * (17 + 7 * i as u64 % 60) / 60)).await;
            let kind = i % KINDS.len();
            let mut old = all.swap_remove(holder);
            let begun = Instant::now();
            match KINDS[kind] {
                "kill" => signal(&old, "-KILL").await?,
                "stop" => signal(&old, "-STOP").await?,
                "term" => signal(&old, "-TERM").await?,
                // A voter is gone as well, in the moment in which the holder is.
                _ => {
                    signal(&voters.swap_remove(i % 3), "-KILL").await?;
                    signal(&old, "-KILL").await?;
                }
            }
            let (next, under) = seated(&mut all).await?;
            times[kind].saturating_record(begun.elapsed().as_micros() as u64);
            if under <= epoch {
                return Err(io::Error::other(format!("hand-over {i}: epoch {under} after {epoch}")));
            }
            (holder, epoch) = (next, under);
            match KINDS[kind] {
                "stop" => {
                    // It wakes long after its term, and must not claim the seat that it lost.
                    tokio::time::sleep(Duration::from_millis(2 * self.term)).await;
                    signal(&old, "-CONT").await?;
                    let claim = tokio::time::timeout(Duration::from_millis(self.term), old.read_line()).await;
                    if let Ok(Ok(line)) = claim {
                        return Err(io::Error::other(format!("hand-over {i}: two are seated: {line}")));
                    }
                    all.push(old);
                }
                _ => {
                    let _ = old.child.wait().await;
                    all.push(planner()?);
                }
            }
            if voters.len() < 3 {
                for n in 0..3 {
                    // The two that run have their ports: their second start fails at once and is dropped.
                    let mut voter = voter(n)?;
                    if voter.read_line().await.is_ok() {
                        voters.push(voter);
                    }
                }
                tokio::time::sleep(Duration::from_millis(2 * self.term)).await;
            }
        }
        let ms = |us: u64| us as f64 / 1000.0;
        let terms = |us: u64| (us as f64 / 1000.0 / self.term as f64 * 100.0).round() / 100.0;
        let rows = KINDS.iter().zip(&times).map(|(kind, h)| {
            let at = |q: f64| h.value_at_quantile(q);
            json!({"kind": kind, "hand_overs": h.len(), "median_ms": ms(at(0.5)), "p99_ms": ms(at(0.99)),
                "most_ms": ms(h.max()), "median_terms": terms(at(0.5)), "most_terms": terms(h.max())})
        });
        Ok(rows.collect())
    }
}
