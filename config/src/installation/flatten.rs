//! Flattens an installation into the dotted names that the placement module reads.
use super::{FlattenedValue, Installation, PlannerSlot};
use crate::{PlainValue, ResolvedValue};

/// Names of the placement module, each with the field of the files that gives its number.
const NUMBERS: [(&str, &str); 14] = [
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

/// The same under `classes.N`, from fields of the framework.
const CLASS_NUMBERS: [(&str, &str); 4] =
    [("objectiveUs", "goal"), ("deadlineUs", "limit"), ("worth", "value"), ("windowUs", "window")];

/// The same under `familyInfo`, each with the framework's number behind.
const CLASS_FAMILY_NUMBERS: [(&str, &str); 4] =
    [("mostTogether", "most"), ("priorityByClass", "priority"), ("calmLevel", "calm"), ("fadeSpan", "fade")];

/// Names and values, in the order in which they were put.
#[derive(Default)]
struct Output(Vec<(String, FlattenedValue)>);

impl Output {
    fn number(&mut self, name: impl Into<String>, number: f64) {
        self.0.push((name.into(), FlattenedValue::Number(number)));
    }

    fn text(&mut self, name: impl Into<String>, text: impl Into<String>) {
        self.0.push((name.into(), FlattenedValue::Text(text.into())));
    }

    /// A number, a time in microseconds or a mark of a record; 0 where it is none of these.
    fn number_of(&mut self, name: impl Into<String>, record: &ResolvedValue, path: &str) {
        let number = match record.get(path).map(|field| &field.value) {
            Some(PlainValue::Number(number)) => *number,
            Some(PlainValue::DurationUs(us)) => *us as f64,
            Some(PlainValue::Boolean(mark)) => f64::from(u8::from(*mark)),
            _ => 0.0,
        };
        self.number(name, number);
    }

    /// A text of a record; empty where it is none.
    fn text_of(&mut self, name: impl Into<String>, record: &ResolvedValue, path: &str) {
        self.text(name, record.text(path).unwrap_or(""));
    }
}

impl Installation {
    /// The dotted names that the placement module reads, for one planner.
    pub fn flatten(&self, slot: &PlannerSlot) -> Vec<(String, FlattenedValue)> {
        let all = &self.all;
        let mut output = Output::default();
        self.flatten_frameworks(&mut output);
        self.flatten_lists(&mut output);
        NUMBERS.iter().for_each(|(name, path)| output.number_of(*name, all, path));
        // With subsets the machine list is watched brief, which tells no capacity.
        if self.planners_per_machine().is_some() {
            output.number("familyInfo.view", 0.0);
        } else {
            output.number_of("familyInfo.view", all, "machines.lists_room");
        }
        output.text_of("familyInfo.yesAt", all, "machines.yes");
        output.text_of("discovery", all, "register.mode");
        output.number("nInstances", slot.planners as f64);
        output.number("myNumber", slot.number as f64);
        output.text("myZone", slot.zone.clone());
        output.0
    }

    fn flatten_frameworks(&self, output: &mut Output) {
        let kinds = self.names("kinds");
        for (index, framework) in self.all.list("frameworks").iter().enumerate() {
            let semantics = match framework.text("repeat") {
                Some("repeatable") => "retryable",
                Some("keyed") => "dedup",
                _ => "fragile",
            };
            output.text(format!("classes.{index}.semantics"), semantics);
            for (name, field) in CLASS_NUMBERS {
                output.number_of(format!("classes.{index}.{name}"), framework, field);
            }
            for name in ["name", "group"] {
                output.text_of(format!("classes.{index}.{name}"), framework, name);
            }
            output.text_of(format!("familyInfo.classSpread.{index}"), framework, "spread");
            for (name, field) in CLASS_FAMILY_NUMBERS {
                output.number_of(format!("familyInfo.{name}.{index}"), framework, field);
            }
            let kind = framework.text("kind").and_then(|kind| kinds.iter().position(|known| known == kind));
            output.number(format!("familyInfo.classKind.{index}"), kind.map_or(-1.0, |kind| kind as f64));
        }
    }

    /// Kinds of machine, zones, tenants and the fields of reports.
    fn flatten_lists(&self, output: &mut Output) {
        for (index, kind) in self.all.list("kinds").iter().enumerate() {
            output.text_of(format!("machineTypes.{index}"), kind, "name");
            output.number_of(format!("familyInfo.cpuOfKind.{index}"), kind, "cores");
            output.number_of(format!("familyInfo.sizeMemory.{index}"), kind, "memory");
        }
        for (index, zone) in self.names("zones").into_iter().enumerate() {
            output.text(format!("localities.{index}"), zone);
        }
        for (index, tenant) in self.names("tenants").into_iter().enumerate() {
            output.text(format!("tenants.{index}.name"), tenant);
        }
        for (index, tenant) in self.all.list("tenants").iter().enumerate() {
            output.number_of(format!("tenants.{index}.share"), tenant, "share");
        }
        for (index, field) in self.reports().into_iter().enumerate() {
            output.text(format!("stats.fields.{index}"), field);
        }
    }
}
