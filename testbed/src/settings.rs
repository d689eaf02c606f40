//! Reads the settings of an installation and of its fault scenario for the simulated peers and the
//! checker. The names of the settings are those of `.rec` files.
use crate::context::TestbedContext;
use crate::fault_scenario::LoadModifiers;
use crate::machine::MachineBehaviour;
use crate::task_usage;
use basaltpitch_agent::link::Clock;
use basaltpitch_config::installation::Installation;
use basaltpitch_config::ResolvedValue;
use basaltpitch_invariants::placement::{PlacementInvariant, PlacementRequirement, TaskSelector};
use basaltpitch_invariants::{Framework, InvariantChecker, InvariantConfig};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// Time within which frames on two sockets may be observed out of order, in microseconds.
const REORDER_TOLERANCE_US: i64 = 250_000;

/// Returns the checker's configuration for an installation.
pub(crate) fn invariant_config(all: &ResolvedValue) -> InvariantConfig {
    let time = |path: &str| all.duration_us(path).unwrap_or(0);
    let framework = |settings: &ResolvedValue| Framework {
        idempotency: settings.text("repeat").unwrap_or("").to_owned(),
        group: settings.text("group").unwrap_or("all").to_owned(),
        window_us: settings.duration_us("window").unwrap_or(0),
        spread: settings.text("spread").unwrap_or("none").to_owned(),
        max_together: settings.number("most").unwrap_or(1.0) as usize,
        priority_weight: settings.number("value").unwrap_or(1.0),
        latency_objective_us: settings.duration_us("goal").unwrap_or(0),
    };
    let named = |settings: &ResolvedValue| (name_of(settings), framework(settings));
    InvariantConfig {
        answer_grace_us: time("rules.answer_grace"),
        drain_grace_us: time("rules.drain_grace"),
        warm_up_us: time("rules.cold"),
        offer_window_us: time("rules.cold_window"),
        max_offers: all.number("rules.cold_offers").unwrap_or(1.0) as usize,
        reorder_tolerance_us: REORDER_TOLERANCE_US,
        frameworks: all.list("frameworks").iter().map(named).collect(),
    }
}

/// Returns the checker's configuration for the text of an installation.
///
/// # Panics
///
/// Panics if the text is not a valid installation.
pub fn invariant_config_of(text: &str) -> InvariantConfig {
    let site = basaltpitch_config::installation::load_texts(&[("site.rec", text)]);
    invariant_config(&site.map_err(|e| e.1).expect("a valid installation").all)
}

/// Returns the setting `name`, which is empty if it is not set.
fn name_of(settings: &ResolvedValue) -> String {
    settings.text("name").unwrap_or("").to_owned()
}

/// Returns the behaviour of machines and clients in an installation.
fn behaviour(all: &ResolvedValue, scenario: &ResolvedValue) -> MachineBehaviour {
    let by_framework = |field: &str| -> HashMap<String, String> {
        let of = |f: &ResolvedValue| Some((f.text("name")?.to_owned(), f.text(field)?.to_owned()));
        all.list("frameworks").iter().filter_map(of).collect()
    };
    let priority = |f: &ResolvedValue| (name_of(f), f.number("priority").unwrap_or(0.0) as i64);
    let count = |path: &str| scenario.number(path).unwrap_or(1.0) as usize;
    MachineBehaviour {
        offer_check_us: scenario.duration_us("look").unwrap_or(3_000),
        start_us: scenario.duration_us("start").unwrap_or(30_000),
        uncached_start_factor: scenario.number("cold_start").unwrap_or(8.0),
        concurrent_starts: count("starts"),
        max_queue: count("line"),
        cached_programs: count("keeps"),
        accept_cores: all.number("machines.accept_cores").unwrap_or(2.0),
        accept_memory: all.number("machines.accept_memory").unwrap_or(1.5),
        accepts_when_running: all.text("machines.yes") == Some("running"),
        warm_up_us: all.duration_us("rules.cold").unwrap_or(0),
        max_warm_up_offers: all.number("rules.cold_offers").unwrap_or(1.0) as usize,
        offer_window_us: all.duration_us("rules.cold_window").unwrap_or(1),
        report_every_us: 200_000,
        kinds: by_framework("kind"),
        groups: by_framework("group"),
        priorities: all.list("frameworks").iter().map(priority).collect(),
        // A slot can be without a planner for three lease durations, and clients connect every 100
        // ms: they try for that time before they change to another planner.
        client_connect_attempts: 8 + scenario.duration_us("seats.term").map_or(0, |term| 3 * term / 100_000)
            as u32,
        updater: scenario
            .get("updater")
            .map(|u| (u.duration_us("most").unwrap_or(0), u.duration_us("away").unwrap_or(0))),
    }
}

