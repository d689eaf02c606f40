//! Unification of two nodes.
use super::describe::describe;
use super::{field_path, Bound, FieldNode, Fields, Node, Value};
use crate::syntax::{Comparison, Type};
use crate::{ConfigError, PlainValue, Span};

/// Returns the node that satisfies both nodes. A conflict is reported at the location of `second`,
/// which is from the later file, with the location of `first` as its note.
pub(super) fn unify(first: &Node, second: &Node, path: &str) -> Result<Node, ConfigError> {
    use Value::{Any, Bounds, Exact, List, OneOf, Record};
    let conflict = || conflict(first, second, path);
    let value = match (&first.value, &second.value) {
        (Any, _) => return Ok(second.clone()),
        (_, Any) => return Ok(first.clone()),
        (OneOf(alternatives), _) => return choose(alternatives, second, path, conflict),
        (_, OneOf(alternatives)) => return choose(alternatives, first, path, conflict),
        (Value::Type(one), Value::Type(other)) => {
            narrower_type(*one, *other).map(Value::Type).ok_or_else(conflict)?
        }
        (Exact(one), Exact(other)) if one == other => return Ok(second.clone()),
        (Value::Type(expected), Exact(value)) | (Exact(value), Value::Type(expected)) => {
            if !has_type(value, *expected) {
                return Err(conflict());
            }
            Exact(value.clone())
        }
        (Bounds(expected, bounds), Exact(value)) => {
            check_bounds(*expected, bounds, value)
                .map_err(|at| out_of_bounds(second, first, at.unwrap_or(first.at), path))?;
            Exact(value.clone())
        }
        (Exact(value), Bounds(expected, bounds)) => {
            check_bounds(*expected, bounds, value)
                .map_err(|at| out_of_bounds(first, second, at.unwrap_or(first.at), path))?;
            Exact(value.clone())
        }
        (Bounds(one, bounds), Bounds(other, more)) => {
            let expected = narrower_type(*one, *other).ok_or_else(conflict)?;
            Bounds(expected, bounds.iter().chain(more).cloned().collect())
        }
        (Bounds(one, bounds), Value::Type(other)) | (Value::Type(other), Bounds(one, bounds)) => {
            Bounds(narrower_type(*one, *other).ok_or_else(conflict)?, bounds.clone())
        }
        (List(..), List(..)) => unify_lists(first, second, path)?,
        (Record { .. }, Record { .. }) => unify_records(first, second, path)?,
        _ => return Err(conflict()),
    };
    let at = if matches!(first.value, Exact(_)) { first.at } else { second.at };
    Ok(Node { at, value })
}

fn conflict(first: &Node, second: &Node, path: &str) -> ConfigError {
    let message = format!("{}found {}; expected {}", prefix(path), describe(second), describe(first));
    ConfigError::new(second.at, message).with_note(first.at, "conflicts with this declaration")
}

fn prefix(path: &str) -> String {
    if path.is_empty() {
        String::new()
    } else {
        format!("{path}: ")
    }
}

/// Returns the type of a scalar. Lists and records, for which it is not called, count as text.
pub(super) fn type_of(value: &PlainValue) -> Type {
    match value {
        PlainValue::Boolean(_) => Type::Boolean,
        PlainValue::Number(_) => Type::Number,
        PlainValue::DurationUs(_) => Type::Duration,
        _ => Type::Text,
    }
}

/// Returns the type whose values both types allow; `None` if there is none.
fn narrower_type(one: Type, other: Type) -> Option<Type> {
    match (one, other) {
        (Type::Number, Type::Int) | (Type::Int, Type::Number) => Some(Type::Int),
        _ => (one == other).then_some(one),
    }
}

fn is_whole(value: &PlainValue) -> bool {
    matches!(value, PlainValue::Number(number) if number.fract() == 0.0)
}

fn has_type(value: &PlainValue, expected: Type) -> bool {
    type_of(value) == expected || (expected == Type::Int && is_whole(value))
}

/// Checks a value against a type and bounds. The error is the location of the first violated bound,
/// or `None` if only the type is violated.
fn check_bounds(expected: Type, bounds: &[Bound], value: &PlainValue) -> Result<(), Option<Span>> {
    let violated = bounds.iter().find(|bound| !satisfies(value, bound));
    if violated.is_none() && (expected != Type::Int || is_whole(value)) {
        Ok(())
    } else {
        Err(violated.map(|bound| bound.at))
    }
}

