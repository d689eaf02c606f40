//! An installation's files: their types, what types alone don't find, and how they lay out into the dotted
//! names that the placing module reads.
use crate::{read, ConfigError, PlainValue, ResolvedValue, Sources, Span};
use std::collections::HashMap;
use std::path::Path;

const SCHEMA: &str = include_str!("schema.rec");
/// What a machine reports when an installation does not say: cores and memory that are not in use.
const USUAL_REPORTS: [&str; 2] = ["x0", "x1"];

/// A checked installation.
#[derive(Clone, Debug)]
pub struct Installation {
    pub all: ResolvedValue,
    /// The texts that it was read from, to show places in.
    pub sources: Sources,
}

/// Reads and checks files; all faults that were found, with the sources to show them in.
pub fn load(files: &[impl AsRef<Path>]) -> Result<Installation, (Sources, Vec<ConfigError>)> {
    let mut sources = Sources::default();
    sources.add("built-in types", SCHEMA);
    for file in files {
        let name = file.as_ref().display().to_string();
        match std::fs::read_to_string(file) {
            Ok(text) => sources.add(&name, &text),
            Err(e) => {
                let at = Span { file: sources.add(&name, ""), from: 0, to: 0 };
                return Err((
                    sources,
                    vec![ConfigError::new(at, format!("cannot be read ({e}); expected a file of records"))],
                ));
            }
        };
    }
    read_all(sources)
}

/// The same for texts with names.
pub fn load_texts(texts: &[(&str, &str)]) -> Result<Installation, (Sources, Vec<ConfigError>)> {
    let mut sources = Sources::default();
    sources.add("built-in types", SCHEMA);
    texts.iter().for_each(|(name, text)| {
        sources.add(name, text);
    });
    read_all(sources)
}

fn read_all(sources: Sources) -> Result<Installation, (Sources, Vec<ConfigError>)> {
    let all = match read(&sources, "#Installation") {
        Ok(all) => all,
        Err(faults) => return Err((sources, faults)),
    };
    let faults = check(&all);
    if faults.is_empty() {
        Ok(Installation { all, sources })
    } else {
        Err((sources, faults))
    }
}

