//! Reads the constraints of an installation's configuration. Checks what the configuration schema
//! cannot express, and reports each error with the locations involved: undefined names, a rack in
//! an undefined zone, a spread without a limit, constraints that contradict each other, and a
//! constraint that another one implies.
use crate::{Constraint, MachineSelector, Rule, Scope, SpreadGrouping, TopologyLevel, UnavailableDomains};
use basaltpitch_config::{ConfigError, ResolvedValue};

/// Reads constraints from an installation's configuration and collects the errors.
struct Parser<'a> {
    configuration: &'a ResolvedValue,
    errors: Vec<ConfigError>,
}

impl Parser<'_> {
    /// Reports a name that the configuration's `list` does not define.
    fn check_defined(&mut self, list: &str, name: &str, at: basaltpitch_config::Span) {
        let names: Vec<String> = match list {
            "zones" => self.configuration.texts(list).into_iter().map(|x| x.0).collect(),
            _ => self
                .configuration
                .list(list)
                .iter()
                .filter_map(|x| x.text("name").map(str::to_owned))
                .collect(),
        };
        if !names.iter().any(|n| n == name) {
            let list = if list == "zones" { "halls (zones)" } else { list };
            let message = format!("found {name:?}; expected one of the {list}: {}", names.join(", "));
            self.errors.push(ConfigError::new(at, message));
        }
    }

    fn scope(&mut self, record: &ResolvedValue) -> Scope {
        if let Some(named) =
            record.get("framework").and_then(|field| Some((record.text("framework")?, field.at)))
        {
            self.check_defined("frameworks", named.0, named.1);
        }
        // With a tenant directory, the configuration defines no tenants to check against.
        let listed = !self.configuration.list("tenants").is_empty();
        if let Some(named) =
            record.get("tenant").filter(|_| listed).and_then(|field| Some((record.text("tenant")?, field.at)))
        {
            self.check_defined("tenants", named.0, named.1);
        }
        let text = |field: &str| record.text(field).map(str::to_owned);
        Scope {
            framework: text("framework"),
            tenant: text("tenant"),
            service: record.number("service").map(|n| n as u64),
            task: text("task").filter(|t| !t.is_empty()),
        }
    }

    fn selector(&mut self, record: &ResolvedValue) -> MachineSelector {
        for (list, names) in [("kinds", "kinds"), ("halls", "zones"), ("racks", "racks")] {
            for (name, at) in record.texts(list) {
                self.check_defined(names, &name, at);
            }
        }
        let texts = |list: &str| record.texts(list).into_iter().map(|x| x.0).collect::<Vec<_>>();
        let racks = self.configuration.list("racks").iter().filter(|rack| {
            let wanted = texts("racks");
            rack.text("name").is_some_and(|name| wanted.iter().any(|w| w == name))
        });
        let racks = racks.map(|rack| (rack.text("hall").unwrap_or("").to_owned(), number(rack, "cell")));
        let selector = MachineSelector {
            kinds: texts("kinds"),
            zones: texts("halls"),
            racks: racks.collect(),
            labels: texts("labels"),
        };
        if record.texts("racks").is_empty() && selector == MachineSelector::default() {
            let message = "found no kinds, halls, racks or labels; expected at least one";
            self.errors.push(ConfigError::new(record.at, message));
        }
        selector
    }

    fn rule(&mut self, record: &ResolvedValue, name: &str) -> Option<Rule> {
        let fields = ["in", "not_in", "with", "apart", "spread"];
        let given: Vec<&str> = fields.into_iter().filter(|field| record.get(field).is_some()).collect();
        let [field] = given[..] else {
            let message = format!(
                "{name}: found {}; expected one of in, not_in, with, apart, spread",
                if given.is_empty() { "none".to_owned() } else { given.join(" and ") }
            );
            self.errors.push(ConfigError::new(record.at, message));
            return None;
        };
        let rule = record.get(field)?;
        Some(match field {
            "in" => Rule::In(self.selector(rule)),
            "not_in" => Rule::NotIn(self.selector(rule)),
            "with" => Rule::With(self.scope(rule), level(rule, "within")),
            "apart" => Rule::Apart(self.scope(rule), level(rule, "within")),
            _ => {
                let count = |field: &str| rule.number(field).map(|n| n as u32);
                let (max, skew) = (count("most"), count("skew"));
                if max.is_none() && skew.is_none() {
                    let message =
                        format!("{name}: found a spread without a limit; expected most, skew or both");
                    self.errors.push(ConfigError::new(rule.at, message));
                }
                let by = if rule.text("by") == Some("all") {
                    SpreadGrouping::All
                } else {
                    SpreadGrouping::Service
                };
                let unavailable = if rule.text("gone") == Some("keeps") {
                    UnavailableDomains::Counted
                } else {
                    UnavailableDomains::Ignored
                };
                Rule::Spread { over: level(rule, "over"), by, max, skew, unavailable }
            }
        })
    }
}

