//! Faults of processes, and of the links between planners and voters.
use super::{HarnessProcess, HeldSlot, ProcessHarness};
use crate::fault_scenario::{random_subset, PlannerControl, ScheduledFault};
use crate::relay::RelayControl;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rustix::process::Signal;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Name of the rolling restart coordinator's lease, as voters print it.
const ROLLING_RESTART_LEASE: &str = "roll";
/// Name of the zone failover coordinator's lease, as voters print it.
const FAILOVER_LEASE: &str = "halls";

/// Directions in which links to voters are cut.
#[derive(Clone, Copy)]
struct VoterCut {
    to_voters: bool,
    from_voters: bool,
    /// Number of voters whose links are cut.
    voters: usize,
}

/// Returns the duration of a fault.
fn duration_of(fault: &ScheduledFault) -> Duration {
    Duration::from_micros(fault.duration_us as u64)
}

impl ProcessHarness {
    /// Records that a fault affects a slot's holder: the time without a planner starts, unless it
    /// already has.
    fn slot_affected(&self, number: usize, fault: &str) {
        let now = self.context.clock.now();
        self.slots[number].affected.borrow_mut().get_or_insert_with(|| (now, fault.to_owned()));
    }

    /// Waits two lease durations after a holder's fault. If the holder still has the slot then, it
    /// never lost it, and the slot counts as unaffected.
    async fn healed(&self, planner: usize, (number, epoch): HeldSlot) {
        sleep(Duration::from_micros(2 * self.lease_duration_us as u64)).await;
        let slot = &self.slots[number];
        if slot.holder.get() == Some(planner) && slot.epoch.get() == epoch {
            slot.affected.take();
        }
    }

    /// Returns the running processes that a fault affects, with their slots: a coordinator, or the
    /// holders of a random share of the slots.
    async fn affected(&self, fault: &ScheduledFault, rng: &mut StdRng) -> Vec<(usize, Option<HeldSlot>)> {
        let processes = if fault.kind.starts_with("conductor") {
            self.coordinator(ROLLING_RESTART_LEASE).await.into_iter().collect()
        } else if fault.kind.starts_with("halls") {
            self.coordinator(FAILOVER_LEASE).await.into_iter().collect()
        } else {
            let slots = random_subset((0..self.slots.len()).collect(), fault.share, rng);
            slots.into_iter().filter_map(|number| self.slots[number].holder.get()).collect::<Vec<usize>>()
        };
        // A process that another fault has just ended holds no slot that it could lose.
        let running = |planner: &usize| self.planners[*planner].pid.get().is_some();
        let with_slot = |planner: usize| (planner, self.planners[planner].slot.get());
        let affected: Vec<_> = processes.into_iter().filter(running).map(with_slot).collect();
        for (number, _) in affected.iter().filter_map(|process| process.1) {
            self.slot_affected(number, &fault.kind);
        }
        affected
    }

    /// Starts a rolling restart of a zone, as an operator would. The fault's strength is the number
    /// of machines that restart at once.
    async fn rolling_restart(&self, fault: &ScheduledFault) {
        let zone = fault.zone.clone().unwrap_or_else(|| self.zones[0].clone());
        let at_once = fault.strength as usize;
        let now = self.context.clock.now();
        self.context.checker.borrow_mut().rolling_restart_started(now, at_once, &zone);
        let at_once = at_once.to_string();
        let options =
            ["--zone", &zone, "--at-once", &at_once, "--empty-within", "4", "--restart-within", "6"];
        if self.command("roll", &options).await.is_none() {
            self.error(format!("the rolling restart of zone {zone} was not accepted"));
        }
    }

    /// Kills or terminates processes, and starts them again as spares after the fault's duration.
    async fn end_holders(&self, fault: &ScheduledFault, rng: &mut StdRng, signal: Signal) {
        let ended = self.affected(fault, rng).await;
        for &(planner, _) in &ended {
            self.signal(&self.planners[planner], signal);
        }
        for &(planner, _) in &ended {
            self.end(&self.planners[planner], signal).await;
        }
        sleep(duration_of(fault)).await;
        ended.iter().for_each(|&(planner, _)| self.restart(&self.planners[planner], Some(planner)));
    }