/// What types alone don't find.
fn check(all: &ResolvedValue) -> Vec<ConfigError> {
    let mut faults = Vec::new();
    for (list, what) in [("frameworks", "framework"), ("kinds", "kind of machine"), ("zones", "zone")] {
        if all.list(list).is_empty() {
            faults
                .push(ConfigError::new(all.at, format!("{list}: found none; expected at least one {what}")));
        }
        unique(all.list(list), list, &mut faults);
    }
    unique(all.list("tenants"), "tenants", &mut faults);
    check_regions(all, &mut faults);
    if let (Some(parts), None) = (all.get("parts"), all.get("council")) {
        let what = "parts: found them without a council; expected one, as parts are dealt among its seats";
        faults.push(ConfigError::new(parts.at, what));
    }
    if let Some(council) = all.get("council") {
        let voters = council.list("voters");
        unique(voters, "council.voters", &mut faults);
        if ![1, 3, 5].contains(&voters.len()) {
            let what = format!("council.voters: found {}; expected 3 or 5, or 1 to try it", voters.len());
            faults.push(ConfigError::new(council.at, what));
        }
        let time = |field: &str| council.duration_us(field).unwrap_or(0);
        if 4 * time("drift") > time("term") {
            let what = format!(
                "council.drift: found {} us; expected at most a quarter of the term of {} us",
                time("drift"),
                time("term")
            );
            faults.push(ConfigError::new(council.get("drift").map_or(council.at, |x| x.at), what));
        }
    }
    let travel = all.duration_us("launches.connect").unwrap_or(0);
    let kinds: Vec<&str> = all.list("kinds").iter().filter_map(|k| k.text("name")).collect();
    let known = |list: &str| -> Vec<String> {
        let of_day = list == "tenants" && all.get("day.directory").is_some();
        all.list(if of_day { "day.directory.tenants" } else { list })
            .iter()
            .filter_map(|x| x.text("name").or(plain_text(x)).map(str::to_owned))
            .collect()
    };
    for f in all.list("frameworks") {
        let place = |field: &str| f.get(field).map_or(f.at, |x| x.at);
        let time = |field: &str| f.duration_us(field).unwrap_or(0);
        let name = f.text("name").unwrap_or("");
        if time("goal") > time("limit") {
            let what = format!(
                "{name}: found a latency goal of {} us over the time limit; expected at most {} us",
                time("goal"),
                time("limit")
            );
            faults.push(ConfigError::new(place("goal"), what).with_note(place("limit"), "the time limit"));
        }
        if time("limit") <= 2 * travel {
            let what = format!("{name}: found a time limit of {} us; expected over {} us, a connection's time there and back", time("limit"), 2 * travel);
            faults.push(ConfigError::new(place("limit"), what));
        }
        match f.text("repeat") {
            Some("keyed") if time("window") <= travel => {
                let what = format!("{name}: found a window of {} us; expected over {travel} us, the time that a connection may take", time("window"));
                faults.push(ConfigError::new(place("window"), what));
            }
            Some("repeatable" | "once-only") if time("window") > 0 => {
                let what =
                    format!("{name}: found a window; expected none, as only keyed tasks are known by a mark");
                faults.push(
                    ConfigError::new(place("window"), what)
                        .with_note(place("repeat"), "how often it may run"),
                );
            }
            _ => {}
        }
        if let Some(kind) = f.text("kind").filter(|k| !kinds.contains(k)) {
            let what = format!("{name}: found kind {kind:?}; expected one of {}", kinds.join(", "));
            faults.push(ConfigError::new(place("kind"), what));
        }
    }
    if let (Some(directory), [first, ..]) = (all.get("directory"), all.list("tenants")) {
        let what = "tenants: found a list beside a directory; expected one of them";
        faults.push(ConfigError::new(first.at, what).with_note(directory.at, "the directory"));
    }
    let shares: f64 = all.list("tenants").iter().filter_map(|t| t.number("share")).sum();
    if !all.list("tenants").is_empty() && (shares - 1.0).abs() > 0.001 {
        let at = all.get("tenants").map_or(all.at, |t| t.at);
        faults
            .push(ConfigError::new(at, format!("tenants: found shares that add up to {shares}; expected 1")));
    }
    let reports = ["x0", "x1", "active", "waiting", "cpu", "avg_ms", "rps", "err_rps"];
    for field in all.list("machines.reports") {
        if plain_text(field).is_none_or(|t| !reports.contains(&t)) {
            faults.push(ConfigError::new(
                field.at,
                format!("found no field of a report; expected one of {}", reports.join(", ")),
            ));
        }
    }
    if let Some(day) = all.get("day") {
        check_day(day, &known, &mut faults);
    }
    faults
}

/// Regions that are named hold each zone once.
fn check_regions(all: &ResolvedValue, faults: &mut Vec<ConfigError>) {
    let regions = all.list("regions");
    unique(regions, "regions", faults);
    let zones = all.texts("zones");
    let mut seen: HashMap<String, Span> = HashMap::new();
    for region in regions {
        let name = region.text("name").unwrap_or("");
        if region.list("zones").is_empty() {
            faults.push(ConfigError::new(
                region.at,
                format!("region {name}: found no zone; expected at least one"),
            ));
        }
        for (zone, at) in region.texts("zones") {
            if !zones.iter().any(|z| z.0 == zone) {
                let known: Vec<&str> = zones.iter().map(|z| z.0.as_str()).collect();
                let what =
                    format!("region {name}: found zone {zone:?}; expected one of {}", known.join(", "));
                faults.push(ConfigError::new(at, what));
            }
            if let Some(first) = seen.insert(zone.clone(), at) {
                let what =
                    format!("region {name}: found zone {zone:?} a second time; expected it in one region");
                faults.push(ConfigError::new(at, what).with_note(first, "the first"));
            }
        }
    }
    for (zone, at) in zones.iter().filter(|z| !regions.is_empty() && !seen.contains_key(&z.0)) {
        faults.push(ConfigError::new(*at, format!("zone {zone}: found it in no region; expected it in one")));
    }
}