/// Returns a list of texts in the settings.
pub(crate) fn texts(of: &ResolvedValue, list: &str) -> Vec<String> {
    of.texts(list).into_iter().map(|text| text.0).collect()
}

/// Returns the hard constraints that a drill checks, except limits on the skew of a spread. They
/// are read from the settings, independently of the planner's own code.
pub(crate) fn placement_invariants(all: &ResolvedValue) -> Vec<PlacementInvariant> {
    let hard = all.list("clauses").iter().filter(|clause| clause.text("how") != Some("prefer"));
    hard.filter_map(placement_invariant).collect()
}

/// Returns which tasks a constraint applies to; without settings, all tasks.
fn task_selector(settings: Option<&ResolvedValue>) -> TaskSelector {
    let text = |field: &str| settings.and_then(|s| s.text(field)).unwrap_or("").to_owned();
    let service = settings.and_then(|s| s.number("service")).map(|n| n as u64);
    TaskSelector { framework: text("framework"), tenant: text("tenant"), service, task: text("task") }
}

/// Returns the invariant for a constraint; `None` for a spread without a limit per domain.
fn placement_invariant(clause: &ResolvedValue) -> Option<PlacementInvariant> {
    let place = |settings: &ResolvedValue, field: &str| settings.text(field).unwrap_or("hall").to_owned();
    let on_machines = |settings: &ResolvedValue, inside| PlacementRequirement::OnMachines {
        kinds: texts(settings, "kinds"),
        zones: texts(settings, "halls"),
        labels: texts(settings, "labels"),
        inside,
    };
    let requirement = if let Some(settings) = clause.get("in") {
        on_machines(settings, true)
    } else if let Some(settings) = clause.get("not_in") {
        on_machines(settings, false)
    } else if let Some(settings) = clause.get("with") {
        let with = task_selector(Some(settings));
        PlacementRequirement::Together { with, within: place(settings, "within") }
    } else if let Some(settings) = clause.get("apart") {
        let from = task_selector(Some(settings));
        PlacementRequirement::Apart { from, within: place(settings, "within") }
    } else {
        let settings = clause.get("spread")?;
        let by_service = settings.text("by") != Some("all");
        let most = settings.number("most")? as usize;
        PlacementRequirement::AtMost { within: place(settings, "over"), by_service, most }
    };
    Some(PlacementInvariant { name: name_of(clause), tasks: task_selector(clause.get("of")), requirement })
}

/// Returns the cores and memory of a kind of machine.
pub(crate) fn size_of(all: &ResolvedValue, kind: &str) -> (f64, f64) {
    let sized = all.list("kinds").iter().find(|k| k.text("name") == Some(kind));
    sized.map_or((1.0, 1.0), |k| (k.number("cores").unwrap_or(1.0), k.number("memory").unwrap_or(1.0)))
}

/// Returns the state that all simulated peers of an installation share.
pub fn context(installation: &Installation, load: Rc<LoadModifiers>) -> Rc<TestbedContext> {
    let all = &installation.all;
    Rc::new(TestbedContext {
        clock: Clock::start(),
        checker: RefCell::new(InvariantChecker::new(invariant_config(all))),
        behaviour: behaviour(all, all.get("day").unwrap_or(all)),
        active_keyed: RefCell::new(HashMap::new()),
        usage: RefCell::new(task_usage::task_usage(installation, load)),
        directory: RefCell::new(None),
    })
}
