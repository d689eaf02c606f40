//! Typed access to the fields of JSON objects, conversion of nested settings to settings with
//! dotted names, and lookup of names in the lists of the settings. Used by the protocols that use
//! JSON.
use basaltpitch::host::{Settings, Value as Setting};
use serde_json::Value;
use std::collections::HashMap;

/// Lists of names in the settings, by the name of the list.
pub type NameLists = HashMap<&'static str, Vec<String>>;

/// Error of a field that could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// A required field is absent or null.
    #[error("field '{field}' is missing")]
    Missing {
        /// Name of the field.
        field: String,
    },
    /// The value of a field has another type than expected.
    #[error("field '{field}' is of the wrong type")]
    WrongType {
        /// Name of the field.
        field: String,
    },
    /// The value of a field is not a name in the list of the settings.
    #[error("field '{field}' names nothing in the settings")]
    UnknownName {
        /// Name of the field.
        field: String,
    },
}

impl From<FieldError> for String {
    fn from(error: FieldError) -> String {
        error.to_string()
    }
}

/// Fields of a JSON object.
#[derive(Clone, Copy)]
pub struct Fields<'a>(pub &'a Value);

impl<'a> Fields<'a> {
    /// Reads a required field. `read` returns `None` for a value of the wrong type.
    ///
    /// # Errors
    /// If the field is missing or of the wrong type.
    pub fn get<T>(&self, name: &str, read: impl Fn(&'a Value) -> Option<T>) -> Result<T, FieldError> {
        self.optional(name, read)?.ok_or_else(|| FieldError::Missing { field: name.to_owned() })
    }

    /// Reads a field that may be absent or null. `read` returns `None` for a value of the wrong
    /// type.
    ///
    /// # Errors
    /// If the field is of the wrong type.
    pub fn optional<T>(
        &self,
        name: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, FieldError> {
        match self.0.get(name) {
            None | Some(Value::Null) => Ok(None),
            Some(value) => {
                read(value).map(Some).ok_or_else(|| FieldError::WrongType { field: name.to_owned() })
            }
        }
    }

    /// Reads a required integer.
    ///
    /// # Errors
    /// If the field is missing or of the wrong type.
    pub fn integer(&self, name: &str) -> Result<i64, FieldError> {
        self.get(name, Value::as_i64)
    }

    /// Reads a required number.
    ///
    /// # Errors
    /// If the field is missing or of the wrong type.
    pub fn number(&self, name: &str) -> Result<f64, FieldError> {
        self.get(name, Value::as_f64)
    }

    /// Reads a required text, borrowed.
    ///
    /// # Errors
    /// If the field is missing or of the wrong type.
    pub fn str(&self, name: &str) -> Result<&'a str, FieldError> {
        self.get(name, Value::as_str)
    }

    /// Reads a required text.
    ///
    /// # Errors
    /// If the field is missing or of the wrong type.
    pub fn string(&self, name: &str) -> Result<String, FieldError> {
        self.str(name).map(str::to_owned)
    }

    /// Reads a boolean; false if the field is absent or null.
    ///
    /// # Errors
    /// If the field is of the wrong type.
    pub fn flag(&self, name: &str) -> Result<bool, FieldError> {
        Ok(self.optional(name, Value::as_bool)?.unwrap_or(false))
    }

    /// Reads a name and returns its index in a list of the settings; `None` if the field is absent,
    /// null or 0.
    ///
    /// # Errors
    /// If the field is of the wrong type or its name is not in the list.
    pub fn optional_name_index(
        &self,
        field: &str,
        list: &str,
        names: &NameLists,
    ) -> Result<Option<usize>, FieldError> {
        if self.0.get(field).and_then(Value::as_i64) == Some(0) {
            return Ok(None);
        }
        match self.optional(field, Value::as_str)? {
            None => Ok(None),
            Some(name) => name_index(names, list, name)
                .map(Some)
                .ok_or_else(|| FieldError::UnknownName { field: field.to_owned() }),
        }
    }

    /// Reads a required name and returns its index in a list of the settings.
    ///
    /// # Errors
    /// If the field is missing, 0 or of the wrong type, or its name is not in the list.
    pub fn name_index(&self, field: &str, list: &str, names: &NameLists) -> Result<usize, FieldError> {
        let index = self.optional_name_index(field, list, names)?;
        index.ok_or_else(|| FieldError::Missing { field: field.to_owned() })
    }
}

/// Returns the index of a name in a list; `None` if the list or the name is unknown.
pub fn name_index(names: &NameLists, list: &str, name: &str) -> Option<usize> {
    names.get(list)?.iter().position(|item| item == name)
}

/// Returns the names of the frameworks, tenants, zones and kinds of machine in the settings.
pub fn names(settings: &Value) -> NameLists {
    let name = |item: &Value| item.as_str().or_else(|| item.get("name")?.as_str()).unwrap_or("").to_owned();
    let read_list = |list| {
        let items = settings.get(list).and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
        (list, items.iter().map(name).collect())
    };
    ["classes", "tenants", "localities", "machineTypes"].into_iter().map(read_list).collect()
}

/// Converts nested settings to settings with dotted names, with the key of an object's field or the
/// index of a list item as the part after the dot.
pub fn flatten(settings: &Value) -> Settings {
    let mut flattened = Settings::new();
    flatten_under("", settings, &mut flattened);
    flattened
}

fn flatten_under(name: &str, value: &Value, flattened: &mut Settings) {
    let under = |key: &str| {
        if name.is_empty() {
            key.to_owned()
        } else {
            format!("{name}.{key}")
        }
    };
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(key, field)| flatten_under(&under(key), field, flattened))
        }
        Value::Array(items) => items
            .iter()
            .enumerate()
            .for_each(|(index, item)| flatten_under(&under(&index.to_string()), item, flattened)),
        Value::Number(number) => {
            flattened.insert(name.into(), Setting::Number(number.as_f64().unwrap_or(0.0)));
        }
        Value::Bool(flag) => {
            flattened.insert(name.into(), Setting::Number(f64::from(u8::from(*flag))));
        }
        Value::String(text) => {
            flattened.insert(name.into(), Setting::Text(text.clone()));
        }
        Value::Null => {}
    }
}
