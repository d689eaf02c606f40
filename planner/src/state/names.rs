//! The names in the installation's settings: frameworks, zones and kinds of machines. Each has an
//! index, which the placement module uses too.
use crate::settings_lists::numbered_texts;
use basaltpitch::host::{number, text, Settings};
use basaltpitch_ledger::Idempotency;

/// A framework in the installation's settings.
pub(super) struct Framework {
    pub(super) name: String,
    /// How often a task of this framework may run.
    pub(super) idempotency: Idempotency,
}

/// The names in the installation's settings, by index.
pub(super) struct InstallationNames {
    pub(super) frameworks: Vec<Framework>,
    pub(super) zones: Vec<String>,
    /// The kinds of machines.
    pub(super) kinds: Vec<String>,
    /// By kind of machine, its cores and memory.
    pub(super) sizes: Vec<(f64, f64)>,
    /// By framework, the only kind of machine that its tasks may run on; `None` if they may run on
    /// any.
    pub(super) required_kind: Vec<Option<usize>>,
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
            required_kind: (0..names.len()).map(bound_kind).collect(),
            frameworks: names.into_iter().enumerate().map(framework).collect(),
            zones: list(&|index| format!("localities.{index}")),
            kinds,
        }
    }

    pub(super) fn framework_index(&self, name: &str) -> Option<usize> {
        self.frameworks.iter().position(|framework| framework.name == name)
    }
}

/// Returns the index of a name in a list of names.
pub(super) fn index_of_name(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// Returns the name of an idempotency in frames and in answers to operators.
pub fn idempotency_text(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Repeatable => "repeatable",
        Idempotency::Keyed => "keyed",
        Idempotency::OnceOnly => "once-only",
    }
}
