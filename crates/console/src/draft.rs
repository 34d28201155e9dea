//! Documents that are being edited, rebuilt from the form fields that a browser sends.

use kspan_model::document::{PathStep, path_steps};
use serde_json::{Map, Value};

use crate::form::schema_at;

/// Maximum length of a list in a form. Bounds the memory that an index in a field name can allocate.
const MAX_LIST_ITEMS: usize = 5_000;

/// A document being edited.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    /// The document as JSON, which may be invalid.
    pub value: Value,
}

/// A change to the lists of a form, made by a button.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Adds an empty item to the list at a path.
    Add(String),
    /// Removes the item at a path.
    Remove(String),
}

impl Edit {
    /// Parses the value of a button, such as `add:teams` or `remove:teams[1]`.
    ///
    /// Returns `None` if the value is malformed or the schema does not contain its path.
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
    /// Builds a draft from the fields of a form. Fields that are empty or not in the schema are
    /// omitted.
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
            if is_object_schema(schema) {
                set_value(&mut value, path, Value::Object(Map::new()));
            } else if !text.trim().is_empty() {
                set_value(&mut value, path, parse_scalar(schema, text.trim()));
            }
        }
        remove_empty(&mut value);
        Self { value }
    }

    /// Builds a draft from YAML text. The draft is empty if the text is not valid YAML.
    pub fn from_text(text: &str) -> Self {
        Self {
            value: serde_norway::from_str(text).unwrap_or(Value::Object(Map::new())),
        }
    }

    /// Serialises the draft as YAML.
    ///
    /// # Panics
    ///
    /// Never panics in practice: every JSON value can be serialised as YAML.
    pub fn to_text(&self) -> String {
        serde_norway::to_string(&self.value).expect("a JSON value is a YAML value")
    }

    /// Applies the edit of a button.
    pub fn apply(&mut self, edit: &Edit) {
        match edit {
            Edit::Add(path) => self.add_item(path),
            Edit::Remove(path) => self.remove_item(path),
        }
    }

    fn add_item(&mut self, path: &str) {
        let item = match schema_at(&format!("{path}[0]")) {
            Some(schema) if is_object_schema(schema) => Value::Object(Map::new()),
            _ => Value::String(String::new()),
        };
        let length = value_at(&self.value, path)
            .and_then(Value::as_array)
            .map_or(0, Vec::len);
        set_value(&mut self.value, &format!("{path}[{length}]"), item);
    }

    fn remove_item(&mut self, path: &str) {
        let Some((list, index)) = path.rsplit_once('[') else {
            return;
        };
        let Ok(index) = index.trim_end_matches(']').parse::<usize>() else {
            return;
        };
        if let Some(items) = value_at_mut(&mut self.value, list).and_then(Value::as_array_mut)
            && index < items.len()
        {
            items.remove(index);
        }
    }
}

/// Returns whether a schema describes objects. A form marks such a list item with a hidden field, so
/// that the item is kept even if all of its fields are empty.
fn is_object_schema(schema: &Value) -> bool {
    schema["type"] == "object"
}

fn parse_scalar(schema: &Value, text: &str) -> Value {
    let types = &schema["type"];
    let has_type = |name: &str| {
        types == name
            || types
                .as_array()
                .is_some_and(|all| all.iter().any(|t| t == name))
    };
    if has_type("boolean") && (text == "true" || text == "false") {
        return Value::Bool(text == "true");
    }
    let is_number = has_type("integer") || has_type("number");
    if is_number && let Ok(number) = text.parse::<i64>() {
        return Value::from(number);
    }
    // JSON can't represent infinity. Such a text is kept as a string, which the check of the draft
    // reports as an error.
    if has_type("number")
        && let Some(number) = text.parse().ok().filter(|number: &f64| number.is_finite())
    {
        return Value::from(number);
    }
    Value::String(text.to_owned())
}

fn set_value(root: &mut Value, path: &str, value: Value) {
    let mut node = root;
    for step in path_steps(path) {
        node = match step {
            PathStep::Key(key) => {
                if !node.is_object() {
                    *node = Value::Object(Map::new());
                }
                node.as_object_mut()
                    .expect("the node is an object")
                    .entry(key)
                    .or_insert(Value::Null)
            }
            PathStep::Index(index) if index < MAX_LIST_ITEMS => {
                if !node.is_array() {
                    *node = Value::Array(Vec::new());
                }
                let items = node.as_array_mut().expect("the node is an array");
                if items.len() <= index {
                    items.resize(index + 1, Value::Null);
                }
                &mut items[index]
            }
            PathStep::Index(_) => return,
        };
    }
    let keeps_fields = value.is_object() && node.is_object();
    if !keeps_fields {
        *node = value;
    }
}

fn value_at<'a>(root: &'a Value, path: &str) -> Option<&'a Value> {
    path_steps(path).try_fold(root, |node, step| match step {
        PathStep::Key(key) => node.get(key),
        PathStep::Index(index) => node.get(index),
    })
}

fn value_at_mut<'a>(root: &'a mut Value, path: &str) -> Option<&'a mut Value> {
    path_steps(path).try_fold(root, |node, step| match step {
        PathStep::Key(key) => node.get_mut(key),
        PathStep::Index(index) => node.get_mut(index),
    })
}

/// Removes gaps in lists and empty optional objects.
fn remove_empty(value: &mut Value) {
    match value {
        Value::Array(items) => {
            items.retain(|item| !item.is_null());
            items.iter_mut().for_each(remove_empty);
        }
        Value::Object(object) => {
            object.values_mut().for_each(remove_empty);
            object.retain(|_, child| !child.is_null() && !is_empty_object(child));
        }
        _ => {}
    }
}

fn is_empty_object(value: &Value) -> bool {
    value.as_object().is_some_and(Map::is_empty)
}
