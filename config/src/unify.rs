//! Puts values together: two that say the same or narrow one another become one; two that differ are a
//! conflict with both places named. A record that comes from a definition (`#Name`) is closed: it takes no
//! other fields.
use crate::syntax::{Compare, Expr, ExprKind, Type};
use crate::{ConfigError, PlainValue, ResolvedValue, Span};
use indexmap::IndexMap;
use std::collections::HashMap;

/// A value that may still be open.
#[derive(Clone, Debug)]
struct Node {
    at: Span,
    value: Value,
}

#[derive(Clone, Debug)]
enum Value {
    Any,
    Type(Type),
    Atom(PlainValue),
    /// A type with bounds, each with its own place.
    Bounds(Type, Vec<(Compare, PlainValue, Span)>),
    List(Vec<Node>, Option<Box<Node>>),
    Record(IndexMap<String, Slot>, bool),
    Either(Vec<(Node, bool)>),
}

#[derive(Clone, Debug)]
struct Slot {
    node: Node,
    optional: bool,
}

/// Definitions by name, of all files.
type Defined = HashMap<String, Vec<Expr>>;

/// Unifies files with the definition `schema`, and settles the rest: defaults are taken, and nothing may be
/// open.
pub fn settle(files: Vec<Expr>, schema: &str) -> Result<ResolvedValue, Vec<ConfigError>> {
    let mut defined = Defined::new();
    let mut plain = Vec::new();
    for mut file in files {
        let ExprKind::Record(fields) = &mut file.is else { continue };
        let (definitions, rest): (Vec<_>, Vec<_>) = fields.drain(..).partition(|f| f.name.starts_with('#'));
        for field in definitions {
            defined.entry(field.name).or_default().push(field.value);
        }
        plain.push(Expr { at: file.at, is: ExprKind::Record(rest) });
    }
    let root = Expr {
        at: plain.first().map_or(Span::default(), |e| e.at),
        is: ExprKind::Defined(schema.to_owned()),
    };
    let mut all = evaluate(&root, &defined, 0).map_err(|f| vec![f])?;
    for file in &plain {
        let node = evaluate(file, &defined, 0).map_err(|f| vec![f])?;
        all = unify(&all, &node, "").map_err(|f| vec![f])?;
    }
    let mut faults = Vec::new();
    let settled = close(&all, "", all.at, &mut faults);
    match settled {
        Some(settled) if faults.is_empty() => Ok(settled),
        _ => Err(faults),
    }
}

fn evaluate(expr: &Expr, defined: &Defined, depth: usize) -> Result<Node, ConfigError> {
    let deeper = |e: &Expr| evaluate(e, defined, depth + 1);
    let value = match &expr.is {
        ExprKind::Any => Value::Any,
        ExprKind::Type(t) => Value::Type(*t),
        ExprKind::Boolean(b) => Value::Atom(PlainValue::Boolean(*b)),
        ExprKind::Number(n) => Value::Atom(PlainValue::Number(*n)),
        ExprKind::DurationUs(us) => Value::Atom(PlainValue::DurationUs(*us)),
        ExprKind::Text(t) => Value::Atom(PlainValue::Text(t.clone())),
        ExprKind::Bound(compare, to) => {
            let Value::Atom(to) = deeper(to)?.value else {
                unreachable!("the parser takes plain values only")
            };
            Value::Bounds(type_of(&to), vec![(*compare, to, expr.at)])
        }
        ExprKind::Record(fields) => {
            let mut slots: IndexMap<String, Slot> = IndexMap::new();
            for field in fields {
                let node = deeper(&field.value)?;
                let slot = match slots.get(&field.name) {
                    None => Slot { node, optional: field.optional },
                    Some(have) => Slot {
                        node: unify(&have.node, &node, &field.name)?,
                        optional: have.optional && field.optional,
                    },
                };
                slots.insert(field.name.clone(), slot);
            }
            Value::Record(slots, false)
        }
        ExprKind::List(items, rest) => {
            let items = items.iter().map(&deeper).collect::<Result<_, _>>()?;
            Value::List(items, rest.as_deref().map(deeper).transpose()?.map(Box::new))
        }
        ExprKind::Either(parts) => {
            let parts = parts.iter().map(|(e, default)| Ok((deeper(e)?, *default)));
            Value::Either(parts.collect::<Result<_, ConfigError>>()?)
        }
        ExprKind::Both(parts) => {
            let mut all = deeper(&parts[0])?;
            for part in &parts[1..] {
                all = unify(&all, &deeper(part)?, "")?;
            }
            all.value
        }
        ExprKind::Defined(name) => {
            let Some(bodies) = defined.get(name) else {
                return Err(ConfigError::new(
                    expr.at,
                    format!("found {name}; expected a definition that is in these files"),
                ));
            };
            if depth > 100 {
                return Err(ConfigError::new(expr.at, format!("{name} holds itself without end")));
            }
            let mut all = deeper(&bodies[0])?;
            for body in &bodies[1..] {
                all = unify(&all, &deeper(body)?, name)?;
            }
            seal(&mut all);
            return Ok(all);
        }
    };
    Ok(Node { at: expr.at, value })
}

