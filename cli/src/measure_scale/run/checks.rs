//! Whether what was counted at several places adds up, and which slots have holders.
use super::ScaleRun;
use basaltpitch_testbed::scale::traffic::{Traffic, KINDS};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

impl ScaleRun {
    /// Whether what the register counted of each real planner, by kind, adds up to the bytes that a relay
    /// between them carried: at some moment at which nothing is under way.
    pub(super) async fn adds_up(&mut self) -> io::Result<bool> {
        let mut left = self.measured();
        for _ in 0..200 {
            let told = self.registries[0].request("tell").await?;
            left.retain(|(seat, place)| {
                let (way, of) = (&self.to_registry[*place], Traffic::read(&told["planners"][seat]));
                let kinds = *way.traffic.borrow() == of;
                !(kinds && way.bytes.get() == of.bytes() && of.bytes() > 0)
            });
            if left.is_empty() {
                return Ok(true);
            }
            tokio::time::sleep(Duration::from_millis(7)).await;
        }
        tracing::error!(?left, "what the register counted is not what the relays before it carried");
        Ok(false)
    }

    /// Whether what each real planner counts itself, by kind, lies between what the far ends of its links
    /// counted before it was asked and after; none where planners do not count. It is asked through the relay
    /// before it, so that the question is counted at both ends, too.
    pub(super) async fn planners_add_up(&mut self) -> io::Result<Option<bool>> {
        let mut left = self.measured();
        for _ in 0..50 {
            let mut still = Vec::new();
            for (seat, place) in left {
                let before = self.each().await?;
                let args = ["planner", "--planner", &self.planners.advertise[place], "-o", "json"];
                let out = tokio::process::Command::new(std::env::current_exe()?).args(args).output().await?;
                let told: Value = serde_json::from_slice(&out.stdout).unwrap_or_default();
                if told["traffic"].is_null() {
                    return Ok(None);
                }
                let (own, after) = (Traffic::read(&told["traffic"]), self.each().await?);
                let of = |all: &BTreeMap<usize, Traffic>| all.get(&place).copied().unwrap_or_default();
                let (before, after) = (of(&before), of(&after));
                let within = |n: usize| {
                    let four = |traffic: &Traffic| traffic.0[n].to_array();
                    let (least, own, most) = (four(&before), four(&own), four(&after));
                    (0..4).all(|i| (least[i]..=most[i]).contains(&own[i]))
                };
                let off: Vec<&str> = (0..KINDS.len()).filter(|n| !within(*n)).map(|n| KINDS[n]).collect();
                if !off.is_empty() {
                    tracing::info!(seat, ?off, ?before, ?own, ?after, "a planner's counts");
                    still.push((seat, place));
                }
            }
            left = still;
            if left.is_empty() {
                return Ok(Some(true));
            }
        }
        tracing::error!(?left, "what planners counted is not what the far ends of their links did");
        Ok(Some(false))
    }

    /// Seats that most voters have with a holder.
    pub(super) async fn holders(&mut self) -> io::Result<usize> {
        let args = ["council", &self.file, "-o", "json"];
        let out = tokio::process::Command::new(std::env::current_exe()?).args(args).output().await?;
        let rows: Value = serde_json::from_slice(&out.stdout).unwrap_or_default();
        let mut by: BTreeMap<(String, u64), usize> = BTreeMap::new();
        for row in rows.as_array().into_iter().flatten() {
            let seat = row["duty"].as_str().unwrap_or("");
            if seat.starts_with(crate::council::SLOT_PREFIX) && row["state"] == "vote is out" {
                *by.entry((seat.to_owned(), row["token"].as_u64().unwrap_or(0))).or_default() += 1;
            }
        }
        Ok(by.values().filter(|n| **n > self.measure.voters / 2).count())
    }
}
