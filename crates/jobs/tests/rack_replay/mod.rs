//! Replays of jobs on runners in racks, under a rule for how tasks wait for their rack.

#![allow(dead_code, reason = "each test file uses only a part")]

use std::collections::BTreeMap;

use super::one_cell::*;
use kspan_jobs::{
    config::CellConfig,
    engine::{Event, LocalityRule, Order, WaitEnd},
    id::{JobId, TaskId},
    runner::{EndKind, InventoryOutcome, RunnerEntry, RunningTask, StartOutcome},
    spec::StepSpec,
};
use kspan_model::{Millis, Name, Resources};

/// Factor by which a run takes longer outside its rack, as in the harness's settings.
pub(crate) const SLOWDOWN: u64 = 3;

/// Interval between two scheduling passes.
pub(crate) const PASS_MS: u64 = 100;

/// Time after which a job that is not completed counts as completed.
pub(crate) const HORIZON_MS: u64 = 120_000;

pub(crate) const RUNNERS_PER_RACK: usize = 3;

/// Number of tasks that take a whole runner each and fill a rack.
pub(crate) const WHOLE_RACK: u32 = 3;

/// A task that takes a whole runner.
pub(crate) const WHOLE: Resources = Resources::new(4_000, 4_000, 0);

pub(crate) const HALF: Resources = Resources::new(2_000, 2_000, 0);

/// A job to submit.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: u64,
    pub(crate) queue: &'static str,
    pub(crate) step: StepSpec,
    /// Run time within the rack, which may differ from the estimate.
    pub(crate) run_time: u64,
}

/// A disturbance of all runners in a rack.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// They no longer answer, and their runs are lost.
    Lost,
    /// Runs take this many times as long, those in progress included.
    Slow(u64),
}

#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) racks: usize,
    pub(crate) arrivals: Vec<Arrival>,
    /// Time and rack of the disturbance.
    pub(crate) fault: Option<(u64, usize, Fault)>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    pub(crate) runner_ix: usize,
    pub(crate) ends_at: u64,
    /// Time of the latest change of speed, and the progress at that time in percent.
    pub(crate) since: u64,
    pub(crate) done: u64,
}

impl Run {
    pub(crate) fn percent(&self, now: u64) -> u64 {
        let left = (100 - self.done) * (now - self.since);
        self.done + left / (self.ends_at - self.since).max(1)
    }

    /// Multiplies the time that the run still takes.
    pub(crate) fn slow_down(&mut self, now: u64, factor: u64) {
        self.done = self.percent(now).min(99);
        self.since = now;
        self.ends_at = now + self.ends_at.saturating_sub(now) * factor;
    }
}

/// Result of a replay.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Time from submission to completion, by job.
    pub(crate) latencies: BTreeMap<u64, u64>,
    /// Reasons for the ends of waits.
    pub(crate) ended_waits: Vec<WaitEnd>,
    pub(crate) begun_waits: usize,
    /// Predicted and actual durations of the waits that ended with a local start, in ms.
    pub(crate) predictions: Vec<(u64, u64)>,
}

impl Outcome {
    pub(crate) fn mean_ms(&self) -> u64 {
        self.latencies.values().sum::<u64>() / self.latencies.len() as u64
    }

    pub(crate) fn ended(&self, how: WaitEnd) -> usize {
        self.ended_waits.iter().filter(|end| **end == how).count()
    }
}

pub(crate) struct Replay {
    pub(crate) cell: Cell,
    pub(crate) scenario: Scenario,
    pub(crate) running: Vec<Run>,
    pub(crate) ended: Vec<u64>,
    pub(crate) submitted: usize,
    /// Racks of a step's first task, which the others of a group share.
    pub(crate) group_racks: BTreeMap<u64, usize>,
    pub(crate) unfinished: BTreeMap<u64, u32>,
    pub(crate) lost_rack: Option<usize>,
    pub(crate) slow_rack: Option<(usize, u64)>,
    pub(crate) outcome: Outcome,
}

/// Returns the index of a job's arrival.
pub(crate) fn index_of(job: u64) -> usize {
    usize::try_from(job).expect("few jobs")
}

pub(crate) fn rack_name(rack: usize) -> Name {
    Name::new(&format!("r{rack}"))
}

pub(crate) fn queues() -> CellConfig {
    let mut config = config();
    for (priority, name) in (0..).zip(["high", "q", "low"]) {
        let mut queue = queue(name);
        queue.policy.priority = priority;
        queue.policy.slack = Millis(1_000);
        config.queues.push(queue);
    }
    config.queues.remove(0);
    config
}

