//! Invariants over random sequences of events, checked against an independent model of the workers.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{accelerated, batch, cores, team, worker};
use kspan_model::{
    JobId, Millis, Name, Priority, Resources, TaskId,
    document::{Policy, Preset, TaskShape},
};
use kspan_placement::{
    AdoptOutcome, Cell, Decision, Effect, End, InventoryEntry, JobKind, JobSpec, ResizeOutcome,
    StartRefusal, SubmitOutcome, TaskState, WorkerState,
};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const WORKERS: u32 = 12;
const TEAMS: [&str; 3] = ["a", "b", "c"];
/// Team `b` may not borrow.
const LIMITED: &str = "b";

#[derive(Clone, Debug)]
enum Step {
    Submit(JobSpec),
    Cancel(u128),
    Resize(u128, u32),
    Plan(u64),
    Started(usize),
    Refused(usize),
    Unresolved(usize),
    Ended(usize, End),
    Repeated(usize),
    Usage(usize, u64),
    Worker(u32, WorkerState),
    Restart(u32),
}

#[derive(Clone, Debug)]
struct Running {
    worker: Name,
    size: Resources,
}

struct Model {
    cell: Cell,
    rng: ChaCha8Rng,
    now: u64,
    /// Tasks that the workers actually run.
    running: BTreeMap<TaskId, Running>,
    capacity: BTreeMap<Name, Resources>,
    specs: BTreeMap<JobId, JobSpec>,
    open: BTreeSet<JobId>,
    cancelled: BTreeSet<JobId>,
    ended: Vec<(TaskId, End)>,
}

fn capacity_of(number: u32) -> Resources {
    if number < 3 {
        accelerated(8, 4)
    } else {
        cores(8)
    }
}

impl Model {
    fn new(preset: Preset) -> Self {
        let quota = accelerated(24, 4);
        let teams = TEAMS.map(|name| team(name, quota, name != LIMITED));
        let mut cell = Cell::new(Policy::new(preset)).with_teams(&teams);
        let mut capacity = BTreeMap::new();
        for number in 0..WORKERS {
            let spec = worker(number, capacity_of(number));
            capacity.insert(spec.name.clone(), spec.capacity);
            cell.upsert_worker(spec);
        }
        Self {
            cell,
            rng: ChaCha8Rng::seed_from_u64(11),
            now: 0,
            running: BTreeMap::new(),
            capacity,
            specs: BTreeMap::new(),
            open: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            ended: Vec::new(),
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Submit(spec) => self.submit(spec),
            Step::Cancel(job) => self.cancel(JobId(job)),
            Step::Resize(job, tasks) => {
                let resized = self.cell.resize(JobId(job), tasks, Millis(self.now));
                if resized != ResizeOutcome::Unknown {
                    let spec = self.specs.get_mut(&JobId(job));
                    spec.expect("a known job was submitted").tasks = tasks;
                }
            }
            Step::Plan(span) => self.plan(span),
            Step::Started(pick) => self.with_task(pick, |model, task| {
                model.cell.record_start(task, Millis(model.now));
            }),
            Step::Refused(pick) => self.with_task(pick, |model, task| {
                model.running.remove(&task);
                let refusal = StartRefusal::NoCapacity;
                let effect = model
                    .cell
                    .record_start_refusal(task, refusal, Millis(model.now));
                model.apply_effect(effect);
            }),
            Step::Unresolved(pick) => self.with_task(pick, |model, task| {
                model.cell.record_unresolved_start(task);
            }),
            Step::Ended(pick, end) => self.with_task(pick, |model, task| model.end(task, end)),
            Step::Repeated(pick) => self.repeat(pick),
            Step::Usage(pick, cpu) => self.with_task(pick, |model, task| {
                model.cell.record_usage(task, Resources::new(cpu, cpu, 0));
            }),
            Step::Worker(number, state) => {
                let name = worker(number, capacity_of(number)).name;
                self.cell.set_worker_state(&name, state);
            }
            Step::Restart(number) => self.restart(number),
        }
        self.check();
    }

    fn submit(&mut self, spec: JobSpec) {
        let spec = JobSpec {
            submitted: Millis(self.now),
            ..spec
        };
        if self.specs.contains_key(&spec.id) && !self.open.contains(&spec.id) {
            return; // The log does not deliver a job again once it has ended.
        }
        if self.cell.submit(spec.clone()) == SubmitOutcome::Queued {
            self.open.insert(spec.id);
            self.specs.insert(spec.id, spec);
        }
    }

    fn cancel(&mut self, job: JobId) {
        match self.cell.cancel(job) {
            kspan_placement::CancelOutcome::Unknown => {}
            kspan_placement::CancelOutcome::NotRun => {
                assert!(!self.running.keys().any(|task| task.job == job));
                assert!(!self.ended.iter().any(|(task, _)| task.job == job));
                self.open.remove(&job);
            }
            kspan_placement::CancelOutcome::Running(_) => {
                self.cancelled.insert(job);
                if !self.running.keys().any(|task| task.job == job) {
                    self.open.remove(&job);
                }
            }
        }
    }

