//! Configuration language of typed records, similar to CUE: values, types and bounds share one
//! syntax, and several files are unified into one record. Every error names the file and line, what
//! was found and what was expected, and for a conflict the location of the other side.
//!
//! - `syntax`: parser
//! - `unify`: unification of values and types
//! - `installation`: types and checks of installations and fault scenarios, and their conversion to
//!   settings of the placement module
pub mod installation;
mod syntax;
mod unify;

use indexmap::IndexMap;
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};
use std::fmt;
use std::rc::Rc;

/// Range of bytes in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct Span {
    /// Index of the file among the sources.
    pub file: usize,
    /// Offset of the first byte.
    pub from: usize,
    /// Offset after the last byte.
    pub to: usize,
}

/// Names and texts of the files that are unified, in order.
#[derive(Clone, Debug, Default)]
pub struct Sources(Vec<(String, Rc<str>)>);

impl Sources {
    /// Adds a text under a name. Returns its index, which is the `file` of its spans.
    pub fn add(&mut self, name: &str, text: &str) -> usize {
        self.0.push((name.to_owned(), text.into()));
        self.0.len() - 1
    }

    /// Returns the name of the file and the line and column of the first byte of a span, both
    /// counted from 1.
    pub fn location(&self, at: Span) -> (String, usize, usize) {
        let (name, text) = &self.0[at.file];
        let before = &text[..at.from.min(text.len())];
        let line = before.matches('\n').count() + 1;
        (name.clone(), line, before.len() - before.rfind('\n').map_or(0, |newline| newline + 1) + 1)
    }

    fn named(&self, at: Span) -> NamedSource<String> {
        let (name, text) = &self.0[at.file];
        NamedSource::new(name, text.to_string())
    }
}

/// Error in the files of a configuration.
#[derive(Clone, Debug)]
pub struct ConfigError {
    /// Description of the error.
    pub message: String,
    /// Location of the error.
    pub at: Span,
    /// Related location, with a description; `None` if there is none.
    pub note: Option<(Span, String)>,
}

impl ConfigError {
    /// Returns an error at a location.
    pub fn new(at: Span, message: impl Into<String>) -> Self {
        ConfigError { message: message.into(), at, note: None }
    }

    /// Adds a related location with its description.
    pub fn with_note(mut self, at: Span, note: impl Into<String>) -> Self {
        self.note = Some((at, note.into()));
        self
    }

    /// Renders the error and its note on one line each: `file:line:column: message`.
    pub fn render(&self, sources: &Sources) -> String {
        let (file, line, column) = sources.location(self.at);
        let mut text = format!("{file}:{line}:{column}: {}", self.message);
        if let Some((at, note)) = &self.note {
            let (file, line, column) = sources.location(*at);
            text += &format!("\n  {file}:{line}:{column}: {note}");
        }
        text
    }

    /// Returns a report that also shows the source lines around the locations.
    pub fn report(&self, sources: &Sources) -> miette::Report {
        let labelled = |at: Span, message: &str| LabelledSource {
            message: message.to_owned(),
            location: sources.location(at),
            source: sources.named(at),
            label: LabeledSpan::underline(at.from..at.to.max(at.from + 1)),
            related: None,
        };
        let mut main = labelled(self.at, &self.message);
        main.related = self.note.as_ref().map(|(at, note)| Box::new(labelled(*at, note)));
        miette::Report::new(main)
    }
}

/// Message with its source location, in the form that `miette` prints.
#[derive(Debug)]
struct LabelledSource {
    message: String,
    location: (String, usize, usize),
    source: NamedSource<String>,
    label: LabeledSpan,
    related: Option<Box<LabelledSource>>,
}

impl fmt::Display for LabelledSource {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.location.0, self.location.1, self.message)
    }
}

impl std::error::Error for LabelledSource {}

impl Diagnostic for LabelledSource {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(std::iter::once(self.label.clone())))
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        let related = self.related.as_deref()?;
        Some(Box::new(std::iter::once(related as &dyn Diagnostic)))
    }
}

/// Concrete value with its location, after defaults were applied.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedValue {
    /// Location at which the value is written.
    pub at: Span,
    /// The value itself.
    pub value: PlainValue,
}

/// Concrete value without a location.
#[derive(Clone, Debug, PartialEq)]
pub enum PlainValue {
    /// Boolean.
    Boolean(bool),
    /// Number, with its unit applied: sizes of memory are in GiB, percentages are fractions of 1.
    Number(f64),
    /// Duration in whole microseconds.
    DurationUs(i64),
    /// Text.
    Text(String),
    /// List of items, in order.
    List(Vec<ResolvedValue>),
    /// Record: fields by name, in order.
    Record(IndexMap<String, ResolvedValue>),
}

impl ResolvedValue {
    /// Returns the value at a path of field names separated by dots.
    pub fn get(&self, path: &str) -> Option<&ResolvedValue> {
        path.split('.').try_fold(self, |record, name| match &record.value {
            PlainValue::Record(fields) => fields.get(name),
            _ => None,
        })
    }

    /// Returns the number at a path; `None` if there is none.
    pub fn number(&self, path: &str) -> Option<f64> {
        match self.get(path)?.value {
            PlainValue::Number(number) => Some(number),
            _ => None,
        }
    }

    /// Returns the duration at a path in microseconds; `None` if there is none.
    pub fn duration_us(&self, path: &str) -> Option<i64> {
        match self.get(path)?.value {
            PlainValue::DurationUs(us) => Some(us),
            _ => None,
        }
    }

    /// Returns the text at a path; `None` if there is none.
    pub fn text(&self, path: &str) -> Option<&str> {
        match &self.get(path)?.value {
            PlainValue::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns the boolean at a path; `None` if there is none.
    pub fn boolean(&self, path: &str) -> Option<bool> {
        match self.get(path)?.value {
            PlainValue::Boolean(value) => Some(value),
            _ => None,
        }
    }

    /// Returns the items of the list at a path; empty if there is none.
    pub fn list(&self, path: &str) -> &[ResolvedValue] {
        match self.get(path).map(|found| &found.value) {
            Some(PlainValue::List(items)) => items,
            _ => &[],
        }
    }

    /// Returns the texts in the list at a path, with their locations.
    pub fn texts(&self, path: &str) -> Vec<(String, Span)> {
        let text = |item: &ResolvedValue| match &item.value {
            PlainValue::Text(text) => Some((text.clone(), item.at)),
            _ => None,
        };
        self.list(path).iter().filter_map(text).collect()
    }

    /// Returns the fields of a record, in order; empty if the value is not a record.
    pub fn fields(&self) -> impl Iterator<Item = (&String, &ResolvedValue)> {
        let fields = match &self.value {
            PlainValue::Record(fields) => Some(fields),
            _ => None,
        };
        fields.into_iter().flatten()
    }
}

/// Parses the texts, unifies them in order with the definition `schema`, and applies defaults.
///
/// # Errors
/// Returns the first syntax error or conflict, or else every field without a value.
pub fn read(sources: &Sources, schema: &str) -> Result<ResolvedValue, Vec<ConfigError>> {
    let mut all = Vec::new();
    for (file, (_, text)) in sources.0.iter().enumerate() {
        all.push(syntax::parse(file, text).map_err(|error| vec![error])?);
    }
    unify::resolve(all, schema)
}
