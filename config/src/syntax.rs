//! Parser of configuration files. Grammar:
//!
//! ```text
//!     file   = { field }
//!     field  = name [ "?" ] ":" expr [ "," ]          nested fields in short: a: b: 1
//!     expr   = both { "|" both }                        alternatives; "*" marks the default
//!     both   = one { "&" one }                          unification
//!     one    = number [ unit ] | "text" | true | false | name of a type | #Name | record | list
//!            | ( "<" | "<=" | ">" | ">=" | "!=" ) number [ unit ]
//!     list   = "[" { expr "," } [ "..." expr ] "]"     record = "{" { field } "}"
//! ```
use crate::{ConfigError, Span};
use logos::Logos;

/// Token, with its text if it has no fixed text.
#[derive(Logos, Clone, Debug, PartialEq)]
#[logos(skip r"[ \t\r\n]+")]
#[logos(skip r"//[^\n]*")]
pub enum Token {
    #[regex(r"-?[0-9][0-9_]*(\.[0-9]+)?([eE][-+]?[0-9]+)?[A-Za-z%]*", |lex| lex.slice().to_owned())]
    Number(String),
    #[regex(r#""([^"\\\n]|\\.)*""#, |lex| lex.slice().to_owned())]
    Text(String),
    #[regex(r"#[A-Za-z][A-Za-z0-9_]*", |lex| lex.slice().to_owned())]
    DefinitionName(String),
    #[regex(r"[A-Za-z_][A-Za-z0-9_]*", |lex| lex.slice().to_owned())]
    Name(String),
    #[token("{")]
    BraceOpen,
    #[token("}")]
    BraceClose,
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

/// Expression with its location.
#[derive(Clone, Debug, PartialEq)]
pub struct Expr {
    pub at: Span,
    pub kind: ExprKind,
}

/// Field of a record.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    pub name: String,
    pub at: Span,
    pub optional: bool,
    pub value: Expr,
}

/// Type of a scalar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Type {
    Number,
    Int,
    Duration,
    Text,
    Boolean,
}

/// Relation between a value and the limit of a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    Below,
    AtMost,
    Above,
    AtLeast,
    Not,
}

/// Kind of an expression, with its parts.
#[derive(Clone, Debug, PartialEq)]
pub enum ExprKind {
    /// Any value, written `_`.
    Any,
    Type(Type),
    Boolean(bool),
    Number(f64),
    /// Duration in microseconds.
    DurationUs(i64),
    Text(String),
    Bound(Comparison, Box<Expr>),
    Record(Vec<Field>),
    /// List items, and the type of further items if the list allows them.
    List(Vec<Expr>, Option<Box<Expr>>),
    /// Alternatives; true marks a default.
    OneOf(Vec<(Expr, bool)>),
    /// Unification of all parts.
    AllOf(Vec<Expr>),
    /// Reference to the definition of this name.
    Reference(String),
}

/// Returns the factor of a unit: for durations in microseconds, for memory in GiB, for percentages
/// as a fraction of 1.
fn unit(name: &str) -> Option<ExprKind> {
    Some(match name {
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
    position: usize,
    depth: usize,
    end: Span,
    text: &'a str,
}

/// Maximum nesting of records, lists and groups.
const MAX_DEPTH: usize = 64;

/// Parses a file into a record.
///
/// # Errors
/// Returns the first syntax error.
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
                    format!("found {found:?}; expected a name, a value or an operator"),
                ));
            }
        }
    }
    let end = Span { file, from: text.len(), to: text.len() };
    let mut parser = Parser { file, tokens, position: 0, depth: 0, end, text };
    let fields = parser.fields()?;
    match parser.peek() {
        None => Ok(Expr { at: Span { file, from: 0, to: text.len() }, kind: ExprKind::Record(fields) }),
        Some(_) => Err(parser.unexpected("a field")),
    }
}

