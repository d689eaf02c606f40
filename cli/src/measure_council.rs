//! `basaltpitch measure-council`: measures, by the number of planners (members), what holding slot
//! leases costs each planner and each voter, and what gossip between planners costs. All planners,
//! each with a slot, and all voters are processes of this binary on loopback. Also measures the
//! time of one check of a lease deadline, which each launch makes.
use crate::processes::{measure_and_print, write_installation, Process, Usage};
use crate::Failure;
use basaltpitch_planner::lease_client::LeaseDeadline;
use basaltpitch_testbed::process_harness::free_addresses;
use basaltpitch_testbed::relay::{self, RelayControl};
use serde_json::{json, Value};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The arguments of `basaltpitch measure-council`.
#[derive(clap::Args)]
pub struct Measure {
    /// Numbers of planners to measure with, one run each
    #[arg(long, value_delimiter = ',', default_value = "10,100,300")]
    members: Vec<usize>,
    /// Lease duration in milliseconds; the clock drift is a twenty-fifth of it
    #[arg(long, default_value_t = 5000)]
    term: u64,
    /// Duration of each measurement, in lease durations
    #[arg(long, default_value_t = 6)]
    terms: u64,
}

/// Waits up to 120 s for the first line of a process, which says that it listens.
async fn wait_until_listening(process: &mut Process) -> io::Result<()> {
    let first = tokio::time::timeout(Duration::from_secs(120), process.read_line()).await;
    let timed_out = |_| {
        io::Error::other(
            "a planner or voter printed no address within 120 s; expected it to listen or acquire its slot",
        )
    };
    first.map_err(timed_out)?.map(drop)
}

/// Returns the sums of CPU time in seconds and of memory in MiB of some processes.
fn total_usage(processes: &[Process]) -> io::Result<(f64, f64)> {
    let each: io::Result<Vec<Usage>> = processes.iter().map(Process::used).collect();
    Ok(each?.iter().fold((0.0, 0.0), |sum, usage| (sum.0 + usage.cpu_s, sum.1 + usage.mib)))
}

/// Returns the number of slots whose state a planner has received by gossip, its own among them.
async fn fresh_slots(address: &str) -> io::Result<usize> {
    let args = ["planner", "--planner", address, "-o", "json"];
    let output = tokio::process::Command::new(std::env::current_exe()?).args(args).output();
    let view: Value = serde_json::from_slice(&output.await?.stdout).unwrap_or_default();
    let is_received =
        |row: &&Value| matches!(row["state"].as_str(), Some("heard" | "quiet" | "this planner"));
    Ok(view["others"]["seats"].as_array().map_or(0, |rows| rows.iter().filter(is_received).count()))
}

impl Measure {
    /// Measures with each number of planners, then the lease deadline's check, and prints the
    /// results.
    pub fn run(self, as_json: bool) -> Result<(), Failure> {
        measure_and_print("council", as_json, async |folder| {
            let mut rows = Vec::new();
            for &members in &self.members {
                rows.push(self.measure(folder, members).await?);
            }
            Ok(rows)
        })?;
        let (lease_deadline, checks) = (LeaseDeadline::default(), 1_000_000u32);
        let started = Instant::now();
        let held = (0..checks).filter(|_| std::hint::black_box(&lease_deadline).is_held()).count();
        let check_ns = (started.elapsed() / checks).as_nanos();
        crate::ask::print_value(&json!({"look_ns": check_ns, "held": held}), as_json);
        Ok(())
    }

    /// Measures CPU use, memory and bytes per second in a run with `planner_count` planners.
    async fn measure(&self, folder: &Path, planner_count: usize) -> io::Result<Value> {
        let mut voter_addresses = free_addresses(3 + planner_count)?;
        let planner_addresses = voter_addresses.split_off(3);
        let (voter_relays, mut relayed_addresses) = (Rc::new(RelayControl::default()), Vec::new());
        for address in &voter_addresses {
            relayed_addresses.push(relay::start(address.clone(), voter_relays.clone()).await?);
        }
        let write_file = |name: &str, addresses: &[String]| {
            write_installation(folder, name, planner_count, self.term, addresses)
        };
        let (direct, relayed) =
            (write_file("voters.rec", &voter_addresses)?, write_file("members.rec", &relayed_addresses)?);
        let state = folder.join(planner_count.to_string()).display().to_string();
        let voter = |index: usize| {
            Process::start(&["voter", &direct, "--name", &format!("v{index}"), "--state", &state])
        };
        let mut voters = vec![voter(0)?, voter(1)?, voter(2)?];
        for voter in &mut voters {
            wait_until_listening(voter).await?;
        }
        // Planners reach each other through relays, too, so that the bytes of gossip are counted.
        let planner_relays = Rc::new(RelayControl::default());
        let started = Instant::now();
        let mut planners = Vec::new();
        for (index, address) in planner_addresses.iter().enumerate() {
            let (slot, advertised) =
                (format!("planner-{index}"), relay::start(address.clone(), planner_relays.clone()).await?);
            let args = ["serve", &relayed, "--seat", &slot, "--zone", "hall-a", "--register", "127.0.0.1:1"];
            planners.push(Process::start(
                &[&args[..], &["--listen", address, "--advertise", &advertised]].concat(),
            )?);
        }
        for planner in &mut planners {
            wait_until_listening(planner).await?;
        }
        let slots_held_after_s = started.elapsed().as_secs_f64();
        while fresh_slots(&planner_addresses[planner_count - 1]).await? < planner_count {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let received_after_s = started.elapsed().as_secs_f64();
        tokio::time::sleep(Duration::from_millis(self.term)).await;
        let (before, voters_before, voter_bytes, measured_from) = (
            total_usage(&planners)?,
            total_usage(&voters)?,
            voter_relays.bytes_forwarded.get(),
            Instant::now(),
        );
        let gossip_bytes = planner_relays.bytes_forwarded.get();
        tokio::time::sleep(Duration::from_millis(self.term * self.terms)).await;
        let seconds = measured_from.elapsed().as_secs_f64();
        let (now, voters_now, voter_bytes) = (
            total_usage(&planners)?,
            total_usage(&voters)?,
            voter_relays.bytes_forwarded.get() - voter_bytes,
        );
        let gossip_bytes = planner_relays.bytes_forwarded.get() - gossip_bytes;
        let per_planner = |total: f64| (total / planner_count as f64 * 1000.0).round() / 1000.0;
        Ok(json!({
            "members": planner_count,
            "term_ms": self.term,
            "all_seated_after_s": (slots_held_after_s * 10.0).round() / 10.0,
            "all_heard_after_s": (received_after_s * 10.0).round() / 10.0,
            "bytes_between_a_s_a_member": per_planner(gossip_bytes as f64 / seconds),
            "bytes_a_s_a_member": per_planner(voter_bytes as f64 / seconds),
            "member_cpu_percent": per_planner((now.0 - before.0) / seconds * 100.0),
            "member_mib": per_planner(now.1),
            "voter_cpu_percent": ((voters_now.0 - voters_before.0) / seconds / 3.0 * 1e5).round() / 1e3,
            "voter_mib": (voters_now.1 / 3.0 * 10.0).round() / 10.0,
        }))
    }
}
