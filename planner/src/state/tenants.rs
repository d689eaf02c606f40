//! The core's room for the directory of tenants.
use super::*;

impl PlannerState {
    // The directory of tenants.

    /// From now on tenants are learnt from a directory. To be called before anything else comes.
    pub fn use_directory(&mut self, now: i64, learnt: DirectoryAccess) {
        self.set_clock(now);
        let shares = learnt.shares();
        self.tenancy = TenantAccess::Directory(Box::new(learnt));
        for (tenant, share) in shares {
            self.notify_placement(PlacementEvent::TenantShare { tenant, share });
        }
        self.advance_clock(now);
    }

    /// A first answer of a sweep came.
    pub fn directory_answered(&mut self, now: i64, number: u64) {
        if let Some(learnt) = self.tenancy.learnt() {
            learnt.answered(number);
            learnt.say(now);
        }
    }

    /// A sweep ended, `None` where it brought nothing; `lacks` says why it is not all.
    pub fn directory_synced(
        &mut self,
        now: i64,
        number: u64,
        sweep: Option<DirectoryUpdate>,
        lacks: Vec<String>,
    ) {
        self.set_clock(now);
        let Some(learnt) = self.tenancy.learnt() else { return };
        let before = learnt.full_at();
        let Some(changes) = learnt.swept(now, number, sweep, lacks) else { return };
        learnt.say(now);
        let mut shares = Vec::new();
        for change in &changes {
            match change {
                Change::Added { id, name } => {
                    tracing::info!(tenant = name, id = %id, "a tenant came");
                    shares.extend(learnt.share(*id));
                }
                Change::Renamed { id, from, to } => {
                    tracing::info!(tenant = to, was = from, id = %id, "a tenant has another name")
                }
                Change::Removed { id, name } => tracing::info!(tenant = name, id = %id, "a tenant went"),
                Change::MemberCountChanged { name, count, .. } => {
                    tracing::info!(tenant = name, members = count, "a tenant has other members")
                }
                Change::ShareChanged { id, name, from, to } => {
                    tracing::info!(tenant = name, share = to, was = from, "a tenant has another share");
                    shares.extend(learnt.share(*id));
                }
            }
        }
        if let Some(at) = learnt.full_at().filter(|_| learnt.full_at() != before) {
            let all = learnt.memory_if_new().map(|m| m.1);
            self.outputs.push_back(Output::StoreTenants { at, all });
        }
        for (tenant, share) in shares {
            self.notify_placement(PlacementEvent::TenantShare { tenant, share });
        }
        self.perform_pending();
    }

    /// What was to be remembered could not be kept: all of it comes again with the next full sweep.
    pub fn tenants_not_stored(&mut self) {
        if let Some(learnt) = self.tenancy.learnt() {
            learnt.forgot();
        }
    }
}
