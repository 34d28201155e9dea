//! A document being edited, rebuilt from the fields that a browser sent.

use kspan_model::document::{PathStep, path_steps};
use serde_json::{Map, Value};

use crate::form::schema_at;

/// Longest list that a form may build, so that one field name can't claim unbounded memory.
const MAX_ITEMS: usize = 5_000;

/// A document being edited.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    /// The value, which may have faults.
    pub value: Value,
}

/// A button that changes the shape of a form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Adds an empty item to the list at a path.
    Add(String),
    /// Removes the item at a path.
    Remove(String),
}

impl Edit {
    /// Reads the value of a button, such as `add:teams` or `remove:teams[1]`.
    pub fn from_button(text: &str) -> Option<Self> {
        let (verb, path) = text.split_once(':')?;
        schema_at(path).filter(|_| !path.is_empty())?;
        match verb {
            "add" => Some(Self::Add(path.to_owned())),
            "remove" => Some(Self::Remove(path.to_owned())),
            _ => None,
        }
    }
}

impl Draft {
    /// Builds a draft from the fields of a form. Fields that the schema doesn't know are left
    /// out; empty ones are absent.
    ///
    /// # Examples
    ///
    /// ```
    /// use kspan_console::Draft;
    ///
    /// let draft = Draft::from_fields([("teams[0].name", "ops"), ("teams[0].weight", "2")]);
    /// assert_eq!(draft.value["teams"][0]["weight"], 2);
    /// ```
    pub fn from_fields<'a>(fields: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let mut value = Value::Object(Map::new());
        for (path, text) in fields {
            let Some(schema) = schema_at(path) else {
                continue;
            };
            if is_item_marker(schema) {
                place(&mut value, path, Value::Object(Map::new()));
            } else if !text.trim().is_empty() {
                place(&mut value, path, scalar(schema, text.trim()));
            }
        }
        compact(&mut value);
        Self { value }
    }

    /// Builds a draft from YAML text; an empty one where the text is no YAML.
    pub fn from_text(text: &str) -> Self {
        Self {
            value: serde_norway::from_str(text).unwrap_or(Value::Object(Map::new())),
        }
    }

    /// Writes the draft as YAML.
    ///
    /// # Panics
    ///
    /// Panics where a JSON value can't be written as YAML, which it always can.
    pub fn to_text(&self) -> String {
        serde_norway::to_string(&self.value).expect("a JSON value is a YAML value")
    }

    /// Applies a button.
    pub fn apply(&mut self, edit: &Edit) {
        match edit {
            Edit::Add(path) => self.add(path),
            Edit::Remove(path) => self.remove(path),
        }
    }

    fn add(&mut self, path: &str) {
        let item = match schema_at(&format!("{path}[0]")) {
            Some(schema) if is_item_marker(schema) => Value::Object(Map::new()),
            _ => Value::String(String::new()),
        };
        let length = at(&self.value, path)
            .and_then(Value::as_array)
            .map_or(0, Vec::len);
        place(&mut self.value, &format!("{path}[{length}]"), item);
    }

    fn remove(&mut self, path: &str) {
        let Some((list, index)) = path.rsplit_once('[') else {
            return;
        };
        let Ok(index) = index.trim_end_matches(']').parse::<usize>() else {
            return;
        };
        if let Some(items) = at_mut(&mut self.value, list).and_then(Value::as_array_mut)
            && index < items.len()
        {
            items.remove(index);
        }
    }
}

/// Returns whether a schema is of objects, whose fields say nothing while all are empty; a hidden
/// field then keeps the item.
fn is_item_marker(schema: &Value) -> bool {
    schema["type"] == "object"
}

fn scalar(schema: &Value, text: &str) -> Value {
    let kinds = &schema["type"];
    let has = |kind: &str| {
        kinds == kind
            || kinds
                .as_array()
                .is_some_and(|all| all.iter().any(|k| k == kind))
    };
    if has("boolean") && (text == "true" || text == "false") {
        return Value::Bool(text == "true");
    }
    let is_number = has("integer") || has("number");
    if is_number && let Ok(number) = text.parse::<i64>() {
        return Value::from(number);
    }
    // JSON has no infinity; such a text stays text, so that the operator sees the fault.
    if has("number")
        && let Some(number) = text.parse().ok().filter(|number: &f64| number.is_finite())
    {
        return Value::from(number);
    }
    Value::String(text.to_owned())
}

fn place(root: &mut Value, path: &str, value: Value) {
    let mut node = root;
    for step in path_steps(path) {
        node = match step {
            PathStep::Key(key) => {
                if !node.is_object() {
                    *node = Value::Object(Map::new());
                }
                node.as_object_mut()
                    .expect("made an object")
                    .entry(key)
                    .or_insert(Value::Null)
            }
            PathStep::Index(index) if index < MAX_ITEMS => {
                if !node.is_array() {
                    *node = Value::Array(Vec::new());
                }
                let items = node.as_array_mut().expect("made an array");
                if items.len() <= index {
                    items.resize(index + 1, Value::Null);
                }
                &mut items[index]
            }
            PathStep::Index(_) => return,
        };
    }
    let keeps = value.is_object() && node.is_object();
    if !keeps {
        *node = value;
    }
}

fn at<'a>(root: &'a Value, path: &str) -> Option<&'a Value> {
    path_steps(path).try_fold(root, |node, step| match step {
        PathStep::Key(key) => node.get(key),
        PathStep::Index(index) => node.get(index),
    })
}

fn at_mut<'a>(root: &'a mut Value, path: &str) -> Option<&'a mut Value> {
    path_steps(path).try_fold(root, |node, step| match step {
        PathStep::Key(key) => node.get_mut(key),
        PathStep::Index(index) => node.get_mut(index),
    })
}

/// Drops gaps in lists and optional objects that hold nothing.
fn compact(value: &mut Value) {
    match value {
        Value::Array(items) => {
            items.retain(|item| !item.is_null());
            items.iter_mut().for_each(compact);
        }
        Value::Object(object) => {
            object.values_mut().for_each(compact);
            object.retain(|_, child| !child.is_null() && !is_empty_object(child));
        }
        _ => {}
    }
}

fn is_empty_object(value: &Value) -> bool {
    value.as_object().is_some_and(Map::is_empty)
}