fn number(record: &ResolvedValue, field: &str) -> u32 {
    record.number(field).unwrap_or(0.0) as u32
}

fn level(record: &ResolvedValue, field: &str) -> TopologyLevel {
    match record.text(field) {
        Some("machine") => TopologyLevel::Machine,
        Some("rack") => TopologyLevel::Rack,
        _ => TopologyLevel::Zone,
    }
}

/// Reads the constraints of an installation's configuration, in the order of its files. Returns all
/// errors found, and checks constraints against each other only if each is valid by itself.
pub fn parse(configuration: &ResolvedValue) -> Result<Vec<Constraint>, Vec<ConfigError>> {
    let mut parser = Parser { configuration, errors: Vec::new() };
    for rack in configuration.list("racks") {
        let (name, zone) = (rack.text("name").unwrap_or(""), rack.text("hall").unwrap_or(""));
        if !configuration.texts("zones").iter().any(|z| z.0 == zone) {
            let zones: Vec<String> = configuration.texts("zones").into_iter().map(|x| x.0).collect();
            let at = rack.get("hall").map_or(rack.at, |field| field.at);
            let message = format!("rack {name}: found hall {zone:?}; expected one of {}", zones.join(", "));
            parser.errors.push(ConfigError::new(at, message));
        }
    }
    let mut constraints = Vec::new();
    for record in configuration.list("clauses") {
        let name = record.text("name").unwrap_or("").to_owned();
        let scope = record.get("of").map(|field| parser.scope(field)).unwrap_or_default();
        let preference_rank = (record.text("how") == Some("prefer")).then(|| number(record, "rank"));
        let Some(rule) = parser.rule(record, &name) else { continue };
        constraints.push(Constraint { name, at: record.at, scope, preference_rank, rule });
    }
    let mut errors = parser.errors;
    if errors.is_empty() {
        errors = inconsistencies(&constraints);
    }
    if errors.is_empty() {
        Ok(constraints)
    } else {
        Err(errors)
    }
}

/// Finds constraints that share a name, that no machine can satisfy together, or that are
/// redundant.
fn inconsistencies(constraints: &[Constraint]) -> Vec<ConfigError> {
    let mut errors = Vec::new();
    for (i, a) in constraints.iter().enumerate() {
        for b in &constraints[..i] {
            if a.name == b.name {
                let message = format!("clauses: found {:?} twice; expected each name once", a.name);
                errors.push(ConfigError::new(a.at, message).with_note(b.at, "first defined here"));
            }
            // The check is not symmetric: it compares the constraint with the narrower scope to the
            // one with the wider scope.
            for (a, b) in [(a, b), (b, a)] {
                if a.is_hard() && b.is_hard() && b.scope.covers(&a.scope) {
                    if let Some(contradiction) = contradiction(&a.rule, &b.rule, a) {
                        let message = format!(
                            "{}: found {contradiction}; expected constraints that can hold together",
                            a.name
                        );
                        errors.push(
                            ConfigError::new(a.at, message)
                                .with_note(b.at, format!("{}, which applies to the same tasks", b.name)),
                        );
                        break;
                    }
                    if implies(b, a) {
                        let message = format!(
                            "{}: found a constraint that another implies; expected one that restricts more",
                            a.name
                        );
                        errors.push(ConfigError::new(a.at, message).with_note(
                            b.at,
                            format!("{}, which restricts all these tasks at least as much", b.name),
                        ));
                        break;
                    }
                }
            }
        }
    }
    errors.extend(affinity_cycles(constraints));
    errors
}

fn disjoint(a: &[String], b: &[String]) -> bool {
    !a.is_empty() && !b.is_empty() && !a.iter().any(|x| b.contains(x))
}

