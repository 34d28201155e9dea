//! Results in the form asked for.

use std::{fmt::Write as _, str::FromStr};

use serde::Serialize;

/// Form of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// Columns for people.
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
            _ => Err(format!("{text:?} is none of table, json, yaml")),
        }
    }
}

/// Prints a result; `table` is called only for that form.
pub(crate) fn print<T: Serialize>(format: Format, result: &T, table: impl FnOnce() -> String) {
    let text = match format {
        Format::Table => table(),
        Format::Json => serde_json::to_string_pretty(result).expect("results are plain data"),
        Format::Yaml => serde_norway::to_string(result).expect("results are plain data"),
    };
    println!("{}", text.trim_end());
}

/// Lays rows out in columns under a heading.
pub(crate) fn columns(heading: &[&str], rows: &[Vec<String>]) -> String {
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
