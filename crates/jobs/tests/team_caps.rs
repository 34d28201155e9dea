//! Random schedules of two teams, one of which has a cap that is lowered again and again.

mod one_cell;

use std::collections::BTreeMap;

use kspan_jobs::{
    config::CellConfig,
    engine::{Order, RunnerIx},
    id::TaskId,
    runner::{EndKind, EndedTask, Inventory, InventoryOutcome, StartOutcome},
};
use kspan_model::{Millis, Name, Resources};
use one_cell::{
    team::{UNLIMITED, config_with, job, team},
    *,
};
use proptest::{prelude::*, test_runner::RngSeed};

/// What a random schedule does next.
#[derive(Clone, Debug)]
enum Op {
    Submit {
        is_first: bool,
        count: u32,
        cores: u64,
        gang: bool,
    },
    Schedule {
        lost_answers: bool,
    },
    EndRun(usize),
    ExecuteLateStart(usize),
    AnswerInventory(usize),
    LowerCap(u64),
    TakeOver,
    Cancel(usize),
    Wait(u64),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        3 => (any::<bool>(), 1..6_u32, 1..3_u64, any::<bool>()).prop_map(
            |(is_first, count, cores, gang)| Op::Submit { is_first, count, cores, gang }
        ),
        4 => any::<bool>().prop_map(|lost_answers| Op::Schedule { lost_answers }),
        3 => (0..20_usize).prop_map(Op::EndRun),
        2 => (0..20_usize).prop_map(Op::ExecuteLateStart),
        4 => (0..RUNNERS).prop_map(Op::AnswerInventory),
        1 => (1..6_u64).prop_map(Op::LowerCap),
        1 => Just(Op::TakeOver),
        1 => (0..20_usize).prop_map(Op::Cancel),
        2 => prop_oneof![Just(300), Just(4_000)].prop_map(Op::Wait),
    ];
    prop::collection::vec(op, 1..60)
}

const RUNNERS: usize = 3;

/// A run on a runner, or a start order whose answer was lost and that may still be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Run {
    runner: usize,
    task: TaskId,
    run: u32,
    /// Cap of the first team when the start was ordered, in cores.
    cap: u64,
}

/// A cell of two teams, and what really runs on its runners.
struct CapModel {
    cell: Cell,
    /// Cap of the first team, in cores.
    cap: u64,
    version: u64,
    jobs: BTreeMap<u64, (bool, u64)>,
    running: Vec<Run>,
    late: Vec<Run>,
    ends: Vec<Vec<EndedTask>>,
}

impl CapModel {
    fn new() -> Self {
        let mut model = Self {
            cell: Cell::new(&[]),
            cap: 5,
            version: 1,
            jobs: BTreeMap::new(),
            running: Vec::new(),
            late: Vec::new(),
            ends: vec![Vec::new(); RUNNERS],
        };
        model.cell.engine.configure(model.config());
        model.list_runners();
        model
    }

    fn config(&self) -> CellConfig {
        let cap = Resources::new(self.cap * 1_000, u64::MAX, u64::MAX);
        let teams = vec![team("one", 1.0, cap), team("two", 1.0, UNLIMITED)];
        CellConfig {
            version: self.version,
            ..config_with(teams)
        }
    }

    fn list_runners(&mut self) {
        let now = Millis(self.cell.now);
        for number in 0..RUNNERS {
            self.cell
                .engine
                .upsert_runner(now, entry(&format!("w{number}")));
        }
        self.cell.engine.confirm_ownership(now);
        self.cell.commit();
    }

    fn runner_ix(&self, number: usize) -> RunnerIx {
        let id = Name::new(&format!("w{number}"));
        let mut live = self.cell.engine.live_runners();
        live.find(|ix| self.cell.engine.runner(*ix).id == id)
            .expect("a listed runner")
    }

    /// Returns the cores that the first team uses on the runners.
    fn used(&self) -> u64 {
        let cores = self.running.iter().map(|run| {
            let (is_first, cores) = self.jobs[&run.task.step.job.0];
            if is_first { cores } else { 0 }
        });
        cores.sum()
    }