pub(crate) fn racks(count: usize) -> Vec<RunnerEntry> {
    let runners = 0..count * RUNNERS_PER_RACK;
    let entries = runners.map(|number| RunnerEntry {
        labels: vec![Name::new("zone"), rack_name(number / RUNNERS_PER_RACK)],
        ..entry(&format!("w{number}"))
    });
    entries.collect()
}

impl Replay {
    pub(crate) fn new(scenario: Scenario, rule: LocalityRule) -> Self {
        Self::with_config(queues(), scenario, rule)
    }

    pub(crate) fn with_config(config: CellConfig, scenario: Scenario, rule: LocalityRule) -> Self {
        let entries = racks(scenario.racks);
        let count = entries.len();
        let mut cell = Cell::with_runners(config, entries);
        cell.engine.set_locality_rule(rule);
        (0..count).for_each(|runner_ix| cell.report_ends(runner_ix, Vec::new()));
        Self {
            cell,
            scenario,
            running: Vec::new(),
            ended: vec![0; count],
            submitted: 0,
            group_racks: BTreeMap::new(),
            unfinished: BTreeMap::new(),
            lost_rack: None,
            slow_rack: None,
            outcome: Outcome::default(),
        }
    }

    pub(crate) fn elapsed(&self) -> u64 {
        self.cell.now - 10_000
    }

    pub(crate) fn run(mut self) -> Outcome {
        while self.elapsed() < HORIZON_MS
            && (self.submitted < self.scenario.arrivals.len() || !self.unfinished.is_empty())
        {
            self.pass();
        }
        for job in self.unfinished.keys() {
            let at = self.scenario.arrivals[index_of(*job)].at;
            self.outcome.latencies.insert(*job, HORIZON_MS - at);
        }
        self.outcome
    }

    /// Submits what is due, runs a scheduling pass and advances to the next one.
    pub(crate) fn pass(&mut self) {
        self.submit_due();
        self.disturb();
        self.start();
        self.cell.advance(PASS_MS);
        self.end_runs();
    }

    pub(crate) fn submit_due(&mut self) {
        while let Some(arrival) = self.scenario.arrivals.get(self.submitted).cloned() {
            if arrival.at > self.elapsed() {
                return;
            }
            let number = self.submitted as u64;
            self.unfinished.insert(number, arrival.step.count);
            let mut spec = spec();
            spec.steps = vec![arrival.step];
            let path = format!("/{}/{}", arrival.queue, JobId(number));
            self.cell.submit_spec(&path, spec);
            self.submitted += 1;
        }
    }

    pub(crate) fn disturb(&mut self) {
        let elapsed = self.elapsed();
        let Some((_, rack, fault)) = self.scenario.fault.take_if(|(at, ..)| *at <= elapsed) else {
            return;
        };
        let now = self.cell.now;
        let in_rack = |run: &Run| run.runner_ix / RUNNERS_PER_RACK == rack;
        match fault {
            Fault::Lost => {
                self.running.retain(|run| !in_rack(run));
                self.lost_rack = Some(rack);
            }
            Fault::Slow(factor) => {
                for run in self.running.iter_mut().filter(|run| in_rack(run)) {
                    run.slow_down(now, factor);
                }
                self.slow_rack = Some((rack, factor));
            }
        }
    }

    pub(crate) fn start(&mut self) {
        let now = Millis(self.cell.now);
        self.cell.engine.schedule(now);
        let mut starts = Vec::new();
        for order in self.cell.engine.take_orders() {
            if let Order::Start(order) = order {
                let (runner_ix, task, run) = (order.runner_ix, order.task, order.run);
                let outcome = StartOutcome::Started(now);
                self.cell
                    .engine
                    .record_start_outcome(now, runner_ix, task, run, outcome);
                starts.push((runner_ix.0, task, run));
            }
        }
        for (runner_ix, task, run) in &starts {
            let ends_at = self.cell.now + self.run_time(*runner_ix, *task, &starts);
            self.running.push(Run {
                task: *task,
                run: *run,
                runner_ix: *runner_ix,
                ends_at,
                since: self.cell.now,
                done: 0,
            });
        }
        self.record_events();
    }

