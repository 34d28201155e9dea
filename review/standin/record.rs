//! What was sent, answered and run, and the rules that are checked on it.

use std::{
    collections::HashMap,
    fmt::Write as _,
    sync::Mutex,
    time::{Duration, Instant},
};

/// A run on a runner.
#[derive(Clone, Debug)]
pub struct RunRow {
    pub task: String,
    pub run: u64,
    pub runner: usize,
    pub began: Duration,
    pub ended: Option<(Duration, &'static str)>,
    /// Time at which its end was acknowledged.
    pub noted: Option<Duration>,
}

#[derive(Default)]
struct Rows {
    runs: Vec<RunRow>,
    lines: Vec<(Duration, String)>,
}

/// The record of a case.
pub struct Record {
    start: Instant,
    rows: Mutex<Rows>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            rows: Mutex::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn began(&self, task: &str, run: u64, runner: usize) -> usize {
        let began = self.now();
        let mut rows = self.rows.lock().unwrap();
        rows.runs.push(RunRow {
            task: task.to_owned(),
            run,
            runner,
            began,
            ended: None,
            noted: None,
        });
        rows.runs.len() - 1
    }

    pub fn ended(&self, index: usize, how: &'static str) {
        let now = self.now();
        self.rows.lock().unwrap().runs[index].ended = Some((now, how));
    }

    pub fn noted(&self, index: usize) {
        let now = self.now();
        self.rows.lock().unwrap().runs[index].noted = Some(now);
    }

    /// Notes something that was done, sent or answered.
    pub fn note(&self, text: String) {
        let now = self.now();
        println!("{:8.3} {text}", now.as_secs_f64());
        self.rows.lock().unwrap().lines.push((now, text));
    }

    pub fn runs(&self) -> Vec<RunRow> {
        self.rows.lock().unwrap().runs.clone()
    }

    /// Writes everything to a file.
    pub fn write(&self, path: &std::path::Path) {
        let rows = self.rows.lock().unwrap();
        let mut lines = rows.lines.clone();
        for row in &rows.runs {
            let RunRow {
                task, run, runner, ..
            } = row;
            lines.push((
                row.began,
                format!("run {task} run {run} began on runner {runner}"),
            ));
            if let Some((at, how)) = row.ended {
                lines.push((
                    at,
                    format!("run {task} run {run} ended {how} on runner {runner}"),
                ));
            }
            if let Some(at) = row.noted {
                lines.push((
                    at,
                    format!("end of {task} run {run} on runner {runner} acknowledged"),
                ));
            }
        }
        lines.sort();
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:9.3} {line}", at.as_secs_f64());
        }
        std::fs::write(path, text).expect("a writable folder");
    }

    /// Returns the breaks of the rule TWICE, for tasks that have no copies: two runs of a task at the
    /// same time, or a start after a run has ended `done` if that end is acknowledged then or later.
    pub fn twice(&self) -> Vec<String> {
        let mut by_task: HashMap<String, Vec<RunRow>> = HashMap::new();
        for row in self.runs() {
            by_task.entry(row.task.clone()).or_default().push(row);
        }
        let mut breaks = Vec::new();
        for (task, rows) in by_task {
            for (at, one) in rows.iter().enumerate() {
                for other in &rows[at + 1..] {
                    let end = one.ended.map_or(Duration::MAX, |(end, _)| end);
                    if other.began < end {
                        breaks.push(format!(
                            "{task}: run {} on runner {} and run {} on runner {} at the same time, from {:.3} s",
                            one.run, one.runner, other.run, other.runner, other.began.as_secs_f64()
                        ));
                    } else if let Some((_, "done")) = one.ended
                        && one.noted.is_some()
                    {
                        breaks.push(format!(
                            "{task}: run {} ended done on runner {} at {:.3} s and was acknowledged; run {} began on runner {} at {:.3} s",
                            one.run, one.runner, end.as_secs_f64(), other.run, other.runner, other.began.as_secs_f64()
                        ));
                    }
                }
            }
        }
        breaks.sort();
        breaks
    }
}
