//! Names of the users' platform appear in `platform/` only, so that the other crates do not depend
//! on the platform.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Names that may occur in `platform/` only. Each is split in two, so that this file does not
/// contain it.
const PLATFORM_NAMES: [(&str, &str); 20] = [
    ("X-Knapweed", "span"),
    ("Ack", "Cursor"),
    ("run-", "start"),
    ("run-", "stop"),
    ("log-", "append"),
    ("log-", "newest"),
    ("log-", "read"),
    ("api/", "hold"),
    ("api/", "advise"),
    ("api/", "ready"),
    ("Deadline", "Ms"),
    ("Last", "Checkpoint"),
    ("Path", "Prefix"),
    ("EstRuntime", "Ms"),
    ("DecideM", "s\""),
    ("\"Approv", "ed\""),
    ("KNAPWEED", "SPAN_BOOT"),
    ("keyed", ".servers"),
    ("keyed", ".op"),
    ("fleet", "bench"),
];

fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("failed to read a folder") {
        let path = entry.expect("failed to read a folder entry").path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn platform_names_occur_only_in_the_platform_folder() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for folder in ["crates", "src", "tests", "tools"] {
        collect_sources(&root.join(folder), &mut files);
    }
    assert!(
        files.len() > 100,
        "expected more than 100 source files, found {}",
        files.len()
    );
    let mut found = Vec::new();
    for file in files {
        let text = fs::read_to_string(&file).expect("a readable file");
        for (first, second) in PLATFORM_NAMES {
            if text.contains(&format!("{first}{second}")) {
                found.push(format!("{}: {first}{second}", file.display()));
            }
        }
    }
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn listed_platform_names_occur_in_the_platform_folder() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    collect_sources(&root.join("platform"), &mut files);
    let texts: Vec<String> = files
        .iter()
        .map(|file| fs::read_to_string(file).expect("a readable file"))
        .collect();
    let used = PLATFORM_NAMES.iter().filter(|(first, second)| {
        let name = format!("{first}{second}");
        texts.iter().any(|text| text.contains(&name))
    });
    // Most names of body fields are produced by serde's `rename_all` and do not occur literally.
    assert!(
        used.count() >= 10,
        "fewer than 10 of the listed names occur in `platform/`; the list is out of date"
    );
}
