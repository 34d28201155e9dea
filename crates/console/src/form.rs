//! Form fields built from the document's JSON schema.

use std::sync::LazyLock;

use kspan_model::document::{Diagnostic, PathStep, SCHEMA, path_steps};
use serde_json::Value;

static ROOT: LazyLock<Value> =
    LazyLock::new(|| serde_json::from_str(SCHEMA).expect("the committed schema is JSON"));

/// One field or group of fields.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// Path of the value, such as `services[0].slots`; the name of the input.
    pub path: String,
    /// Label shown to the user.
    pub label: String,
    /// Description from the schema.
    pub help: String,
    /// Whether the schema requires it.
    pub required: bool,
    /// Errors and warnings at this path.
    pub diagnostics: Vec<String>,
    /// Kind of the field, with its value.
    pub kind: FieldKind,
}

/// Kind of a field, with its value.
#[derive(Clone, Debug, PartialEq)]
pub enum FieldKind {
    /// One line of text, with its current value.
    Text(String),
    /// One of several options, or none.
    Choice {
        /// The options.
        options: Vec<String>,
        /// The current option; empty if none is set.
        selected: String,
    },
    /// Fields of an object.
    Group(Vec<Field>),
    /// Items of a list.
    List {
        /// The items.
        items: Vec<Field>,
        /// Label of one item.
        item_label: String,
    },
}

impl Field {
    /// Returns whether this field or one of its descendants has the path `path`.
    pub(crate) fn contains_path(&self, path: &str) -> bool {
        let children = match &self.kind {
            FieldKind::Group(fields) => fields.as_slice(),
            FieldKind::List { items, .. } => items.as_slice(),
            FieldKind::Text(_) | FieldKind::Choice { .. } => &[],
        };
        self.path == path || children.iter().any(|field| field.contains_path(path))
    }
}

/// Builds the fields of a whole document.
pub fn build_fields(document: &Value, diagnostics: &[Diagnostic]) -> Vec<Field> {
    let cx = Context { diagnostics };
    cx.property_fields("", &ROOT, Some(document))
}

struct Context<'a> {
    diagnostics: &'a [Diagnostic],
}

impl Context<'_> {
    fn property_fields(&self, path: &str, schema: &Value, value: Option<&Value>) -> Vec<Field> {
        let Some(properties) = schema["properties"].as_object() else {
            return Vec::new();
        };
        let fields = properties.iter().map(|(key, property)| {
            let child = if path.is_empty() {
                key.clone()
            } else {
                format!("{path}.{key}")
            };
            let value = value.and_then(|value| value.get(key));
            self.field(&child, key, property, value, is_required(schema, key))
        });
        let mut fields: Vec<Field> = fields.collect();
        // Names and scalar values are shown before groups and lists.
        fields.sort_by_key(|field| (display_order(field), !field.required));
        fields
    }

    fn field(
        &self,
        path: &str,
        key: &str,
        schema: &Value,
        value: Option<&Value>,
        required: bool,
    ) -> Field {
        let target = resolve_reference(schema);
        Field {
            path: path.to_owned(),
            label: label_of(key),
            help: description(schema, target),
            required,
            diagnostics: self.diagnostics_at(path),
            kind: self.field_kind(path, key, target, value),
        }
    }

    fn field_kind(
        &self,
        path: &str,
        key: &str,
        schema: &Value,
        value: Option<&Value>,
    ) -> FieldKind {
        if let Some(options) = schema["enum"].as_array() {
            let options = options
                .iter()
                .filter_map(Value::as_str)
                .map(str::to_owned)
                .collect();
            return FieldKind::Choice {
                options,
                selected: text_of(value),
            };
        }
        match schema["type"].as_str() {
            Some("boolean") => {
                let options = vec!["true".to_owned(), "false".to_owned()];
                FieldKind::Choice {
                    options,
                    selected: text_of(value),
                }
            }
            Some("object") => FieldKind::Group(self.property_fields(path, schema, value)),
            Some("array") => self.list_kind(path, key, schema, value),
            _ => FieldKind::Text(text_of(value)),
        }
    }

    fn list_kind(&self, path: &str, key: &str, schema: &Value, value: Option<&Value>) -> FieldKind {
        let item = singular(key);
        let values = value
            .and_then(Value::as_array)
            .map_or(&[][..], Vec::as_slice);
        let fields = values.iter().enumerate().map(|(index, value)| {
            let path = format!("{path}[{index}]");
            let name = value.get("name").and_then(Value::as_str);
            let mut field = self.field(&path, &item, &schema["items"], Some(value), true);
            field.label = match name {
                Some(name) => format!("{} {name}", label_of(&item)),
                None => format!("{} {}", label_of(&item), index + 1),
            };
            field
        });
        FieldKind::List {
            items: fields.collect(),
            item_label: label_of(&item).to_lowercase(),
        }
    }

    fn diagnostics_at(&self, path: &str) -> Vec<String> {
        let matching = self
            .diagnostics
            .iter()
            .filter(|diagnostic| diagnostic.path == path);
        matching
            .map(|diagnostic| {
                format!(
                    "{}: {} ({})",
                    diagnostic.severity, diagnostic.message, diagnostic.hint
                )
            })
            .collect()
    }
}

/// Returns the schema of the values at a path, or `None` if the schema does not contain the path.
pub(crate) fn schema_at(path: &str) -> Option<&'static Value> {
    let mut schema: &'static Value = &ROOT;
    for step in path_steps(path) {
        schema = match step {
            PathStep::Index(_) => schema.get("items")?,
            PathStep::Key(key) => schema.get("properties")?.get(key)?,
        };
        schema = resolve_reference(schema);
    }
    Some(schema)
}

fn resolve_reference(schema: &Value) -> &Value {
    let Some(reference) = schema["$ref"].as_str() else {
        return schema;
    };
    ROOT.pointer(reference.trim_start_matches('#'))
        .unwrap_or(schema)
}

fn description(schema: &Value, target: &Value) -> String {
    let text = schema["description"]
        .as_str()
        .or_else(|| target["description"].as_str());
    text.unwrap_or_default().to_owned()
}

fn is_required(schema: &Value, key: &str) -> bool {
    let required = schema["required"].as_array();
    required.is_some_and(|keys| keys.iter().any(|known| known == key))
}

fn display_order(field: &Field) -> u8 {
    match (&field.kind, field.label.as_str()) {
        (_, "Name" | "Cell") => 0,
        (FieldKind::Text(_) | FieldKind::Choice { .. }, _) => 1,
        (FieldKind::Group(_), _) => 2,
        (FieldKind::List { .. }, _) => 3,
    }
}

fn text_of(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

fn label_of(key: &str) -> String {
    let text = key.replace('_', " ");
    let mut chars = text.chars();
    let first = chars
        .next()
        .map(|c| c.to_uppercase().to_string())
        .unwrap_or_default();
    first + chars.as_str()
}

fn singular(key: &str) -> String {
    match key {
        "classes" => "class".to_owned(),
        "batch" => "batch workload".to_owned(),
        "workers" => "group of workers".to_owned(),
        _ => key.strip_suffix('s').unwrap_or(key).to_owned(),
    }
}