    /// Stops processes, and resumes them after the fault's duration.
    async fn stop_holders(&self, fault: &ScheduledFault, rng: &mut StdRng) {
        let stopped = self.affected(fault, rng).await;
        for &(planner, slot) in &stopped {
            if let Some((number, epoch)) = slot {
                let now = self.context.clock.now();
                self.context.checker.borrow_mut().planner_stopped(now, &format!("planner-{number}"), epoch);
            }
            self.signal(&self.planners[planner], Signal::STOP);
        }
        sleep(duration_of(fault)).await;
        stopped.iter().for_each(|process| self.signal(&self.planners[process.0], Signal::CONT));
        sleep(Duration::from_micros(self.lease_duration_us as u64)).await;
        for (planner, slot) in stopped {
            let Some((number, epoch)) = slot else { continue };
            self.context.checker.borrow_mut().planner_resumed(&format!("planner-{number}"), epoch);
            self.healed(planner, (number, epoch)).await;
        }
    }

    /// Cuts links to the voters for the fault's duration.
    async fn cut_from_voters(&self, fault: &ScheduledFault, rng: &mut StdRng, cut: VoterCut) {
        let affected = self.affected(fault, rng).await;
        for &(planner, _) in &affected {
            for relay in self.planners[planner].relays.iter().take(cut.voters) {
                relay.cut_forward.set(cut.to_voters);
                relay.cut_backward.set(cut.from_voters);
            }
        }
        sleep(duration_of(fault)).await;
        for &(planner, _) in &affected {
            for relay in &self.planners[planner].relays {
                relay.cut_forward.set(false);
                relay.cut_backward.set(false);
            }
        }
        for (planner, slot) in affected {
            if let Some(slot) = slot {
                self.healed(planner, slot).await;
            }
        }
    }

    /// Updates the cuts between planners to the isolated slots: what isolated planners send to
    /// others is cut, and what others send to them unless they still receive. Links to voters and
    /// machines are unaffected.
    pub(super) fn cut_between_planners(&self) {
        let isolated = self.isolated.borrow();
        for process in &self.planners {
            let mut cut = process.own_relay.cut_by_peer.borrow_mut();
            cut.clear();
            let (Some((isolated, receive)), Some((slot, _))) = (&*isolated, process.slot.get()) else {
                continue;
            };
            let apart = |other: &usize| isolated.contains(other) != isolated.contains(&slot);
            for other in (0..self.slots.len()).filter(apart) {
                // The relay is in front of the planner that is dialled. Traffic from the isolated
                // side is always cut, and traffic to it unless it still receives.
                let cuts = if isolated.contains(&other) { (true, !receive) } else { (!receive, true) };
                cut.insert(format!("planner-{other}"), cuts);
            }
        }
    }

    /// Cuts a random share of the slots off from the other planners for the fault's duration.
    async fn isolate(&self, fault: &ScheduledFault, rng: &mut StdRng, receive: bool) {
        let slots = random_subset((0..self.slots.len()).collect::<Vec<usize>>(), fault.share, rng);
        *self.isolated.borrow_mut() = Some((slots.into_iter().collect(), receive));
        self.cut_between_planners();
        sleep(duration_of(fault)).await;
        *self.isolated.borrow_mut() = None;
        self.cut_between_planners();
    }

    /// Kills a random share of all processes, voters included, and restarts them after the fault's
    /// duration.
    async fn kill_many(&self, fault: &ScheduledFault, rng: &mut StdRng) {
        let planners = self.planners.iter().enumerate().map(|(number, process)| (process, Some(number)));
        let all = planners.chain(self.voters.iter().map(|voter| (voter, None))).collect();
        let killed: Vec<_> = random_subset(all, fault.share, rng);
        for (process, _) in &killed {
            if let Some((number, _)) = process.slot.get() {
                self.slot_affected(number, &fault.kind);
            }
            self.signal(process, Signal::KILL);
        }
        for (process, _) in &killed {
            self.end(process, Signal::KILL).await;
        }
        sleep(duration_of(fault)).await;
        killed.into_iter().for_each(|(process, planner)| self.restart(process, planner));
    }

    /// Kills `count` voters, deletes the stored votes of `lost` of them, and restarts them after
    /// the fault's duration.
    async fn kill_voters(&self, fault: &ScheduledFault, rng: &mut StdRng, (count, lost): (usize, usize)) {
        let mut killed: Vec<&HarnessProcess> = self.voters.iter().collect();
        killed.shuffle(rng);
        killed.truncate(count);
        for voter in &killed {
            self.end(voter, Signal::KILL).await;
        }
        for folder in killed.iter().take(lost).filter_map(|voter| voter.state.as_ref()) {
            let _ = std::fs::remove_dir_all(folder);
        }
        sleep(duration_of(fault)).await;
        killed.into_iter().for_each(|voter| self.restart(voter, None));
    }

    /// Returns the relays between all processes and the voters.
    fn voter_relays(&self) -> impl Iterator<Item = &Rc<RelayControl>> {
        self.processes().flat_map(|process| &process.relays)
    }

