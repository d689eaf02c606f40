//! Handles events of the leases that a planner acquires beside its slot, and the voters' records of
//! slots and of the failover coordinator's lease.
use super::PlannerService;
use crate::lease_client::{LeaseEvent, LeaseRecord};
use crate::zone_monitor;
use std::rc::Rc;

impl PlannerService {
    /// Dispatches an event of a lease: events of the failover coordinator's lease and the voters'
    /// records to the links to other planners, the list of held slots to the planner's state, and
    /// all other events to the rolling-restart coordinator.
    pub(super) fn lease_event(&mut self, event: LeaseEvent) {
        let now_us = self.clock.now();
        let is_zone_lease = match &event {
            LeaseEvent::Acquired { lease, .. }
            | LeaseEvent::Lost { lease }
            | LeaseEvent::MetadataRecorded { lease } => **lease == *zone_monitor::LEASE_NAME,
            _ => false,
        };
        match (event, &mut self.planner_links, &mut self.rolling_restarts) {
            (event, Some(peers), _) if is_zone_lease => {
                peers.coordinator_event(now_us, &mut self.state, event)
            }
            (LeaseEvent::Records(records), Some(peers), _) => {
                for LeaseRecord { lease: slot, token, metadata } in records {
                    if let Some(metadata) = metadata.as_ref().filter(|_| *slot == *zone_monitor::LEASE_NAME) {
                        peers.decision_from_voter(now_us, &mut self.state, token, metadata);
                        continue;
                    }
                    let address = metadata.as_deref().and_then(|metadata| std::str::from_utf8(metadata).ok());
                    peers.slot_assigned(now_us, &slot, token, address);
                }
            }
            (LeaseEvent::HeldSlots(held), ..) => {
                let slot_index = |slot: &Rc<str>| self.slots.iter().position(|name| name == slot);
                self.state.slots_held(now_us, held.iter().filter_map(slot_index));
            }
            (event, _, Some(restarts)) => restarts.on_lease_event(now_us, event),
            _ => {}
        }
    }
}
