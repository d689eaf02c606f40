//! Reads fields of JSON objects as their types or says which is missing or mistyped, flattens settings into
//! dotted names, and finds names in the settings' lists. Used by every protocol that speaks JSON.
use basaltpitch::host::{Settings, Value as Setting};
use serde_json::Value;
use std::collections::HashMap;

/// The lists of names in the settings, by the list's own name.
pub type NameLists = HashMap<&'static str, Vec<String>>;

/// Why a field could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// A field that must be there is absent or null.
    #[error("field '{field}' is missing")]
    Missing {
        /// The field's name.
        field: String,
    },
    /// A field has a value of another type than is expected.
    #[error("field '{field}' is of the wrong type")]
    WrongType {
        /// The field's name.
        field: String,
    },
    /// A field names an item that is not in the settings' list.
    #[error("field '{field}' names nothing in the settings")]
    UnknownName {
        /// The field's name.
        field: String,
    },
}

impl From<FieldError> for String {
    fn from(error: FieldError) -> String {
        error.to_string()
    }
}

/// One object's fields, read as their types or reported as missing or mistyped.
#[derive(Clone, Copy)]
pub struct Fields<'a>(pub &'a Value);

impl<'a> Fields<'a> {
    /// A field that must be there. `read` says none for a value of the wrong type.
    ///
    /// # Errors
    /// When it is missing or of the wrong type.
    pub fn get<T>(&self, name: &str, read: impl Fn(&'a Value) -> Option<T>) -> Result<T, FieldError> {
        self.optional(name, read)?.ok_or_else(|| FieldError::Missing { field: name.to_owned() })
    }

    /// A field that may be absent or null. `read` says none for a value of the wrong type.
    ///
    /// # Errors
    /// When it is of the wrong type.
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

    /// A whole number.
    ///
    /// # Errors
    /// When it is missing or of the wrong type.
    pub fn integer(&self, name: &str) -> Result<i64, FieldError> {
        self.get(name, Value::as_i64)
    }

    /// A number.
    ///
    /// # Errors
    /// When it is missing or of the wrong type.
    pub fn number(&self, name: &str) -> Result<f64, FieldError> {
        self.get(name, Value::as_f64)
    }

    /// A text, borrowed.
    ///
    /// # Errors
    /// When it is missing or of the wrong type.
    pub fn str(&self, name: &str) -> Result<&'a str, FieldError> {
        self.get(name, Value::as_str)
    }

    /// A text.
    ///
    /// # Errors
    /// When it is missing or of the wrong type.
    pub fn string(&self, name: &str) -> Result<String, FieldError> {
        self.str(name).map(str::to_owned)
    }

    /// True or false; false where it is absent.
    ///
    /// # Errors
    /// When it is of the wrong type.
    pub fn flag(&self, name: &str) -> Result<bool, FieldError> {
        Ok(self.optional(name, Value::as_bool)?.unwrap_or(false))
    }

    /// The index of a name in a list of the settings; `None` where the field is absent or 0.
    ///
    /// # Errors
    /// When it is of the wrong type, or the list does not hold it.
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

    /// The index of a name in a list of the settings.
    ///
    /// # Errors
    /// When it is missing or of the wrong type, or the list does not hold it.
    pub fn name_index(&self, field: &str, list: &str, names: &NameLists) -> Result<usize, FieldError> {
        let index = self.optional_name_index(field, list, names)?;
        index.ok_or_else(|| FieldError::Missing { field: field.to_owned() })
    }
}

/// The index of a name in a list, if it holds it.
pub fn name_index(names: &NameLists, list: &str, name: &str) -> Option<usize> {
    names.get(list)?.iter().position(|item| item == name)
}

/// The names that the settings give to frameworks, tenants, zones and kinds of machine.
pub fn names(settings: &Value) -> NameLists {
    let name = |item: &Value| item.as_str().or_else(|| item.get("name")?.as_str()).unwrap_or("").to_owned();
    let read_list = |list| {
        let items = settings.get(list).and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
        (list, items.iter().map(name).collect())
    };
    ["classes", "tenants", "localities", "machineTypes"].into_iter().map(read_list).collect()
}

/// Flattens settings into dotted names: objects by key, lists by position.
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
