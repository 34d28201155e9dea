//! Validation of a document against its JSON schema.

use std::sync::LazyLock;

use jsonschema::{ValidationError, Validator, error::ValidationErrorKind};
use serde_json::Value;

use crate::document::Diagnostic;

/// Text of the JSON schema of documents.
pub const SCHEMA: &str = include_str!("../../schema/document.schema.json");

static PARSED: LazyLock<Value> =
    LazyLock::new(|| serde_json::from_str(SCHEMA).expect("the committed schema is JSON"));

static VALIDATOR: LazyLock<Validator> =
    LazyLock::new(|| jsonschema::validator_for(&PARSED).expect("the committed schema is valid"));

/// Returns all violations of the schema.
pub(super) fn check_schema(value: &Value) -> Vec<Diagnostic> {
    VALIDATOR
        .iter_errors(value)
        .flat_map(|err| diagnostics_of(&err))
        .collect()
}

fn diagnostics_of(err: &ValidationError<'_>) -> Vec<Diagnostic> {
    let path = dotted_path(&err.instance_path().to_string());
    match err.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => unexpected
            .iter()
            .map(|key| Diagnostic::new(join(&path, key), "unknown key", known_keys(err)))
            .collect(),
        ValidationErrorKind::Required { property } => {
            let key = property.as_str().unwrap_or_default();
            let hint = format!("add `{key}`");
            vec![Diagnostic::new(join(&path, key), "missing key", hint)]
        }
        ValidationErrorKind::Pattern { .. } => {
            let message = format!("{} does not match the expected format", err.instance());
            vec![Diagnostic::new(path, message, schema_description(err))]
        }
        _ => vec![Diagnostic::new(
            path,
            err.to_string(),
            schema_description(err),
        )],
    }
}

/// Returns the description of the schema that a value violates.
fn schema_description(err: &ValidationError<'_>) -> String {
    parent_schema(err)
        .and_then(|schema| schema.get("description"))
        .and_then(Value::as_str)
        .map_or_else(|| "see the document reference".to_owned(), str::to_owned)
}

fn known_keys(err: &ValidationError<'_>) -> String {
    let keys = parent_schema(err)
        .and_then(|schema| schema.get("properties"))
        .and_then(Value::as_object)
        .map(|keys| keys.keys().cloned().collect::<Vec<_>>().join(", "));
    format!("known keys: {}", keys.unwrap_or_default())
}

/// Returns the schema object that contains the violated keyword.
fn parent_schema(err: &ValidationError<'_>) -> Option<&'static Value> {
    let location = err.schema_path().to_string();
    let (parent, _) = location.rsplit_once('/')?;
    PARSED.pointer(parent)
}

/// Converts a JSON pointer into a dotted path.
fn dotted_path(pointer: &str) -> String {
    let mut path = String::new();
    for part in pointer.split('/').filter(|part| !part.is_empty()) {
        if part.bytes().all(|b| b.is_ascii_digit()) {
            path.push_str(&format!("[{part}]"));
        } else {
            path = join(&path, part);
        }
    }
    path
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}
