//! What is wrong with an installation although each value fits its type.
use super::{item_name, plain_text};
use crate::{ConfigError, ResolvedValue, Span};
use std::collections::HashMap;

/// Fields of a report that a machine may be asked for.
const REPORT_FIELDS: [&str; 8] = ["x0", "x1", "active", "waiting", "cpu", "avg_ms", "rps", "err_rps"];

/// All that is wrong, in a fixed order.
pub(super) fn check(all: &ResolvedValue) -> Vec<ConfigError> {
    let mut errors = Vec::new();
    check_lists(all, &mut errors);
    check_regions(all, &mut errors);
    check_council(all, &mut errors);
    check_frameworks(all, &mut errors);
    check_tenants(all, &mut errors);
    check_reports(all, &mut errors);
    if let Some(day) = all.get("day") {
        check_day(day, all, &mut errors);
    }
    errors
}

/// The location of a field, or of its record where the field is not given.
fn field_span(record: &ResolvedValue, field: &str) -> Span {
    record.get(field).map_or(record.at, |value| value.at)
}

fn check_lists(all: &ResolvedValue, errors: &mut Vec<ConfigError>) {
    for (list, what) in [("frameworks", "framework"), ("kinds", "kind of machine"), ("zones", "zone")] {
        if all.list(list).is_empty() {
            errors
                .push(ConfigError::new(all.at, format!("{list}: found none; expected at least one {what}")));
        }
        check_unique(all.list(list), list, errors);
    }
    check_unique(all.list("tenants"), "tenants", errors);
}

/// Regions that are named hold each zone once.
fn check_regions(all: &ResolvedValue, errors: &mut Vec<ConfigError>) {
    let regions = all.list("regions");
    check_unique(regions, "regions", errors);
    let zones = all.texts("zones");
    let mut first_mentions: HashMap<String, Span> = HashMap::new();
    for region in regions {
        let name = region.text("name").unwrap_or("");
        if region.list("zones").is_empty() {
            let message = format!("region {name}: found no zone; expected at least one");
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
                    format!("region {name}: found zone {zone:?} a second time; expected it in one region");
                errors.push(ConfigError::new(at, message).with_note(first, "the first"));
            }
        }
    }
    let missing = |zone: &&(String, Span)| !regions.is_empty() && !first_mentions.contains_key(&zone.0);
    for (zone, at) in zones.iter().filter(missing) {
        let message = format!("zone {zone}: found it in no region; expected it in one");
        errors.push(ConfigError::new(*at, message));
    }
}

