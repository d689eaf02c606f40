//! Unifies values: two that say the same or narrow one another become one; two that differ are a conflict with
//! both locations named. A record that comes from a definition (`#Name`) is closed: it takes no other fields.
mod describe;
mod evaluate;
mod merge;

use crate::syntax::{Comparison, Expr, ExprKind, Type};
use crate::{ConfigError, PlainValue, ResolvedValue, Span};
use describe::describe;
use evaluate::{evaluate, Definitions};
use indexmap::IndexMap;
use merge::unify;

/// A value that may still be open, and where it stands.
#[derive(Clone, Debug)]
struct Node {
    at: Span,
    value: Value,
}

#[derive(Clone, Debug)]
enum Value {
    Any,
    Type(Type),
    Exact(PlainValue),
    /// A type with bounds, each with its own location.
    Bounds(Type, Vec<Bound>),
    /// Items, and the type of further ones where the list takes them.
    List(Vec<Node>, Option<Box<Node>>),
    Record {
        fields: Fields,
        closed: bool,
    },
    /// One of these; true marks a default.
    OneOf(Vec<(Node, bool)>),
}

type Fields = IndexMap<String, FieldNode>;

#[derive(Clone, Debug)]
struct FieldNode {
    node: Node,
    optional: bool,
}

#[derive(Clone, Debug)]
struct Bound {
    comparison: Comparison,
    limit: PlainValue,
    at: Span,
}

/// The path of a field of a record.
fn field_path(record: &str, field: &str) -> String {
    if record.is_empty() {
        field.to_owned()
    } else {
        format!("{record}.{field}")
    }
}

/// Unifies files with the definition `schema`, and resolves the rest: defaults are taken, and nothing may be
/// open.
///
/// # Errors
/// The first conflict, or all values that are still open.
pub fn resolve(files: Vec<Expr>, schema: &str) -> Result<ResolvedValue, Vec<ConfigError>> {
    let mut definitions = Definitions::new();
    let mut records = Vec::new();
    for mut file in files {
        let ExprKind::Record(fields) = &mut file.kind else { continue };
        let (defined, rest): (Vec<_>, Vec<_>) =
            fields.drain(..).partition(|field| field.name.starts_with('#'));
        for field in defined {
            definitions.entry(field.name).or_default().push(field.value);
        }
        records.push(Expr { at: file.at, kind: ExprKind::Record(rest) });
    }
    let at = records.first().map_or(Span::default(), |file| file.at);
    let root = Expr { at, kind: ExprKind::Reference(schema.to_owned()) };
    let all = unify_files(&root, &records, &definitions).map_err(|error| vec![error])?;
    let mut errors = Vec::new();
    match resolve_node(&all, "", all.at, &mut errors) {
        Some(resolved) if errors.is_empty() => Ok(resolved),
        _ => Err(errors),
    }
}

fn unify_files(root: &Expr, files: &[Expr], definitions: &Definitions) -> Result<Node, ConfigError> {
    let mut all = evaluate(root, definitions, 0)?;
    for file in files {
        all = unify(&all, &evaluate(file, definitions, 0)?, "")?;
    }
    Ok(all)
}

/// Takes defaults and reports whatever is still open. `within` is the location of the record around it.
fn resolve_node(
    node: &Node,
    path: &str,
    within: Span,
    errors: &mut Vec<ConfigError>,
) -> Option<ResolvedValue> {
    let value = match &node.value {
        Value::Exact(value) => value.clone(),
        Value::OneOf(alternatives) => {
            let mut defaults = alternatives.iter().filter(|(_, default)| *default);
            if let (Some((default, _)), None) = (defaults.next(), defaults.next()) {
                return resolve_node(default, path, within, errors);
            }
            errors.push(missing(node, path, within));
            return None;
        }
        Value::Record { fields, .. } => {
            let mut resolved = IndexMap::new();
            // A field that is optional and never given is not there, whatever defaults its type has.
            for (name, field) in fields.iter().filter(|(_, field)| !field.optional) {
                if let Some(value) = resolve_node(&field.node, &field_path(path, name), node.at, errors) {
                    resolved.insert(name.clone(), value);
                }
            }
            PlainValue::Record(resolved)
        }
        Value::List(items, _) => {
            let mut resolve_item =
                |(index, item)| resolve_node(item, &format!("{path}[{index}]"), node.at, errors);
            // All items first, so that each one that is open is reported.
            let resolved: Vec<Option<ResolvedValue>> =
                items.iter().enumerate().map(&mut resolve_item).collect();
            PlainValue::List(resolved.into_iter().collect::<Option<Vec<_>>>()?)
        }
        Value::Any | Value::Type(_) | Value::Bounds(..) => {
            errors.push(missing(node, path, within));
            return None;
        }
    };
    Some(ResolvedValue { at: node.at, value })
}

fn missing(node: &Node, path: &str, within: Span) -> ConfigError {
    let message = format!("{path} is not given; expected {}", describe(node));
    ConfigError::new(within, message).with_note(node.at, "its type stands here")
}
