//! The text of records, read into expressions.
//!
//! ```text
//!     file   = { field }
//!     field  = name [ "?" ] ":" expr [ "," ]          a field of a field: a: b: 1
//!     expr   = both { "|" both }                        one of these; "*" marks the default
//!     both   = one { "&" one }                          all of these
//!     one    = number [ unit ] | "text" | true | false | name of a type | #Name | record | list
//!            | ( "<" | "<=" | ">" | ">=" | "!=" ) number [ unit ]
//!     list   = "[" { expr "," } [ "..." expr ] "]"     record = "{" { field } "}"
//! ```
use crate::{ConfigError, Span};
use logos::Logos;

#[derive(Logos, Clone, Debug, PartialEq)]
#[logos(skip r"[ \t\r\n]+")]
#[logos(skip r"//[^\n]*")]
pub enum Token {
    #[regex(r"-?[0-9][0-9_]*(\.[0-9]+)?([eE][-+]?[0-9]+)?[A-Za-z%]*", |lex| lex.slice().to_owned())]
    Number(String),
    #[regex(r#""([^"\\\n]|\\.)*""#, |lex| lex.slice().to_owned())]
    Text(String),
    #[regex(r"#[A-Za-z][A-Za-z0-9_]*", |lex| lex.slice().to_owned())]
    Defined(String),
    #[regex(r"[A-Za-z_][A-Za-z0-9_]*", |lex| lex.slice().to_owned())]
    Name(String),
    #[token("{")]
    Open,
    #[token("}")]
    Close,
    #[token("[")]
    ListOpen,
    #[token("]")]
    ListClose,
    #[token("(")]
    GroupOpen,
    #[token(")")]
    GroupClose,
    #[token(":")]
    Colon,
    #[token(",")]
    Comma,
    #[token("?")]
    Optional,
    #[token("...")]
    Rest,
    #[token("*")]
    Star,
    #[token("|")]
    Or,
    #[token("&")]
    And,
    #[token("<=")]
    AtMost,
    #[token(">=")]
    AtLeast,
    #[token("!=")]
    Not,
    #[token("<")]
    Below,
    #[token(">")]
    Above,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Expr {
    pub at: Span,
    pub is: ExprKind,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    pub name: String,
    pub at: Span,
    pub optional: bool,
    pub value: Expr,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Type {
    Number,
    Int,
    Duration,
    Text,
    Boolean,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Compare {
    Below,
    AtMost,
    Above,
    AtLeast,
    Not,
}

#[derive(Clone, Debug, PartialEq)]
pub enum ExprKind {
    Any,
    Type(Type),
    Boolean(bool),
    Number(f64),
    /// Microseconds.
    DurationUs(i64),
    Text(String),
    Bound(Compare, Box<Expr>),
    Record(Vec<Field>),
    List(Vec<Expr>, Option<Box<Expr>>),
    Either(Vec<(Expr, bool)>),
    Both(Vec<Expr>),
    Defined(String),
}

/// Units of time in microseconds, and of amounts in the unit itself (memory units are GiB).
fn unit(word: &str) -> Option<ExprKind> {
    Some(match word {
        "" => ExprKind::Number(1.0),
        "%" => ExprKind::Number(0.01),
        "us" => ExprKind::DurationUs(1),
        "ms" => ExprKind::DurationUs(1_000),
        "s" => ExprKind::DurationUs(1_000_000),
        "m" => ExprKind::DurationUs(60_000_000),
        "h" => ExprKind::DurationUs(3_600_000_000),
        "KiB" => ExprKind::Number(1.0 / 1024.0 / 1024.0),
        "MiB" => ExprKind::Number(1.0 / 1024.0),
        "GiB" => ExprKind::Number(1.0),
        "TiB" => ExprKind::Number(1024.0),
        _ => return None,
    })
}

struct Parser<'a> {
    file: usize,
    tokens: Vec<(Token, Span)>,
    at: usize,
    depth: usize,
    end: Span,
    text: &'a str,
}

/// Records nested deeper than this are refused.
const MOST_DEPTH: usize = 64;

pub fn parse(file: usize, text: &str) -> Result<Expr, ConfigError> {
    let mut tokens = Vec::new();
    for (token, range) in Token::lexer(text).spanned() {
        let at = Span { file, from: range.start, to: range.end };
        match token {
            Ok(token) => tokens.push((token, at)),
            Err(()) => {
                let found = &text[range];
                return Err(ConfigError::new(
                    at,
                    format!("found {found:?}; expected a name, a value or a mark of records"),
                ));
            }
        }
    }
    let end = Span { file, from: text.len(), to: text.len() };
    let mut parser = Parser { file, tokens, at: 0, depth: 0, end, text };
    let fields = parser.fields()?;
    match parser.peek() {
        None => Ok(Expr { at: Span { file, from: 0, to: text.len() }, is: ExprKind::Record(fields) }),
        Some(_) => Err(parser.wrong("a field")),
    }
}

impl Parser<'_> {
    fn peek(&self) -> Option<&Token> {
        self.tokens.get(self.at).map(|t| &t.0)
    }

    fn here(&self) -> Span {
        self.tokens.get(self.at).map_or(self.end, |t| t.1)
    }

    fn wrong(&self, expected: &str) -> ConfigError {
        let at = self.here();
        let found = if at.from == at.to { "the end of the file" } else { &self.text[at.from..at.to] };
        ConfigError::new(at, format!("found {found}; expected {expected}"))
    }

    fn take(&mut self, token: &Token) -> bool {
        let is = self.peek() == Some(token);
        self.at += usize::from(is);
        is
    }

    fn need(&mut self, token: &Token, expected: &str) -> Result<(), ConfigError> {
        if self.take(token) {
            Ok(())
        } else {
            Err(self.wrong(expected))
        }
    }

    fn fields(&mut self) -> Result<Vec<Field>, ConfigError> {
        let mut fields = Vec::new();
        while matches!(self.peek(), Some(Token::Name(_) | Token::Defined(_) | Token::Text(_))) {
            fields.push(self.field()?);
            self.take(&Token::Comma);
        }
        Ok(fields)
    }

    /// One field; in `a: b: 1` the value of `a` is a record of one field.
    fn field(&mut self) -> Result<Field, ConfigError> {
        let at = self.here();
        let name = match self.peek() {
            Some(Token::Name(name) | Token::Defined(name)) => name.clone(),
            Some(Token::Text(text)) => unquote(text),
            _ => return Err(self.wrong("a field")),
        };
        self.at += 1;
        let optional = self.take(&Token::Optional);
        self.need(&Token::Colon, "':' after the field's name")?;
        let names = matches!(self.peek(), Some(Token::Name(_) | Token::Text(_)));
        let chain =
            names && matches!(self.tokens.get(self.at + 1), Some((Token::Colon | Token::Optional, _)));
        let from = self.here();
        let value = if chain {
            let inner = vec![self.field()?];
            Expr { at: Span { to: self.last_to(), ..from }, is: ExprKind::Record(inner) }
        } else {
            self.expr()?
        };
        Ok(Field { name, at, optional, value })
    }

    fn last_to(&self) -> usize {
        self.tokens[self.at.saturating_sub(1)].1.to
    }

    fn expr(&mut self) -> Result<Expr, ConfigError> {
        self.depth += 1;
        if self.depth > MOST_DEPTH {
            return Err(self.wrong(&format!("at most {MOST_DEPTH} levels")));
        }
        let from = self.here();
        let mut parts = Vec::new();
        loop {
            let default = self.take(&Token::Star);
            parts.push((self.both()?, default));
            if !self.take(&Token::Or) {
                break;
            }
        }
        self.depth -= 1;
        if parts.len() == 1 && !parts[0].1 {
            return Ok(parts.remove(0).0);
        }
        Ok(Expr { at: Span { to: self.last_to(), ..from }, is: ExprKind::Either(parts) })
    }

    fn both(&mut self) -> Result<Expr, ConfigError> {
        let from = self.here();
        let mut parts = vec![self.one()?];
        while self.take(&Token::And) {
            parts.push(self.one()?);
        }
        if parts.len() == 1 {
            return Ok(parts.remove(0));
        }
        Ok(Expr { at: Span { to: self.last_to(), ..from }, is: ExprKind::Both(parts) })
    }

    fn one(&mut self) -> Result<Expr, ConfigError> {
        let at = self.here();
        let Some(token) = self.peek().cloned() else { return Err(self.wrong("a value or a type")) };
        self.at += 1;
        let is = match token {
            Token::Number(text) => self.number(&text, at)?,
            Token::Text(text) => ExprKind::Text(unquote(&text)),
            Token::Defined(name) => ExprKind::Defined(name),
            Token::Name(name) => match name.as_str() {
                "true" => ExprKind::Boolean(true),
                "false" => ExprKind::Boolean(false),
                "number" => ExprKind::Type(Type::Number),
                "int" => ExprKind::Type(Type::Int),
                "time" => ExprKind::Type(Type::Duration),
                "string" => ExprKind::Type(Type::Text),
                "bool" => ExprKind::Type(Type::Boolean),
                "_" => ExprKind::Any,
                _ => {
                    let expected = "a value, a type (number, int, time, string, bool, _) or #Name";
                    return Err(ConfigError::new(at, format!("found {name}; expected {expected}")));
                }
            },
            Token::Below | Token::Above | Token::AtMost | Token::AtLeast | Token::Not => {
                let compare = match token {
                    Token::Below => Compare::Below,
                    Token::AtMost => Compare::AtMost,
                    Token::Above => Compare::Above,
                    Token::AtLeast => Compare::AtLeast,
                    _ => Compare::Not,
                };
                let to = self.one()?;
                if !matches!(to.is, ExprKind::Number(_) | ExprKind::DurationUs(_) | ExprKind::Text(_)) {
                    return Err(ConfigError::new(
                        to.at,
                        "found no plain value; expected a number, a time or a text",
                    ));
                }
                ExprKind::Bound(compare, Box::new(to))
            }
            Token::Open => {
                let fields = self.fields()?;
                self.need(&Token::Close, "a field or '}'")?;
                ExprKind::Record(fields)
            }
            Token::ListOpen => self.list()?,
            Token::GroupOpen => {
                let inner = self.expr()?;
                self.need(&Token::GroupClose, "')'")?;
                inner.is
            }
            _ => {
                self.at -= 1;
                return Err(self.wrong("a value or a type"));
            }
        };
        Ok(Expr { at: Span { file: self.file, from: at.from, to: self.last_to() }, is })
    }

    fn list(&mut self) -> Result<ExprKind, ConfigError> {
        let (mut items, mut rest) = (Vec::new(), None);
        while !self.take(&Token::ListClose) {
            if self.take(&Token::Rest) {
                rest = Some(Box::new(self.expr()?));
                self.take(&Token::Comma);
                self.need(&Token::ListClose, "']' after the rest")?;
                break;
            }
            items.push(self.expr()?);
            if !self.take(&Token::Comma) && self.peek() != Some(&Token::ListClose) {
                return Err(self.wrong("',' or ']'"));
            }
        }
        Ok(ExprKind::List(items, rest))
    }

    fn number(&self, text: &str, at: Span) -> Result<ExprKind, ConfigError> {
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic() || c == '%');
        let word = &text[digits.len()..];
        let wrong = |expected: &str| ConfigError::new(at, format!("found {text}; expected {expected}"));
        let n: f64 = digits.replace('_', "").parse().map_err(|_| wrong("a number"))?;
        match unit(word) {
            Some(ExprKind::DurationUs(us)) => {
                let us = n * us as f64;
                if us.abs() > 9.0e15 || us.fract() != 0.0 {
                    return Err(wrong("a time of whole microseconds"));
                }
                Ok(ExprKind::DurationUs(us as i64))
            }
            Some(ExprKind::Number(times)) => Ok(ExprKind::Number(n * times)),
            _ => Err(wrong("a unit of us, ms, s, m, h, KiB, MiB, GiB, TiB or %")),
        }
    }
}

fn unquote(text: &str) -> String {
    let inner = &text[1..text.len() - 1];
    let mut out = String::new();
    let mut chars = inner.chars();
    while let Some(c) = chars.next() {
        match (c, c == '\\') {
            (_, true) => match chars.next() {
                Some('n') => out.push('\n'),
                Some('t') => out.push('\t'),
                Some(other) => out.push(other),
                None => {}
            },
            (c, _) => out.push(c),
        }
    }
    out
}
