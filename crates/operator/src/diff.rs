//! Differences between two documents, matching list items by name instead of position.

use derive_more::Display;
use serde::Serialize;
use serde_json::Value;

/// One difference between two documents.
#[derive(Clone, Debug, Display, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum Change {
    /// A value was added.
    #[display("+ {path}: {new}")]
    Added {
        /// Path of the value, with list items denoted by name.
        path: String,
        /// The new value.
        new: Value,
    },
    /// A value was removed.
    #[display("- {path}: {old}")]
    Removed {
        /// Path of the value, with list items denoted by name.
        path: String,
        /// The old value.
        old: Value,
    },
    /// A value was changed.
    #[display("~ {path}: {old} -> {new}")]
    Changed {
        /// Path of the value, with list items denoted by name.
        path: String,
        /// The old value.
        old: Value,
        /// The new value.
        new: Value,
    },
}

/// Returns the differences from `old` to `new`.
///
/// The items of a list are matched by `name` if all of them have one, so that reordering them is not
/// a difference. Other lists are compared as a whole.
///
/// # Examples
///
/// ```
/// use kspan_operator::diff;
/// use serde_json::json;
///
/// let old = json!({"teams": [{"name": "a", "weight": 1}, {"name": "b", "weight": 1}]});
/// let new = json!({"teams": [{"name": "b", "weight": 2}, {"name": "a", "weight": 1}]});
/// let changes = diff(&old, &new);
/// assert_eq!(changes.len(), 1);
/// assert_eq!(changes[0].to_string(), "~ teams[b].weight: 1 -> 2");
/// ```
pub fn diff(old: &Value, new: &Value) -> Vec<Change> {
    let mut changes = Vec::new();
    compare("", old, new, &mut changes);
    changes
}

fn compare(path: &str, old: &Value, new: &Value, changes: &mut Vec<Change>) {
    if old == new {
        return;
    }
    let Some(pairs) = pair_children(old, new) else {
        let (old, new) = (old.clone(), new.clone());
        changes.push(Change::Changed {
            path: path.to_owned(),
            old,
            new,
        });
        return;
    };
    for pair in pairs {
        let path = format!("{path}{}", pair.step);
        let path = path.trim_start_matches('.').to_owned();
        match (pair.old, pair.new) {
            (Some(old), Some(new)) => compare(&path, old, new, changes),
            (None, Some(new)) => changes.push(Change::Added {
                path,
                new: new.clone(),
            }),
            (Some(old), None) => changes.push(Change::Removed {
                path,
                old: old.clone(),
            }),
            (None, None) => {}
        }
    }
}

/// The values of one key or item name in both documents.
struct Pair<'a> {
    step: String,
    old: Option<&'a Value>,
    new: Option<&'a Value>,
}

/// Pairs the children of two values. Returns `None` if the values can only be compared as a whole.
fn pair_children<'a>(old: &'a Value, new: &'a Value) -> Option<Vec<Pair<'a>>> {
    let (old, new, step): (_, _, fn(&str) -> String) = match (old, new) {
        (Value::Object(_), Value::Object(_)) => {
            (object_entries(old)?, object_entries(new)?, |key| {
                format!(".{key}")
            })
        }
        _ => (named_items(old)?, named_items(new)?, |name| {
            format!("[{name}]")
        }),
    };
    let find = |list: &[(&'a str, &'a Value)], key: &str| {
        list.iter()
            .find(|(name, _)| *name == key)
            .map(|(_, value)| *value)
    };
    let mut pairs: Vec<Pair<'a>> = old
        .iter()
        .map(|(key, value)| Pair {
            step: step(key),
            old: Some(value),
            new: find(&new, key),
        })
        .collect();
    let added = new.iter().filter(|(key, _)| find(&old, key).is_none());
    pairs.extend(added.map(|(key, value)| Pair {
        step: step(key),
        old: None,
        new: Some(value),
    }));
    Some(pairs)
}

fn object_entries(value: &Value) -> Option<Vec<(&str, &Value)>> {
    Some(
        value
            .as_object()?
            .iter()
            .map(|(key, value)| (key.as_str(), value))
            .collect(),
    )
}

fn named_items(value: &Value) -> Option<Vec<(&str, &Value)>> {
    let items = value.as_array()?;
    items
        .iter()
        .map(|item| Some((item.get("name")?.as_str()?, item)))
        .collect()
}
