//! Reads fields of JSON objects as their types or says which is missing or mistyped, lays settings out
//! under dotted names, and finds names in the settings' lists. Used by every wire that speaks JSON.
use basaltpitch::host::{Settings, Value as Setting};
use serde_json::Value;
use std::collections::HashMap;

/// The lists of names in the settings, by the list's own name.
pub type NameLists = HashMap<&'static str, Vec<String>>;

/// One object's fields, read as their types or reported as missing or mistyped.
#[derive(Clone, Copy)]
pub struct Fields<'a>(pub &'a Value);

impl<'a> Fields<'a> {
    pub fn get<T>(&self, name: &str, read: impl Fn(&'a Value) -> Option<T>) -> Result<T, String> {
        self.optional(name, read)?.ok_or_else(|| format!("field '{name}' is missing"))
    }

    pub fn optional<T>(
        &self,
        name: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, String> {
        match self.0.get(name) {
            None | Some(Value::Null) => Ok(None),
            Some(v) => read(v).map(Some).ok_or_else(|| format!("field '{name}' is of the wrong type")),
        }
    }

    pub fn integer(&self, name: &str) -> Result<i64, String> {
        self.get(name, Value::as_i64)
    }

    pub fn number(&self, name: &str) -> Result<f64, String> {
        self.get(name, Value::as_f64)
    }

    pub fn str(&self, name: &str) -> Result<&'a str, String> {
        self.get(name, Value::as_str)
    }

    pub fn string(&self, name: &str) -> Result<String, String> {
        self.str(name).map(str::to_owned)
    }

    pub fn flag(&self, name: &str) -> Result<bool, String> {
        Ok(self.optional(name, Value::as_bool)?.unwrap_or(false))
    }

    /// The place of a name in a list of the settings; `None` where the field is absent or 0.
    pub fn optional_name_index(
        &self,
        field: &str,
        list: &str,
        names: &NameLists,
    ) -> Result<Option<usize>, String> {
        if self.0.get(field).and_then(Value::as_i64) == Some(0) {
            return Ok(None);
        }
        match self.optional(field, Value::as_str)? {
            None => Ok(None),
            Some(name) => name_index(names, list, name)
                .map(Some)
                .ok_or_else(|| format!("field '{field}' names nothing in the settings")),
        }
    }

    pub fn name_index(&self, field: &str, list: &str, names: &NameLists) -> Result<usize, String> {
        self.optional_name_index(field, list, names)?.ok_or_else(|| format!("field '{field}' is missing"))
    }
}

pub fn name_index(names: &NameLists, list: &str, name: &str) -> Option<usize> {
    names.get(list)?.iter().position(|n| n == name)
}

/// The names that the settings give to frameworks, tenants, zones and kinds of machine.
pub fn names(settings: &Value) -> NameLists {
    let name = |v: &Value| v.as_str().or_else(|| v.get("name")?.as_str()).unwrap_or("").to_owned();
    let of = |list| {
        let items = settings.get(list).and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
        (list, items.iter().map(name).collect())
    };
    ["classes", "tenants", "localities", "machineTypes"].into_iter().map(of).collect()
}

/// Lays settings out under dotted names: objects by key, lists by position.
pub fn flatten(settings: &Value) -> Settings {
    let mut given = Settings::new();
    flatten_under("", settings, &mut given);
    given
}

fn flatten_under(name: &str, value: &Value, given: &mut Settings) {
    let under = |key: &str| {
        if name.is_empty() {
            key.to_owned()
        } else {
            format!("{name}.{key}")
        }
    };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(k, v)| flatten_under(&under(k), v, given)),
        Value::Array(items) => {
            items.iter().enumerate().for_each(|(i, v)| flatten_under(&under(&i.to_string()), v, given))
        }
        Value::Number(n) => {
            given.insert(name.into(), Setting::Number(n.as_f64().unwrap_or(0.0)));
        }
        Value::Bool(b) => {
            given.insert(name.into(), Setting::Number(f64::from(u8::from(*b))));
        }
        Value::String(s) => {
            given.insert(name.into(), Setting::Text(s.clone()));
        }
        Value::Null => {}
    }
}
