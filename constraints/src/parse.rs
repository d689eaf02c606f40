//! Takes clauses out of an installation's records. What types alone do not find is found here, with both
//! places: names that stand for nothing, a rack of no hall, a spread of nothing, clauses that can never hold
//! together, and one that another swallows.
use crate::{Constraint, MachineSelector, Rule, Scope, SpreadGrouping, TopologyLevel, UnavailableDomains};
use basaltpitch_config::{ConfigError, ResolvedValue};

/// Reads an installation's constraints, and keeps what is wrong with them.
struct Parser<'a> {
    all: &'a ResolvedValue,
    faults: Vec<ConfigError>,
}

impl Parser<'_> {
    fn named(&mut self, list: &str, name: &str, at: basaltpitch_config::Span) {
        let names: Vec<String> = match list {
            "zones" => self.all.texts(list).into_iter().map(|x| x.0).collect(),
            _ => self.all.list(list).iter().filter_map(|x| x.text("name").map(str::to_owned)).collect(),
        };
        if !names.iter().any(|n| n == name) {
            let list = if list == "zones" { "halls (zones)" } else { list };
            let what = format!("found {name:?}; expected one of the {list}: {}", names.join(", "));
            self.faults.push(ConfigError::new(at, what));
        }
    }

    fn scope(&mut self, s: &ResolvedValue) -> Scope {
        if let Some(f) = s.get("framework").and_then(|f| Some((s.text("framework")?, f.at))) {
            self.named("frameworks", f.0, f.1);
        }
        // With a directory, tenants are not known before it is heard.
        let listed = !self.all.list("tenants").is_empty();
        if let Some(t) = s.get("tenant").filter(|_| listed).and_then(|t| Some((s.text("tenant")?, t.at))) {
            self.named("tenants", t.0, t.1);
        }
        let text = |field: &str| s.text(field).map(str::to_owned);
        Scope {
            framework: text("framework"),
            tenant: text("tenant"),
            service: s.number("service").map(|n| n as u64),
            task: text("task").filter(|t| !t.is_empty()),
        }
    }

    fn selector(&mut self, w: &ResolvedValue) -> MachineSelector {
        for (list, names) in [("kinds", "kinds"), ("halls", "zones"), ("racks", "racks")] {
            for (name, at) in w.texts(list) {
                self.named(names, &name, at);
            }
        }
        let plain = |list: &str| w.texts(list).into_iter().map(|x| x.0).collect::<Vec<_>>();
        let racks = self.all.list("racks").iter().filter(|r| {
            let wanted = plain("racks");
            r.text("name").is_some_and(|n| wanted.iter().any(|w| w == n))
        });
        let racks = racks.map(|r| (r.text("hall").unwrap_or("").to_owned(), number(r, "cell")));
        let selector = MachineSelector {
            kinds: plain("kinds"),
            zones: plain("halls"),
            racks: racks.collect(),
            labels: plain("labels"),
        };
        if w.texts("racks").is_empty() && selector == MachineSelector::default() {
            let what = "found no kinds, halls, racks or labels; expected at least one";
            self.faults.push(ConfigError::new(w.at, what));
        }
        selector
    }

    fn rule(&mut self, c: &ResolvedValue, name: &str) -> Option<Rule> {
        let of = ["in", "not_in", "with", "apart", "spread"];
        let given: Vec<&str> = of.into_iter().filter(|f| c.get(f).is_some()).collect();
        let [one] = given[..] else {
            let what = format!(
                "{name}: found {}; expected one of in, not_in, with, apart, spread",
                if given.is_empty() { "none".to_owned() } else { given.join(" and ") }
            );
            self.faults.push(ConfigError::new(c.at, what));
            return None;
        };
        let rule = c.get(one)?;
        Some(match one {
            "in" => Rule::In(self.selector(rule)),
            "not_in" => Rule::NotIn(self.selector(rule)),
            "with" => Rule::With(self.scope(rule), level(rule, "within")),
            "apart" => Rule::Apart(self.scope(rule), level(rule, "within")),
            _ => {
                let count = |field: &str| rule.number(field).map(|n| n as u32);
                let (most, skew) = (count("most"), count("skew"));
                if most.is_none() && skew.is_none() {
                    let what = format!("{name}: found a spread of nothing; expected most, skew or both");
                    self.faults.push(ConfigError::new(rule.at, what));
                }
                let by = if rule.text("by") == Some("all") {
                    SpreadGrouping::All
                } else {
                    SpreadGrouping::Service
                };
                let gone = if rule.text("gone") == Some("keeps") {
                    UnavailableDomains::Counted
                } else {
                    UnavailableDomains::Ignored
                };
                Rule::Spread { over: level(rule, "over"), by, most, skew, gone }
            }
        })
    }
}

