//! Replay tests of waits for a rack: each scenario is run under the predicting rule and under the
//! rules that it is measured against.

mod one_cell;

use std::collections::BTreeMap;

use kspan_jobs::{
    Engine,
    config::{ApprovalPolicy, CellConfig},
    engine::{Event, LocalityRule, Order, Settings, WaitEnd},
    id::{JobId, TaskId},
    runner::{EndKind, EndedTask, InventoryOutcome, RunnerEntry, RunningTask, StartOutcome},
    spec::StepSpec,
};
use kspan_model::{Millis, Name, Resources};
use one_cell::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Factor by which a run takes longer outside its rack, as in the harness's settings.
const SLOWDOWN: u64 = 3;

/// Interval between two scheduling passes.
const PASS_MS: u64 = 100;

/// Time after which a job that is not completed counts as completed.
const HORIZON_MS: u64 = 120_000;

const RUNNERS_PER_RACK: usize = 3;

/// Number of tasks that take a whole runner each and fill a rack.
const WHOLE_RACK: u32 = 3;

/// A task that takes a whole runner.
const WHOLE: Resources = Resources::new(4_000, 4_000, 0);

const HALF: Resources = Resources::new(2_000, 2_000, 0);

/// Seeds of the replays of each scenario.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=16;

const BASELINES: [LocalityRule; 3] = [
    LocalityRule::Never,
    LocalityRule::Always,
    LocalityRule::Fixed,
];

/// A job to submit.
#[derive(Clone, Debug)]
struct Arrival {
    at: u64,
    queue: &'static str,
    step: StepSpec,
    /// Run time within the rack, which may differ from the estimate.
    run_time: u64,
}

/// A disturbance of all runners in a rack.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// They no longer answer, and their runs are lost.
    Lost,
    /// Runs take this many times as long, those in progress included.
    Slow(u64),
}

#[derive(Clone, Debug)]
struct Scenario {
    racks: usize,
    arrivals: Vec<Arrival>,
    /// Time and rack of the disturbance.
    fault: Option<(u64, usize, Fault)>,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    task: TaskId,
    run: u32,
    runner_ix: usize,
    ends_at: u64,
    /// Time of the latest change of speed, and the progress at that time in percent.
    since: u64,
    done: u64,
}

impl Run {
    fn percent(&self, now: u64) -> u64 {
        let left = (100 - self.done) * (now - self.since);
        self.done + left / (self.ends_at - self.since).max(1)
    }

    /// Multiplies the time that the run still takes.
    fn slow_down(&mut self, now: u64, factor: u64) {
        self.done = self.percent(now).min(99);
        self.since = now;
        self.ends_at = now + self.ends_at.saturating_sub(now) * factor;
    }
}

/// Result of a replay.
#[derive(Clone, Debug, Default)]
struct Outcome {
    /// Time from submission to completion, by job.
    latencies: BTreeMap<u64, u64>,
    /// Reasons for the ends of waits.
    ended_waits: Vec<WaitEnd>,
    begun_waits: usize,
    /// Predicted and actual durations of the waits that ended with a local start, in ms.
    predictions: Vec<(u64, u64)>,
}

impl Outcome {
    fn mean_ms(&self) -> u64 {
        self.latencies.values().sum::<u64>() / self.latencies.len() as u64
    }

    fn ended(&self, how: WaitEnd) -> usize {
        self.ended_waits.iter().filter(|end| **end == how).count()
    }
}

struct Replay {
    cell: Cell,
    scenario: Scenario,
    running: Vec<Run>,
    ended: Vec<u64>,
    submitted: usize,
    /// Racks of a step's first task, which the others of a group share.
    group_racks: BTreeMap<u64, usize>,
    unfinished: BTreeMap<u64, u32>,
    lost_rack: Option<usize>,
    slow_rack: Option<(usize, u64)>,
    outcome: Outcome,
}

/// Returns the index of a job's arrival.
fn index_of(job: u64) -> usize {
    usize::try_from(job).expect("few jobs")
}