    /// Returns how long a run takes that is started in a pass with the other `starts`.
    pub(crate) fn run_time(
        &mut self,
        runner_ix: usize,
        task: TaskId,
        starts: &[(usize, TaskId, u32)],
    ) -> u64 {
        let job = task.step.job.0;
        let arrival = &self.scenario.arrivals[index_of(job)];
        let rack = runner_ix / RUNNERS_PER_RACK;
        let step = &arrival.step;
        let is_remote = if let Some(preferred) = &step.preferred_rack {
            *preferred != rack_name(rack)
        } else if step.gang && step.same_rack {
            let members = starts
                .iter()
                .filter(|(_, other, _)| other.step == task.step);
            members
                .map(|(ix, ..)| ix / RUNNERS_PER_RACK)
                .any(|other| other != rack)
        } else if step.same_rack {
            *self.group_racks.entry(job).or_insert(rack) != rack
        } else {
            false
        };
        let slow = self.slow_rack.filter(|(slow, _)| *slow == rack);
        let slow = slow.map_or(1, |(_, factor)| factor);
        arrival.run_time * slow * if is_remote { SLOWDOWN } else { 1 }
    }

    pub(crate) fn end_runs(&mut self) {
        let now = self.cell.now;
        for runner_ix in 0..self.ended.len() {
            if self.lost_rack == Some(runner_ix / RUNNERS_PER_RACK) {
                let lost = InventoryOutcome::NoResponse;
                self.cell.complete_inventory_call(runner_ix, &lost);
                continue;
            }
            let here = |run: &&Run| run.runner_ix == runner_ix;
            let mut ends = Vec::new();
            for run in self.running.iter().filter(here) {
                if run.ends_at <= now {
                    self.ended[runner_ix] += 1;
                    let number = self.ended[runner_ix];
                    ends.push(end_row(number, run.task, run.run, EndKind::Done));
                }
            }
            for end in &ends {
                self.complete(end.task);
            }
            self.running
                .retain(|run| run.runner_ix != runner_ix || run.ends_at > now);
            let rows = self.running.iter().filter(here).map(|run| RunningTask {
                task: run.task,
                run: run.run,
                checkpoint: Name::default(),
                percent: u32::try_from(run.percent(now)).expect("a percentage"),
                load: 0,
            });
            let rows = rows.collect();
            self.cell.report_inventory(runner_ix, rows, ends);
        }
        self.cell.commit();
    }

    pub(crate) fn complete(&mut self, task: TaskId) {
        let job = task.step.job.0;
        let arrival = &self.scenario.arrivals[index_of(job)];
        let (at, is_gang) = (arrival.at, arrival.step.gang);
        let latency = self.elapsed() - at;
        let Some(left) = self.unfinished.get_mut(&job) else {
            return;
        };
        *left -= 1;
        if *left == 0 || is_gang {
            self.unfinished.remove(&job);
            self.outcome.latencies.insert(job, latency);
        }
    }

    pub(crate) fn record_events(&mut self) {
        for event in self.cell.engine.take_events() {
            match event {
                Event::RackWaitBegan { .. } => self.outcome.begun_waits += 1,
                Event::RackWaitEnded {
                    how,
                    predicted,
                    waited,
                    ..
                } => {
                    self.outcome.ended_waits.push(how);
                    if how == WaitEnd::Local {
                        self.outcome.predictions.push((predicted.0, waited.0));
                    }
                }
                _ => {}
            }
        }
    }
}

pub(crate) fn step(count: u32, size: Resources, run_time: u64) -> StepSpec {
    StepSpec {
        count,
        size,
        estimate: Millis(run_time),
        ..StepSpec::default()
    }
}

pub(crate) fn near(rack: usize, step: StepSpec) -> StepSpec {
    StepSpec {
        preferred_rack: Some(rack_name(rack)),
        ..step
    }
}

pub(crate) fn group(count: u32, size: Resources, run_time: u64) -> StepSpec {
    StepSpec {
        same_rack: true,
        ..step(count, size, run_time)
    }
}

pub(crate) fn gang(count: u32, size: Resources, run_time: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..group(count, size, run_time)
    }
}

/// Returns a job whose estimate is right.
pub(crate) fn arrival(at: u64, queue: &'static str, step: StepSpec) -> Arrival {
    let run_time = step.estimate.0;
    Arrival {
        at,
        queue,
        step,
        run_time,
    }
}

pub(crate) fn scenario(racks: usize, mut arrivals: Vec<Arrival>) -> Scenario {
    arrivals.sort_by_key(|arrival| arrival.at);
    Scenario {
        racks,
        arrivals,
        fault: None,
    }
}
