//! Evaluation of expressions to nodes: references are replaced by the definitions they name.
use super::merge::{type_of, unify};
use super::{Bound, FieldNode, Fields, Node, Value};
use crate::syntax::{Comparison, Expr, ExprKind, Field};
use crate::{ConfigError, PlainValue};
use std::collections::HashMap;

/// Maximum nesting of expressions. A reference nested deeper is rejected as a definition that
/// contains itself.
const MAX_DEPTH: usize = 100;

/// Definitions of all files, by name.
pub(super) type Definitions = HashMap<String, Vec<Expr>>;

/// Evaluates an expression. `depth` is its level of nesting.
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
                let message = format!("found {name}; expected a definition of these files");
                return Err(ConfigError::new(expr.at, message));
            };
            if depth > MAX_DEPTH {
                return Err(ConfigError::new(
                    expr.at,
                    format!("found {name}, which contains itself; expected a definition without recursion"),
                ));
            }
            let mut all = unify_all(bodies, name, inner)?;
            close(&mut all);
            return Ok(all);
        }
    };
    Ok(Node { at: expr.at, value })
}

/// Unifies the parts in order. There must be at least one.
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
    let Value::Exact(limit) = limit.value else { unreachable!("the parser accepts only scalars as limits") };
    Value::Bounds(type_of(&limit), vec![Bound { comparison, limit, at: expr.at }])
}

/// Evaluates the fields of a record. Repeated fields are unified.
fn evaluate_fields(
    declared: &[Field],
    definitions: &Definitions,
    depth: usize,
) -> Result<Fields, ConfigError> {
    let mut fields = Fields::new();
    for field in declared {
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

/// Closes a record of a definition and all records in it.
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