fn number(of: &ResolvedValue, field: &str) -> u32 {
    of.number(field).unwrap_or(0.0) as u32
}

fn level(of: &ResolvedValue, field: &str) -> TopologyLevel {
    match of.text(field) {
        Some("machine") => TopologyLevel::Machine,
        Some("rack") => TopologyLevel::Rack,
        _ => TopologyLevel::Zone,
    }
}

/// The clauses of an installation, in the order of its files, or all that is wrong with them.
pub fn parse(all: &ResolvedValue) -> Result<Vec<Constraint>, Vec<ConfigError>> {
    let mut parser = Parser { all, faults: Vec::new() };
    for rack in all.list("racks") {
        let (name, zone) = (rack.text("name").unwrap_or(""), rack.text("hall").unwrap_or(""));
        if !all.texts("zones").iter().any(|z| z.0 == zone) {
            let zones: Vec<String> = all.texts("zones").into_iter().map(|x| x.0).collect();
            let at = rack.get("hall").map_or(rack.at, |h| h.at);
            let what = format!("rack {name}: found hall {zone:?}; expected one of {}", zones.join(", "));
            parser.faults.push(ConfigError::new(at, what));
        }
    }
    let mut clauses = Vec::new();
    for c in all.list("clauses") {
        let name = c.text("name").unwrap_or("").to_owned();
        let of = c.get("of").map(|s| parser.scope(s)).unwrap_or_default();
        let preference_rank = (c.text("how") == Some("prefer")).then(|| number(c, "rank"));
        let Some(rule) = parser.rule(c, &name) else { continue };
        clauses.push(Constraint { name, at: c.at, of, preference_rank, rule });
    }
    let mut faults = parser.faults;
    if faults.is_empty() {
        faults = nonsense(&clauses);
    }
    if faults.is_empty() {
        Ok(clauses)
    } else {
        Err(faults)
    }
}

/// Clauses that can never hold, alone or together, or that another makes needless.
fn nonsense(clauses: &[Constraint]) -> Vec<ConfigError> {
    let mut faults = Vec::new();
    for (i, a) in clauses.iter().enumerate() {
        for b in &clauses[..i] {
            if a.name == b.name {
                let what = format!("clauses: found {:?} twice; expected each name once", a.name);
                faults.push(ConfigError::new(a.at, what).with_note(b.at, "the first"));
            }
            // Either may be the one that covers the other.
            for (a, b) in [(a, b), (b, a)] {
                if a.is_hard() && b.is_hard() && b.of.covers(&a.of) {
                    if let Some(why) = never(&a.rule, &b.rule, a) {
                        let what =
                            format!("{}: found {why}; expected clauses that can hold together", a.name);
                        faults.push(
                            ConfigError::new(a.at, what)
                                .with_note(b.at, format!("{}, which binds the same tasks", b.name)),
                        );
                        break;
                    }
                    if swallows(b, a) {
                        let what = format!(
                            "{}: found a clause that another swallows; expected one that says more",
                            a.name
                        );
                        faults.push(
                            ConfigError::new(a.at, what).with_note(
                                b.at,
                                format!("{}, which says as much of all these tasks", b.name),
                            ),
                        );
                        break;
                    }
                }
            }
        }
    }
    faults.extend(circles(clauses));
    faults
}

fn disjoint(a: &[String], b: &[String]) -> bool {
    !a.is_empty() && !b.is_empty() && !a.iter().any(|x| b.contains(x))
}

