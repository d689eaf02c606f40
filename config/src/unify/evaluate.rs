//! Evaluates expressions into nodes: references are replaced by what they are defined as.
use super::merge::{type_of, unify};
use super::{Bound, FieldNode, Fields, Node, Value};
use crate::syntax::{Comparison, Expr, ExprKind, Field};
use crate::{ConfigError, PlainValue};
use std::collections::HashMap;

/// References nested deeper than this are refused: they hold themselves.
const MAX_DEPTH: usize = 100;

/// Definitions by name, of all files.
pub(super) type Definitions = HashMap<String, Vec<Expr>>;

/// The value of an expression that is nested so deep.
pub(super) fn evaluate(expr: &Expr, definitions: &Definitions, depth: usize) -> Result<Node, ConfigError> {
    let inner = |part: &Expr| evaluate(part, definitions, depth + 1);
    let value = match &expr.kind {
        ExprKind::Any => Value::Any,
        ExprKind::Type(expected) => Value::Type(*expected),
        ExprKind::Boolean(value) => Value::Exact(PlainValue::Boolean(*value)),
        ExprKind::Number(number) => Value::Exact(PlainValue::Number(*number)),
        ExprKind::DurationUs(us) => Value::Exact(PlainValue::DurationUs(*us)),
        ExprKind::Text(text) => Value::Exact(PlainValue::Text(text.clone())),
        ExprKind::Bound(comparison, limit) => evaluate_bound(expr, *comparison, inner(limit)?),
        ExprKind::Record(fields) => {
            Value::Record { fields: evaluate_fields(fields, definitions, depth)?, closed: false }
        }
        ExprKind::List(items, rest) => {
            let items = items.iter().map(&inner).collect::<Result<_, _>>()?;
            Value::List(items, rest.as_deref().map(inner).transpose()?.map(Box::new))
        }
        ExprKind::OneOf(alternatives) => {
            let nodes = alternatives.iter().map(|(part, default)| Ok((inner(part)?, *default)));
            Value::OneOf(nodes.collect::<Result<_, ConfigError>>()?)
        }
        ExprKind::AllOf(parts) => unify_all(parts, "", inner)?.value,
        ExprKind::Reference(name) => {
            let Some(bodies) = definitions.get(name) else {
                let message = format!("found {name}; expected a definition that is in these files");
                return Err(ConfigError::new(expr.at, message));
            };
            if depth > MAX_DEPTH {
                return Err(ConfigError::new(expr.at, format!("{name} holds itself without end")));
            }
            let mut all = unify_all(bodies, name, inner)?;
            close(&mut all);
            return Ok(all);
        }
    };
    Ok(Node { at: expr.at, value })
}

/// Unifies parts, of which there is at least one, in order.
fn unify_all(
    parts: &[Expr],
    path: &str,
    inner: impl Fn(&Expr) -> Result<Node, ConfigError>,
) -> Result<Node, ConfigError> {
    let mut all = inner(&parts[0])?;
    for part in &parts[1..] {
        all = unify(&all, &inner(part)?, path)?;
    }
    Ok(all)
}

fn evaluate_bound(expr: &Expr, comparison: Comparison, limit: Node) -> Value {
    let Value::Exact(limit) = limit.value else { unreachable!("the parser takes plain values only") };
    Value::Bounds(type_of(&limit), vec![Bound { comparison, limit, at: expr.at }])
}

/// The fields of a record; those that are written several times are unified.
fn evaluate_fields(
    written: &[Field],
    definitions: &Definitions,
    depth: usize,
) -> Result<Fields, ConfigError> {
    let mut fields = Fields::new();
    for field in written {
        let node = evaluate(&field.value, definitions, depth + 1)?;
        let unified = match fields.get(&field.name) {
            None => FieldNode { node, optional: field.optional },
            Some(earlier) => FieldNode {
                node: unify(&earlier.node, &node, &field.name)?,
                optional: earlier.optional && field.optional,
            },
        };
        fields.insert(field.name.clone(), unified);
    }
    Ok(fields)
}

/// A definition closes all records written in it.
fn close(node: &mut Node) {
    match &mut node.value {
        Value::Record { fields, closed } => {
            *closed = true;
            fields.values_mut().for_each(|field| close(&mut field.node));
        }
        Value::List(items, rest) => {
            items.iter_mut().for_each(close);
            rest.iter_mut().for_each(|rest| close(rest));
        }
        Value::OneOf(alternatives) => alternatives.iter_mut().for_each(|(node, _)| close(node)),
        _ => {}
    }
}