fn rack_name(rack: usize) -> Name {
    Name::new(&format!("r{rack}"))
}

fn queues() -> CellConfig {
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

fn racks(count: usize) -> Vec<RunnerEntry> {
    let runners = 0..count * RUNNERS_PER_RACK;
    let entries = runners.map(|number| RunnerEntry {
        labels: vec![Name::new("zone"), rack_name(number / RUNNERS_PER_RACK)],
        ..entry(&format!("w{number}"))
    });
    entries.collect()
}

impl Replay {
    fn new(scenario: Scenario, rule: LocalityRule) -> Self {
        Self::with_config(queues(), scenario, rule)
    }

    fn with_config(config: CellConfig, scenario: Scenario, rule: LocalityRule) -> Self {
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

    fn elapsed(&self) -> u64 {
        self.cell.now - 10_000
    }

    fn run(mut self) -> Outcome {
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
    fn pass(&mut self) {
        self.submit_due();
        self.disturb();
        self.start();
        self.cell.advance(PASS_MS);
        self.end_runs();
    }

    fn submit_due(&mut self) {
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

    fn disturb(&mut self) {
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

    fn start(&mut self) {
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
    fn run_time(&mut self, runner_ix: usize, task: TaskId, starts: &[(usize, TaskId, u32)]) -> u64 {
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

    fn end_runs(&mut self) {
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
                    ends.push(EndedTask {
                        number: self.ended[runner_ix],
                        task: run.task,
                        run: run.run,
                        how: EndKind::Done,
                        checkpoint: Name::default(),
                    });
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

    fn complete(&mut self, task: TaskId) {
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

    fn record_events(&mut self) {
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

fn step(count: u32, size: Resources, run_time: u64) -> StepSpec {
    StepSpec {
        count,
        size,
        estimate: Millis(run_time),
        ..StepSpec::default()
    }
}

fn near(rack: usize, step: StepSpec) -> StepSpec {
    StepSpec {
        preferred_rack: Some(rack_name(rack)),
        ..step
    }
}

fn group(count: u32, size: Resources, run_time: u64) -> StepSpec {
    StepSpec {
        same_rack: true,
        ..step(count, size, run_time)
    }
}

fn gang(count: u32, size: Resources, run_time: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..group(count, size, run_time)
    }
}

/// Returns a job whose estimate is right.
fn arrival(at: u64, queue: &'static str, step: StepSpec) -> Arrival {
    let run_time = step.estimate.0;
    Arrival {
        at,
        queue,
        step,
        run_time,
    }
}

fn scenario(racks: usize, mut arrivals: Vec<Arrival>) -> Scenario {
    arrivals.sort_by_key(|arrival| arrival.at);
    Scenario {
        racks,
        arrivals,
        fault: None,
    }
}

/// More work prefers one rack than it has room for, while the others are idle.
fn hot_rack(rng: &mut ChaCha8Rng) -> Scenario {
    let arrivals = (0..40).map(|_| {
        let run_time = rng.random_range(5..30) * 100;
        let at = rng.random_range(0..80) * 100;
        arrival(at, "q", near(0, step(1, HALF, run_time)))
    });
    scenario(5, arrivals.collect())
}

/// All tasks find room in their racks.
fn idle_cell(rng: &mut ChaCha8Rng) -> Scenario {
    let arrivals = (0..20u64).map(|number| {
        let run_time = rng.random_range(5..20) * 100;
        let rack = rng.random_range(0..4);
        arrival(number * 800, "q", near(rack, step(1, HALF, run_time)))
    });
    scenario(4, arrivals.collect())
}

/// Twice as much work arrives as the cell executes, half of it with a preferred rack.
fn full_cell(rng: &mut ChaCha8Rng) -> Scenario {
    let arrivals = (0..200u64).map(|number| {
        let run_time = rng.random_range(5..20) * 100;
        let work = step(1, HALF, run_time);
        let rack = rng.random_range(0..4);
        let is_near = rng.random_bool(0.5);
        let work = if is_near { near(rack, work) } else { work };
        arrival(number * 25, "q", work)
    });
    scenario(4, arrivals.collect())
}

/// Tasks arrive for one rack and others over half a minute; the first one is disturbed halfway.
fn disturbed_stream(rng: &mut ChaCha8Rng, fault: Fault) -> Scenario {
    let arrivals = (0..90u64).map(|_| {
        let run_time = rng.random_range(10..30) * 100;
        let at = rng.random_range(0..300) * 100;
        let rack = if rng.random_bool(0.3) {
            0
        } else {
            rng.random_range(0..4)
        };
        arrival(at, "q", near(rack, step(1, HALF, run_time)))
    });
    Scenario {
        fault: Some((15_000, 0, fault)),
        ..scenario(4, arrivals.collect())
    }
}

/// A burst of tasks waits for one rack when it is disturbed.
fn disturbed_burst(rng: &mut ChaCha8Rng, fault: Fault) -> Scenario {
    let arrivals = (0..16u64).map(|number| {
        let run_time = 2_000 + rng.random_range(0..10) * 100;
        let at = number / 6 * 500;
        arrival(at, "q", near(0, step(1, HALF, run_time)))
    });
    Scenario {
        fault: Some((1_200, 0, fault)),
        ..scenario(4, arrivals.collect())
    }
}

/// All tasks run for a multiple of their estimate, given in percent.
fn wrong_estimates(rng: &mut ChaCha8Rng, percent: u64) -> Scenario {
    let mut scenario = hot_rack(rng);
    for arrival in &mut scenario.arrivals {
        arrival.run_time = arrival.run_time * percent / 100;
    }
    scenario
}

/// Groups and gangs of which a rack holds only a part, among small tasks.
fn large_groups(rng: &mut ChaCha8Rng) -> Scenario {
    let mut arrivals: Vec<_> = (0..10)
        .map(|_| {
            let run_time = rng.random_range(5..20) * 100;
            let at = rng.random_range(0..100) * 100;
            arrival(at, "low", step(1, HALF, run_time))
        })
        .collect();
    for number in 0..4u64 {
        let run_time = rng.random_range(10..30) * 100;
        let members = rng.random_range(4..8);
        let work = if number % 2 == 0 {
            gang(members, WHOLE, run_time)
        } else {
            group(2 * members, HALF, run_time)
        };
        arrivals.push(arrival(number * 7_000, "q", work));
    }
    scenario(4, arrivals)
}

/// Everything at once: popular and unpopular racks, gangs, groups and small tasks, a load that
/// changes every ten seconds between `quiet` and `busy` jobs in ten seconds, and estimates off by up
/// to half.
fn load(rng: &mut ChaCha8Rng, quiet: u64, busy: u64) -> Scenario {
    let mut arrivals = Vec::new();
    for period in 0..6 {
        let jobs = if period % 2 == 1 { busy } else { quiet };
        for _ in 0..jobs {
            let at = period * 10_000 + rng.random_range(0..100) * 100;
            arrivals.push(any_job(rng, at));
        }
    }
    scenario(6, arrivals)
}

fn any_job(rng: &mut ChaCha8Rng, at: u64) -> Arrival {
    let run_time = rng.random_range(4..30) * 100;
    let is_popular = rng.random_bool(0.2);
    let rack = if is_popular {
        0
    } else {
        rng.random_range(0..6)
    };
    let work = match rng.random_range(0..10) {
        0..=4 => near(rack, step(1, HALF, run_time)),
        5 => near(rack, step(3, HALF, run_time)),
        6 => group(rng.random_range(2..6), HALF, run_time),
        7 => gang(rng.random_range(2..4), WHOLE, run_time),
        _ => step(2, HALF, run_time),
    };
    let queue = ["high", "q", "low"][rng.random_range(0..3)];
    let mut job = arrival(at, queue, work);
    job.run_time = run_time * rng.random_range(50..=150) / 100;
    job
}

/// The cell is full for a part of the time, and a rack becomes slow.
fn mixed(rng: &mut ChaCha8Rng) -> Scenario {
    Scenario {
        fault: Some((25_000, 1, Fault::Slow(4))),
        ..load(rng, 60, 80)
    }
}

/// More work arrives than the cell executes.
fn overload(rng: &mut ChaCha8Rng) -> Scenario {
    load(rng, 60, 180)
}

type Build = fn(&mut ChaCha8Rng) -> Scenario;

/// Returns the mean latency of a scenario's jobs over several seeds.
fn mean_ms(build: Build, rule: LocalityRule) -> u64 {
    let means = SEEDS.map(|seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        Replay::new(build(&mut rng), rule).run().mean_ms()
    });
    means.sum::<u64>() / SEEDS.count() as u64
}

/// Mean latencies of a scenario under the predicting rule and under the others, in ms.
#[derive(Debug)]
struct Comparison {
    row: &'static str,
    predicted: u64,
    /// In the order of [`BASELINES`].
    others: [u64; 3],
}

impl Comparison {
    fn new(row: &'static str, build: Build) -> Self {
        let comparison = Self {
            row,
            predicted: mean_ms(build, LocalityRule::Predicted),
            others: BASELINES.map(|rule| mean_ms(build, rule)),
        };
        let Self {
            row,
            predicted,
            others: [never, always, fixed],
        } = &comparison;
        println!("{row}: predicted {predicted}, never {never}, always {always}, fixed {fixed} ms");
        comparison
    }

    fn best_other(&self) -> u64 {
        self.others.into_iter().min().unwrap_or(u64::MAX)
    }
}

/// Returns the scenarios in which the predicting rule is worse than the best of the others.
fn worse_than_best(table: &[(&'static str, Build)]) -> Vec<Comparison> {
    let compared = table
        .iter()
        .map(|(row, build)| Comparison::new(row, *build));
    compared
        .filter(|comparison| comparison.predicted > comparison.best_other())
        .collect()
}

/// Guards against a rule that loses to never waiting where the rack stays full, or to always waiting
/// where the cell is full.
#[test]
fn prediction_is_no_worse_than_the_best_other_rule() {
    let worse = worse_than_best(&[
        ("idle cell", idle_cell),
        ("full cell", full_cell),
        ("overload", overload),
        ("rack lost", |rng| disturbed_stream(rng, Fault::Lost)),
        ("runs twice as long", |rng| wrong_estimates(rng, 200)),
        ("runs half as long", |rng| wrong_estimates(rng, 50)),
        ("large groups", large_groups),
        ("changing load", |rng| load(rng, 60, 80)),
    ]);
    assert!(worse.is_empty(), "{worse:#?}");
}

/// The same where tasks gain little from waiting, or have waited in vain when a fault ends the wait:
/// never waiting is better by the time lost. See `KNOWN-RED.txt`.
#[test]
fn prediction_is_no_worse_where_waits_end_in_vain() {
    let worse = worse_than_best(&[
        ("hot rack", hot_rack),
        ("rack slow", |rng| disturbed_stream(rng, Fault::Slow(4))),
        ("burst, rack lost", |rng| disturbed_burst(rng, Fault::Lost)),
        ("burst, rack slow", |rng| {
            disturbed_burst(rng, Fault::Slow(4))
        }),
    ]);
    assert!(worse.is_empty(), "{worse:#?}");
}

/// No other rule suits a mix of loads and disturbances.
#[test]
fn prediction_is_better_than_all_other_rules_on_a_mix() {
    let mix = Comparison::new("mixed", mixed);
    assert!(mix.predicted < mix.best_other(), "{mix:?}");
}

/// Returns a replay of two racks in which tasks occupy the first one for `busy_ms`, and `work` is
/// submitted thereafter.
fn behind_busy_rack(busy_ms: u64, work: StepSpec) -> Replay {
    let busy = near(0, step(WHOLE_RACK, WHOLE, busy_ms));
    let arrivals = vec![arrival(0, "high", busy), arrival(100, "q", work)];
    let mut replay = Replay::new(scenario(2, arrivals), LocalityRule::Predicted);
    replay.pass();
    replay.pass();
    replay
}

fn running_in(replay: &Replay, job: u64) -> Vec<usize> {
    let of_job = replay
        .running
        .iter()
        .filter(|run| run.task.step.job.0 == job);
    of_job.map(|run| run.runner_ix / RUNNERS_PER_RACK).collect()
}

/// A task waits as long as the wait is expected to cost less than a run elsewhere, and no longer.
#[test]
fn task_waits_only_where_the_rack_has_room_soon() {
    // Run time of the work ahead, and whether a task that takes 1 s in its rack and 3 s elsewhere
    // waits for it.
    let table = [(600, true), (1_200, true), (2_500, false), (60_000, false)];
    for (busy_ms, waits) in table {
        let replay = behind_busy_rack(busy_ms, near(0, step(1, HALF, 1_000)));
        let racks = running_in(&replay, 1);
        assert_eq!(racks.is_empty(), waits, "{busy_ms} ms: {racks:?}");
        let outcome = replay.run();
        assert_eq!(outcome.begun_waits, usize::from(waits), "{busy_ms} ms");
        assert_eq!(
            outcome.ended(WaitEnd::Local),
            usize::from(waits),
            "{busy_ms} ms"
        );
        for (predicted, waited) in outcome.predictions {
            assert!(predicted.abs_diff(waited) <= 200, "{predicted}, {waited}");
        }
    }
}

/// An operator sees which rack a task waits for and until when.
#[test]
fn explanation_names_the_rack_and_the_end_of_the_wait() {
    let replay = behind_busy_rack(1_000, near(0, step(1, HALF, 1_000)));
    let now = Millis(replay.cell.now);
    let explanation = replay.cell.engine.explain(JobId(1), now);
    let why = &explanation.expect("the job is known").steps[0].why;
    assert!(why.starts_with("1 wait for room in rack r0, "), "{why}");
    assert!(why.contains(" ms at the latest"), "{why}");
}

/// Guards against tasks that wait for a rack that no longer answers.
#[test]
fn wait_ends_when_the_rack_is_lost() {
    let mut replay = behind_busy_rack(1_000, near(0, step(1, HALF, 1_000)));
    assert!(running_in(&replay, 1).is_empty());
    replay.scenario.fault = Some((0, 0, Fault::Lost));
    replay.pass();
    replay.pass();
    assert_eq!(running_in(&replay, 1), [1]);
    assert_eq!(replay.outcome.ended(WaitEnd::PredictionWorsened), 1);
}

/// A gang larger than every rack must not wait for one.
#[test]
fn gang_larger_than_a_rack_starts_across_racks() {
    let work = arrival(0, "q", gang(5, WHOLE, 2_000));
    let mut replay = Replay::new(scenario(2, vec![work]), LocalityRule::Predicted);
    replay.pass();
    assert_eq!(running_in(&replay, 0).len(), 5);
    assert_eq!(replay.outcome.begun_waits, 0);
}

/// A gang that fits across racks but in none of them waits for one only while that pays off.
#[test]
fn gang_is_split_only_if_waiting_for_a_rack_takes_longer() {
    // Run time of the work in the way, and whether the gang waits.
    for (busy_ms, waits) in [(1_000, true), (60_000, false)] {
        // One task on each rack leaves two runners in each.
        let ahead = |rack| arrival(0, "high", near(rack, step(1, WHOLE, busy_ms)));
        let work = arrival(100, "q", gang(3, WHOLE, 2_000));
        let arrivals = vec![ahead(0), ahead(1), work];
        let mut replay = Replay::new(scenario(2, arrivals), LocalityRule::Predicted);
        replay.pass();
        replay.pass();
        let started = running_in(&replay, 2).len();
        assert_eq!(started, if waits { 0 } else { 3 }, "{busy_ms} ms");
        assert_eq!(replay.outcome.begun_waits, usize::from(waits));
        let outcome = replay.run();
        assert_eq!(outcome.ended(WaitEnd::Local), usize::from(waits));
    }
}

/// Runners that are not approved do not shorten the wait for a rack.
#[test]
fn only_approved_runners_count() {
    // Approved runners, and whether the task waits for the first rack.
    let table: [(&[&str], bool); 2] = [(&["w0", "w3"], true), (&["w3"], false)];
    for (approved, waits) in table {
        let mut config = queues();
        for queue in &mut config.queues {
            queue.policy.approval = (queue.name == Name::new("q")).then_some(ApprovalPolicy {
                base_ms: 10.0,
                per_runner_ms: 0.0,
                validity: Millis(60_000),
            });
        }
        let busy = near(0, step(WHOLE_RACK, WHOLE, 1_000));
        let arrivals = vec![
            arrival(0, "high", busy),
            arrival(100, "q", near(0, step(1, WHOLE, 1_000))),
        ];
        let mut replay =
            Replay::with_config(config, scenario(2, arrivals), LocalityRule::Predicted);
        replay.cell.engine.set_approval_hosts(&[Name::new("h")]);
        replay.pass();
        replay.submit_due();
        let now = Millis(replay.cell.now);
        replay.cell.engine.schedule(now);
        let orders = replay.cell.engine.take_orders();
        let request = orders.into_iter().find_map(|order| match order {
            Order::RequestApprovals(request) => Some(request),
            _ => None,
        });
        let request = request.expect("the step needs approvals");
        let rows: Vec<_> = approved
            .iter()
            .map(|id| (Name::new(id), Name::new("ticket")))
            .collect();
        let response = Some((&*rows, Millis(60_000)));
        replay.cell.engine.record_approvals(now, &request, response);
        replay.pass();
        let racks = running_in(&replay, 1);
        assert_eq!(racks.is_empty(), waits, "{approved:?}: {racks:?}");
    }
}

/// Where runs take no longer in another rack, no task waits.
#[test]
fn cell_without_slowdown_never_waits() {
    for work in [near(0, step(1, HALF, 1_000)), gang(5, HALF, 1_000)] {
        let busy = near(0, step(WHOLE_RACK, WHOLE, 600));
        let arrivals = vec![arrival(0, "high", busy), arrival(100, "q", work)];
        let mut replay = Replay::new(scenario(2, arrivals), LocalityRule::Predicted);
        let mut engine = Engine::new(Settings {
            cross_rack_slowdown: 1,
            gang_wait: Millis(3_000),
            ..settings()
        });
        let now = Millis(replay.cell.now);
        engine.configure(queues());
        for entry in racks(2) {
            engine.upsert_runner(now, entry);
        }
        engine.confirm_ownership(now);
        replay.cell.engine = engine;
        replay.cell.commit();
        (0..2 * RUNNERS_PER_RACK).for_each(|ix| replay.cell.report_ends(ix, Vec::new()));
        replay.pass();
        replay.pass();
        assert!(!running_in(&replay, 1).is_empty());
        assert_eq!(replay.outcome.begun_waits, 0);
    }
}

/// Guards against a long-running task that waits for its full rack while another one is empty, for as long as
/// its estimate makes a run elsewhere seem to cost.
#[test]
fn long_running_task_waits_for_its_rack_for_a_moment_only() {
    for work in [step(1, HALF, 30_000), gang(2, HALF, 30_000)] {
        let lasting = StepSpec {
            long_running: true,
            ..near(0, work)
        };
        let count = lasting.count as usize;
        let mut replay = behind_busy_rack(40_000, lasting);
        assert!(running_in(&replay, 1).is_empty());
        (0..30).for_each(|_| replay.pass());
        assert_eq!(running_in(&replay, 1), vec![1; count]);
    }
}
