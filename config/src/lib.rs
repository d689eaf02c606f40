//! CUE-like typed records: values, types and bounds are written alike, and several files are unified into
//! one. `syntax` parses text, `unify` puts values together, `installation` holds the types of a planner's
//! files and of fault scenarios, and flattens them. Every error names file and line, what was found and what
//! was expected, and the other side of a conflict.
pub mod installation;
mod syntax;
mod unify;

use indexmap::IndexMap;
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};
use std::fmt;
use std::rc::Rc;

/// A file and a stretch of bytes in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct Span {
    /// The number of the file among the sources.
    pub file: usize,
    /// Its first byte.
    pub from: usize,
    /// The byte behind its last one.
    pub to: usize,
}

/// The texts that are unified, in order.
#[derive(Clone, Debug, Default)]
pub struct Sources(Vec<(String, Rc<str>)>);

impl Sources {
    /// Adds a text under a name; the number that spans of it have.
    pub fn add(&mut self, name: &str, text: &str) -> usize {
        self.0.push((name.to_owned(), text.into()));
        self.0.len() - 1
    }

    /// File, line and column of the first byte, both from 1.
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

/// Something wrong in the files.
#[derive(Clone, Debug)]
pub struct ConfigError {
    /// What is wrong.
    pub message: String,
    /// Where.
    pub at: Span,
    /// Another place that it has to do with, and how.
    pub note: Option<(Span, String)>,
}

impl ConfigError {
    /// An error at a place.
    pub fn new(at: Span, message: impl Into<String>) -> Self {
        ConfigError { message: message.into(), at, note: None }
    }

    /// The same with another place that it has to do with.
    pub fn with_note(mut self, at: Span, note: impl Into<String>) -> Self {
        self.note = Some((at, note.into()));
        self
    }

    /// A line for the error and one for its note, if any: `file:line:column: message`.
    pub fn render(&self, sources: &Sources) -> String {
        let (file, line, column) = sources.location(self.at);
        let mut text = format!("{file}:{line}:{column}: {}", self.message);
        if let Some((at, note)) = &self.note {
            let (file, line, column) = sources.location(*at);
            text += &format!("\n  {file}:{line}:{column}: {note}");
        }
        text
    }

    /// The same with the lines of the files around it.
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

/// A place in the files with its message, as `miette` shows it.
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

/// A value in which nothing is open any more.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedValue {
    /// Where it was written.
    pub at: Span,
    /// What it is.
    pub value: PlainValue,
}

/// A value without its location.
#[derive(Clone, Debug, PartialEq)]
pub enum PlainValue {
    /// True or false.
    Boolean(bool),
    /// A number without unit, or in the unit's own terms: GiB, or parts of one for percent.
    Number(f64),
    /// A time in whole microseconds.
    DurationUs(i64),
    /// A text.
    Text(String),
    /// Items, in order.
    List(Vec<ResolvedValue>),
    /// Fields by name, in order.
    Record(IndexMap<String, ResolvedValue>),
}

impl ResolvedValue {
    /// The value under a dotted path of field names.
    pub fn get(&self, path: &str) -> Option<&ResolvedValue> {
        path.split('.').try_fold(self, |record, name| match &record.value {
            PlainValue::Record(fields) => fields.get(name),
            _ => None,
        })
    }

    /// The number under a path, if it is one.
    pub fn number(&self, path: &str) -> Option<f64> {
        match self.get(path)?.value {
            PlainValue::Number(number) => Some(number),
            _ => None,
        }
    }

    /// The time under a path in whole microseconds, if it is one.
    pub fn duration_us(&self, path: &str) -> Option<i64> {
        match self.get(path)?.value {
            PlainValue::DurationUs(us) => Some(us),
            _ => None,
        }
    }

    /// The text under a path, if it is one.
    pub fn text(&self, path: &str) -> Option<&str> {
        match &self.get(path)?.value {
            PlainValue::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Whether the value under a path is true, if it is true or false.
    pub fn boolean(&self, path: &str) -> Option<bool> {
        match self.get(path)?.value {
            PlainValue::Boolean(value) => Some(value),
            _ => None,
        }
    }

    /// The items of the list under a path; none where it is no list.
    pub fn list(&self, path: &str) -> &[ResolvedValue] {
        match self.get(path).map(|found| &found.value) {
            Some(PlainValue::List(items)) => items,
            _ => &[],
        }
    }

    /// The texts of the list under a path, with their locations.
    pub fn texts(&self, path: &str) -> Vec<(String, Span)> {
        let text = |item: &ResolvedValue| match &item.value {
            PlainValue::Text(text) => Some((text.clone(), item.at)),
            _ => None,
        };
        self.list(path).iter().filter_map(text).collect()
    }

    /// The fields of a record, in order; none where it is no record.
    pub fn fields(&self) -> impl Iterator<Item = (&String, &ResolvedValue)> {
        let fields = match &self.value {
            PlainValue::Record(fields) => Some(fields),
            _ => None,
        };
        fields.into_iter().flatten()
    }
}

/// Parses texts, unifies them in order with the definition `schema`, and resolves what is left.
///
/// # Errors
/// The first error of syntax or conflict, or all values that are still open.
pub fn read(sources: &Sources, schema: &str) -> Result<ResolvedValue, Vec<ConfigError>> {
    let mut all = Vec::new();
    for (file, (_, text)) in sources.0.iter().enumerate() {
        all.push(syntax::parse(file, text).map_err(|error| vec![error])?);
    }
    unify::resolve(all, schema)
}
