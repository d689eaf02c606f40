//! Descriptions of values and types for error messages.
use super::{Bound, Node, Value};
use crate::syntax::{Comparison, Type};
use crate::PlainValue;

/// Describes the values that a node allows.
pub(super) fn describe(node: &Node) -> String {
    match &node.value {
        Value::Any => "anything".into(),
        Value::Type(expected) => describe_type(*expected).into(),
        Value::Exact(value) => describe_plain(value),
        Value::Bounds(expected, bounds) => {
            let bounds: Vec<_> = bounds.iter().map(describe_bound).collect();
            format!("{} {}", describe_type(*expected), bounds.join(" and "))
        }
        Value::List(items, None) => format!("a list of {} items", items.len()),
        Value::List(..) => "a list".into(),
        Value::Record { .. } => "a record".into(),
        Value::OneOf(alternatives) => {
            alternatives.iter().map(|(node, _)| describe(node)).collect::<Vec<_>>().join(" or ")
        }
    }
}

fn describe_type(expected: Type) -> &'static str {
    match expected {
        Type::Number => "a number",
        Type::Int => "a whole number",
        Type::Duration => "a duration such as 600ms",
        Type::Text => "a quoted text",
        Type::Boolean => "true or false",
    }
}

fn describe_plain(value: &PlainValue) -> String {
    match value {
        PlainValue::Boolean(value) => value.to_string(),
        PlainValue::Number(number) => number.to_string(),
        PlainValue::DurationUs(us) if us % 1_000_000 == 0 => format!("{}s", us / 1_000_000),
        PlainValue::DurationUs(us) if us % 1_000 == 0 => format!("{}ms", us / 1_000),
        PlainValue::DurationUs(us) => format!("{us}us"),
        PlainValue::Text(text) => format!("{text:?}"),
        PlainValue::List(_) => "a list".into(),
        PlainValue::Record(_) => "a record".into(),
    }
}

fn describe_bound(bound: &Bound) -> String {
    let comparison = match bound.comparison {
        Comparison::Below => "below",
        Comparison::AtMost => "at most",
        Comparison::Above => "above",
        Comparison::AtLeast => "at least",
        Comparison::Not => "other than",
    };
    format!("{comparison} {}", describe_plain(&bound.limit))
}
