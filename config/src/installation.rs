//! The configuration of an installation: its types, checks that types cannot express, and the
//! conversion to the settings with dotted names that the placement module reads.
mod checks;
mod flatten;

use crate::{read, ConfigError, PlainValue, ResolvedValue, Sources, Span};
use std::path::Path;

/// Types of an installation.
const SCHEMA: &str = include_str!("schema.rec");
/// Definition in `schema.rec` with which an installation is unified.
const SCHEMA_DEFINITION: &str = "#Installation";
/// Fields of a machine's report if the installation names none: free cores and free memory.
const DEFAULT_REPORTS: [&str; 2] = ["x0", "x1"];
/// Heartbeat period if the installation sets none.
const DEFAULT_HEARTBEAT_US: i64 = 250_000;

/// Configuration of an installation, after all checks.
#[derive(Clone, Debug)]
pub struct Installation {
    /// Record that results from unifying all files.
    pub all: ResolvedValue,
    /// Files from which the record was read, to render locations of errors.
    pub sources: Sources,
}

/// Value of a setting of the placement module.
#[derive(Clone, Debug, PartialEq)]
pub enum FlattenedValue {
    /// Number, duration in microseconds, or 1 and 0 for true and false.
    Number(f64),
    /// Text.
    Text(String),
}

/// Slot of a planner in an installation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlannerSlot {
    /// Index of the slot, from 0.
    pub number: usize,
    /// Number of planners.
    pub planners: usize,
    /// Name of the planner's zone.
    pub zone: String,
}

/// Reads and checks the files of an installation.
///
/// # Errors
/// Returns all errors found, with the sources to render them.
pub fn load(files: &[impl AsRef<Path>]) -> Result<Installation, (Sources, Vec<ConfigError>)> {
    let mut sources = Sources::default();
    sources.add("built-in types", SCHEMA);
    for file in files {
        let name = file.as_ref().display().to_string();
        match std::fs::read_to_string(file) {
            Ok(text) => sources.add(&name, &text),
            Err(error) => {
                let at = Span { file: sources.add(&name, ""), from: 0, to: 0 };
                let message = format!("the file cannot be read ({error}); expected a configuration file");
                return Err((sources, vec![ConfigError::new(at, message)]));
            }
        };
    }
    read_sources(sources)
}

/// Reads and checks an installation from texts with file names.
///
/// # Errors
/// Returns all errors found, with the sources to render them.
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

/// Returns the text of a list item; `None` if the item is not a text.
fn plain_text(item: &ResolvedValue) -> Option<&str> {
    match &item.value {
        PlainValue::Text(text) => Some(text),
        _ => None,
    }
}

/// Returns the name of a list item: its field `name`, or the item itself if it is a text.
fn item_name(item: &ResolvedValue) -> Option<&str> {
    item.text("name").or(plain_text(item))
}

impl Installation {
    /// Returns the names of the items of a list, in order. Their positions are the indexes that the
    /// placement module uses.
    pub fn names(&self, list: &str) -> Vec<String> {
        let items = self.all.list(list).iter();
        items.filter_map(|item| item_name(item).map(str::to_owned)).collect()
    }

    /// Returns the name of each region and the indexes of its zones; one region `all` with every
    /// zone if the installation names none.
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

    /// Returns the heartbeat period in microseconds.
    pub fn heartbeat_us(&self) -> i64 {
        self.all.duration_us("heartbeat").unwrap_or(DEFAULT_HEARTBEAT_US)
    }

    /// Returns the number of planners whose subsets contain a given machine. `None`: every planner
    /// uses the whole fleet.
    pub fn planners_per_machine(&self) -> Option<usize> {
        self.all.number("parts.copies").map(|count| count as usize)
    }

    /// Returns the budget of a planner for control traffic in bytes per second. `None`: no limit.
    pub fn control_bytes_per_s(&self) -> Option<f64> {
        self.all.number("control.bytes_a_second")
    }

    /// Returns the names of the fields that machines report.
    pub fn reports(&self) -> Vec<String> {
        let named = self.names("machines.reports");
        if named.is_empty() {
            DEFAULT_REPORTS.iter().map(|&field| field.to_owned()).collect()
        } else {
            named
        }
    }
}