    /// Plays a fault of processes. Returns false for any other kind of fault.
    async fn play_process_fault(&self, fault: &ScheduledFault, rng: &mut StdRng) -> bool {
        match fault.kind.as_str() {
            "holder_kill" | "conductor_kill" | "halls_kill" => {
                self.end_holders(fault, rng, Signal::KILL).await;
            }
            "holder_leaves" => self.end_holders(fault, rng, Signal::TERM).await,
            "holder_stop" | "conductor_stop" | "halls_stop" => self.stop_holders(fault, rng).await,
            "roll" => self.rolling_restart(fault).await,
            "many_killed" => self.kill_many(fault, rng).await,
            "voter_kill" => self.kill_voters(fault, rng, (1, 0)).await,
            "voter_lost" => self.kill_voters(fault, rng, (1, 1)).await,
            "two_voters" => self.kill_voters(fault, rng, (2, 1)).await,
            _ => return false,
        }
        true
    }

    /// Plays a fault of links to voters or between planners. Returns false for any other kind of
    /// fault.
    async fn play_link_fault(&self, fault: &ScheduledFault, rng: &mut StdRng) -> bool {
        let all = self.voters.len();
        let cut = |to_voters, from_voters, voters| VoterCut { to_voters, from_voters, voters };
        match fault.kind.as_str() {
            "holder_cut" => self.cut_from_voters(fault, rng, cut(true, true, all)).await,
            "holder_mute" => self.cut_from_voters(fault, rng, cut(true, false, all)).await,
            "holder_deaf" => self.cut_from_voters(fault, rng, cut(false, true, all)).await,
            "holder_alone" => self.cut_from_voters(fault, rng, cut(true, true, all - 1)).await,
            "votes_late" => {
                self.voter_relays()
                    .for_each(|relay| relay.delay.set(Duration::from_secs_f64(fault.strength)));
                sleep(duration_of(fault)).await;
                self.voter_relays().for_each(|relay| relay.delay.set(Duration::ZERO));
            }
            "planners_apart" => self.isolate(fault, rng, false).await,
            "planners_mute" => self.isolate(fault, rng, true).await,
            "planners_late" => {
                let delay =
                    |delay| self.planners.iter().for_each(|process| process.own_relay.delay.set(delay));
                delay(Duration::from_secs_f64(fault.strength));
                sleep(duration_of(fault)).await;
                delay(Duration::ZERO);
            }
            "votes_reset" => {
                self.voter_relays().for_each(|relay| relay.resets.set(relay.resets.get() + 1));
            }
            _ => return false,
        }
        true
    }
}

impl PlannerControl for ProcessHarness {
    fn count(&self) -> usize {
        self.slots.len()
    }

    fn zone(&self, planner: usize) -> String {
        let process = self.slots[planner].holder.get().unwrap_or(planner);
        self.zones[(process + self.voters.len()) % self.zones.len()].clone()
    }

    fn zone_reported_failed<'a>(&'a self, zone: &'a str) -> Pin<Box<dyn Future<Output = bool> + 'a>> {
        Box::pin(async move {
            let addresses = self.addresses.borrow().clone();
            for address in addresses {
                let args = ["planner", "--planner", &address];
                let answer = self.run(args.into_iter()).await.unwrap_or_default();
                if answer["others"]["halls"]["halls"][zone]["state"] != "lost" {
                    return false;
                }
            }
            true
        })
    }

    fn report_error(&self, what: String) {
        self.error(what);
    }

    fn kill(&self, planner: usize) -> Pin<Box<dyn Future<Output = ()> + '_>> {
        Box::pin(async move {
            if let Some(process) = self.slots[planner].holder.get() {
                self.slot_affected(planner, "planner_kill");
                self.end(&self.planners[process], Signal::KILL).await;
                self.killed.borrow_mut().insert(planner, process);
            }
        })
    }

    fn start(&self, planner: usize) -> Pin<Box<dyn Future<Output = ()> + '_>> {
        Box::pin(async move {
            let killed = self.killed.borrow_mut().remove(&planner);
            if let Some(process) = killed {
                self.restart(&self.planners[process], Some(process));
            }
        })
    }

    fn play<'a>(
        &'a self,
        fault: &'a ScheduledFault,
        rng: &'a mut StdRng,
    ) -> Pin<Box<dyn Future<Output = bool> + 'a>> {
        Box::pin(async move {
            self.play_process_fault(fault, rng).await || self.play_link_fault(fault, rng).await
        })
    }
}