impl Parser<'_> {
    fn peek(&self) -> Option<&Token> {
        self.tokens.get(self.position).map(|token| &token.0)
    }

    fn here(&self) -> Span {
        self.tokens.get(self.position).map_or(self.end, |token| token.1)
    }

    fn unexpected(&self, expected: &str) -> ConfigError {
        let at = self.here();
        let found = if at.from == at.to { "the end of the file" } else { &self.text[at.from..at.to] };
        ConfigError::new(at, format!("found {found}; expected {expected}"))
    }

    fn take(&mut self, token: &Token) -> bool {
        let matches = self.peek() == Some(token);
        self.position += usize::from(matches);
        matches
    }

    fn expect(&mut self, token: &Token, expected: &str) -> Result<(), ConfigError> {
        if self.take(token) {
            Ok(())
        } else {
            Err(self.unexpected(expected))
        }
    }

    fn fields(&mut self) -> Result<Vec<Field>, ConfigError> {
        let mut fields = Vec::new();
        while matches!(self.peek(), Some(Token::Name(_) | Token::DefinitionName(_) | Token::Text(_))) {
            fields.push(self.field()?);
            self.take(&Token::Comma);
        }
        Ok(fields)
    }

    /// Parses a field. In `a: b: 1`, the value of `a` is a record with the field `b`.
    fn field(&mut self) -> Result<Field, ConfigError> {
        let at = self.here();
        let name = match self.peek() {
            Some(Token::Name(name) | Token::DefinitionName(name)) => name.clone(),
            Some(Token::Text(text)) => unquote(text),
            _ => return Err(self.unexpected("a field")),
        };
        self.position += 1;
        let optional = self.take(&Token::Optional);
        self.expect(&Token::Colon, "':' after the field's name")?;
        let name_follows = matches!(self.peek(), Some(Token::Name(_) | Token::Text(_)));
        let nested = name_follows
            && matches!(self.tokens.get(self.position + 1), Some((Token::Colon | Token::Optional, _)));
        let from = self.here();
        let value = if nested {
            let inner = vec![self.field()?];
            Expr { at: Span { to: self.last_to(), ..from }, kind: ExprKind::Record(inner) }
        } else {
            self.expr()?
        };
        Ok(Field { name, at, optional, value })
    }

    fn last_to(&self) -> usize {
        self.tokens[self.position.saturating_sub(1)].1.to
    }

    fn expr(&mut self) -> Result<Expr, ConfigError> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            return Err(self.unexpected(&format!("at most {MAX_DEPTH} levels of nesting")));
        }
        let from = self.here();
        let mut parts = Vec::new();
        loop {
            let default = self.take(&Token::Star);
            parts.push((self.all_of()?, default));
            if !self.take(&Token::Or) {
                break;
            }
        }
        self.depth -= 1;
        if parts.len() == 1 && !parts[0].1 {
            return Ok(parts.remove(0).0);
        }
        Ok(Expr { at: Span { to: self.last_to(), ..from }, kind: ExprKind::OneOf(parts) })
    }

    fn all_of(&mut self) -> Result<Expr, ConfigError> {
        let from = self.here();
        let mut parts = vec![self.operand()?];
        while self.take(&Token::And) {
            parts.push(self.operand()?);
        }
        if parts.len() == 1 {
            return Ok(parts.remove(0));
        }
        Ok(Expr { at: Span { to: self.last_to(), ..from }, kind: ExprKind::AllOf(parts) })
    }

    fn operand(&mut self) -> Result<Expr, ConfigError> {
        let at = self.here();
        let Some(token) = self.peek().cloned() else { return Err(self.unexpected("a value or a type")) };
        self.position += 1;
        let kind = match token {
            Token::Number(text) => self.number(&text, at)?,
            Token::Text(text) => ExprKind::Text(unquote(&text)),
            Token::DefinitionName(name) => ExprKind::Reference(name),
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
                let comparison = match token {
                    Token::Below => Comparison::Below,
                    Token::AtMost => Comparison::AtMost,
                    Token::Above => Comparison::Above,
                    Token::AtLeast => Comparison::AtLeast,
                    _ => Comparison::Not,
                };
                let limit = self.operand()?;
                if !matches!(limit.kind, ExprKind::Number(_) | ExprKind::DurationUs(_) | ExprKind::Text(_)) {
                    return Err(ConfigError::new(
                        limit.at,
                        "found a limit that is not a scalar; expected a number, a duration or a text",
                    ));
                }
                ExprKind::Bound(comparison, Box::new(limit))
            }
            Token::BraceOpen => {
                let fields = self.fields()?;
                self.expect(&Token::BraceClose, "a field or '}'")?;
                ExprKind::Record(fields)
            }
            Token::ListOpen => self.list()?,
            Token::GroupOpen => {
                let inner = self.expr()?;
                self.expect(&Token::GroupClose, "')'")?;
                inner.kind
            }
            _ => {
                self.position -= 1;
                return Err(self.unexpected("a value or a type"));
            }
        };
        Ok(Expr { at: Span { file: self.file, from: at.from, to: self.last_to() }, kind })
    }

    fn list(&mut self) -> Result<ExprKind, ConfigError> {
        let (mut items, mut rest) = (Vec::new(), None);
        while !self.take(&Token::ListClose) {
            if self.take(&Token::Rest) {
                rest = Some(Box::new(self.expr()?));
                self.take(&Token::Comma);
                self.expect(&Token::ListClose, "']' after the type of further items")?;
                break;
            }
            items.push(self.expr()?);
            if !self.take(&Token::Comma) && self.peek() != Some(&Token::ListClose) {
                return Err(self.unexpected("',' or ']'"));
            }
        }
        Ok(ExprKind::List(items, rest))
    }

    fn number(&self, text: &str, at: Span) -> Result<ExprKind, ConfigError> {
        let digits = text.trim_end_matches(|char: char| char.is_ascii_alphabetic() || char == '%');
        let unit_name = &text[digits.len()..];
        let invalid = |expected: &str| ConfigError::new(at, format!("found {text}; expected {expected}"));
        let number: f64 = digits.replace('_', "").parse().map_err(|_| invalid("a number"))?;
        match unit(unit_name) {
            Some(ExprKind::DurationUs(us)) => {
                let us = number * us as f64;
                if us.abs() > 9.0e15 || us.fract() != 0.0 {
                    return Err(invalid("a duration of whole microseconds"));
                }
                Ok(ExprKind::DurationUs(us as i64))
            }
            Some(ExprKind::Number(factor)) => Ok(ExprKind::Number(number * factor)),
            _ => Err(invalid("a unit of us, ms, s, m, h, KiB, MiB, GiB, TiB or %")),
        }
    }
}

/// Removes the quotes of a text and resolves its escapes.
fn unquote(text: &str) -> String {
    let inner = &text[1..text.len() - 1];
    let mut out = String::new();
    let mut chars = inner.chars();
    while let Some(char) = chars.next() {
        match char {
            '\\' => match chars.next() {
                Some('n') => out.push('\n'),
                Some('t') => out.push('\t'),
                Some(other) => out.push(other),
                None => {}
            },
            _ => out.push(char),
        }
    }
    out
}
