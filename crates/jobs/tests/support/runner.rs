//! A runner that keeps its interface and starts whatever it is told to.

use std::collections::BTreeMap;

use kspan_jobs::{
    engine::{InventoryCall, StartOrder},
    id::TaskId,
    runner::{EndKind, EndedTask, Inventory, InventoryOutcome, Refusal, RunningTask, StartOutcome},
};
use kspan_model::{Millis, Name, Resources};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::checks::Checks;

const MAX_LEASE_MS: u64 = 10_000;

/// A run that the runner has.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) run: u32,
    pub(crate) fails: bool,
    pub(crate) stopping_until: Option<u64>,
    pub(crate) began: u64,
    pub(crate) length: u64,
}

impl Run {
    fn percent(&self, now: u64) -> u32 {
        let done = (now - self.began) * 100 / self.length;
        u32::try_from(done).expect("a run is short").min(99)
    }
}

/// A runner.
pub(crate) struct FakeRunner {
    pub(crate) up: bool,
    pub(crate) cut: bool,
    pub(crate) capacity: Resources,
    /// Number of the present life.
    pub(crate) life: u64,
    pub(crate) running: BTreeMap<TaskId, Run>,
    number: usize,
    /// Rate of its clock, in thousandths of ours.
    rate: u64,
    born_at: u64,
    fence: u64,
    lease: u64,
    ended: Vec<EndedTask>,
    /// Ends up to this number lay there while the lease had lapsed.
    lapsed_end: u64,
    next_end: u64,
    barred: BTreeMap<TaskId, u32>,
}

impl FakeRunner {
    pub(crate) fn new(number: usize, rng: &mut ChaCha8Rng) -> Self {
        Self {
            up: true,
            cut: false,
            capacity: Resources::new(rng.random_range(4..=9) * 1_000, 16_000, 0),
            life: 1,
            running: BTreeMap::new(),
            number,
            rate: rng.random_range(980..=1_000),
            born_at: 0,
            fence: 0,
            lease: 0,
            ended: Vec::new(),
            lapsed_end: 0,
            next_end: 1,
            barred: BTreeMap::new(),
        }
    }

    pub(crate) fn id(&self) -> Name {
        Name::new(&format!("w{}-{}", self.number, self.life))
    }

    fn clock(&self, now: u64) -> u64 {
        (now - self.born_at) * self.rate / 1_000 + 1
    }

    pub(crate) fn crash(&mut self) {
        self.up = false;
        self.running.clear();
    }

    pub(crate) fn restart(&mut self, now: u64) {
        if self.up {
            return;
        }
        self.up = true;
        self.life += 1;
        self.born_at = now;
        self.fence = 0;
        self.lease = 0;
        self.ended.clear();
        self.lapsed_end = 0;
        self.next_end = 1;
        self.barred.clear();
    }

    /// Kills what its lease no longer covers, and ends stops that are due.
    pub(crate) fn lapse(&mut self, now: u64) {
        if !self.up {
            return;
        }
        if self.clock(now) > self.lease {
            let tasks: Vec<TaskId> = self.running.keys().copied().collect();
            tasks
                .into_iter()
                .for_each(|task| self.end(task, EndKind::LeaseExpired));
            self.lapsed_end = self.next_end - 1;
        }
        let due = self
            .running
            .iter()
            .filter(|(_, run)| run.stopping_until.is_some_and(|at| at <= now));
        let due: Vec<TaskId> = due.map(|(task, _)| *task).collect();
        due.into_iter()
            .for_each(|task| self.end(task, EndKind::Stopped));
    }

    fn end(&mut self, task: TaskId, how: EndKind) {
        let Some(run) = self.running.remove(&task) else {
            return;
        };
        self.bar(task, run.run);
        self.ended.push(EndedTask {
            number: self.next_end,
            task,
            run: run.run,
            how,
            checkpoint: Name::default(),
        });
        self.next_end += 1;
    }

    fn bar(&mut self, task: TaskId, run: u32) {
        let barred = self.barred.entry(task).or_default();
        *barred = (*barred).max(run);
    }

    fn sees(&mut self, fence: u64) -> bool {
        if fence < self.fence {
            return false;
        }
        self.fence = fence;
        true
    }

    fn extend(&mut self, deadline: Millis, now: u64) {
        let bounded = deadline.0.min(self.clock(now) + MAX_LEASE_MS);
        self.lease = self.lease.max(bounded);
    }

    /// Returns the answer, and after which time the run ends where one began.
    pub(crate) fn start(
        &mut self,
        order: &StartOrder,
        fence: u64,
        now: u64,
        rng: &mut ChaCha8Rng,
    ) -> (StartOutcome, Option<u64>) {
        let clock = Millis(self.clock(now));
        if !self.sees(fence) {
            return (StartOutcome::Refused(Refusal::Fenced), None);
        }
        if self
            .running
            .get(&order.task)
            .is_some_and(|run| run.run == order.run)
        {
            return (StartOutcome::Started(clock), None);
        }
        if order.deadline < clock {
            return (StartOutcome::Refused(Refusal::DeadlinePassed), None);
        }
        self.extend(order.deadline, now);
        let barred = self.barred.get(&order.task).copied().unwrap_or(0);
        if order.run <= barred || self.running.contains_key(&order.task) {
            return (StartOutcome::Refused(Refusal::StaleRun), None);
        }
        let run = Run {
            run: order.run,
            fails: rng.random_range(0..12) == 0,
            stopping_until: None,
            began: now,
            length: rng.random_range(50..2_500),
        };
        self.running.insert(order.task, run);
        (StartOutcome::Started(clock), Some(run.length))
    }

    /// Returns whether the stop was refused for its fence.
    pub(crate) fn stop(&mut self, task: TaskId, run: u32, fence: u64, now: u64) -> bool {
        if !self.sees(fence) {
            return true;
        }
        if let Some(known) = self.running.get_mut(&task).filter(|known| known.run <= run) {
            known.stopping_until = known.stopping_until.or(Some(now + 150));
        }
        self.bar(task, run);
        false
    }

    pub(crate) fn hold(
        &mut self,
        order: &InventoryCall,
        fence: u64,
        now: u64,
        checks: &mut Checks,
    ) -> InventoryOutcome {
        if !self.sees(fence) {
            return InventoryOutcome::Fenced;
        }
        if let Some(deadline) = order.deadline {
            self.extend(deadline, now);
        }
        let life = self.id();
        for end in self.ended.extract_if(.., |end| end.number <= order.ack) {
            checks.acknowledged(&life, &end, end.number <= self.lapsed_end);
        }
        let running = self.running.iter().map(|(task, run)| RunningTask {
            task: *task,
            run: run.run,
            checkpoint: Name::default(),
            percent: run.percent(now),
        });
        InventoryOutcome::Inventory(Inventory {
            clock: Millis(self.clock(now)),
            started_unix_ms: self.life,
            running: running.collect(),
            ended: self.ended.clone(),
        })
    }

    /// Ends a run by itself.
    pub(crate) fn finish(&mut self, life: u64, task: TaskId, run: u32, checks: &mut Checks) {
        let known = self.running.get(&task).copied();
        let Some(known) = known.filter(|known| self.up && self.life == life && known.run == run)
        else {
            return;
        };
        let how = if known.fails {
            EndKind::Failed
        } else {
            EndKind::Done
        };
        checks.ended(&self.id(), task, run, how);
        self.end(task, how);
    }
}
