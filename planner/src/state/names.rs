//! Names of the installation - frameworks, zones, kinds of machines - and their indices.
use crate::settings_lists::numbered_texts;
use basaltpitch::host::{number, text, Settings};
use basaltpitch_ledger::Idempotency;

/// A framework of the installation.
pub(super) struct Framework {
    pub(super) name: String,
    pub(super) idempotency: Idempotency,
}

/// Names of the installation; indices are those of the placement module.
pub(super) struct InstallationNames {
    pub(super) frameworks: Vec<Framework>,
    pub(super) zones: Vec<String>,
    /// Kinds of machines.
    pub(super) kinds: Vec<String>,
    /// Cores and memory of each kind of machine.
    pub(super) sizes: Vec<(f64, f64)>,
    /// By framework: the kind of machine that its tasks are bound to.
    pub(super) kind_of: Vec<Option<usize>>,
}

impl InstallationNames {
    pub(super) fn new(settings: &Settings) -> Self {
        let list = |setting: &dyn Fn(usize) -> String| numbered_texts(settings, setting);
        let idempotency = |index: usize| match text(settings, &format!("classes.{index}.semantics")) {
            "retryable" => Idempotency::Repeatable,
            "dedup" => Idempotency::Keyed,
            _ => Idempotency::OnceOnly,
        };
        let names = list(&|index| format!("classes.{index}.name"));
        let bound_kind = |index| {
            let kind = number(settings, &format!("familyInfo.classKind.{index}"));
            kind.filter(|kind| *kind >= 0.0).map(|kind| kind as usize)
        };
        let kinds = list(&|index| format!("machineTypes.{index}"));
        let of_kind = |setting: &str, index: usize| {
            number(settings, &format!("familyInfo.{setting}.{index}")).unwrap_or(0.0)
        };
        let size = |index| (of_kind("cpuOfKind", index), of_kind("sizeMemory", index));
        let framework = |(index, name): (usize, String)| Framework { name, idempotency: idempotency(index) };
        InstallationNames {
            sizes: (0..kinds.len()).map(size).collect(),
            kind_of: (0..names.len()).map(bound_kind).collect(),
            frameworks: names.into_iter().enumerate().map(framework).collect(),
            zones: list(&|index| format!("localities.{index}")),
            kinds,
        }
    }

    pub(super) fn framework_index(&self, name: &str) -> Option<usize> {
        self.frameworks.iter().position(|framework| framework.name == name)
    }
}

pub(super) fn index_of_name(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// How often a task may run, as frames and operators have it.
pub fn idempotency_text(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Repeatable => "repeatable",
        Idempotency::Keyed => "keyed",
        Idempotency::OnceOnly => "once-only",
    }
}