/// A definition closes all records written in it.
fn seal(node: &mut Node) {
    match &mut node.value {
        Value::Record(slots, closed) => {
            *closed = true;
            slots.values_mut().for_each(|slot| seal(&mut slot.node));
        }
        Value::List(items, rest) => {
            items.iter_mut().for_each(seal);
            rest.iter_mut().for_each(|rest| seal(rest));
        }
        Value::Either(parts) => parts.iter_mut().for_each(|part| seal(&mut part.0)),
        _ => {}
    }
}

fn type_of(value: &PlainValue) -> Type {
    match value {
        PlainValue::Boolean(_) => Type::Boolean,
        PlainValue::Number(_) => Type::Number,
        PlainValue::DurationUs(_) => Type::Duration,
        _ => Type::Text,
    }
}

fn holds(compare: Compare, value: &PlainValue, bound: &PlainValue) -> bool {
    let order = match (value, bound) {
        (PlainValue::Number(a), PlainValue::Number(b)) => a.partial_cmp(b),
        (PlainValue::DurationUs(a), PlainValue::DurationUs(b)) => Some(a.cmp(b)),
        (PlainValue::Text(a), PlainValue::Text(b)) => Some(a.cmp(b)),
        _ => None,
    };
    order.is_some_and(|o| match compare {
        Compare::Below => o.is_lt(),
        Compare::AtMost => o.is_le(),
        Compare::Above => o.is_gt(),
        Compare::AtLeast => o.is_ge(),
        Compare::Not => o.is_ne(),
    })
}