/// The voters, and what needs them.
fn check_council(all: &ResolvedValue, errors: &mut Vec<ConfigError>) {
    if let (Some(subsets), None) = (all.get("parts"), all.get("council")) {
        let message = "parts: found them without a council; expected one, as parts are dealt among its seats";
        errors.push(ConfigError::new(subsets.at, message));
    }
    let Some(council) = all.get("council") else { return };
    let voters = council.list("voters");
    check_unique(voters, "council.voters", errors);
    if ![1, 3, 5].contains(&voters.len()) {
        let message = format!("council.voters: found {}; expected 3 or 5, or 1 to try it", voters.len());
        errors.push(ConfigError::new(council.at, message));
    }
    let duration_us = |field: &str| council.duration_us(field).unwrap_or(0);
    if 4 * duration_us("drift") > duration_us("term") {
        let message = format!(
            "council.drift: found {} us; expected at most a quarter of the term of {} us",
            duration_us("drift"),
            duration_us("term")
        );
        errors.push(ConfigError::new(field_span(council, "drift"), message));
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

/// The objective, the limit and the deduplication window of a framework must make sense together.
fn check_framework_times(framework: &ResolvedValue, connect_us: i64, errors: &mut Vec<ConfigError>) {
    let duration_us = |field: &str| framework.duration_us(field).unwrap_or(0);
    let span = |field: &str| field_span(framework, field);
    let name = framework.text("name").unwrap_or("");
    if duration_us("goal") > duration_us("limit") {
        let message = format!(
            "{name}: found a latency goal of {} us over the time limit; expected at most {} us",
            duration_us("goal"),
            duration_us("limit")
        );
        errors.push(ConfigError::new(span("goal"), message).with_note(span("limit"), "the time limit"));
    }
    if duration_us("limit") <= 2 * connect_us {
        let message = format!(
            "{name}: found a time limit of {} us; expected over {} us, a connection's time there and back",
            duration_us("limit"),
            2 * connect_us
        );
        errors.push(ConfigError::new(span("limit"), message));
    }
    match framework.text("repeat") {
        Some("keyed") if duration_us("window") <= connect_us => {
            let message = format!(
                "{name}: found a window of {} us; expected over {connect_us} us, the time that a connection may take",
                duration_us("window")
            );
            errors.push(ConfigError::new(span("window"), message));
        }
        Some("repeatable" | "once-only") if duration_us("window") > 0 => {
            let message =
                format!("{name}: found a window; expected none, as only keyed tasks are known by a mark");
            let error = ConfigError::new(span("window"), message);
            errors.push(error.with_note(span("repeat"), "how often it may run"));
        }
        _ => {}
    }
}

fn check_tenants(all: &ResolvedValue, errors: &mut Vec<ConfigError>) {
    let tenants = all.list("tenants");
    if let (Some(directory), [first, ..]) = (all.get("directory"), tenants) {
        let message = "tenants: found a list beside a directory; expected one of them";
        errors.push(ConfigError::new(first.at, message).with_note(directory.at, "the directory"));
    }
    let shares: f64 = tenants.iter().filter_map(|tenant| tenant.number("share")).sum();
    if !tenants.is_empty() && (shares - 1.0).abs() > 0.001 {
        let message = format!("tenants: found shares that add up to {shares}; expected 1");
        errors.push(ConfigError::new(field_span(all, "tenants"), message));
    }
}

fn check_reports(all: &ResolvedValue, errors: &mut Vec<ConfigError>) {
    for field in all.list("machines.reports") {
        if plain_text(field).is_none_or(|name| !REPORT_FIELDS.contains(&name)) {
            let message = format!("found no field of a report; expected one of {}", REPORT_FIELDS.join(", "));
            errors.push(ConfigError::new(field.at, message));
        }
    }
}

/// The names that a day may refer to; its directory may bring the tenants.
fn known_names(all: &ResolvedValue, list: &str) -> Vec<String> {
    let from_directory = list == "tenants" && all.get("day.directory").is_some();
    let items = all.list(if from_directory { "day.directory.tenants" } else { list });
    items.iter().filter_map(|item| item_name(item).map(str::to_owned)).collect()
}

/// A field that is given names an item of a list.
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

/// The fault scenario: what it refers to, and sizes of its tasks.
fn check_day(day: &ResolvedValue, all: &ResolvedValue, errors: &mut Vec<ConfigError>) {
    for machines in day.list("machines") {
        check_reference(all, machines, "kind", "kinds", errors);
        check_reference(all, machines, "zone", "zones", errors);
    }
    for task in day.list("tasks") {
        check_reference(all, task, "framework", "frameworks", errors);
        check_reference(all, task, "tenant", "tenants", errors);
    }
    for fault in day.list("troubles") {
        check_reference(all, fault, "zone", "zones", errors);
    }
    for list in ["machines", "tasks"] {
        if day.list(list).is_empty() {
            let message = format!("day.{list}: found none; expected at least one");
            errors.push(ConfigError::new(day.at, message));
        }
    }
    for task in day.list("tasks") {
        if task.list("cores").is_empty() || task.list("cores").len() != task.list("memory").len() {
            let message =
                "found lists of cores and memory of different lengths or none; expected a size each";
            errors.push(ConfigError::new(task.at, message));
        }
    }
}

/// Each name is in a list once.
fn check_unique(items: &[ResolvedValue], list: &str, errors: &mut Vec<ConfigError>) {
    let mut first_mentions: HashMap<&str, Span> = HashMap::new();
    for item in items {
        let Some(name) = item_name(item) else { continue };
        let at = field_span(item, "name");
        if let Some(first) = first_mentions.insert(name, at) {
            let message = format!("{list}: found {name:?} twice; expected each name once");
            errors.push(ConfigError::new(at, message).with_note(first, "the first"));
        }
    }
}
