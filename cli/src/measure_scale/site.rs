//! The installation of a scale run: its regions, zones, frameworks and tenants, as text.
use basaltpitch_testbed::scale::clients::FrameworkLoad;

/// Regions with their zones.
pub const REGIONS: [(&str, &[&str]); 3] = [
    ("east", &["east-1", "east-2", "east-3"]),
    ("west", &["west-1", "west-2"]),
    ("north", &["north-1", "north-2"]),
];

pub fn zones() -> Vec<&'static str> {
    REGIONS.iter().flat_map(|r| r.1.iter().copied()).collect()
}

pub fn region_of(zone: &str) -> &'static str {
    REGIONS.iter().find(|r| r.1.contains(&zone)).map_or("", |r| r.0)
}

pub fn first_zone(region: &str) -> &'static str {
    REGIONS.iter().find(|r| r.0 == region).map_or("", |r| r.1[0])
}

/// A framework: how it is asked for, and the rest of its settings.
pub struct Framework {
    pub asked: FrameworkLoad,
    pub settings: &'static str,
}

const fn asked(
    name: &'static str,
    part: f64,
    value: f64,
    ms: (i64, i64),
    cores: f64,
    memory: f64,
) -> FrameworkLoad {
    FrameworkLoad {
        name,
        part,
        value,
        latency_objective_us: ms.0 * 1000,
        limit_us: ms.1 * 1000,
        cores,
        memory,
    }
}

pub const FRAMEWORKS: [Framework; 4] = [
    Framework {
        asked: asked("urgent", 0.1, 5.0, (600, 6000), 1.0, 2.0),
        settings: "repeat: \"repeatable\", priority: 3",
    },
    Framework { asked: asked("small", 0.6, 1.0, (2000, 8000), 1.0, 2.0), settings: "repeat: \"repeatable\"" },
    Framework {
        asked: asked("batch", 0.2, 2.0, (5000, 9000), 2.0, 4.0),
        settings: "repeat: \"keyed\", group: \"zone\", window: 6s, priority: 1",
    },
    Framework {
        asked: asked("closing", 0.1, 3.0, (2000, 8000), 1.0, 2.0),
        settings: "repeat: \"once-only\", priority: 1",
    },
];

/// One request in so many is for so many tasks at once.
pub const ONE_IN: u32 = 20;
pub const MANY: u32 = 20;

/// What a run's installation depends on. What is none is left out of the text.
#[derive(Clone, Debug)]
pub struct InstallationParams {
    pub planners: usize,
    pub tenants: usize,
    pub term_ms: u64,
    pub regions: bool,
    pub heartbeat_ms: Option<u64>,
    pub copies: Option<usize>,
    pub bytes: Option<u64>,
}

impl InstallationParams {
    /// With these ways to the voters, v0 and so on; without any there is no council.
    pub fn text(&self, ways: &[String]) -> String {
        let list = |all: Vec<String>| all.join(", ");
        let quoted = |z: &&str| format!("{z:?}");
        let framework = |f: &Framework| {
            let a = &f.asked;
            let times = (a.latency_objective_us / 1000, a.limit_us / 1000);
            format!(
                "\t{{name: {:?}, {}, goal: {}ms, limit: {}ms, value: {}}},\n",
                a.name, f.settings, times.0, times.1, a.value
            )
        };
        let frameworks: String = FRAMEWORKS.iter().map(framework).collect();
        let share = 1.0 / self.tenants.max(1) as f64;
        let tenant = |n| format!("{{name: \"tenant-{n}\", share: {share:.9}}}");
        let voters = ways.iter().enumerate().map(|(n, a)| format!("{{name: \"v{n}\", address: {a:?}}}"));
        let council = if ways.is_empty() {
            String::new()
        } else {
            let drift = (self.term_ms / 25).max(1);
            format!(
                "council: {{term: {}ms, drift: {drift}ms, voters: [{}]}}\n",
                self.term_ms,
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
            let region = |r: &(&str, &[&str])| {
                format!("{{name: {:?}, zones: [{}]}}", r.0, list(r.1.iter().map(quoted).collect()))
            };
            text += &format!("regions: [{}]\n", list(REGIONS.iter().map(region).collect()));
        }
        if let Some(ms) = self.heartbeat_ms {
            text += &format!("heartbeat: {ms}ms\n");
        }
        if let Some(copies) = self.copies {
            text += &format!("parts: {{copies: {copies}}}\n");
        }
        if let Some(bytes) = self.bytes {
            text += &format!("control: {{bytes_a_second: {bytes}}}\n");
        }
        text
    }
}

/// An installation of one planner without a council, for stand-in machines too.
pub fn alone(machines: usize) -> String {
    let site = InstallationParams {
        planners: 1,
        tenants: 5,
        term_ms: 0,
        regions: false,
        heartbeat_ms: None,
        copies: None,
        bytes: None,
    };
    let zone = zones()[0];
    site.text(&[])
        + &format!(
            "day: {{length: 1s, machines: [{{kind: \"std\", zone: {zone:?}, count: {machines}}}], \
             tasks: [{{framework: \"small\", per_s: 1, cores: [1], memory: [2]}}]}}\n"
        )
}
