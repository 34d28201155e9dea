//! Rate limit for log lines, by kind.

use std::cell::RefCell;

use kspan_model::Millis;
use rustc_hash::FxHashMap;

use crate::telemetry;

/// Maximum number of lines of one kind per second, unless the kind has its own.
const MAX_LINES_PER_SECOND: u32 = 150;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    second: u64,
    lines: u32,
    suppressed: u32,
}

/// Fixed-window rate limiter with a window of one second for each kind of line.
#[derive(Debug, Default)]
pub(crate) struct LogLimit {
    windows: RefCell<FxHashMap<&'static str, Window>>,
}

impl LogLimit {
    /// Returns whether a line may be logged, and counts it. The first call after a window that
    /// suppressed lines logs and records their number.
    pub(crate) fn allows(&self, kind: &'static str, now: Millis) -> bool {
        self.allows_up_to(MAX_LINES_PER_SECOND, kind, now)
    }

    /// Does the same for a kind with a maximum number of lines per second of its own.
    pub(crate) fn allows_up_to(&self, max_lines: u32, kind: &'static str, now: Millis) -> bool {
        let mut windows = self.windows.borrow_mut();
        let window = windows.entry(kind).or_default();
        let second = now.0 / 1_000;
        if window.second != second {
            if window.suppressed > 0 {
                telemetry::record_suppressed_lines(kind, window.suppressed);
                tracing::warn!(
                    kind,
                    suppressed = window.suppressed,
                    "log lines suppressed by the rate limit"
                );
            }
            *window = Window {
                second,
                ..Window::default()
            };
        }
        if window.lines >= max_lines {
            window.suppressed += 1;
            return false;
        }
        window.lines += 1;
        true
    }
}
