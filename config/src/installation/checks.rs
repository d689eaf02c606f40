//! Checks of an installation that types cannot express.
use super::{item_name, plain_text};
use crate::{ConfigError, ResolvedValue, Span};
use std::collections::HashMap;

/// Fields that a machine's report can have.
const REPORT_FIELDS: [&str; 8] = ["x0", "x1", "active", "waiting", "cpu", "avg_ms", "rps", "err_rps"];

/// Returns all errors, in a fixed order.
pub(super) fn check(all: &ResolvedValue) -> Vec<ConfigError> {
    let mut errors = Vec::new();
    check_lists(all, &mut errors);
    check_regions(all, &mut errors);
    check_voters(all, &mut errors);
    check_frameworks(all, &mut errors);
    check_tenants(all, &mut errors);
    check_reports(all, &mut errors);
    if let Some(scenario) = all.get("day") {
        check_fault_scenario(scenario, all, &mut errors);
    }
    errors
}

/// Returns the location of a field, or of its record if the field is missing.
fn field_span(record: &ResolvedValue, field: &str) -> Span {
    record.get(field).map_or(record.at, |value| value.at)
}

fn check_lists(all: &ResolvedValue, errors: &mut Vec<ConfigError>) {
    for (list, item) in [("frameworks", "framework"), ("kinds", "kind of machine"), ("zones", "zone")] {
        if all.list(list).is_empty() {
            errors
                .push(ConfigError::new(all.at, format!("{list}: found none; expected at least one {item}")));
        }
        check_unique(all.list(list), list, errors);
    }
    check_unique(all.list("tenants"), "tenants", errors);
}

/// Checks that each zone is in exactly one region, if the installation names regions.
fn check_regions(all: &ResolvedValue, errors: &mut Vec<ConfigError>) {
    let regions = all.list("regions");
    check_unique(regions, "regions", errors);
    let zones = all.texts("zones");
    let mut first_mentions: HashMap<String, Span> = HashMap::new();
    for region in regions {
        let name = region.text("name").unwrap_or("");
        if region.list("zones").is_empty() {
            let message = format!("region {name}: found no zones; expected at least one");
            errors.push(ConfigError::new(region.at, message));
        }
        for (zone, at) in region.texts("zones") {
            if !zones.iter().any(|known| known.0 == zone) {
                let known: Vec<&str> = zones.iter().map(|known| known.0.as_str()).collect();
                let message =
                    format!("region {name}: found zone {zone:?}; expected one of {}", known.join(", "));
                errors.push(ConfigError::new(at, message));
            }
            if let Some(first) = first_mentions.insert(zone.clone(), at) {
                let message =
                    format!("region {name}: found zone {zone:?} twice; expected each zone in one region");
                errors.push(ConfigError::new(at, message).with_note(first, "first occurrence"));
            }
        }
    }
    let missing = |zone: &&(String, Span)| !regions.is_empty() && !first_mentions.contains_key(&zone.0);
    for (zone, at) in zones.iter().filter(missing) {
        let message = format!("zone {zone}: found in no region; expected in exactly one");
        errors.push(ConfigError::new(*at, message));
    }
}

/// Checks the voters, and that there are voters if planners use subsets of the machines.
fn check_voters(all: &ResolvedValue, errors: &mut Vec<ConfigError>) {
    if let (Some(subsets), None) = (all.get("parts"), all.get("council")) {
        let message = "parts: found without the record council; expected both, because slots need voters";
        errors.push(ConfigError::new(subsets.at, message));
    }
    let Some(voter_settings) = all.get("council") else { return };
    let voters = voter_settings.list("voters");
    check_unique(voters, "council.voters", errors);
    if ![1, 3, 5].contains(&voters.len()) {
        let message =
            format!("council.voters: found {} voters; expected 3 or 5, or 1 for a trial", voters.len());
        errors.push(ConfigError::new(voter_settings.at, message));
    }
    let duration_us = |field: &str| voter_settings.duration_us(field).unwrap_or(0);
    if 4 * duration_us("drift") > duration_us("term") {
        let message = format!(
            "council.drift: found {} us; expected at most a quarter of the lease duration (term) of {} us",
            duration_us("drift"),
            duration_us("term")
        );
        errors.push(ConfigError::new(field_span(voter_settings, "drift"), message));
    }
}

fn check_frameworks(all: &ResolvedValue, errors: &mut Vec<ConfigError>) {
    let connect_us = all.duration_us("launches.connect").unwrap_or(0);
    let kinds: Vec<&str> = all.list("kinds").iter().filter_map(|kind| kind.text("name")).collect();
    for framework in all.list("frameworks") {
        check_framework_times(framework, connect_us, errors);
        let name = framework.text("name").unwrap_or("");
        if let Some(kind) = framework.text("kind").filter(|kind| !kinds.contains(kind)) {
            let message = format!("{name}: found kind {kind:?}; expected one of {}", kinds.join(", "));
            errors.push(ConfigError::new(field_span(framework, "kind"), message));
        }
    }
}

