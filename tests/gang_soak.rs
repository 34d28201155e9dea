//! A soak of gangs with real processes: members fail together while owners are killed and runners are cut off. No job
//! may be shown as failed before its last attempt.
//!
//! CI plays one seed. `GANG_SOAK_FIRST=25 GANG_SOAK_SEEDS=25 cargo test --test gang_soak` plays 25 from 25 on, of
//! about 40 for which a process has addresses.

mod harness;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use harness::{
    POLL_INTERVAL, Process, TIMEOUT, call_until,
    standin::{MAX_ATTEMPTS, PREFIX, Platform, gang_job_body},
    wait_for_owner,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

const RUNNERS: usize = 8;

const PROCESSES: usize = 3;

const JOBS: u64 = 12;

/// Number of a seed's first process.
const FIRST_PROCESS: usize = 100;

/// A gang that was submitted.
struct Gang {
    id: String,
    members: usize,
    failing: usize,
    failing_runs: u32,
}

impl Gang {
    fn new(number: u64, rng: &mut ChaCha8Rng) -> Self {
        let members = rng.random_range(2..=RUNNERS);
        Self {
            id: format!("{number:016x}"),
            members,
            failing: rng.random_range(1..=members),
            failing_runs: rng.random_range(0..=MAX_ATTEMPTS),
        }
    }

    /// Returns how often each member has failed in runs with a number.
    fn failures(&self, platform: &Platform) -> BTreeMap<(u64, String), usize> {
        let mut failures = BTreeMap::new();
        for (_, run) in platform.runs() {
            if run.how == "failed" && run.task.starts_with(&self.id) {
                *failures.entry((run.number, run.task)).or_default() += 1;
            }
        }
        failures
    }

    /// Returns the number of its failed runs. Two runs with one number show by members that failed twice.
    fn attempts(&self, platform: &Platform) -> usize {
        let mut by_run: BTreeMap<u64, usize> = BTreeMap::new();
        for ((number, _), count) in self.failures(platform) {
            let most = by_run.entry(number).or_default();
            *most = count.max(*most);
        }
        by_run.values().sum()
    }
}

/// A cell in the course of a soak.
struct Soak {
    platform: Platform,
    processes: Vec<Process>,
    started: usize,
    rng: ChaCha8Rng,
}

impl Soak {
    fn new(seed: u64) -> Self {
        let mut soak = Self {
            platform: Platform::start(RUNNERS),
            processes: Vec::new(),
            started: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        (0..PROCESSES).for_each(|_| soak.start_process());
        soak
    }

    fn start_process(&mut self) {
        let process = Process::start(FIRST_PROCESS + self.started, &self.platform);
        self.processes.push(process);
        self.started += 1;
    }

    /// Kills the owner, and starts another process.
    async fn replace_owner(&mut self) {
        let owner = wait_for_owner(&self.processes).await;
        drop(self.processes.swap_remove(owner));
        self.start_process();
    }

    /// Cuts off one runner in three, or connects all of them.
    fn cut_off_runners(&mut self, is_cut_off: bool) {
        for runner in &self.platform.runners {
            let is_chosen = is_cut_off && self.rng.random_range(0..3) == 0;
            let mut runner = runner.lock().expect("no handler panicked");
            runner.set_cut_off(is_chosen);
        }
    }

    /// Submits a gang, and brings a fault about at times.
    async fn step(&mut self, number: u64) -> Gang {
        let gang = Gang::new(number, &mut self.rng);
        let work_ms = self.rng.random_range(100..1_200);
        let body = gang_job_body(gang.members, work_ms, gang.failing, gang.failing_runs);
        let addr = &self.processes[0].callers;
        let path = format!("{PREFIX}{}", gang.id);
        call_until("POST", addr, &path, &body, 200).await;
        let pause = Duration::from_millis(self.rng.random_range(50..900));
        tokio::time::sleep(pause).await;
        match self.rng.random_range(0..4) {
            0 => self.replace_owner().await,
            1 => self.cut_off_runners(true),
            2 => self.cut_off_runners(false),
            _ => {}
        }
        gang
    }

    /// Waits until a job has ended; returns its state.
    async fn final_state(&self, gang: &Gang) -> String {
        let path = format!("{PREFIX}{}", gang.id);
        let started_at = Instant::now();
        loop {
            let text = call_until("GET", &self.processes[0].callers, &path, "", 200).await;
            let answer: Value = serde_json::from_str(&text).expect("a state");
            let state = answer["State"].as_str().expect("a name");
            if ["completed", "failed"].contains(&state) {
                return state.to_owned();
            }
            let waited = started_at.elapsed();
            assert!(waited < TIMEOUT, "{} is {state} after {waited:?}", gang.id);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn check(&self, gang: &Gang, seed: u64) {
        let state = self.final_state(gang).await;
        let attempts = gang.attempts(&self.platform);
        let max = MAX_ATTEMPTS as usize;
        let id = &gang.id;
        if state == "failed" {
            assert!(
                attempts >= max,
                "seed {seed}: {id} is failed after {attempts} runs of {max}"
            );
        }
        assert!(
            attempts <= max,
            "seed {seed}: {id} has {attempts} failed runs of {max}"
        );
    }
}

/// Returns the number in an environment variable, or `default` if it isn't set.
fn number_from(name: &str, default: u64) -> u64 {
    let text = std::env::var(name);
    text.map_or(default, |text| text.parse().expect("a number"))
}

/// Guards against jobs of gangs that are shown as failed with attempts left.
#[ntex::test]
async fn no_job_of_a_gang_is_failed_before_its_last_attempt() {
    let first = number_from("GANG_SOAK_FIRST", 0);
    let seeds = number_from("GANG_SOAK_SEEDS", 1);
    for seed in first..first + seeds {
        let mut soak = Soak::new(seed);
        wait_for_owner(&soak.processes).await;
        let mut gangs = Vec::new();
        for number in 0..JOBS {
            gangs.push(soak.step(number).await);
        }
        soak.cut_off_runners(false);
        let mut members_failed = 0;
        let mut runs_failed = 0;
        for gang in &gangs {
            soak.check(gang, seed).await;
            members_failed += gang.failures(&soak.platform).len();
            runs_failed += gang.attempts(&soak.platform);
        }
        assert!(
            members_failed > runs_failed,
            "seed {seed}: no members failed together"
        );
    }
}
