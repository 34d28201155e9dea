//! Bounds how many lines of each kind are logged a second.

use std::cell::RefCell;

use kspan_model::Millis;
use rustc_hash::FxHashMap;

use crate::measure;

/// Most lines of one kind a second.
const LINES_PER_SECOND: u32 = 150;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    second: u64,
    lines: u32,
    suppressed: u32,
}

/// Lines logged in the present second, by kind.
#[derive(Debug, Default)]
pub(crate) struct Budget {
    windows: RefCell<FxHashMap<&'static str, Window>>,
}

impl Budget {
    /// Returns whether a line may be logged, and counts it. The lines suppressed in the second
    /// before are told.
    pub(crate) fn allows(&self, kind: &'static str, now: Millis) -> bool {
        let mut windows = self.windows.borrow_mut();
        let window = windows.entry(kind).or_default();
        let second = now.0 / 1_000;
        if window.second != second {
            if window.suppressed > 0 {
                measure::lines_suppressed(kind, window.suppressed);
                tracing::warn!(kind, suppressed = window.suppressed, "lines suppressed");
            }
            *window = Window {
                second,
                ..Window::default()
            };
        }
        if window.lines >= LINES_PER_SECOND {
            window.suppressed += 1;
            return false;
        }
        window.lines += 1;
        true
    }
}
