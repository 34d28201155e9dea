//! A live view of the cell.

use std::time::Duration;

use kspan_operator::Cell;
use ntex::http::Method;
use serde_json::Value;

use crate::{
    args::Top,
    exit::{Exit, unreachable},
    job::ask_scheduler,
    output::{Format, columns},
    show,
};

/// Clears the terminal and moves to its upper left corner.
const CLEAR: &str = "\x1b[2J\x1b[H";

pub(crate) async fn top(cmd: &Top, cell: &mut Cell) -> Exit {
    let mut looks = 0;
    loop {
        if let Err(err) = cell.refresh().await {
            return unreachable(&err);
        }
        print!("{CLEAR}");
        let _ = show::status(Format::Table, cell).await;
        if let Ok((200, body)) = ask_scheduler(cell, Method::GET, "/v1/cell", None).await {
            println!("\n{}", workloads(&body));
        }
        looks += 1;
        if looks == cmd.count {
            return Exit::Done;
        }
        tokio::time::sleep(Duration::from_secs(cmd.every.max(1))).await;
    }
}

fn workloads(body: &Value) -> String {
    let list = body.get("workloads").and_then(Value::as_array);
    let rows: Vec<Vec<String>> = list
        .into_iter()
        .flatten()
        .map(|row| {
            ["name", "kind", "state", "running", "waiting", "reason"]
                .map(|k| text(row, k))
                .into()
        })
        .collect();
    columns(
        &["WORKLOAD", "KIND", "STATE", "RUNNING", "WAITING", "REASON"],
        &rows,
    )
}

fn text(row: &Value, key: &str) -> String {
    match row.get(key) {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}
