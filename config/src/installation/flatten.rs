//! Conversion of an installation to the settings with dotted names that the placement module reads.
use super::{FlattenedValue, Installation, PlannerSlot};
use crate::{PlainValue, ResolvedValue};

/// Numeric settings of the placement module, each with the path of its field in the installation.
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

/// Numeric settings `classes.N.NAME`, each with the field of framework N.
const CLASS_NUMBERS: [(&str, &str); 4] =
    [("objectiveUs", "goal"), ("deadlineUs", "limit"), ("worth", "value"), ("windowUs", "window")];

/// Numeric settings `familyInfo.NAME.N`, each with the field of framework N.
const CLASS_FAMILY_NUMBERS: [(&str, &str); 4] =
    [("mostTogether", "most"), ("priorityByClass", "priority"), ("calmLevel", "calm"), ("fadeSpan", "fade")];

/// Settings with their names, in the order of insertion.
#[derive(Default)]
struct FlattenedSettings(Vec<(String, FlattenedValue)>);

impl FlattenedSettings {
    fn number(&mut self, name: impl Into<String>, number: f64) {
        self.0.push((name.into(), FlattenedValue::Number(number)));
    }

    fn text(&mut self, name: impl Into<String>, text: impl Into<String>) {
        self.0.push((name.into(), FlattenedValue::Text(text.into())));
    }

    /// Adds the number, duration in microseconds or boolean (1 or 0) of a field; 0 if the field has
    /// none.
    fn copy_number(&mut self, name: impl Into<String>, record: &ResolvedValue, path: &str) {
        let number = match record.get(path).map(|field| &field.value) {
            Some(PlainValue::Number(number)) => *number,
            Some(PlainValue::DurationUs(us)) => *us as f64,
            Some(PlainValue::Boolean(flag)) => f64::from(u8::from(*flag)),
            _ => 0.0,
        };
        self.number(name, number);
    }

    /// Adds the text of a field; empty if the field has none.
    fn copy_text(&mut self, name: impl Into<String>, record: &ResolvedValue, path: &str) {
        self.text(name, record.text(path).unwrap_or(""));
    }
}

impl Installation {
    /// Returns the settings of the placement module for one planner.
    pub fn flatten(&self, slot: &PlannerSlot) -> Vec<(String, FlattenedValue)> {
        let all = &self.all;
        let mut settings = FlattenedSettings::default();
        self.flatten_frameworks(&mut settings);
        self.flatten_lists(&mut settings);
        NUMBERS.iter().for_each(|(name, path)| settings.copy_number(*name, all, path));
        // Planners with subsets watch the machine list without changes of free capacity, so the
        // placement module must not rely on the capacity in the list.
        if self.planners_per_machine().is_some() {
            settings.number("familyInfo.view", 0.0);
        } else {
            settings.copy_number("familyInfo.view", all, "machines.lists_room");
        }
        settings.copy_text("familyInfo.yesAt", all, "machines.yes");
        settings.copy_text("discovery", all, "register.mode");
        settings.number("nInstances", slot.planners as f64);
        settings.number("myNumber", slot.number as f64);
        settings.text("myZone", slot.zone.clone());
        settings.0
    }

    fn flatten_frameworks(&self, settings: &mut FlattenedSettings) {
        let kinds = self.names("kinds");
        for (index, framework) in self.all.list("frameworks").iter().enumerate() {
            let semantics = match framework.text("repeat") {
                Some("repeatable") => "retryable",
                Some("keyed") => "dedup",
                _ => "fragile",
            };
            settings.text(format!("classes.{index}.semantics"), semantics);
            for (name, field) in CLASS_NUMBERS {
                settings.copy_number(format!("classes.{index}.{name}"), framework, field);
            }
            for name in ["name", "group"] {
                settings.copy_text(format!("classes.{index}.{name}"), framework, name);
            }
            settings.copy_text(format!("familyInfo.classSpread.{index}"), framework, "spread");
            for (name, field) in CLASS_FAMILY_NUMBERS {
                settings.copy_number(format!("familyInfo.{name}.{index}"), framework, field);
            }
            let kind = framework.text("kind").and_then(|kind| kinds.iter().position(|known| known == kind));
            settings.number(format!("familyInfo.classKind.{index}"), kind.map_or(-1.0, |kind| kind as f64));
        }
    }

    /// Adds the kinds of machine, zones, tenants and report fields.
    fn flatten_lists(&self, settings: &mut FlattenedSettings) {
        for (index, kind) in self.all.list("kinds").iter().enumerate() {
            settings.copy_text(format!("machineTypes.{index}"), kind, "name");
            settings.copy_number(format!("familyInfo.cpuOfKind.{index}"), kind, "cores");
            settings.copy_number(format!("familyInfo.sizeMemory.{index}"), kind, "memory");
        }
        for (index, zone) in self.names("zones").into_iter().enumerate() {
            settings.text(format!("localities.{index}"), zone);
        }
        for (index, tenant) in self.names("tenants").into_iter().enumerate() {
            settings.text(format!("tenants.{index}.name"), tenant);
        }
        for (index, tenant) in self.all.list("tenants").iter().enumerate() {
            settings.copy_number(format!("tenants.{index}.share"), tenant, "share");
        }
        for (index, field) in self.reports().into_iter().enumerate() {
            settings.text(format!("stats.fields.{index}"), field);
        }
    }
}