/// Says why no machine of any fleet satisfies both rules for a task; `None` if one could. `of` is
/// the constraint of rule `a`, which has the narrower scope.
fn contradiction(a: &Rule, b: &Rule, of: &Constraint) -> Option<String> {
    match (a, b) {
        (Rule::In(a), Rule::In(b)) if disjoint(&a.kinds, &b.kinds) => {
            Some("kinds that have no member in common".into())
        }
        (Rule::In(a), Rule::In(b)) if disjoint(&a.zones, &b.zones) => {
            Some("halls that have no member in common".into())
        }
        (Rule::In(a), Rule::In(b))
            if !a.racks.is_empty() && !b.racks.is_empty() && !a.racks.iter().any(|r| b.racks.contains(r)) =>
        {
            Some("racks that have no member in common".into())
        }
        (Rule::In(a), Rule::NotIn(b)) | (Rule::NotIn(b), Rule::In(a)) if within(a, b) => {
            Some("machines that are both required and excluded".into())
        }
        (Rule::With(a, near), Rule::Apart(b, far)) | (Rule::Apart(b, far), Rule::With(a, near))
            if b.covers(a) && far >= near =>
        {
            Some("tasks that its tasks must run both with and apart from".into())
        }
        (Rule::With(a, near), Rule::Spread { over, max: Some(1), by: SpreadGrouping::All, .. })
        | (Rule::Spread { over, max: Some(1), by: SpreadGrouping::All, .. }, Rule::With(a, near))
            if of.scope.covers(a) && over >= near =>
        {
            Some("tasks that its tasks must run with, in domains limited to one task".into())
        }
        _ => None,
    }
}

/// Returns whether `b` selects every machine that `a` selects.
fn within(a: &MachineSelector, b: &MachineSelector) -> bool {
    let is_subset =
        |a: &[String], b: &[String]| b.is_empty() || (!a.is_empty() && a.iter().all(|x| b.contains(x)));
    let racks = b.racks.is_empty() || (!a.racks.is_empty() && a.racks.iter().all(|r| b.racks.contains(r)));
    is_subset(&a.kinds, &b.kinds) && is_subset(&a.zones, &b.zones) && is_subset(&a.labels, &b.labels) && racks
}

/// Returns whether the second constraint allows whatever the first allows, so that it is redundant.
fn implies(first: &Constraint, second: &Constraint) -> bool {
    match (&first.rule, &second.rule) {
        (Rule::In(a), Rule::In(b)) => within(a, b),
        (Rule::NotIn(a), Rule::NotIn(b)) => within(b, a),
        (Rule::With(a, near), Rule::With(b, far)) => b.covers(a) && far >= near && a.covers(b),
        (Rule::Apart(a, far), Rule::Apart(b, near)) => a.covers(b) && far >= near,
        (
            Rule::Spread { over: o, by: b, max: m, skew: s, unavailable: g },
            Rule::Spread { over, by, max, skew, unavailable },
        ) => {
            let tighter = |a: &Option<u32>, b: &Option<u32>| b.is_none() || (a.is_some() && a <= b);
            // Counting more tasks makes a maximum stricter, but changes a skew in either direction.
            // Skews are comparable only for equal scopes.
            let comparable = first.scope == second.scope || skew.is_none();
            (o, b, g) == (over, by, unavailable) && tighter(m, max) && tighter(s, skew) && comparable
        }
        _ => false,
    }
}

/// Finds cycles of hard affinities in which each task needs another to be placed first, so that
/// none of them can ever be placed.
fn affinity_cycles(constraints: &[Constraint]) -> Vec<ConfigError> {
    let dependencies: Vec<(&Constraint, &Scope)> = constraints
        .iter()
        .filter(|c| c.is_hard())
        .filter_map(|c| match &c.rule {
            // Tasks that are in the affinity's own scope may be placed first.
            Rule::With(other, _) if !other.covers(&c.scope) => Some((c, other)),
            _ => None,
        })
        .collect();
    let mut errors = Vec::new();
    for (i, &(first, _)) in dependencies.iter().enumerate() {
        // Follows constraints that apply to all tasks which the constraint before depends on.
        let (mut path, mut at) = (vec![i], i);
        while let Some(next) = dependencies.iter().position(|d| d.0.scope.covers(dependencies[at].1)) {
            if let Some(begin) = path.iter().position(|&d| d == next) {
                // Each cycle is reported once, at its first constraint in the files.
                if path[begin..].iter().min() == Some(&i) && begin == 0 {
                    let names: Vec<&str> = path.iter().map(|&d| dependencies[d].0.name.as_str()).collect();
                    let message = format!(
                        "{}: found a cycle of affinities ({}); expected at least one of them to allow its tasks to be placed first",
                        first.name,
                        names.join(", ")
                    );
                    let last = dependencies[*path.last().unwrap_or(&i)].0;
                    errors.push(ConfigError::new(first.at, message).with_note(last.at, last.name.clone()));
                }
                break;
            }
            path.push(next);
            at = next;
        }
    }
    errors
}