    fn plan(&mut self, span: u64) {
        self.now += span;
        let decisions = self.cell.plan(Millis(self.now), &mut self.rng, 64);
        let mut started: BTreeMap<JobId, u32> = BTreeMap::new();
        for decision in decisions {
            let Decision::Start(start) = decision else {
                continue;
            };
            *started.entry(start.task.job).or_default() += 1;
            let twice = self
                .running
                .keys()
                .any(|task| task.job == start.task.job && task.index == start.task.index);
            assert!(!twice, "{} runs twice", start.task);
            let known = self.ended.iter().any(|(task, _)| *task == start.task);
            assert!(!known, "attempt {} was already used", start.task);
            let running = Running {
                worker: start.worker,
                size: start.size,
            };
            self.running.insert(start.task, running);
        }
        for (job, count) in started {
            if let JobKind::Gang { .. } = self.specs[&job].kind {
                assert_eq!(count, self.specs[&job].tasks, "gang {job} starts partially");
            }
        }
    }

    fn with_task(&mut self, pick: usize, act: impl FnOnce(&mut Self, TaskId)) {
        if self.running.is_empty() {
            return;
        }
        let position = pick % self.running.len();
        let task = *self
            .running
            .keys()
            .nth(position)
            .expect("the position is below the length");
        act(self, task);
    }

    fn end(&mut self, task: TaskId, end: End) {
        self.running.remove(&task);
        self.ended.push((task, end));
        let effect = self.cell.record_end(task, end, Millis(self.now));
        self.apply_effect(effect);
    }

    fn apply_effect(&mut self, effect: Effect) {
        if let Some(done) = effect.done {
            assert!(self.open.remove(&done.job), "a job ends once");
            assert!(!self.running.keys().any(|task| task.job == done.job));
        }
    }

    /// Repeats an earlier event, which must change nothing.
    fn repeat(&mut self, pick: usize) {
        if self.ended.is_empty() {
            return;
        }
        let (task, end) = self.ended[pick % self.ended.len()];
        assert!(!self.cell.record_start(task, Millis(self.now)).applied);
        assert!(!self.cell.record_end(task, end, Millis(self.now)).applied);
        let refusal = StartRefusal::TooLate;
        let effect = self
            .cell
            .record_start_refusal(task, refusal, Millis(self.now));
        assert!(!effect.applied);
    }

    /// Restarts a worker, which loses its tasks.
    fn restart(&mut self, number: u32) {
        let spec = worker(number, capacity_of(number));
        let held = self.running.iter();
        let here: Vec<TaskId> = held
            .filter(|(_, running)| running.worker == spec.name)
            .map(|(task, _)| *task)
            .collect();
        self.cell.set_worker_state(&spec.name, WorkerState::Gone);
        for task in here {
            self.end(task, End::Lost);
        }
        self.cell.upsert_worker(spec);
    }

    fn check(&self) {
        let faults = self.cell.audit();
        assert!(faults.is_empty(), "{faults:?}");
        let mut used: BTreeMap<&Name, Resources> = BTreeMap::new();
        for running in self.running.values() {
            let sum = used.entry(&running.worker).or_default();
            *sum = sum.saturating_add(running.size);
        }
        for (name, sum) in used {
            assert!(sum.fits_in(self.capacity[name]), "{name} is overcommitted");
        }
        let limited = self.cell.shares().into_iter();
        let limited = limited.filter(|share| share.team.as_str() == LIMITED);
        for share in limited {
            assert!(
                share.committed.fits_in(share.quota),
                "over quota: {share:?}"
            );
        }
        let known: BTreeSet<JobId> = self.cell.jobs().collect();
        assert_eq!(known, self.open, "the cell knows exactly the open jobs");
    }

    /// Lets every task end and checks that every job ends.
    fn run_to_completion(&mut self) {
        for number in 0..WORKERS {
            let spec = worker(number, capacity_of(number));
            self.cell.upsert_worker(spec.clone());
            self.cell
                .set_worker_state(&spec.name, WorkerState::Available);
        }
        let services: Vec<JobId> = self.open.iter().copied().collect();
        for job in services {
            if self.specs[&job].kind == JobKind::Service {
                self.cancel(job);
            }
        }
        for _ in 0..400 {
            let running: Vec<TaskId> = self.running.keys().copied().collect();
            for task in running {
                self.end(task, End::Succeeded);
            }
            self.plan(20_000);
            self.check();
        }
        assert!(self.open.is_empty(), "jobs {:?} have not ended", self.open);
        assert!(self.cell.committed().is_zero());
    }

