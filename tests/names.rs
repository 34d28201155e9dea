//! The platform's names stay in its folder.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Names that only `platform/` may know, in halves, so that this file holds none of them.
const NAMES: [(&str, &str); 20] = [
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

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a readable folder") {
        let path = entry.expect("a readable entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn only_the_platforms_folder_knows_its_names() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for folder in ["crates", "src", "tests", "tools"] {
        sources(&root.join(folder), &mut files);
    }
    assert!(files.len() > 100, "only {} files were read", files.len());
    let mut found = Vec::new();
    for file in files {
        let text = fs::read_to_string(&file).expect("a readable file");
        for (first, second) in NAMES {
            if text.contains(&format!("{first}{second}")) {
                found.push(format!("{}: {first}{second}", file.display()));
            }
        }
    }
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn the_names_are_those_that_the_folder_uses() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join("platform"), &mut files);
    let texts: Vec<String> = files
        .iter()
        .map(|file| fs::read_to_string(file).expect("a readable file"))
        .collect();
    let used = NAMES.iter().filter(|(first, second)| {
        let name = format!("{first}{second}");
        texts.iter().any(|text| text.contains(&name))
    });
    // Serde's renaming spells the fields of bodies; the rest stand there as they are.
    assert!(
        used.count() >= 10,
        "the list has lost touch with the folder"
    );
}
