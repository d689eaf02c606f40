//! CUE-like typed records: values, types and bounds are written alike, and several files are unified into
//! one. `syntax` reads text, `unify` puts values together, `installation` holds the types of a planner's
//! files and of days of trouble, and lays them out. Every error names file and line, what was found and what
//! was expected, and the other side of a conflict.
pub mod installation;
pub mod syntax;
pub mod unify;

use indexmap::IndexMap;
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};
use std::fmt;
use std::rc::Rc;

/// A file and a stretch of bytes in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct Span {
    pub file: usize,
    pub from: usize,
    pub to: usize,
}

/// The texts that are unified, in order.
#[derive(Clone, Debug, Default)]
pub struct Sources(Vec<(String, Rc<str>)>);

impl Sources {
    pub fn add(&mut self, name: &str, text: &str) -> usize {
        self.0.push((name.to_owned(), text.into()));
        self.0.len() - 1
    }

    /// File, line and column, both from 1.
    pub fn location(&self, at: Span) -> (String, usize, usize) {
        let (name, text) = &self.0[at.file];
        let before = &text[..at.from.min(text.len())];
        let line = before.matches('\n').count() + 1;
        (name.clone(), line, before.len() - before.rfind('\n').map_or(0, |n| n + 1) + 1)
    }

    fn named(&self, at: Span) -> NamedSource<String> {
        let (name, text) = &self.0[at.file];
        NamedSource::new(name, text.to_string())
    }
}

/// Something wrong in the files: where, what, and where the other side stands.
#[derive(Clone, Debug)]
pub struct ConfigError {
    pub message: String,
    pub at: Span,
    pub other: Option<(Span, String)>,
}

impl ConfigError {
    pub fn new(at: Span, what: impl Into<String>) -> Self {
        ConfigError { message: what.into(), at, other: None }
    }

    pub fn with_note(mut self, at: Span, note: impl Into<String>) -> Self {
        self.other = Some((at, note.into()));
        self
    }

    /// One line a side: `file:line:column: what`.
    pub fn render(&self, sources: &Sources) -> String {
        let (file, line, column) = sources.location(self.at);
        let mut text = format!("{file}:{line}:{column}: {}", self.message);
        if let Some((at, note)) = &self.other {
            let (file, line, column) = sources.location(*at);
            text += &format!("\n  {file}:{line}:{column}: {note}");
        }
        text
    }

    /// The same with the lines of the files around it.
    pub fn report(&self, sources: &Sources) -> miette::Report {
        let side = |at: Span, what: &str| Side {
            what: what.to_owned(),
            place: sources.location(at),
            source: sources.named(at),
            label: LabeledSpan::underline(at.from..at.to.max(at.from + 1)),
            other: None,
        };
        let mut main = side(self.at, &self.message);
        main.other = self.other.as_ref().map(|(at, note)| Box::new(side(*at, note)));
        miette::Report::new(main)
    }
}

#[derive(Debug)]
struct Side {
    what: String,
    place: (String, usize, usize),
    source: NamedSource<String>,
    label: LabeledSpan,
    other: Option<Box<Side>>,
}

impl fmt::Display for Side {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}: {}", self.place.0, self.place.1, self.what)
    }
}

impl std::error::Error for Side {}

impl Diagnostic for Side {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(std::iter::once(self.label.clone())))
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        let other = self.other.as_deref()?;
        Some(Box::new(std::iter::once(other as &dyn Diagnostic)))
    }
}

/// A value in which nothing is open any more.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedValue {
    pub at: Span,
    pub value: PlainValue,
}

#[derive(Clone, Debug, PartialEq)]
pub enum PlainValue {
    Boolean(bool),
    Number(f64),
    /// Whole microseconds.
    DurationUs(i64),
    Text(String),
    List(Vec<ResolvedValue>),
    Record(IndexMap<String, ResolvedValue>),
}

impl ResolvedValue {
    /// The value under a dotted path of field names.
    pub fn get(&self, path: &str) -> Option<&ResolvedValue> {
        path.split('.').try_fold(self, |at, name| match &at.value {
            PlainValue::Record(fields) => fields.get(name),
            _ => None,
        })
    }

    pub fn number(&self, path: &str) -> Option<f64> {
        match self.get(path)?.value {
            PlainValue::Number(n) => Some(n),
            _ => None,
        }
    }

    /// Whole microseconds.
    pub fn duration_us(&self, path: &str) -> Option<i64> {
        match self.get(path)?.value {
            PlainValue::DurationUs(us) => Some(us),
            _ => None,
        }
    }

    pub fn text(&self, path: &str) -> Option<&str> {
        match &self.get(path)?.value {
            PlainValue::Text(t) => Some(t),
            _ => None,
        }
    }

    pub fn boolean(&self, path: &str) -> Option<bool> {
        match self.get(path)?.value {
            PlainValue::Boolean(b) => Some(b),
            _ => None,
        }
    }

    pub fn list(&self, path: &str) -> &[ResolvedValue] {
        match self.get(path).map(|s| &s.value) {
            Some(PlainValue::List(items)) => items,
            _ => &[],
        }
    }

    /// The texts of a list, with their places.
    pub fn texts(&self, path: &str) -> Vec<(String, Span)> {
        let text = |x: &ResolvedValue| match &x.value {
            PlainValue::Text(t) => Some((t.clone(), x.at)),
            _ => None,
        };
        self.list(path).iter().filter_map(text).collect()
    }

    pub fn fields(&self) -> impl Iterator<Item = (&String, &ResolvedValue)> {
        let fields = match &self.value {
            PlainValue::Record(fields) => Some(fields),
            _ => None,
        };
        fields.into_iter().flatten()
    }
}

/// Reads texts, unifies them in order with the types of `schema`, and settles what is left.
pub fn read(sources: &Sources, schema: &str) -> Result<ResolvedValue, Vec<ConfigError>> {
    let mut all = Vec::new();
    for (file, (_, text)) in sources.0.iter().enumerate() {
        all.push(syntax::parse(file, text).map_err(|f| vec![f])?);
    }
    unify::settle(all, schema)
}
