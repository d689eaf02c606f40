//! The files of an installation: their types, checks that types alone don't express, and how they flatten into
//! the dotted names that the placement module reads.
mod checks;
mod flatten;

use crate::{read, ConfigError, PlainValue, ResolvedValue, Sources, Span};
use std::path::Path;

const SCHEMA: &str = include_str!("schema.rec");
/// The definition in `schema.rec` that an installation is unified with.
const SCHEMA_DEFINITION: &str = "#Installation";
/// What a machine reports when an installation does not say: cores and memory that are not in use.
const DEFAULT_REPORTS: [&str; 2] = ["x0", "x1"];
/// The period of heartbeats when an installation does not say.
const DEFAULT_HEARTBEAT_US: i64 = 250_000;

/// A checked installation.
#[derive(Clone, Debug)]
pub struct Installation {
    /// The record that all files unify to.
    pub all: ResolvedValue,
    /// The texts that it was read from, to show locations in.
    pub sources: Sources,
}

/// A number or a text under a dotted name of the placement module.
#[derive(Clone, Debug, PartialEq)]
pub enum FlattenedValue {
    /// A number, a time in microseconds, or 1 and 0 for true and false.
    Number(f64),
    /// A text.
    Text(String),
}

/// One planner among those of an installation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlannerSlot {
    /// Its number, from 0.
    pub number: usize,
    /// How many planners there are.
    pub planners: usize,
    /// The name of its zone.
    pub zone: String,
}

/// Reads and checks files.
///
/// # Errors
/// All errors that were found, with the sources to show them in.
pub fn load(files: &[impl AsRef<Path>]) -> Result<Installation, (Sources, Vec<ConfigError>)> {
    let mut sources = Sources::default();
    sources.add("built-in types", SCHEMA);
    for file in files {
        let name = file.as_ref().display().to_string();
        match std::fs::read_to_string(file) {
            Ok(text) => sources.add(&name, &text),
            Err(error) => {
                let at = Span { file: sources.add(&name, ""), from: 0, to: 0 };
                let message = format!("cannot be read ({error}); expected a file of records");
                return Err((sources, vec![ConfigError::new(at, message)]));
            }
        };
    }
    read_sources(sources)
}

/// The same for texts with names.
///
/// # Errors
/// All errors that were found, with the sources to show them in.
pub fn load_texts(texts: &[(&str, &str)]) -> Result<Installation, (Sources, Vec<ConfigError>)> {
    let mut sources = Sources::default();
    sources.add("built-in types", SCHEMA);
    texts.iter().for_each(|(name, text)| {
        sources.add(name, text);
    });
    read_sources(sources)
}

fn read_sources(sources: Sources) -> Result<Installation, (Sources, Vec<ConfigError>)> {
    let all = match read(&sources, SCHEMA_DEFINITION) {
        Ok(all) => all,
        Err(errors) => return Err((sources, errors)),
    };
    let errors = checks::check(&all);
    if errors.is_empty() {
        Ok(Installation { all, sources })
    } else {
        Err((sources, errors))
    }
}

/// The text that an item of a list is, if it is one.
fn plain_text(item: &ResolvedValue) -> Option<&str> {
    match &item.value {
        PlainValue::Text(text) => Some(text),
        _ => None,
    }
}

/// The name of an item of a list: its field `name`, or the item itself.
fn item_name(item: &ResolvedValue) -> Option<&str> {
    item.text("name").or(plain_text(item))
}

impl Installation {
    /// Names of a list, in order: their places are the indices that the placement module uses.
    pub fn names(&self, list: &str) -> Vec<String> {
        let items = self.all.list(list).iter();
        items.filter_map(|item| item_name(item).map(str::to_owned)).collect()
    }

    /// Each region's name and zones, by their places among the zones; one region `all` where none is named.
    pub fn regions(&self) -> Vec<(String, Vec<usize>)> {
        let zones = self.names("zones");
        let read_region = |region: &ResolvedValue| {
            let index = |(name, _)| zones.iter().position(|zone| *zone == name);
            let indices = region.texts("zones").into_iter().filter_map(index).collect();
            (region.text("name").unwrap_or("").to_owned(), indices)
        };
        match self.all.list("regions") {
            [] => vec![("all".into(), (0..zones.len()).collect())],
            regions => regions.iter().map(read_region).collect(),
        }
    }

    /// The period of heartbeats, in microseconds.
    pub fn heartbeat_us(&self) -> i64 {
        self.all.duration_us("heartbeat").unwrap_or(DEFAULT_HEARTBEAT_US)
    }

    /// How many planners' subsets each machine is in; none: every planner works with the whole fleet.
    pub fn planners_per_machine(&self) -> Option<usize> {
        self.all.number("parts.copies").map(|count| count as usize)
    }

    /// Bytes a second that a planner may spend for control traffic; none: no budget is set.
    pub fn control_bytes_per_s(&self) -> Option<f64> {
        self.all.number("control.bytes_a_second")
    }

    /// The fields that machines report.
    pub fn reports(&self) -> Vec<String> {
        let named = self.names("machines.reports");
        if named.is_empty() {
            DEFAULT_REPORTS.iter().map(|&field| field.to_owned()).collect()
        } else {
            named
        }
    }
}
