//! A key never has two active homes under any schedule of delays, losses, pauses, partitions,
//! restarts and view changes.

mod common;

use std::{cell::Cell, sync::Arc};

use common::{router, view};
use kspan_membership::{
    guard::{GUARD_DRIFT, GUARD_TIME, Guard, GuardReport},
    ownership,
};
use kspan_model::{Member, Millis, NodeId, Role, View};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestCaseError, TestRunner},
};

const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
const KEYS: [&str; 6] = ["k1", "k2", "k3", "k4", "k5", "k6"];

/// One step of a schedule. Indices are taken modulo the number of processes or messages.
#[derive(Clone, Debug)]
enum Step {
    Advance(u16),
    /// Heartbeat periods in which all running processes read the log and exchange heartbeats.
    Synced(u8),
    /// Sends a read of the log.
    Read(u8),
    /// Sends heartbeats to all others.
    Heartbeat(u8),
    /// Delivers one of the messages in flight, out of order.
    Deliver(u8),
    Drop(u8),
    Duplicate(u8),
    /// Toggles whether a process is cut off from the log.
    CutLog(u8),
    /// Toggles whether two processes are cut off from each other.
    CutLink(u8, u8),
    /// Cuts the processes selected by a bit mask off from the log and from all others.
    Partition(u8),
    /// Restores all connections.
    Heal,
    Pause(u8),
    Resume(u8),
    /// Ends a process and starts its next incarnation.
    Restart(u8),
    /// Puts a view of the members selected by a bit mask in force.
    Change(u8),
}

#[derive(Clone, Debug)]
enum Message {
    Ping {
        from: NodeId,
        to: NodeId,
        at: Millis,
    },
    Ack {
        from: NodeId,
        to: NodeId,
        at: Millis,
        report: GuardReport,
    },
    LogRead {
        to: NodeId,
        at: Millis,
        views: usize,
    },
}

struct Process {
    member: Member,
    guard: Guard,
    /// Rate of the process's clock in percent of real time.
    rate: u64,
    started: u64,
    seen: usize,
    paused: bool,
    log_cut: bool,
    last_tick: u64,
}

struct Simulation {
    now: u64,
    log: Vec<Arc<View>>,
    processes: Vec<Process>,
    messages: Vec<Message>,
    cuts: Vec<(usize, usize)>,
    incarnations: u64,
}

impl Process {
    fn start(name: &str, incarnation: u64, now: u64, rate: u64) -> Self {
        let member = router(name, incarnation);
        Self {
            guard: Guard::new(Millis::ZERO, member.node.clone(), Role::Router),
            member,
            rate,
            started: now,
            seen: 0,
            paused: false,
            log_cut: false,
            last_tick: now,
        }
    }

    fn clock(&self, now: u64) -> Millis {
        Millis((now - self.started) * self.rate / 100)
    }
}

impl Simulation {
    fn new() -> Self {
        let rates = [100, 99, 101, 100, 101];
        let names = NAMES.iter().zip(rates);
        let processes = names
            .map(|(name, rate)| Process::start(name, 1, 0, rate))
            .collect();
        let first = NAMES[..3].iter().map(|name| router(name, 1)).collect();
        Self {
            now: 0,
            log: vec![view(1, first)],
            processes,
            messages: Vec::new(),
            cuts: Vec::new(),
            incarnations: 1,
        }
    }

    fn index(&self, i: u8) -> usize {
        usize::from(i) % self.processes.len()
    }