    fn begin(&mut self, run: Run) {
        if self.running.contains(&run) {
            return;
        }
        self.running.push(run);
        let is_first = self.jobs[&run.task.step.job.0].0;
        let used = self.used();
        // A start that was ordered before the cap was lowered may be executed later.
        assert!(
            !is_first || used <= run.cap,
            "{used} cores of {} in use",
            run.cap
        );
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Submit {
                is_first,
                count,
                cores,
                gang,
            } => {
                let number = self.jobs.len() as u64 + 1;
                self.jobs.insert(number, (is_first, cores));
                let team = if is_first { "one" } else { "two" };
                let path = format!("/q/{number:016x}");
                let _ = self
                    .cell
                    .submit_for_team(&path, job(count, cores, gang), team);
            }
            Op::Schedule { lost_answers } => self.schedule(lost_answers),
            Op::EndRun(at) => {
                if let Some(at) = at.checked_rem(self.running.len()) {
                    let run = self.running.swap_remove(at);
                    self.add_end(run, EndKind::Done);
                }
            }
            Op::ExecuteLateStart(at) => {
                if let Some(at) = at.checked_rem(self.late.len()) {
                    let run = self.late.swap_remove(at);
                    // A late order needs a valid fence; a takeover bars those on runners that have
                    // answered the new owner.
                    self.begin(run);
                }
            }
            Op::AnswerInventory(number) => self.answer(number),
            Op::LowerCap(cap) => {
                if cap < self.cap {
                    self.cap = cap;
                    self.version += 1;
                    let config = self.config();
                    self.cell.engine.configure(config);
                }
            }
            Op::TakeOver => {
                let config = self.config();
                self.cell.recover_with(config);
                self.list_runners();
            }
            Op::Cancel(at) => {
                if let Some(at) = at.checked_rem(self.jobs.len()) {
                    let path = format!("/q/{:016x}", at + 1);
                    let now = self.cell.now;
                    self.cell.engine.cancel(Millis(now), now, HOST, &path);
                    self.cell.commit();
                }
            }
            Op::Wait(ms) => {
                self.cell.advance(ms);
                self.cell.commit();
            }
        }
    }

    fn schedule(&mut self, lost_answers: bool) {
        let now = Millis(self.cell.now);
        self.cell.engine.schedule(now);
        for order in self.cell.engine.take_orders() {
            match order {
                Order::Start(order) => {
                    let id = self.cell.engine.runner(order.runner_ix).id.to_string();
                    let runner = id[1..].parse().expect("a number");
                    let run = Run {
                        runner,
                        task: order.task,
                        run: order.run,
                        cap: self.cap,
                    };
                    let outcome = if lost_answers {
                        self.late.push(run);
                        StartOutcome::InDoubt
                    } else {
                        self.begin(run);
                        StartOutcome::Started(now)
                    };
                    self.cell.engine.record_start_outcome(
                        now,
                        order.runner_ix,
                        order.task,
                        order.run,
                        outcome,
                    );
                }
                Order::Stop(order) => {
                    // The stop is executed, and its answer is lost: the end shows in an inventory.
                    let found = self
                        .running
                        .iter()
                        .position(|run| run.task == order.task && run.run == order.run);
                    if let Some(at) = found {
                        let run = self.running.swap_remove(at);
                        self.add_end(run, EndKind::Stopped);
                    }
                    self.late
                        .retain(|run| run.task != order.task || run.run != order.run);
                }
                Order::RequestApprovals(_) | Order::Throttle(_) => {}
            }
        }
        self.cell.commit();
    }

    fn add_end(&mut self, run: Run, how: EndKind) {
        let ends = &mut self.ends[run.runner];
        ends.push(EndedTask {
            task: run.task,
            run: run.run,
            how,
            ..failed_end(ends.len() as u64 + 1, 1)
        });
    }

    fn answer(&mut self, number: usize) {
        // A runner that has answered executes no order of a previous owner.
        let runner_ix = self.runner_ix(number);
        let known = self.late.iter().filter(|run| run.runner == number);
        let barred: Vec<Run> = known
            .filter(|run| self.cell.engine.runner_of(run.task) != Some(runner_ix))
            .copied()
            .collect();
        self.late.retain(|run| !barred.contains(run));
        let here = self.running.iter().filter(|run| run.runner == number);
        let rows = here.map(|run| running_row(run.task, run.run));
        let inventory = Inventory {
            clock: Millis(self.cell.now),
            started_unix_ms: 1,
            running: rows.collect(),
            ended: self.ends[number].clone(),
            has_more_ends: false,
            skipped_rows: 0,
        };
        let outcome = InventoryOutcome::Inventory(inventory);
        self.cell.complete_inventory_call(runner_ix.0, &outcome);
        self.cell.commit();
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: RngSeed::Fixed(28),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against starts beyond a cap through lost answers, late orders, lowered caps, gangs and
    /// takeovers.
    #[test]
    fn team_never_starts_beyond_its_cap(ops in ops()) {
        let mut model = CapModel::new();
        for op in &ops {
            model.apply(op);
        }
    }
}