/// Checks that the latency objective, time limit and deduplication window of a framework do not
/// contradict each other.
fn check_framework_times(framework: &ResolvedValue, connect_us: i64, errors: &mut Vec<ConfigError>) {
    let duration_us = |field: &str| framework.duration_us(field).unwrap_or(0);
    let span = |field: &str| field_span(framework, field);
    let name = framework.text("name").unwrap_or("");
    if duration_us("goal") > duration_us("limit") {
        let message = format!(
            "{name}: found a latency objective (goal) of {} us over the time limit; expected at most {} us",
            duration_us("goal"),
            duration_us("limit")
        );
        errors.push(
            ConfigError::new(span("goal"), message).with_note(span("limit"), "time limit declared here"),
        );
    }
    if duration_us("limit") <= 2 * connect_us {
        let message = format!(
            "{name}: found a time limit of {} us; expected over {} us, twice the connection timeout",
            duration_us("limit"),
            2 * connect_us
        );
        errors.push(ConfigError::new(span("limit"), message));
    }
    match framework.text("repeat") {
        Some("keyed") if duration_us("window") <= connect_us => {
            let message = format!(
                "{name}: found a window of {} us; expected over {connect_us} us, the connection timeout",
                duration_us("window")
            );
            errors.push(ConfigError::new(span("window"), message));
        }
        Some("repeatable" | "once-only") if duration_us("window") > 0 => {
            let message =
                format!("{name}: found a window; expected none, because only keyed tasks are deduplicated");
            let error = ConfigError::new(span("window"), message);
            errors.push(error.with_note(span("repeat"), "idempotency declared here"));
        }
        _ => {}
    }
}

fn check_tenants(all: &ResolvedValue, errors: &mut Vec<ConfigError>) {
    let tenants = all.list("tenants");
    if let (Some(directory), [first, ..]) = (all.get("directory"), tenants) {
        let message = "tenants: found a list beside a directory; expected only one of them";
        errors.push(ConfigError::new(first.at, message).with_note(directory.at, "directory declared here"));
    }
    let shares: f64 = tenants.iter().filter_map(|tenant| tenant.number("share")).sum();
    if !tenants.is_empty() && (shares - 1.0).abs() > 0.001 {
        let message = format!("tenants: found shares with the sum {shares}; expected 1");
        errors.push(ConfigError::new(field_span(all, "tenants"), message));
    }
}

fn check_reports(all: &ResolvedValue, errors: &mut Vec<ConfigError>) {
    for field in all.list("machines.reports") {
        if plain_text(field).is_none_or(|name| !REPORT_FIELDS.contains(&name)) {
            let message = format!(
                "found an unknown field of machine reports; expected one of {}",
                REPORT_FIELDS.join(", ")
            );
            errors.push(ConfigError::new(field.at, message));
        }
    }
}

/// Returns the names in a list to which the fault scenario can refer. Tenants are those of the
/// scenario's directory, if it has one.
fn known_names(all: &ResolvedValue, list: &str) -> Vec<String> {
    let from_directory = list == "tenants" && all.get("day.directory").is_some();
    let items = all.list(if from_directory { "day.directory.tenants" } else { list });
    items.iter().filter_map(|item| item_name(item).map(str::to_owned)).collect()
}

/// Checks that a field, if it is given, names an item of a list.
fn check_reference(
    all: &ResolvedValue,
    record: &ResolvedValue,
    field: &str,
    list: &str,
    errors: &mut Vec<ConfigError>,
) {
    let known = known_names(all, list);
    if let Some(name) = record.text(field).filter(|name| !known.iter().any(|item| item == name)) {
        let message = format!("found {name:?}; expected one of {list}: {}", known.join(", "));
        errors.push(ConfigError::new(field_span(record, field), message));
    }
}

/// Checks the references of the fault scenario and the sizes of its tasks.
fn check_fault_scenario(scenario: &ResolvedValue, all: &ResolvedValue, errors: &mut Vec<ConfigError>) {
    for machines in scenario.list("machines") {
        check_reference(all, machines, "kind", "kinds", errors);
        check_reference(all, machines, "zone", "zones", errors);
    }
    for task in scenario.list("tasks") {
        check_reference(all, task, "framework", "frameworks", errors);
        check_reference(all, task, "tenant", "tenants", errors);
    }
    for fault in scenario.list("troubles") {
        check_reference(all, fault, "zone", "zones", errors);
    }
    for list in ["machines", "tasks"] {
        if scenario.list(list).is_empty() {
            let message = format!("day.{list}: found none; expected at least one");
            errors.push(ConfigError::new(scenario.at, message));
        }
    }
    for task in scenario.list("tasks") {
        if task.list("cores").is_empty() || task.list("cores").len() != task.list("memory").len() {
            let message =
                "found lists of cores and memory that are empty or differ in length; expected one memory size for each number of cores";
            errors.push(ConfigError::new(task.at, message));
        }
    }
}

/// Checks that each name is in a list only once.
fn check_unique(items: &[ResolvedValue], list: &str, errors: &mut Vec<ConfigError>) {
    let mut first_mentions: HashMap<&str, Span> = HashMap::new();
    for item in items {
        let Some(name) = item_name(item) else { continue };
        let at = field_span(item, "name");
        if let Some(first) = first_mentions.insert(name, at) {
            let message = format!("{list}: found {name:?} twice; expected each name once");
            errors.push(ConfigError::new(at, message).with_note(first, "first occurrence"));
        }
    }
}