fn unify(a: &Node, b: &Node, path: &str) -> Result<Node, ConfigError> {
    use Value::{Any, Atom, Bounds, Either, List, Record};
    // The later file's side is the one that an error points at.
    let conflict = || {
        let what = format!("{}found {}; expected {}", under(path), words(b), words(a));
        ConfigError::new(b.at, what).with_note(a.at, "this is what it was to be unified with")
    };
    let at = if matches!(a.value, Atom(_)) { a.at } else { b.at };
    let node = |value| Ok(Node { at, value });
    match (&a.value, &b.value) {
        (Any, _) => Ok(b.clone()),
        (_, Any) => Ok(a.clone()),
        (Either(parts), _) => choose(parts, b, path, conflict),
        (_, Either(parts)) => choose(parts, a, path, conflict),
        (Value::Type(s), Value::Type(t)) => match (s, t) {
            (s, t) if s == t => node(Value::Type(*s)),
            (Type::Number, Type::Int) | (Type::Int, Type::Number) => node(Value::Type(Type::Int)),
            _ => Err(conflict()),
        },
        (Atom(x), Atom(y)) if x == y => Ok(b.clone()),
        (Value::Type(t), Atom(x)) | (Atom(x), Value::Type(t)) => {
            let whole = matches!(x, PlainValue::Number(n) if n.fract() == 0.0);
            let fits = type_of(x) == *t || (*t == Type::Int && whole);
            if fits {
                node(Atom(x.clone()))
            } else {
                Err(conflict())
            }
        }
        (Bounds(t, bounds), Atom(x)) | (Atom(x), Bounds(t, bounds)) => {
            let whole = *t != Type::Int || matches!(x, PlainValue::Number(n) if n.fract() == 0.0);
            if whole && bounds.iter().all(|(c, to, _)| holds(*c, x, to)) {
                return node(Atom(x.clone()));
            }
            let broken = bounds.iter().find(|(c, to, _)| !holds(*c, x, to));
            let other = broken.map_or(a.at, |x| x.2);
            let atom = if matches!(a.value, Atom(_)) { a } else { b };
            let bound = if matches!(a.value, Atom(_)) { b } else { a };
            let what = format!("{}found {}; expected {}", under(path), words(atom), words(bound));
            Err(ConfigError::new(atom.at, what).with_note(other, "the bound stands here"))
        }
        (Bounds(t, x), Bounds(u, y)) => {
            let (s, fits) = narrower(*t, *u);
            if fits {
                node(Bounds(s, x.iter().chain(y).cloned().collect()))
            } else {
                Err(conflict())
            }
        }
        (Bounds(t, x), Value::Type(u)) | (Value::Type(u), Bounds(t, x)) => {
            let (s, fits) = narrower(*t, *u);
            if fits {
                node(Bounds(s, x.clone()))
            } else {
                Err(conflict())
            }
        }
        (List(x, x_rest), List(y, y_rest)) => {
            let mut items = Vec::new();
            for i in 0..x.len().max(y.len()) {
                let of = |list: &[Node], rest: &Option<Box<Node>>| {
                    list.get(i).cloned().or_else(|| rest.as_deref().cloned())
                };
                let (Some(p), Some(q)) = (of(x, x_rest), of(y, y_rest)) else { return Err(conflict()) };
                items.push(unify(&p, &q, &format!("{path}[{i}]"))?);
            }
            let rest = match (x_rest, y_rest) {
                (Some(p), Some(q)) => Some(Box::new(unify(p, q, path)?)),
                _ => None,
            };
            node(List(items, rest))
        }
        (Record(x, x_closed), Record(y, y_closed)) => {
            let mut slots = x.clone();
            for (name, slot) in y {
                let here = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                match x.get(name) {
                    Some(have) => {
                        let node = unify(&have.node, &slot.node, &here)?;
                        slots.insert(name.clone(), Slot { node, optional: have.optional && slot.optional });
                    }
                    None if *x_closed => return Err(unknown(&here, slot, x, a.at)),
                    None => {
                        slots.insert(name.clone(), slot.clone());
                    }
                }
            }
            if *y_closed {
                if let Some((name, slot)) = x.iter().find(|(name, _)| !y.contains_key(*name)) {
                    let here = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                    return Err(unknown(&here, slot, y, b.at));
                }
            }
            node(Record(slots, *x_closed || *y_closed))
        }
        _ => Err(conflict()),
    }
}

fn unknown(path: &str, slot: &Slot, known: &IndexMap<String, Slot>, at: Span) -> ConfigError {
    let names: Vec<&str> = known.keys().map(String::as_str).collect();
    let what = format!("found field {path}; expected one of {}", names.join(", "));
    ConfigError::new(slot.node.at, what).with_note(at, "the record is closed here")
}

fn narrower(t: Type, u: Type) -> (Type, bool) {
    match (t, u) {
        (Type::Number, Type::Int) | (Type::Int, Type::Number) => (Type::Int, true),
        _ => (t, t == u),
    }
}

/// One of several: those that unify stay; the fault of the only record among them says more than "none fits".
fn choose(
    parts: &[(Node, bool)],
    with: &Node,
    path: &str,
    conflict: impl Fn() -> ConfigError,
) -> Result<Node, ConfigError> {
    let tried: Vec<_> = parts.iter().map(|(p, default)| (unify(p, with, path), *default)).collect();
    let mut fits: Vec<(Node, bool)> =
        tried.iter().filter_map(|(r, d)| r.as_ref().ok().map(|n| (n.clone(), *d))).collect();
    match fits.len() {
        0 => {
            let records = parts.iter().zip(&tried).filter(|(p, _)| matches!(p.0.value, Value::Record(..)));
            let mut faults = records.filter_map(|(_, (r, _))| r.as_ref().err());
            match (faults.next(), faults.next(), matches!(with.value, Value::Record(..))) {
                (Some(fault), None, true) => Err(fault.clone()),
                _ => Err(conflict()),
            }
        }
        1 => {
            let mut one = fits.remove(0).0;
            if matches!(with.value, Value::Atom(_)) {
                one.at = with.at;
            }
            Ok(one)
        }
        _ => Ok(Node { at: with.at, value: Value::Either(fits) }),
    }
}

