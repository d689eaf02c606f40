//! Generates the installation's file of a scale run: regions, zones, frameworks, tenants and
//! voters.
use basaltpitch_testbed::scale::clients::FrameworkLoad;

/// The regions, each with its zones.
pub const REGIONS: [(&str, &[&str]); 3] = [
    ("east", &["east-1", "east-2", "east-3"]),
    ("west", &["west-1", "west-2"]),
    ("north", &["north-1", "north-2"]),
];

/// Returns the names of all zones, ordered by region.
pub fn zones() -> Vec<&'static str> {
    REGIONS.iter().flat_map(|region| region.1.iter().copied()).collect()
}

/// Returns the region of a zone, empty for an unknown zone.
pub fn region_of(zone: &str) -> &'static str {
    REGIONS.iter().find(|region| region.1.contains(&zone)).map_or("", |region| region.0)
}

/// Returns the first zone of a region, empty for an unknown region.
pub fn first_zone(region: &str) -> &'static str {
    REGIONS.iter().find(|entry| entry.0 == region).map_or("", |region| region.1[0])
}

/// A framework of a scale run.
pub struct Framework {
    /// The load that clients submit.
    pub load: FrameworkLoad,
    /// Further settings in the installation's file.
    pub settings: &'static str,
}

/// Builds the load of a framework; `ms` holds its latency objective and its limit in milliseconds.
const fn load(
    name: &'static str,
    share: f64,
    value: f64,
    ms: (i64, i64),
    cores: f64,
    memory: f64,
) -> FrameworkLoad {
    FrameworkLoad {
        name,
        share,
        value,
        latency_objective_us: ms.0 * 1000,
        limit_us: ms.1 * 1000,
        cores,
        memory,
    }
}

/// The frameworks of a scale run, one or more of each kind of idempotency.
pub const FRAMEWORKS: [Framework; 4] = [
    Framework {
        load: load("urgent", 0.1, 5.0, (600, 6000), 1.0, 2.0),
        settings: "repeat: \"repeatable\", priority: 3",
    },
    Framework { load: load("small", 0.6, 1.0, (2000, 8000), 1.0, 2.0), settings: "repeat: \"repeatable\"" },
    Framework {
        load: load("batch", 0.2, 2.0, (5000, 9000), 2.0, 4.0),
        settings: "repeat: \"keyed\", group: \"zone\", window: 6s, priority: 1",
    },
    Framework {
        load: load("closing", 0.1, 3.0, (2000, 8000), 1.0, 2.0),
        settings: "repeat: \"once-only\", priority: 1",
    },
];

/// One submission in this many is a batch of `BATCH_SIZE` tasks, on average.
pub const BATCH_EVERY: u32 = 20;
/// Number of tasks in a batch.
pub const BATCH_SIZE: u32 = 20;

/// The parameters of an installation. `None` leaves the setting out of the file.
#[derive(Clone, Debug)]
pub struct InstallationParams {
    /// Number of planner slots.
    pub planners: usize,
    /// Number of tenants, all with the same share.
    pub tenants: usize,
    /// Lease duration in milliseconds; the clock drift is a twenty-fifth of it.
    pub lease_ms: u64,
    /// Whether the file lists the regions.
    pub regions: bool,
    /// Heartbeat period in milliseconds.
    pub heartbeat_ms: Option<u64>,
    /// Number of planners whose subset each machine is in.
    pub planners_per_machine: Option<usize>,
    /// A planner's budget for control traffic, in bytes a second.
    pub control_bytes_per_s: Option<u64>,
}

impl InstallationParams {
    /// Renders the installation's file with voters (v0, v1, ...) at these addresses; without an
    /// address it has no voters.
    pub fn text(&self, voter_addresses: &[String]) -> String {
        let list = |items: Vec<String>| items.join(", ");
        let quoted = |zone: &&str| format!("{zone:?}");
        let framework = |framework: &Framework| {
            let load = &framework.load;
            let times = (load.latency_objective_us / 1000, load.limit_us / 1000);
            format!(
                "\t{{name: {:?}, {}, goal: {}ms, limit: {}ms, value: {}}},\n",
                load.name, framework.settings, times.0, times.1, load.value
            )
        };
        let frameworks: String = FRAMEWORKS.iter().map(framework).collect();
        let share = 1.0 / self.tenants.max(1) as f64;
        let tenant = |index| format!("{{name: \"tenant-{index}\", share: {share:.9}}}");
        let voters = voter_addresses
            .iter()
            .enumerate()
            .map(|(index, address)| format!("{{name: \"v{index}\", address: {address:?}}}"));
        let council = if voter_addresses.is_empty() {
            String::new()
        } else {
            let drift = (self.lease_ms / 25).max(1);
            format!(
                "council: {{term: {}ms, drift: {drift}ms, voters: [{}]}}\n",
                self.lease_ms,
                list(voters.collect())
            )
        };
        let mut text = format!(
            "zones: [{}]\nkinds: [{{name: \"std\", cores: 16, memory: 64GiB}}]\n\
             frameworks: [\n{frameworks}]\ntenants: [{}]\nplanners: {}\nmachines: yes: \"running\"\n{council}",
            list(zones().iter().map(quoted).collect()),
            list((0..self.tenants).map(tenant).collect()),
            self.planners,
        );
        if self.regions {
            let region = |region: &(&str, &[&str])| {
                format!("{{name: {:?}, zones: [{}]}}", region.0, list(region.1.iter().map(quoted).collect()))
            };
            text += &format!("regions: [{}]\n", list(REGIONS.iter().map(region).collect()));
        }
        if let Some(period_ms) = self.heartbeat_ms {
            text += &format!("heartbeat: {period_ms}ms\n");
        }
        if let Some(count) = self.planners_per_machine {
            text += &format!("parts: {{copies: {count}}}\n");
        }
        if let Some(bytes_per_s) = self.control_bytes_per_s {
            text += &format!("control: {{bytes_a_second: {bytes_per_s}}}\n");
        }
        text
    }
}

/// Renders an installation of one planner without voters, with a scenario (`day`) so that
/// `basaltpitch machine` can run its machines.
pub fn single_planner(machines: usize) -> String {
    let params = InstallationParams {
        planners: 1,
        tenants: 5,
        lease_ms: 0,
        regions: false,
        heartbeat_ms: None,
        planners_per_machine: None,
        control_bytes_per_s: None,
    };
    let zone = zones()[0];
    params.text(&[])
        + &format!(
            "day: {{length: 1s, machines: [{{kind: \"std\", zone: {zone:?}, count: {machines}}}], \
             tasks: [{{framework: \"small\", per_s: 1, cores: [1], memory: [2]}}]}}\n"
        )
}
