//! Output of results in the requested format.

#[cfg(test)]
mod tests;

use std::{fmt::Write as _, str::FromStr};

use serde::Serialize;

/// Output format of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// Human-readable columns.
    Table,
    /// JSON.
    Json,
    /// YAML.
    Yaml,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            "yaml" => Ok(Self::Yaml),
            _ => Err(format!(
                "unknown format {text:?}, expected table, json or yaml"
            )),
        }
    }
}

/// Prints a result; `table` is called only for [`Format::Table`].
pub(crate) fn print<T: Serialize>(format: Format, result: &T, table: impl FnOnce() -> String) {
    let text = match format {
        Format::Table => table(),
        Format::Json => serde_json::to_string_pretty(result).expect("a result can be serialised"),
        Format::Yaml => serde_norway::to_string(result).expect("a result can be serialised"),
    };
    println!("{}", text.trim_end());
}

/// Formats a number of things, such as `1 error` or `2 errors`.
pub(crate) fn format_count(count: usize, singular: &str, plural: &str) -> String {
    let noun = if count == 1 { singular } else { plural };
    format!("{count} {noun}")
}

/// Formats rows as aligned columns under a heading.
pub(crate) fn format_columns(heading: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = heading.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let heading: Vec<String> = heading.iter().map(|cell| (*cell).to_owned()).collect();
    let mut text = String::new();
    for row in std::iter::once(&heading).chain(rows) {
        for (width, cell) in widths.iter().zip(row) {
            let _ = write!(text, "{cell:width$}  ");
        }
        text.truncate(text.trim_end().len());
        text.push('\n');
    }
    text
}
