//! Rows of the pages that only show.

use kspan_operator::{MemberStatus, Reading};
use serde_json::Value;

/// A table of text.
pub(crate) struct Table {
    pub(crate) caption: String,
    pub(crate) heading: Vec<String>,
    pub(crate) rows: Vec<Vec<String>>,
}

/// Returns a table of the processes with what is in force in each.
pub(crate) fn processes(statuses: &[MemberStatus]) -> Table {
    let rows = statuses.iter().map(|status| {
        vec![
            status.member.node.name.to_string(),
            status.member.role.to_string(),
            status.member.site.to_string(),
            if status.ready { "yes" } else { "no" }.to_owned(),
            number(status.document),
            number(status.applied),
        ]
    });
    Table {
        caption: "Processes and the version that each has in force".to_owned(),
        heading: words(&[
            "Process",
            "Role",
            "Site",
            "Ready",
            "Document",
            "Log read to",
        ]),
        rows: rows.collect(),
    }
}

/// Returns a table of a list of objects, with one column for each key wanted.
pub(crate) fn objects(caption: &str, list: Option<&Value>, columns: &[(&str, &str)]) -> Table {
    let items = list.and_then(Value::as_array).into_iter().flatten();
    let rows = items.map(|item| columns.iter().map(|(key, _)| cell(item, key)).collect());
    Table {
        caption: caption.to_owned(),
        heading: columns
            .iter()
            .map(|(_, title)| (*title).to_owned())
            .collect(),
        rows: rows.collect(),
    }
}

fn cell(item: &Value, key: &str) -> String {
    match item.get(key) {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

fn number(reading: Reading) -> String {
    match reading {
        Reading::Known(number) => number.to_string(),
        Reading::Unknown => "not known".to_owned(),
    }
}

fn words(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}