fn satisfies(value: &PlainValue, bound: &Bound) -> bool {
    let order = match (value, &bound.limit) {
        (PlainValue::Number(value), PlainValue::Number(limit)) => value.partial_cmp(limit),
        (PlainValue::DurationUs(value), PlainValue::DurationUs(limit)) => Some(value.cmp(limit)),
        (PlainValue::Text(value), PlainValue::Text(limit)) => Some(value.cmp(limit)),
        _ => None,
    };
    order.is_some_and(|order| match bound.comparison {
        Comparison::Below => order.is_lt(),
        Comparison::AtMost => order.is_le(),
        Comparison::Above => order.is_gt(),
        Comparison::AtLeast => order.is_ge(),
        Comparison::Not => order.is_ne(),
    })
}

fn out_of_bounds(value: &Node, bounds: &Node, at: Span, path: &str) -> ConfigError {
    let message = format!("{}found {}; expected {}", prefix(path), describe(value), describe(bounds));
    ConfigError::new(value.at, message).with_note(at, "bound declared here")
}

/// Unifies two lists item by item. If the lengths differ, the shorter list must allow further
/// items.
fn unify_lists(first: &Node, second: &Node, path: &str) -> Result<Value, ConfigError> {
    let (Value::List(one, one_rest), Value::List(other, other_rest)) = (&first.value, &second.value) else {
        return Err(conflict(first, second, path));
    };
    let mut items = Vec::new();
    for index in 0..one.len().max(other.len()) {
        let item = |list: &[Node], rest: &Option<Box<Node>>| {
            list.get(index).cloned().or_else(|| rest.as_deref().cloned())
        };
        let (Some(left), Some(right)) = (item(one, one_rest), item(other, other_rest)) else {
            return Err(conflict(first, second, path));
        };
        items.push(unify(&left, &right, &format!("{path}[{index}]"))?);
    }
    let rest = match (one_rest, other_rest) {
        (Some(left), Some(right)) => Some(Box::new(unify(left, right, path)?)),
        _ => None,
    };
    Ok(Value::List(items, rest))
}

/// Unifies two records field by field. A closed record allows no additional fields.
fn unify_records(first: &Node, second: &Node, path: &str) -> Result<Value, ConfigError> {
    let (
        Value::Record { fields: one, closed: one_closed },
        Value::Record { fields: other, closed: other_closed },
    ) = (&first.value, &second.value)
    else {
        return Err(conflict(first, second, path));
    };
    let mut fields = one.clone();
    for (name, field) in other {
        let here = field_path(path, name);
        match one.get(name) {
            Some(known) => {
                let node = unify(&known.node, &field.node, &here)?;
                let optional = known.optional && field.optional;
                fields.insert(name.clone(), FieldNode { node, optional });
            }
            None if *one_closed => return Err(unknown_field(&here, field, one, first.at)),
            None => {
                fields.insert(name.clone(), field.clone());
            }
        }
    }
    if *other_closed {
        if let Some((name, field)) = one.iter().find(|(name, _)| !other.contains_key(*name)) {
            return Err(unknown_field(&field_path(path, name), field, other, second.at));
        }
    }
    Ok(Value::Record { fields, closed: *one_closed || *other_closed })
}

fn unknown_field(path: &str, field: &FieldNode, known: &Fields, closed_at: Span) -> ConfigError {
    let names: Vec<&str> = known.keys().map(String::as_str).collect();
    let message = format!("found field {path}; expected one of {}", names.join(", "));
    ConfigError::new(field.node.at, message).with_note(closed_at, "this record allows no other fields")
}

/// Keeps the alternatives that unify with a node. If there are none, returns the conflict, or, if
/// the node is a record and one alternative is a record, the more specific error of unifying these
/// two.
fn choose(
    alternatives: &[(Node, bool)],
    with: &Node,
    path: &str,
    conflict: impl Fn() -> ConfigError,
) -> Result<Node, ConfigError> {
    let tried: Vec<_> =
        alternatives.iter().map(|(node, default)| (unify(node, with, path), *default)).collect();
    let mut fitting: Vec<(Node, bool)> = tried
        .iter()
        .filter_map(|(result, default)| result.as_ref().ok().map(|node| (node.clone(), *default)))
        .collect();
    match fitting.len() {
        0 => {
            let is_record = |node: &Node| matches!(node.value, Value::Record { .. });
            let records = alternatives.iter().zip(&tried).filter(|((node, _), _)| is_record(node));
            let mut errors = records.filter_map(|(_, (result, _))| result.as_ref().err());
            match (errors.next(), errors.next()) {
                (Some(error), None) if is_record(with) => Err(error.clone()),
                _ => Err(conflict()),
            }
        }
        1 => {
            let mut only = fitting.remove(0).0;
            if matches!(with.value, Value::Exact(_)) {
                only.at = with.at;
            }
            Ok(only)
        }
        _ => Ok(Node { at: with.at, value: Value::OneOf(fitting) }),
    }
}
