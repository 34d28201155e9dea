//! Replaces the parts of a document that violate the schema with placeholders.
//!
//! The other parts can then still be checked, so that one pass reports all errors. The repaired
//! document is never used for anything else.

use std::collections::BTreeSet;

use serde_json::{Value, json};

use crate::document::Diagnostic;

/// The replaced parts of a document, as paths such as `teams[2]` or `fleet`.
pub(super) struct Replaced(BTreeSet<String>);

impl Replaced {
    /// Returns whether a diagnostic at a path is caused by a placeholder and must be dropped.
    ///
    /// The name of a replaced part is kept, so diagnostics of the name remain valid.
    pub(super) fn covers(&self, path: &str) -> bool {
        let in_replaced_part = self.0.contains(&part_of(path)) && !path.ends_with(".name");
        in_replaced_part || self.refers_to_replaced(path)
    }

    /// Returns whether a path holds a reference into a section that was replaced as a whole.
    fn refers_to_replaced(&self, path: &str) -> bool {
        let team = path.ends_with(".team") && self.0.contains("teams");
        let region = path.contains(".regions[") && self.0.contains("regions");
        team || region
    }
}

/// Returns a copy of `value` in which every part with a schema error is a placeholder.
pub(super) fn with_placeholders(value: &Value, diagnostics: &[Diagnostic]) -> (Value, Replaced) {
    let parts: BTreeSet<String> = diagnostics
        .iter()
        .map(|diagnostic| part_of(&diagnostic.path))
        .collect();
    let mut copy = if value.is_object() {
        value.clone()
    } else {
        json!({})
    };
    for part in &parts {
        replace_part(&mut copy, part);
    }
    (copy, Replaced(parts))
}

/// Returns the leading part of a path: a section, or one item of a section.
fn part_of(path: &str) -> String {
    path.split('.').next().unwrap_or_default().to_owned()
}

fn replace_part(copy: &mut Value, part: &str) {
    let (section, index) = match part.split_once('[') {
        Some((section, rest)) => (section, rest.trim_end_matches(']').parse::<usize>().ok()),
        None => (part, None),
    };
    let Some(index) = index else {
        replace_section(copy, section);
        return;
    };
    if let Some(item) = copy.get_mut(section).and_then(|items| items.get_mut(index)) {
        let name = item.get("name").and_then(Value::as_str).map(str::to_owned);
        let name = name.unwrap_or_else(|| format!("placeholder-{section}-{index}"));
        *item = item_placeholder(section, &name, item);
    }
}

fn replace_section(copy: &mut Value, section: &str) {
    let Some(object) = copy.as_object_mut() else {
        return;
    };
    let placeholder = match section {
        "cell" => json!("placeholder"),
        "fleet" => json!({
            "entry_hosts": 1,
            "workers": [{"count": 1, "cpu": 100_000_000, "memory": "999999999GiB",
                         "accelerators": 1024}],
        }),
        "regions" | "teams" | "services" | "batch" | "gangs" => json!([]),
        _ => {
            object.remove(section);
            return;
        }
    };
    object.insert(section.to_owned(), placeholder);
}

fn item_placeholder(section: &str, name: &str, item: &Value) -> Value {
    let size = json!({"cpu": 1, "memory": "1MiB"});
    let team = item.get("team").and_then(Value::as_str).unwrap_or_default();
    match section {
        "regions" => json!({"name": name, "data_centres": []}),
        "teams" => json!({"name": name, "quota": size}),
        "services" => json!({"name": name, "team": team, "runners": 1, "task": size, "slots": 1,
                             "connections": 1, "classes": []}),
        "batch" => json!({"name": name, "team": team, "tasks": 1, "task": size, "run_time": "1s"}),
        _ => json!({"name": name, "team": team, "tasks": 2, "task": size, "run_time": "1s"}),
    }
}