fn under(path: &str) -> String {
    if path.is_empty() {
        String::new()
    } else {
        format!("{path}: ")
    }
}

fn type_words(t: Type) -> &'static str {
    match t {
        Type::Number => "a number",
        Type::Int => "a whole number",
        Type::Duration => "a time such as 600ms",
        Type::Text => "a text in quotes",
        Type::Boolean => "true or false",
    }
}

fn atom_words(value: &PlainValue) -> String {
    match value {
        PlainValue::Boolean(b) => b.to_string(),
        PlainValue::Number(n) => n.to_string(),
        PlainValue::DurationUs(us) if us % 1_000_000 == 0 => format!("{}s", us / 1_000_000),
        PlainValue::DurationUs(us) if us % 1_000 == 0 => format!("{}ms", us / 1_000),
        PlainValue::DurationUs(us) => format!("{us}us"),
        PlainValue::Text(t) => format!("{t:?}"),
        PlainValue::List(_) => "a list".into(),
        PlainValue::Record(_) => "a record".into(),
    }
}

fn words(node: &Node) -> String {
    match &node.value {
        Value::Any => "anything".into(),
        Value::Type(t) => type_words(*t).into(),
        Value::Atom(x) => atom_words(x),
        Value::Bounds(t, bounds) => {
            let sign = |c| match c {
                Compare::Below => "below",
                Compare::AtMost => "at most",
                Compare::Above => "above",
                Compare::AtLeast => "at least",
                Compare::Not => "other than",
            };
            let bounds: Vec<_> =
                bounds.iter().map(|(c, x, _)| format!("{} {}", sign(*c), atom_words(x))).collect();
            format!("{} {}", type_words(*t), bounds.join(" and "))
        }
        Value::List(items, None) => format!("a list of {}", items.len()),
        Value::List(..) => "a list".into(),
        Value::Record(..) => "a record".into(),
        Value::Either(parts) => parts.iter().map(|(p, _)| words(p)).collect::<Vec<_>>().join(" or "),
    }
}

/// Takes defaults and reports whatever is still open.
fn close(node: &Node, path: &str, within: Span, faults: &mut Vec<ConfigError>) -> Option<ResolvedValue> {
    let missing = || {
        let what = format!("{path} is not given; expected {}", words(node));
        ConfigError::new(within, what).with_note(node.at, "its type stands here")
    };
    let value = match &node.value {
        Value::Atom(x) => x.clone(),
        Value::Either(parts) => {
            let mut marked = parts.iter().filter(|(_, default)| *default);
            match (marked.next(), marked.next()) {
                (Some((one, _)), None) => return close(one, path, within, faults),
                _ => {
                    faults.push(missing());
                    return None;
                }
            }
        }
        Value::Record(slots, _) => {
            let mut fields = IndexMap::new();
            for (name, slot) in slots {
                let here = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                // Optional and never given: it is not there, whatever defaults its type has.
                if slot.optional {
                    continue;
                }
                if let Some(settled) = close(&slot.node, &here, node.at, faults) {
                    fields.insert(name.clone(), settled);
                }
            }
            PlainValue::Record(fields)
        }
        Value::List(items, _) => {
            let items = items
                .iter()
                .enumerate()
                .map(|(i, item)| close(item, &format!("{path}[{i}]"), node.at, faults));
            PlainValue::List(items.collect::<Vec<_>>().into_iter().collect::<Option<Vec<_>>>()?)
        }
        _ => {
            faults.push(missing());
            return None;
        }
    };
    Some(ResolvedValue { at: node.at, value })
}
