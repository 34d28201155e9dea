//! The record of a case: what was sent, answered and run.

use std::{fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

/// Writes lines with the time since the start of the case.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> Self {
        Self {
            file: Mutex::new(File::create(path).expect("a writable record")),
            started: Instant::now(),
        }
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
        println!("{at:8.3} {text}");
    }
}
