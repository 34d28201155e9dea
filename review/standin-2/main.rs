//! Stand-ins and cases of the second independent review. Usage: `cases NAME FOLDER`.
//!
//! The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod check;
mod cluster;
mod http;
mod json;
mod record;
mod runner;
mod store;

use std::{path::Path, process::ExitCode};

use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, folder] = args.as_slice() else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(Path::new(folder).join("record.txt"));
    record.add(format!("case {name}, trouble {has_trouble}"));
    let broken = match name.as_str() {
        "late" => cases::late(has_trouble, &record),
        "fills" => cases::fills(has_trouble, &record),
        "affinity" => cases::affinity(has_trouble, &record),
        "gang" => cases::gang(has_trouble, &record),
        "odd" => cases::odd(has_trouble, &record),
        "ghost" => cases::ghost(has_trouble, &record),
        _ => None,
    };
    let code = match &broken {
        None => 2,
        Some(broken) => u8::from(!broken.is_empty()),
    };
    for line in broken.unwrap_or_default() {
        record.add(format!("BROKEN {line}"));
    }
    record.add(format!("exit code {code}"));
    record.write();
    ExitCode::from(code)
}
