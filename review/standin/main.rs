//! The review's cases. Each starts a small deployment of the project's programs on loopback, with
//! stand-ins of the users' platform and clients, and checks one rule on what these have seen.
//!
//! Use: `cases NAME FOLDER`, in the root of the repository after the build of the deploy file. Exits
//! with 1 if the rule was broken, 0 if it held, 2 if the case can't run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod cases;
mod cluster;
mod http;
mod json;
mod record;
mod runner;
mod store;

use std::path::Path;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &args[..] else {
        cluster::unable("expected the name of a case and a folder");
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Some(case) = cases::find(name) else {
        cluster::unable("no such case");
    };
    let breaks = case(has_trouble, Path::new(folder));
    for line in breaks.iter().take(10) {
        println!("BROKEN {line}");
    }
    println!("{} breaks of the rule", breaks.len());
    std::process::exit(i32::from(!breaks.is_empty()));
}