    fn find(&self, node: &NodeId) -> Option<usize> {
        self.processes.iter().position(|p| p.member.node == *node)
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cuts.contains(&(a.min(b), a.max(b)))
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Advance(ms) => self.advance(u64::from(ms)),
            Step::Synced(rounds) => (0..rounds).for_each(|_| self.sync_period()),
            Step::Read(i) => self.read(self.index(i)),
            Step::Heartbeat(i) => self.heartbeat(self.index(i)),
            Step::Deliver(i) if !self.messages.is_empty() => {
                let message = self.messages.remove(usize::from(i) % self.messages.len());
                self.deliver(message);
            }
            Step::Drop(i) if !self.messages.is_empty() => {
                self.messages.remove(usize::from(i) % self.messages.len());
            }
            Step::Duplicate(i) if !self.messages.is_empty() => {
                let message = self.messages[usize::from(i) % self.messages.len()].clone();
                self.messages.push(message);
            }
            Step::Deliver(_) | Step::Drop(_) | Step::Duplicate(_) => {}
            Step::CutLog(i) => {
                let i = self.index(i);
                self.processes[i].log_cut ^= true;
            }
            Step::CutLink(a, b) => self.cut(self.index(a), self.index(b)),
            Step::Partition(bits) => self.partition(bits),
            Step::Heal => {
                self.cuts.clear();
                self.processes.iter_mut().for_each(|p| p.log_cut = false);
            }
            Step::Pause(i) => {
                let i = self.index(i);
                self.processes[i].paused = true;
            }
            Step::Resume(i) => {
                let i = self.index(i);
                self.processes[i].paused = false;
            }
            Step::Restart(i) => self.restart(self.index(i)),
            Step::Change(bits) => self.change(bits),
        }
    }

    fn cut(&mut self, a: usize, b: usize) {
        let pair = (a.min(b), a.max(b));
        if self.is_cut(a, b) {
            self.cuts.retain(|cut| *cut != pair);
        } else {
            self.cuts.push(pair);
        }
    }

    fn partition(&mut self, bits: u8) {
        let is_selected = |i: usize| bits & (1 << i) != 0;
        for a in 0..self.processes.len() {
            self.processes[a].log_cut = is_selected(a);
            let others = a + 1..self.processes.len();
            self.cuts.retain(|cut| cut.0 != a);
            self.cuts.extend(
                others
                    .filter(|b| is_selected(a) != is_selected(*b))
                    .map(|b| (a, b)),
            );
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now += ms;
        for process in self.processes.iter_mut().filter(|p| !p.paused) {
            if self.now - process.last_tick >= 250 {
                process.last_tick = self.now;
                process.guard.tick(process.clock(self.now));
            }
        }
    }

    /// Simulates one heartbeat period in which every message arrives unless its connection is cut.
    fn sync_period(&mut self) {
        self.advance(250);
        for i in 0..self.processes.len() {
            self.read(i);
            self.heartbeat(i);
        }
        let requests: Vec<_> = self.messages.drain(..).collect();
        requests
            .into_iter()
            .for_each(|message| self.deliver(message));
        let replies: Vec<_> = self.messages.drain(..).collect();
        replies
            .into_iter()
            .for_each(|message| self.deliver(message));
    }

    fn read(&mut self, i: usize) {
        let process = &self.processes[i];
        if !process.paused && !process.log_cut {
            let to = process.member.node.clone();
            let at = process.clock(self.now);
            let views = self.log.len();
            self.messages.push(Message::LogRead { to, at, views });
        }
    }

    fn heartbeat(&mut self, i: usize) {
        if self.processes[i].paused {
            return;
        }
        let from = self.processes[i].member.node.clone();
        let at = self.processes[i].clock(self.now);
        for j in (0..self.processes.len()).filter(|j| *j != i) {
            if !self.is_cut(i, j) {
                let to = self.processes[j].member.node.clone();
                let from = from.clone();
                self.messages.push(Message::Ping { from, to, at });
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let (Message::Ping { to, .. } | Message::Ack { to, .. } | Message::LogRead { to, .. }) =
            &message;
        let Some(i) = self.find(to) else {
            return;
        };
        // Messages to a paused process stay in its socket buffer.
        if self.processes[i].paused {
            return self.messages.push(message);
        }
        let process = &mut self.processes[i];
        let now = process.clock(self.now);
        match message {
            Message::Ping { from, to, at } => {
                let report = process.guard.report(now);
                let (from, to) = (to, from);
                self.messages.push(Message::Ack {
                    from,
                    to,
                    at,
                    report,
                });
            }
            Message::Ack {
                from, at, report, ..
            } => {
                process.guard.record_acknowledgement(&from, at, report);
            }
            Message::LogRead { at, views, .. } => {
                for view in self.log.iter().take(views).skip(process.seen) {
                    process.guard.add_view(Arc::clone(view));
                }
                process.seen = process.seen.max(views);
                if process.seen == views {
                    process.guard.record_tail_read(at);
                }
            }
        }
    }

    fn restart(&mut self, i: usize) {
        self.incarnations += 1;
        let rate = self.processes[i].rate;
        self.processes[i] = Process::start(NAMES[i], self.incarnations, self.now, rate);
    }

    fn change(&mut self, bits: u8) {
        let chosen = |i: &usize| bits & (1 << i) != 0;
        let members: Vec<_> = (0..NAMES.len())
            .filter(chosen)
            .map(|i| self.processes[i].member.clone())
            .collect();
        let newest = self.log.last().map_or(0, |view| view.number);
        if !members.is_empty() {
            self.log.push(view(newest + 1, members));
        }
    }

    /// Returns for each key the processes that consider themselves its active home.
    fn active_homes(&self) -> Vec<Vec<String>> {
        let mut homes = vec![Vec::new(); KEYS.len()];
        for process in self.processes.iter().filter(|p| !p.paused) {
            let state = process.guard.state(process.clock(self.now));
            if !state.may_act() {
                continue;
            }
            let node = &process.member.node;
            for (key, homes) in KEYS.iter().zip(&mut homes) {
                let home = state.home_of_key(key, None);
                if home.is_some_and(|home| home.node == *node) {
                    homes.push(node.to_string());
                }
            }
        }
        homes
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1..700_u16).prop_map(Step::Advance),
        1 => (2_000..5_000_u16).prop_map(Step::Advance),
        4 => (1..14_u8).prop_map(Step::Synced),
        4 => any::<u8>().prop_map(Step::Read),
        4 => any::<u8>().prop_map(Step::Heartbeat),
        16 => any::<u8>().prop_map(Step::Deliver),
        1 => any::<u8>().prop_map(Step::Drop),
        1 => any::<u8>().prop_map(Step::Duplicate),
        1 => any::<u8>().prop_map(Step::CutLog),
        1 => (any::<u8>(), any::<u8>()).prop_map(|(a, b)| Step::CutLink(a, b)),
        2 => any::<u8>().prop_map(Step::Partition),
        1 => Just(Step::Heal),
        1 => any::<u8>().prop_map(Step::Pause),
        1 => any::<u8>().prop_map(Step::Resume),
        1 => any::<u8>().prop_map(Step::Restart),
        2 => any::<u8>().prop_map(Step::Change),
    ]
}

/// Statistics of a schedule.
#[derive(Default)]
struct Stats {
    /// Number of steps after which some home was active.
    active_steps: usize,
    /// Number of times that the active home of a key changed.
    moves: usize,
}

/// Runs a schedule. Returns its statistics, or an error for a key with two active homes.
fn explore(steps: &[Step]) -> Result<Stats, String> {
    let mut sim = Simulation::new();
    let mut stats = Stats::default();
    let mut last = vec![Vec::new(); KEYS.len()];
    for (i, step) in steps.iter().enumerate() {
        sim.step(step);
        let homes = sim.active_homes();
        stats.active_steps += usize::from(homes.iter().any(|homes| !homes.is_empty()));
        for ((key, homes), last) in KEYS.iter().zip(homes).zip(&mut last) {
            if homes.len() > 1 {
                return Err(format!(
                    "{key} has active homes {homes:?} after step {i}, {step:?}"
                ));
            }
            if !homes.is_empty() {
                stats.moves += usize::from(!last.is_empty() && homes != *last);
                *last = homes;
            }
        }
    }
    Ok(stats)
}

/// Runs a third of the exploration. The thirds are separate tests, so that they run in parallel.
fn explore_many(seed: u64) {
    let cfg = Config {
        cases: 7_000,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    };
    let active_steps = Cell::new(0);
    let moves = Cell::new(0);
    let mut runner = TestRunner::new(cfg);
    let schedules = prop::collection::vec(step(), 10..50);
    let result = runner.run(&schedules, |steps| match explore(&steps) {
        Ok(stats) => {
            active_steps.set(active_steps.get() + stats.active_steps);
            moves.set(moves.get() + stats.moves);
            Ok(())
        }
        Err(err) => Err(TestCaseError::fail(err)),
    });
    if let Err(err) = result {
        panic!("seed {seed}: {err}");
    }
    let (active_steps, moves) = (active_steps.get(), moves.get());
    println!("homes were active after {active_steps} steps and moved {moves} times");
    // The schedules must exercise active homes and moves between homes.
    assert!(active_steps > 50_000 && moves > 2_000);
}

#[test]
fn a_key_never_has_two_active_homes_with_seed_5() {
    explore_many(5);
}

#[test]
fn a_key_never_has_two_active_homes_with_seed_6() {
    explore_many(6);
}

#[test]
fn a_key_never_has_two_active_homes_with_seed_7() {
    explore_many(7);
}

/// A cell in which every process reads the log and exchanges heartbeats every 250 ms.
struct SyncedCell(Simulation);

impl SyncedCell {
    fn new() -> Self {
        Self(Simulation::new())
    }

    /// Simulates `ms` milliseconds. `is_up` selects the processes that take part, `has_log` those
    /// that reach the log.
    fn run(&mut self, ms: u64, is_up: impl Fn(usize) -> bool, has_log: impl Fn(usize) -> bool) {
        let sim = &mut self.0;
        for _ in 0..ms / 250 {
            sim.advance(250);
            for i in (0..NAMES.len()).filter(|i| is_up(*i)) {
                if has_log(i) {
                    sim.read(i);
                }
                sim.heartbeat(i);
            }
            sim.messages.retain(|message| match message {
                Message::Ping { from, to, .. } | Message::Ack { from, to, .. } => {
                    let up = |node: &NodeId| NAMES.iter().position(|n| *n == node.name.as_str());
                    up(from).is_some_and(&is_up) && up(to).is_some_and(&is_up)
                }
                Message::LogRead { .. } => true,
            });
            while let Some(message) = sim.messages.pop() {
                sim.deliver(message);
            }
        }
    }

    fn homes(&self) -> Vec<Vec<String>> {
        self.0.active_homes()
    }
}

fn activation_ms() -> u64 {
    (GUARD_TIME + GUARD_DRIFT).0 + 1_500
}

#[test]
fn every_key_has_an_active_home_after_the_first_view_activates() {
    let mut cell = SyncedCell::new();
    cell.run(activation_ms(), |_| true, |_| true);
    assert!(cell.homes().iter().all(|homes| homes.len() == 1));
}

#[test]
fn log_outage_alone_deactivates_no_home() {
    let mut cell = SyncedCell::new();
    cell.run(activation_ms(), |_| true, |_| true);
    let before = cell.homes();
    cell.run(60_000, |_| true, |_| false);
    assert_eq!(cell.homes(), before);
}

#[test]
fn router_crash_during_a_log_outage_affects_only_its_own_keys() {
    let mut cell = SyncedCell::new();
    cell.run(activation_ms(), |_| true, |_| true);
    cell.0.processes[0].paused = true;
    cell.run(60_000, |i| i != 0, |_| false);
    let first = cell.0.log[0].clone();
    for (key, homes) in KEYS.iter().zip(cell.homes()) {
        let home = ownership::home_of_key(&first, key, None).unwrap();
        let expected = usize::from(home.node.name.as_str() != "a");
        assert_eq!(homes.len(), expected, "{key}");
    }
}

#[test]
fn keys_of_a_crashed_router_move_when_the_log_is_available() {
    let mut cell = SyncedCell::new();
    cell.run(activation_ms(), |_| true, |_| true);
    cell.0.processes[0].paused = true;
    cell.0.change(0b00110);
    cell.run(activation_ms(), |i| i != 0, |_| true);
    assert!(cell.homes().iter().all(|homes| homes.len() == 1));
}

#[test]
fn keys_move_twice_after_two_successive_crashes() {
    let mut cell = SyncedCell::new();
    cell.0.change(0b11111);
    cell.run(activation_ms(), |_| true, |_| true);
    cell.0.processes[0].paused = true;
    cell.0.change(0b11110);
    cell.run(500, |i| i != 0, |_| true);
    cell.0.processes[1].paused = true;
    cell.0.change(0b11100);
    cell.run(activation_ms(), |i| i > 1, |_| true);
    assert!(cell.homes().iter().all(|homes| homes.len() == 1));
}

#[test]
fn partitioned_majority_of_the_old_view_keeps_its_keys_until_it_learns_the_new_view() {
    let mut cell = SyncedCell::new();
    cell.run(activation_ms(), |_| true, |_| true);
    let before = cell.homes();
    // b and c still acknowledge each other; a, d and e read the view that consists of them.
    cell.0.partition(0b00110);
    cell.0.change(0b11001);
    (0..40).for_each(|_| cell.0.sync_period());
    for (before, now) in before.iter().zip(cell.homes()) {
        let stays = before[0].starts_with('b') || before[0].starts_with('c');
        assert!(!stays || now == *before, "{before:?} {now:?}");
        assert!(now.len() <= 1);
    }
    cell.0.step(&Step::Heal);
    (0..20).for_each(|_| cell.0.sync_period());
    assert!(cell.homes().iter().all(|homes| homes.len() == 1));
}

#[test]
fn process_resuming_from_a_pause_does_not_act_before_it_has_fresh_evidence() {
    let mut cell = SyncedCell::new();
    cell.run(activation_ms(), |_| true, |_| true);
    let now = cell.0.now + GUARD_TIME.0 + 1;
    let resumed = &cell.0.processes[0];
    let clock = resumed.clock(now + 1_000);
    assert!(!resumed.guard.state(clock).may_act());
    assert!(resumed.guard.report(clock).in_doubt);
}

#[test]
fn acknowledgements_of_processes_in_doubt_are_no_evidence() {
    let mut cell = SyncedCell::new();
    cell.run(activation_ms(), |_| true, |_| true);
    // All resume together, cut off from the log, and acknowledge each other only in doubt.
    cell.0.now += 60_000;
    cell.run(10_000, |_| true, |_| false);
    assert!(cell.homes().iter().all(Vec::is_empty));
    cell.run(activation_ms(), |_| true, |i| i == 0);
    assert!(cell.homes().iter().any(|homes| !homes.is_empty()));
}
