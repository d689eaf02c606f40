//! Checks of a scale run: whether traffic counters of different processes agree, and which slots
//! have holders.
use super::ScaleRun;
use basaltpitch_testbed::scale::traffic::{Traffic, KINDS};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

impl ScaleRun {
    /// Returns whether, for each real planner, the registry's counters by kind equal those of the
    /// relay between the two, and add up to the bytes that the relay carried. Frames in flight make
    /// them differ for a moment, so the check is repeated.
    pub(super) async fn registry_counters_agree(&mut self) -> io::Result<bool> {
        let mut left = self.real_holders();
        for _ in 0..200 {
            let report = self.registries[0].request("tell").await?;
            left.retain(|(slot, index)| {
                let (relay, counted) = (&self.to_registry[*index], Traffic::read(&report["planners"][slot]));
                let kinds_agree = *relay.traffic.borrow() == counted;
                !(kinds_agree && relay.bytes.get() == counted.bytes() && counted.bytes() > 0)
            });
            if left.is_empty() {
                return Ok(true);
            }
            tokio::time::sleep(Duration::from_millis(7)).await;
        }
        tracing::error!(
            ?left,
            "the registry's traffic counters differ from those of the relays in front of it"
        );
        Ok(false)
    }

    /// Returns whether the counters of each real planner lie, by kind, between what the peers of
    /// its links counted before and after the planner was queried; `None` where planners do not
    /// report counters. The query passes through the relay in front of the planner, so that both
    /// ends count the query itself.
    pub(super) async fn planner_counters_agree(&mut self) -> io::Result<Option<bool>> {
        let mut left = self.real_holders();
        for _ in 0..50 {
            let mut still_different = Vec::new();
            for (seat, index) in left {
                let before = self.traffic_by_planner().await?;
                let args = ["planner", "--planner", &self.planners.advertised_addresses[index], "-o", "json"];
                let output =
                    tokio::process::Command::new(std::env::current_exe()?).args(args).output().await?;
                let view: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
                if view["traffic"].is_null() {
                    return Ok(None);
                }
                let (own, after) = (Traffic::read(&view["traffic"]), self.traffic_by_planner().await?);
                let traffic_of =
                    |traffic: &BTreeMap<usize, Traffic>| traffic.get(&index).copied().unwrap_or_default();
                let (before, after) = (traffic_of(&before), traffic_of(&after));
                let within = |kind: usize| {
                    let fields = |traffic: &Traffic| traffic.0[kind].to_array();
                    let (min, own, max) = (fields(&before), fields(&own), fields(&after));
                    (0..4).all(|field| (min[field]..=max[field]).contains(&own[field]))
                };
                let off: Vec<&str> =
                    (0..KINDS.len()).filter(|kind| !within(*kind)).map(|kind| KINDS[kind]).collect();
                if !off.is_empty() {
                    tracing::info!(seat, ?off, ?before, ?own, ?after, "a planner's traffic counters are outside the range counted by its peers; checking again");
                    still_different.push((seat, index));
                }
            }
            left = still_different;
            if left.is_empty() {
                return Ok(Some(true));
            }
        }
        tracing::error!(?left, "traffic counters of planners differ from those of their peers");
        Ok(Some(false))
    }

    /// Returns the number of slots for which a majority of the voters records the same holder.
    pub(super) async fn count_held_slots(&mut self) -> io::Result<usize> {
        let args = ["council", &self.file, "-o", "json"];
        let output = tokio::process::Command::new(std::env::current_exe()?).args(args).output().await?;
        let rows: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        let mut votes: BTreeMap<(String, u64), usize> = BTreeMap::new();
        for row in rows.as_array().into_iter().flatten() {
            let lease = row["duty"].as_str().unwrap_or("");
            if lease.starts_with(crate::council::SLOT_PREFIX) && row["state"] == "vote is out" {
                *votes.entry((lease.to_owned(), row["token"].as_u64().unwrap_or(0))).or_default() += 1;
            }
        }
        Ok(votes.values().filter(|count| **count > self.measure.voters / 2).count())
    }
}
