//! Record of what was sent, answered and run, which is written to the case's folder.

use std::{
    fs,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A record that all stand-ins share.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
    path: PathBuf,
}

impl Record {
    /// Creates an empty record, to be written to `path`.
    pub fn new(path: PathBuf) -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
            path,
        }
    }

    /// Returns the time since the start, in milliseconds.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Adds a line, and shows it.
    pub fn add(&self, line: impl AsRef<str>) {
        let now = self.now();
        let line = format!("{:8.3} s  {}", now as f64 / 1_000.0, line.as_ref());
        println!("{line}");
        self.lines.lock().expect("no writer panics").push(line);
    }

    /// Writes the record to its file.
    pub fn write(&self) {
        let lines = self.lines.lock().expect("no writer panics");
        if let Err(err) = fs::write(&self.path, lines.join("\n") + "\n") {
            eprintln!("the record could not be written: {err}");
        }
    }
}