/// Why a task that both bind can be nowhere, whatever the fleet.
fn never(a: &Rule, b: &Rule, of: &Constraint) -> Option<String> {
    match (a, b) {
        (Rule::In(a), Rule::In(b)) if disjoint(&a.kinds, &b.kinds) => {
            Some("kinds of which none is in both".into())
        }
        (Rule::In(a), Rule::In(b)) if disjoint(&a.zones, &b.zones) => {
            Some("halls of which none is in both".into())
        }
        (Rule::In(a), Rule::In(b))
            if !a.racks.is_empty() && !b.racks.is_empty() && !a.racks.iter().any(|r| b.racks.contains(r)) =>
        {
            Some("racks of which none is in both".into())
        }
        (Rule::In(a), Rule::NotIn(b)) | (Rule::NotIn(b), Rule::In(a)) if within(a, b) => {
            Some("machines that are wanted and not wanted".into())
        }
        (Rule::With(a, near), Rule::Apart(b, far)) | (Rule::Apart(b, far), Rule::With(a, near))
            if b.covers(a) && far >= near =>
        {
            Some("tasks that it must be with and apart from".into())
        }
        (Rule::With(a, near), Rule::Spread { over, most: Some(1), by: SpreadGrouping::All, .. })
        | (Rule::Spread { over, most: Some(1), by: SpreadGrouping::All, .. }, Rule::With(a, near))
            if of.of.covers(a) && over >= near =>
        {
            Some("tasks that it must be with, and a place for one".into())
        }
        _ => None,
    }
}

/// Every machine that `a` names is named by `b`.
fn within(a: &MachineSelector, b: &MachineSelector) -> bool {
    let part =
        |a: &[String], b: &[String]| b.is_empty() || (!a.is_empty() && a.iter().all(|x| b.contains(x)));
    let racks = b.racks.is_empty() || (!a.racks.is_empty() && a.racks.iter().all(|r| b.racks.contains(r)));
    part(&a.kinds, &b.kinds) && part(&a.zones, &b.zones) && part(&a.labels, &b.labels) && racks
}

/// Whatever the first allows, the second allows.
fn swallows(first: &Constraint, second: &Constraint) -> bool {
    match (&first.rule, &second.rule) {
        (Rule::In(a), Rule::In(b)) => within(a, b),
        (Rule::NotIn(a), Rule::NotIn(b)) => within(b, a),
        (Rule::With(a, near), Rule::With(b, far)) => b.covers(a) && far >= near && a.covers(b),
        (Rule::Apart(a, far), Rule::Apart(b, near)) => a.covers(b) && far >= near,
        (
            Rule::Spread { over: o, by: b, most: m, skew: s, gone: g },
            Rule::Spread { over, by, most, skew, gone },
        ) => {
            let tighter = |a: &Option<u32>, b: &Option<u32>| b.is_none() || (a.is_some() && a <= b);
            // More tasks in a count make a most tighter, and a skew another thing.
            let alike = first.of == second.of || skew.is_none();
            (o, b, g) == (over, by, gone) && tighter(m, most) && tighter(s, skew) && alike
        }
        _ => false,
    }
}

/// Tasks that must each be with others which must be with them, when none may begin.
fn circles(clauses: &[Constraint]) -> Vec<ConfigError> {
    let waits: Vec<(&Constraint, &Scope)> = clauses
        .iter()
        .filter(|c| c.is_hard())
        .filter_map(|c| match &c.rule {
            // A task of the same kind may begin.
            Rule::With(other, _) if !other.covers(&c.of) => Some((c, other)),
            _ => None,
        })
        .collect();
    let mut faults = Vec::new();
    for (i, &(first, _)) in waits.iter().enumerate() {
        // Along clauses that bind all of the tasks that the one before waits for.
        let (mut way, mut at) = (vec![i], i);
        while let Some(next) = waits.iter().position(|w| w.0.of.covers(waits[at].1)) {
            if let Some(begin) = way.iter().position(|&w| w == next) {
                // Each circle is said once, at its first clause.
                if way[begin..].iter().min() == Some(&i) && begin == 0 {
                    let names: Vec<&str> = way.iter().map(|&w| waits[w].0.name.as_str()).collect();
                    let what = format!(
                        "{}: found tasks that wait for each other ({}); expected one that may begin",
                        first.name,
                        names.join(", ")
                    );
                    let last = waits[*way.last().unwrap_or(&i)].0;
                    faults.push(ConfigError::new(first.at, what).with_note(last.at, last.name.clone()));
                }
                break;
            }
            way.push(next);
            at = next;
        }
    }
    faults
}
