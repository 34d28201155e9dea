//! Shapes of the large tasks that callers submit, and what a placement takes from them.
//!
//! Load pattern: small tasks share runners with tasks that need most of a runner, such as all of
//! its accelerators. Best fit by left-over processors lets a small task break up a runner that the
//! large ones need, although another runner is broken up already. A placement therefore counts the
//! recently demanded large tasks for which a runner loses its room.
//!
//! The module decides nothing about reservations; see `reserve`.

use kspan_model::{Name, Resources};
use rustc_hash::FxHashMap;

use crate::spec::StepSpec;

/// A task is large if one of its amounts takes at least this share of the largest runner of its
/// service, in percent.
const LARGE_SHARE_PERCENT: u64 = 25;

/// Sizes are rounded up to multiples of this, so that similar ones count as one shape.
const QUANTUM: Resources = Resources::new(2_000, 8_192, 1);

/// Maximum number of shapes that are kept for a service.
const MAX_SHAPES: usize = 12;

/// Total weight of a service's shapes above which all weights are halved, so that recent
/// submissions count more.
const MAX_TOTAL_WEIGHT: u64 = 2_000;

/// Scale of a loss: the loss of room for one task of the only demanded shape.
pub(super) const LOSS_SCALE: u64 = 1_000;

/// A size and the number of recently submitted tasks of that size.
#[derive(Clone, Copy, Debug)]
struct Shape {
    size: Resources,
    weight: u64,
}

/// Large tasks demanded of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Shapes {
    shapes: Vec<Shape>,
}

impl Shapes {
    fn add(&mut self, size: Resources, weight: u64) {
        match self.shapes.iter_mut().find(|shape| shape.size == size) {
            Some(shape) => shape.weight += weight,
            None => self.shapes.push(Shape { size, weight }),
        }
        if self.total_weight() > MAX_TOTAL_WEIGHT {
            self.shapes.iter_mut().for_each(|shape| shape.weight /= 2);
            self.shapes.retain(|shape| shape.weight > 0);
        }
        if self.shapes.len() > MAX_SHAPES {
            self.shapes
                .sort_unstable_by_key(|shape| std::cmp::Reverse(shape.weight));
            self.shapes.truncate(MAX_SHAPES);
        }
    }

    fn total_weight(&self) -> u64 {
        self.shapes.iter().map(|shape| shape.weight).sum()
    }

    /// Returns the room for demanded tasks that is lost if the free resources of a runner shrink
    /// from `before` to `after`, weighted by demand; see [`LOSS_SCALE`].
    pub(super) fn loss(&self, before: Resources, after: Resources) -> u64 {
        let lost = self.shapes.iter().map(|shape| {
            let fits = |free| shape.size.count_in(free);
            let fewer = fits(before).saturating_sub(fits(after));
            shape.weight.saturating_mul(fewer)
        });
        lost.fold(0, u64::saturating_add)
            .saturating_mul(LOSS_SCALE)
            .checked_div(self.total_weight())
            .unwrap_or(0)
    }
}

/// Large tasks demanded of each service.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    by_service: FxHashMap<Name, Shapes>,
}

impl Demand {
    /// Records a step that was submitted for a service whose largest runner has the given capacity.
    pub(super) fn record(&mut self, service: &Name, spec: &StepSpec, largest: Resources) {
        let size = spec.charged_resources();
        if spec.long_running || !is_large(size, largest) {
            return;
        }
        let shapes = self.by_service.entry(service.clone()).or_default();
        shapes.add(round_up(size).component_min(largest), u64::from(spec.count));
    }

    /// Returns the demanded shapes of a service; `None` if no large task was submitted.
    pub(super) fn shapes(&self, service: &Name) -> Option<&Shapes> {
        self.by_service.get(service)
    }
}

/// Returns whether a task takes a large share of the largest runner.
pub(super) fn is_large(size: Resources, largest: Resources) -> bool {
    let takes = |amount: u64, all: u64| {
        amount.min(all) > 0 && amount.saturating_mul(100) >= all.saturating_mul(LARGE_SHARE_PERCENT)
    };
    takes(size.cpu_milli, largest.cpu_milli)
        || takes(size.memory_mib, largest.memory_mib)
        || takes(size.accelerators, largest.accelerators)
}

fn round_up(size: Resources) -> Resources {
    let round = |amount: u64, quantum| amount.checked_next_multiple_of(quantum).unwrap_or(amount);
    Resources::new(
        round(size.cpu_milli, QUANTUM.cpu_milli),
        round(size.memory_mib, QUANTUM.memory_mib),
        round(size.accelerators, QUANTUM.accelerators),
    )
}