    /// Replaces the cell by a new owner's, rebuilt from the running tasks and the open jobs.
    fn replace_owner(&mut self, preset: Preset) {
        let mut other = Self::new(preset);
        for (task, running) in &self.running {
            let found = InventoryEntry {
                task: *task,
                size: running.size,
                state: TaskState::Running,
                started: Millis(self.now),
            };
            let adopted = other.cell.adopt(&running.worker, found);
            assert_eq!(adopted, AdoptOutcome::Orphaned);
        }
        for job in &self.open {
            other.cell.submit(self.specs[job].clone());
        }
        self.cell = other.cell;
        // Workers list ended attempts until the job has ended or a later attempt has started.
        let ended = self.ended.clone();
        for (task, end) in ended {
            if self.open.contains(&task.job) {
                let effect = self.cell.record_end(task, end, Millis(self.now));
                self.apply_effect(effect);
            }
        }
        for job in self.cancelled.clone() {
            self.cancel(job);
        }
    }
}

fn size() -> impl Strategy<Value = Resources> {
    prop_oneof![
        4 => (1_u64..=8).prop_map(cores),
        1 => (1_u64..=8, 1_u64..=4).prop_map(|(c, a)| accelerated(c, a)),
    ]
}

fn kind() -> impl Strategy<Value = JobKind> {
    prop_oneof![
        3 => Just(JobKind::Batch),
        1 => Just(JobKind::Service),
        1 => any::<bool>().prop_map(|rack_near| JobKind::Gang { rack_near }),
    ]
}

fn priority() -> impl Strategy<Value = Priority> {
    prop_oneof![
        Just(Priority::Low),
        Just(Priority::Normal),
        Just(Priority::High),
        Just(Priority::Urgent),
    ]
}

fn job() -> impl Strategy<Value = JobSpec> {
    let shape = (size(), any::<bool>());
    let rest = (0_usize..3, 1_u64..100_000, 0_u32..3);
    (0_u128..40, kind(), priority(), 1_u32..6, shape, rest).prop_map(
        |(id, kind, priority, tasks, (size, checkpoint), (team, run_time, retries))| JobSpec {
            team: Name::new(TEAMS[team]),
            kind,
            priority,
            shape: TaskShape { size, checkpoint },
            run_time: Millis(if kind == JobKind::Service {
                0
            } else {
                run_time
            }),
            retries,
            ..batch(id, tasks, size)
        },
    )
}

fn end() -> impl Strategy<Value = End> {
    prop_oneof![
        4 => Just(End::Succeeded),
        2 => Just(End::Failed),
        2 => Just(End::Stopped),
        1 => Just(End::Checkpointed),
        1 => Just(End::LeaseLapsed),
        1 => Just(End::Lost),
    ]
}

fn state() -> impl Strategy<Value = WorkerState> {
    prop_oneof![
        2 => Just(WorkerState::Available),
        1 => Just(WorkerState::Draining),
        1 => Just(WorkerState::Silent),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => job().prop_map(Step::Submit),
        1 => (0_u128..40).prop_map(Step::Cancel),
        1 => (0_u128..40, 0_u32..8).prop_map(|(job, tasks)| Step::Resize(job, tasks)),
        8 => prop_oneof![Just(1_u64), 1_u64..1_000, 1_000_u64..40_000].prop_map(Step::Plan),
        4 => any::<usize>().prop_map(Step::Started),
        1 => any::<usize>().prop_map(Step::Refused),
        1 => any::<usize>().prop_map(Step::Unresolved),
        6 => (any::<usize>(), end()).prop_map(|(pick, end)| Step::Ended(pick, end)),
        2 => any::<usize>().prop_map(Step::Repeated),
        1 => (any::<usize>(), 0_u64..20_000).prop_map(|(pick, cpu)| Step::Usage(pick, cpu)),
        1 => (0..WORKERS, state()).prop_map(|(number, state)| Step::Worker(number, state)),
        1 => (0..WORKERS).prop_map(Step::Restart),
    ]
}

fn preset() -> impl Strategy<Value = Preset> {
    prop_oneof![Just(Preset::WaitingFirst), Just(Preset::PackingFirst)]
}

fn config(seed: u64, cases: u32) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        cases,
        ..ProptestConfig::default()
    }
}

#[test]
fn invariants_hold_over_random_event_sequences() {
    let mut runner = TestRunner::new(config(77, 300));
    let sequences = (preset(), proptest::collection::vec(step(), 1..160));
    runner
        .run(&sequences, |(preset, steps)| {
            let mut model = Model::new(preset);
            for step in steps {
                model.apply(step);
            }
            model.run_to_completion();
            Ok(())
        })
        .expect("the invariants hold");
}

#[test]
fn invariants_hold_across_an_ownership_change() {
    let mut runner = TestRunner::new(config(78, 300));
    let steps = || proptest::collection::vec(step(), 1..80);
    runner
        .run(&(preset(), steps(), steps()), |(preset, before, after)| {
            let mut model = Model::new(preset);
            for step in before {
                model.apply(step);
            }
            model.replace_owner(preset);
            for step in after {
                model.apply(step);
            }
            model.run_to_completion();
            Ok(())
        })
        .expect("the invariants hold");
}
