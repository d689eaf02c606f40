//! The tenant directory: applies the results of syncs, and passes tenants' shares to the placement
//! module.
use super::*;

impl PlannerState {
    /// Reads tenants from a directory instead of the settings. Must be called before any machine or
    /// task is known.
    pub fn use_directory(&mut self, now: i64, directory: DirectoryAccess) {
        self.set_clock(now);
        let shares = directory.shares();
        self.tenancy = TenantAccess::Directory(Box::new(directory));
        for (tenant, share) in shares {
            self.notify_placement(PlacementEvent::TenantShare { tenant, share });
        }
        self.advance_clock(now);
    }

    /// Handles the first page of results of the sync with this number.
    pub fn directory_first_page_received(&mut self, now: i64, number: u64) {
        if let Some(directory) = self.tenancy.directory_mut() {
            directory.first_page_received(number);
            directory.log_state_changes(now);
        }
    }

    /// Handles the end of the sync with this number. `result` is `None` if the sync failed;
    /// `problems` says why the result is missing or incomplete.
    pub fn directory_synced(
        &mut self,
        now: i64,
        number: u64,
        result: Option<DirectoryUpdate>,
        problems: Vec<String>,
    ) {
        self.set_clock(now);
        let Some(directory) = self.tenancy.directory_mut() else { return };
        let previous_full_sync = directory.last_full_sync_at();
        let Some(changes) = directory.sync_finished(now, number, result, problems) else { return };
        directory.log_state_changes(now);
        let mut shares = Vec::new();
        for change in &changes {
            match change {
                Change::Added { id, name } => {
                    tracing::info!(tenant = name, id = %id, "tenant added");
                    shares.extend(directory.share(*id));
                }
                Change::Renamed { id, from, to } => {
                    tracing::info!(tenant = to, was = from, id = %id, "tenant renamed")
                }
                Change::Removed { id, name } => tracing::info!(tenant = name, id = %id, "tenant removed"),
                Change::MemberCountChanged { name, count, .. } => {
                    tracing::info!(tenant = name, members = count, "tenant members changed")
                }
                Change::ShareChanged { id, name, from, to } => {
                    tracing::info!(tenant = name, share = to, was = from, "tenant share changed");
                    shares.extend(directory.share(*id));
                }
            }
        }
        if let Some(at) =
            directory.last_full_sync_at().filter(|_| directory.last_full_sync_at() != previous_full_sync)
        {
            let snapshot = directory.snapshot_if_changed().map(|snapshot| snapshot.1);
            self.outputs.push_back(Output::StoreTenants { at, snapshot });
        }
        for (tenant, share) in shares {
            self.notify_placement(PlacementEvent::TenantShare { tenant, share });
        }
        self.perform_pending();
    }

    /// Handles a failure to store the tenant snapshot: the whole snapshot is output again after the
    /// next full sync.
    pub fn tenants_not_stored(&mut self) {
        if let Some(directory) = self.tenancy.directory_mut() {
            directory.snapshot_not_stored();
        }
    }
}