fn check_day(day: &ResolvedValue, known: &impl Fn(&str) -> Vec<String>, faults: &mut Vec<ConfigError>) {
    let mut named = |of: &ResolvedValue, field: &str, list: &str| {
        if let Some(name) = of.text(field).filter(|n| !known(list).iter().any(|k| k == n)) {
            let at = of.get(field).map_or(of.at, |x| x.at);
            faults.push(ConfigError::new(
                at,
                format!("found {name:?}; expected one of {}: {}", list, known(list).join(", ")),
            ));
        }
    };
    for machines in day.list("machines") {
        named(machines, "kind", "kinds");
        named(machines, "zone", "zones");
    }
    for task in day.list("tasks") {
        named(task, "framework", "frameworks");
        named(task, "tenant", "tenants");
    }
    day.list("troubles").iter().for_each(|t| named(t, "zone", "zones"));
    for list in ["machines", "tasks"] {
        if day.list(list).is_empty() {
            faults.push(ConfigError::new(day.at, format!("day.{list}: found none; expected at least one")));
        }
    }
    for task in day.list("tasks") {
        if task.list("cores").is_empty() || task.list("cores").len() != task.list("memory").len() {
            let what = "found lists of cores and memory of different lengths or none; expected a size each"
                .to_string();
            faults.push(ConfigError::new(task.at, what));
        }
    }
}

fn unique(items: &[ResolvedValue], list: &str, faults: &mut Vec<ConfigError>) {
    let mut seen: HashMap<&str, Span> = HashMap::new();
    for item in items {
        let Some(name) = item.text("name").or(plain_text(item)) else { continue };
        let at = item.get("name").map_or(item.at, |n| n.at);
        if let Some(first) = seen.insert(name, at) {
            let what = format!("{list}: found {name:?} twice; expected each name once");
            faults.push(ConfigError::new(at, what).with_note(first, "the first"));
        }
    }
}

fn plain_text(item: &ResolvedValue) -> Option<&str> {
    match &item.value {
        PlainValue::Text(t) => Some(t),
        _ => None,
    }
}

/// A number or a text under a dotted name of the placing module.
#[derive(Clone, Debug, PartialEq)]
pub enum FlattenedValue {
    Number(f64),
    Text(String),
}

/// One planner among those of an installation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlannerSlot {
    pub number: usize,
    pub planners: usize,
    pub zone: String,
}

impl Installation {
    /// Names of a list, in order: their places are the indices that the placing module uses.
    pub fn names(&self, list: &str) -> Vec<String> {
        let items = self.all.list(list).iter();
        items.filter_map(|x| x.text("name").or(plain_text(x)).map(str::to_owned)).collect()
    }

    /// Each region's name and zones, by their places among the zones; one region `all` where none is named.
    pub fn regions(&self) -> Vec<(String, Vec<usize>)> {
        let zones = self.names("zones");
        let of = |region: &ResolvedValue| {
            let place = |(name, _)| zones.iter().position(|z| *z == name);
            let places = region.texts("zones").into_iter().filter_map(place).collect();
            (region.text("name").unwrap_or("").to_owned(), places)
        };
        match self.all.list("regions") {
            [] => vec![("all".into(), (0..zones.len()).collect())],
            regions => regions.iter().map(of).collect(),
        }
    }

    /// The period of heartbeats, in microseconds.
    pub fn heartbeat_us(&self) -> i64 {
        self.all.duration_us("heartbeat").unwrap_or(250_000)
    }

    /// In so many planners' parts is each machine; none: planners work the whole fleet.
    pub fn copies(&self) -> Option<usize> {
        self.all.number("parts.copies").map(|n| n as usize)
    }

    /// Bytes a second that a planner may spend for control; none: no budget is set.
    pub fn bytes_a_second(&self) -> Option<f64> {
        self.all.number("control.bytes_a_second")
    }

    pub fn reports(&self) -> Vec<String> {
        let named = self.names("machines.reports");
        if named.is_empty() {
            USUAL_REPORTS.iter().map(|&s| s.to_owned()).collect()
        } else {
            named
        }
    }

