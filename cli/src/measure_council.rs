//! `basaltpitch measure-council`: what the council costs each member and each voter, and what it costs
//! members to tell each other how they are, by the number of members, with all of them as processes of this
//! binary on loopback, each under a seat; and what the look at the term costs a launch.
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

#[derive(clap::Args)]
pub struct Measure {
    /// Numbers of members, one after the other
    #[arg(long, value_delimiter = ',', default_value = "10,100,300")]
    members: Vec<usize>,
    /// The term, in milliseconds; the drift is a twenty-fifth of it
    #[arg(long, default_value_t = 5000)]
    term: u64,
    /// So many terms are measured
    #[arg(long, default_value_t = 6)]
    terms: u64,
}

/// Waits for the first line of a process.
async fn line(process: &mut Process) -> io::Result<()> {
    let first = tokio::time::timeout(Duration::from_secs(120), process.read_line()).await;
    let late = |_| io::Error::other("a process was not seated or listening in 120 s");
    first.map_err(late)?.map(drop)
}

/// Seconds of processor time that processes have used, and their memory in MiB.
fn sum(all: &[Process]) -> io::Result<(f64, f64)> {
    let each: io::Result<Vec<Usage>> = all.iter().map(Process::used).collect();
    Ok(each?.iter().fold((0.0, 0.0), |s, x| (s.0 + x.cpu_s, s.1 + x.mib)))
}

/// Of how many seats a member hears, its own among them.
async fn heard(listens: &str) -> io::Result<usize> {
    let args = ["planner", "--planner", listens, "-o", "json"];
    let asked = tokio::process::Command::new(std::env::current_exe()?).args(args).output();
    let told: Value = serde_json::from_slice(&asked.await?.stdout).unwrap_or_default();
    let hears = |r: &&Value| matches!(r["state"].as_str(), Some("heard" | "quiet" | "this planner"));
    Ok(told["others"]["seats"].as_array().map_or(0, |rows| rows.iter().filter(hears).count()))
}

impl Measure {
    pub fn run(self, as_json: bool) -> Result<(), Failure> {
        measure_and_print("council", as_json, async |folder| {
            let mut rows = Vec::new();
            for &members in &self.members {
                rows.push(self.measure(folder, members).await?);
            }
            Ok(rows)
        })?;
        let (tenure, looks) = (LeaseDeadline::default(), 1_000_000u32);
        let begun = Instant::now();
        let held = (0..looks).filter(|_| std::hint::black_box(&tenure).is_held()).count();
        let look_ns = (begun.elapsed() / looks).as_nanos();
        crate::ask::print_value(&json!({"look_ns": look_ns, "held": held}), as_json);
        Ok(())
    }

    async fn measure(&self, folder: &Path, members: usize) -> io::Result<Value> {
        let mut at = free_addresses(3 + members)?;
        let listens = at.split_off(3);
        let (ways, mut through) = (Rc::new(RelayControl::default()), Vec::new());
        for address in &at {
            through.push(relay::start(address.clone(), ways.clone()).await?);
        }
        let file = |name: &str, ways: &[String]| write_installation(folder, name, members, self.term, ways);
        let (direct, relayed) = (file("voters.rec", &at)?, file("members.rec", &through)?);
        let state = folder.join(members.to_string()).display().to_string();
        let voter =
            |n: usize| Process::start(&["voter", &direct, "--name", &format!("v{n}"), "--state", &state]);
        let mut voters = vec![voter(0)?, voter(1)?, voter(2)?];
        for voter in &mut voters {
            line(voter).await?;
        }
        // Members reach each other through relays, too, so that what they say is counted.
        let between = Rc::new(RelayControl::default());
        let begun = Instant::now();
        let mut all = Vec::new();
        for (n, listens) in listens.iter().enumerate() {
            let (seat, to) = (format!("planner-{n}"), relay::start(listens.clone(), between.clone()).await?);
            let args = ["serve", &relayed, "--seat", &seat, "--zone", "hall-a", "--register", "127.0.0.1:1"];
            all.push(Process::start(&[&args[..], &["--listen", listens, "--advertise", &to]].concat())?);
        }
        for member in &mut all {
            line(member).await?;
        }
        let seated_s = begun.elapsed().as_secs_f64();
        while heard(&listens[members - 1]).await? < members {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let heard_s = begun.elapsed().as_secs_f64();
        tokio::time::sleep(Duration::from_millis(self.term)).await;
        let (before, of_voters, bytes, from) =
            (sum(&all)?, sum(&voters)?, ways.carried.get(), Instant::now());
        let told = between.carried.get();
        tokio::time::sleep(Duration::from_millis(self.term * self.terms)).await;
        let seconds = from.elapsed().as_secs_f64();
        let (now, voters_now, bytes) = (sum(&all)?, sum(&voters)?, ways.carried.get() - bytes);
        let told = between.carried.get() - told;
        let each = |x: f64| (x / members as f64 * 1000.0).round() / 1000.0;
        Ok(json!({
            "members": members,
            "term_ms": self.term,
            "all_seated_after_s": (seated_s * 10.0).round() / 10.0,
            "all_heard_after_s": (heard_s * 10.0).round() / 10.0,
            "bytes_between_a_s_a_member": each(told as f64 / seconds),
            "bytes_a_s_a_member": each(bytes as f64 / seconds),
            "member_cpu_percent": each((now.0 - before.0) / seconds * 100.0),
            "member_mib": each(now.1),
            "voter_cpu_percent": ((voters_now.0 - of_voters.0) / seconds / 3.0 * 1e5).round() / 1e3,
            "voter_mib": (voters_now.1 / 3.0 * 10.0).round() / 10.0,
        }))
    }
}
