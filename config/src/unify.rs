//! Unification of values and types: the result is the value or type that satisfies both sides. If
//! there is none, the conflict names the locations of both. A record from a definition (`#Name`) is
//! closed: it allows no other fields.
mod describe;
mod evaluate;
mod merge;

use crate::syntax::{Comparison, Expr, ExprKind, Type};
use crate::{ConfigError, PlainValue, ResolvedValue, Span};
use describe::describe;
use evaluate::{evaluate, Definitions};
use indexmap::IndexMap;
use merge::unify;

/// Value or type, with its location. It may still allow several concrete values.
#[derive(Clone, Debug)]
struct Node {
    at: Span,
    value: Value,
}

/// Set of concrete values that a node allows.
#[derive(Clone, Debug)]
enum Value {
    /// Any value.
    Any,
    /// Any scalar of a type.
    Type(Type),
    /// One concrete scalar.
    Exact(PlainValue),
    /// Scalars of a type within bounds.
    Bounds(Type, Vec<Bound>),
    /// List items, and the type of further items if the list allows them.
    List(Vec<Node>, Option<Box<Node>>),
    /// Record.
    Record {
        fields: Fields,
        /// Whether other fields are rejected.
        closed: bool,
    },
    /// One of the alternatives; true marks a default.
    OneOf(Vec<(Node, bool)>),
}

/// Fields of a record, by name.
type Fields = IndexMap<String, FieldNode>;

/// Field of a record.
#[derive(Clone, Debug)]
struct FieldNode {
    node: Node,
    /// Whether the field may be left out; every declaration of it must say so.
    optional: bool,
}

/// Bound of a scalar.
#[derive(Clone, Debug)]
struct Bound {
    comparison: Comparison,
    limit: PlainValue,
    at: Span,
}

/// Returns the path of a field of the record at the path `record`.
fn field_path(record: &str, field: &str) -> String {
    if record.is_empty() {
        field.to_owned()
    } else {
        format!("{record}.{field}")
    }
}

/// Unifies the files with the definition `schema` and applies defaults, after which every field
/// must have a concrete value.
///
/// # Errors
/// Returns the first conflict, or else every field without a value.
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

/// Applies defaults and reports values that are not concrete. `within` is the location of the
/// enclosing record or list.
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
            // An optional field that no file gives is left out, even if its type has a default.
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
            // Resolves all items before checking the results, so that every missing value is
            // reported.
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
    let message = format!("{path} is missing; expected {}", describe(node));
    ConfigError::new(within, message).with_note(node.at, "type declared here")
}