    /// The dotted names that the placing module reads, for one planner.
    pub fn flatten(&self, seat: &PlannerSlot) -> Vec<(String, FlattenedValue)> {
        let all = &self.all;
        let mut out: Vec<(String, FlattenedValue)> = Vec::new();
        let mut put = |name: String, laid: FlattenedValue| out.push((name, laid));
        let number = |x: &ResolvedValue, path: &str| {
            FlattenedValue::Number(match x.get(path).map(|s| &s.value) {
                Some(PlainValue::Number(n)) => *n,
                Some(PlainValue::DurationUs(us)) => *us as f64,
                Some(PlainValue::Boolean(b)) => f64::from(u8::from(*b)),
                _ => 0.0,
            })
        };
        let text =
            |x: &ResolvedValue, path: &str| FlattenedValue::Text(x.text(path).unwrap_or("").to_owned());
        let kinds = self.names("kinds");
        for (i, f) in all.list("frameworks").iter().enumerate() {
            let semantics = match f.text("repeat") {
                Some("repeatable") => "retryable",
                Some("keyed") => "dedup",
                _ => "fragile",
            };
            put(format!("classes.{i}.semantics"), FlattenedValue::Text(semantics.into()));
            for (to, from) in
                [("objectiveUs", "goal"), ("deadlineUs", "limit"), ("worth", "value"), ("windowUs", "window")]
            {
                put(format!("classes.{i}.{to}"), number(f, from));
            }
            for (to, from) in [("name", "name"), ("group", "group")] {
                put(format!("classes.{i}.{to}"), text(f, from));
            }
            put(format!("familyInfo.classSpread.{i}"), text(f, "spread"));
            let of = [
                ("mostTogether", "most"),
                ("priorityByClass", "priority"),
                ("calmLevel", "calm"),
                ("fadeSpan", "fade"),
            ];
            for (to, from) in of {
                put(format!("familyInfo.{to}.{i}"), number(f, from));
            }
            let kind = f.text("kind").and_then(|k| kinds.iter().position(|x| x == k));
            put(format!("familyInfo.classKind.{i}"), FlattenedValue::Number(kind.map_or(-1.0, |k| k as f64)));
        }
        for (k, kind) in all.list("kinds").iter().enumerate() {
            put(format!("machineTypes.{k}"), text(kind, "name"));
            put(format!("familyInfo.cpuOfKind.{k}"), number(kind, "cores"));
            put(format!("familyInfo.sizeMemory.{k}"), number(kind, "memory"));
        }
        for (list, to) in [("zones", "localities"), ("tenants", "tenants")] {
            for (i, name) in self.names(list).into_iter().enumerate() {
                let under = if list == "tenants" { format!("{to}.{i}.name") } else { format!("{to}.{i}") };
                put(under, FlattenedValue::Text(name));
            }
        }
        for (i, tenant) in all.list("tenants").iter().enumerate() {
            put(format!("tenants.{i}.share"), number(tenant, "share"));
        }
        for (i, field) in self.reports().into_iter().enumerate() {
            put(format!("stats.fields.{i}"), FlattenedValue::Text(field));
        }
        let plain = [
            ("familyInfo.admitCores", "machines.accept_cores"),
            ("familyInfo.admitMemory", "machines.accept_memory"),
            ("familyInfo.coldSends", "rules.cold_offers"),
            ("familyInfo.makeSureUs", "rules.settle"),
            ("rules.coldUs", "rules.cold"),
            ("rules.fallUs", "rules.cold_window"),
            ("rules.stopSendingWithinUs", "rules.drain_grace"),
            ("rules.graceToAnswerUs", "rules.answer_grace"),
            ("rules.askEveryUs", "register.ask_every"),
            ("permissions.attemptsCap", "launches.most"),
            ("permissions.connectTimeoutUs", "launches.connect"),
            ("permissions.probes", "launches.probes"),
            ("permissions.cancelling", "launches.cancel"),
            ("tariffs.crossZone", "prices.cross_zone"),
        ];
        plain.iter().for_each(|(to, from)| put((*to).into(), number(all, from)));
        // With parts the list is watched brief, which tells no room.
        let room = if self.copies().is_some() {
            FlattenedValue::Number(0.0)
        } else {
            number(all, "machines.lists_room")
        };
        put("familyInfo.view".into(), room);
        put("familyInfo.yesAt".into(), text(all, "machines.yes"));
        put("discovery".into(), text(all, "register.mode"));
        put("nInstances".into(), FlattenedValue::Number(seat.planners as f64));
        put("myNumber".into(), FlattenedValue::Number(seat.number as f64));
        put("myZone".into(), FlattenedValue::Text(seat.zone.clone()));
        out
    }
}
