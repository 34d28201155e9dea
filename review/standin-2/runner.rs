//! Stand-in of the platform's runners. The text of a job says what its tasks do:
//!
//! - `run MS`: ends `done` after that time.
//! - `last`: lasts until it is stopped.
//! - `fail MS`: ends `failed` after that time.
//! - `flaky MS`: lasts, and fails by its own fault after that time.
//! - `gang COUNT MS`: works while that many tasks of the run are present, and ends `done` after that time.

use std::{
    collections::{BTreeSet, HashMap},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Answer, Request},
    json::{self, Json},
    record::Record,
    store::Store,
};

/// Number of starts and stops that came to all runners.
pub static ORDERS: AtomicU64 = AtomicU64::new(0);

/// Interval at which a runner looks for ends that are due.
const TICK: Duration = Duration::from_millis(10);

/// `HeartbeatMs`.
const HEARTBEAT_MS: u64 = 1_500;

/// Time that a stop takes, below `StopMs`.
const STOP_MS: u64 = 200;

/// `MaxHoldMs`.
const MAX_HOLD_MS: u64 = 10_000;

/// Time after its start at which a task that lasts is at work.
const STARTUP_MS: u64 = 200;

/// Time after which the link delivers a start that it held up.
const LATE_MS: u64 = 8_000;

/// Time for which a call to a runner that is gone gets no answer before its connection ends.
const SILENCE: Duration = Duration::from_secs(4);

/// One run, as the runner saw it; times are those of the record.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub runner: String,
    pub began: u64,
    pub ended: Option<u64>,
    pub how: &'static str,
}

/// A run of a gang, which all its runners know.
#[derive(Default)]
struct Gang {
    present: BTreeSet<String>,
    /// Time at which all members were present.
    began: Option<u64>,
    /// Time at which a member ended before the others.
    broken: Option<u64>,
}

/// The gangs, by step and run.
#[derive(Clone, Default)]
pub struct Gangs(Arc<Mutex<HashMap<(String, u64), Gang>>>);

/// Time after the start of its work at which a runner that fails all tasks fails one.
const GREY_FAILURE_MS: u64 = 300;

/// Time after which the members of a gang on other runners know that one has ended.
const BREAK_MS: u64 = 30;

/// `GangWaitMs`.
const GANG_WAIT_MS: u64 = 3_000;

/// All runs of all runners.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// What a runner is like.
#[derive(Clone)]
pub struct Kind {
    pub id: String,
    pub cpu: u64,
    pub memory_mb: u64,
    pub labels: [String; 2],
}

struct Running {
    task: String,
    run: u64,
    began: u64,
    due: Option<(u64, &'static str)>,
    /// Whether the task is to last.
    lasts: bool,
    /// Number of members and run time, if the task is one of a gang.
    gang: Option<(usize, u64)>,
    at: usize,
}

/// What distinguishes one life of a runner from the next under its id.
#[derive(Clone, Copy)]
struct Life {
    born: u64,
    started: Instant,
}

impl Life {
    fn begin() -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            born: born.expect("a clock after 1970").as_millis() as u64,
            started: Instant::now(),
        }
    }
}

#[derive(Default)]
struct State {
    is_gone: bool,
    /// Whether the runner has crashed and is not back yet.
    is_down: bool,
    /// Whether the runner fails all that it starts.
    is_grey: bool,
    fence: u64,
    deadline: u64,
    running: Vec<Running>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended.
    over: HashMap<String, u64>,
}

/// A runner.
#[derive(Clone)]
pub struct Runner {
    pub kind: Kind,
    pub addr: SocketAddr,
    service: String,
    life: Arc<Mutex<Life>>,
    /// Time until which the link holds up the starts that come, in milliseconds of the record.
    holds_starts_until: Arc<AtomicU64>,
    state: Arc<(Mutex<State>, Condvar)>,
    store: Store,
    runs: Runs,
    gangs: Gangs,
    record: Record,
}

impl Runner {
    /// Starts a runner, which enters itself in the store.
    pub fn start(
        kind: Kind,
        service: &str,
        store: &Store,
        (runs, gangs): (&Runs, &Gangs),
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound port");
        let runner = Self {
            kind,
            addr,
            service: service.to_owned(),
            life: Arc::new(Mutex::new(Life::begin())),
            holds_starts_until: Arc::default(),
            state: Arc::default(),
            store: store.clone(),
            runs: Arc::clone(runs),
            gangs: gangs.clone(),
            record: record.clone(),
        };
        let served = runner.clone();
        http::serve(listener, move |req| served.handle(&req));
        let ticking = runner.clone();
        thread::spawn(move || ticking.tick());
        runner
    }

    /// Loses the runner for good, without a word to anybody.
    pub fn lose(&self) {
        let mut state = self.state.0.lock().expect("no handler panics");
        state.is_gone = true;
        for index in 0..state.running.len() {
            let at = state.running[index].at;
            self.end_run(at, "gone");
        }
        state.running.clear();
        self.record
            .add(format!("runner {} is gone for good", self.kind.id));
    }

    /// Lets the link hold up the starts that come within a time, and deliver them [`LATE_MS`] later.
    pub fn hold_starts_for(&self, ms: u64) {
        let until = self.record.now() + ms;
        self.holds_starts_until.store(until, Ordering::SeqCst);
    }

    /// Lets the runner crash; it starts again under its id after a time, and knows nothing of before.
    pub fn crash_for(&self, ms: u64) {
        {
            let mut state = self.state.0.lock().expect("no handler panics");
            for run in std::mem::take(&mut state.running) {
                self.end_run(run.at, "crashed");
            }
            *state = State {
                is_down: true,
                ..State::default()
            };
            self.record.add(format!("runner {} crashes", self.kind.id));
        }
        thread::sleep(Duration::from_millis(ms));
        *self.life.lock().expect("no handler panics") = Life::begin();
        self.state.0.lock().expect("no handler panics").is_down = false;
        self.record
            .add(format!("runner {} starts again under its id", self.kind.id));
    }

    /// Lets the runner fail all that it starts, or no longer.
    pub fn set_grey(&self, is_grey: bool) {
        self.state.0.lock().expect("no handler panics").is_grey = is_grey;
        self.record.add(format!(
            "runner {} fails all that it starts: {is_grey}",
            self.kind.id
        ));
    }

    /// Returns the number of runs.
    pub fn running(&self) -> usize {
        self.state
            .0
            .lock()
            .expect("no handler panics")
            .running
            .len()
    }

    fn clock(&self) -> u64 {
        self.life().started.elapsed().as_millis() as u64
    }

    fn life(&self) -> Life {
        *self.life.lock().expect("no handler panics")
    }

    fn entry(&self, sequence: u64) -> String {
        let Kind {
            cpu,
            memory_mb,
            labels,
            ..
        } = &self.kind;
        format!(
            "{{\"Service\":\"{}\",\"Addr\":\"{}\",\"Zone\":\"z-a\",\"Version\":\"v1\",\"Slots\":8,\
             \"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":{sequence},\"born\":{},\
             \"Capacity\":{{\"Cpu\":{cpu},\"MemMb\":{memory_mb},\"Gpus\":0}},\
             \"Labels\":[\"{}\",\"{}\"]}}",
            self.service,
            self.addr,
            self.life().born,
            labels[0],
            labels[1]
        )
    }

    fn tick(&self) {
        let (mut sequence, mut next_beat, mut born) = (1, 0, self.life().born);
        loop {
            let now = self.clock();
            let is_gone = self.state.0.lock().expect("no handler panics").is_gone;
            if is_gone {
                // The platform removes the entry after three heartbeat intervals of silence.
                thread::sleep(Duration::from_millis(3 * HEARTBEAT_MS));
                return self.store.put("keyed.servers", &self.kind.id, "");
            }
            let is_down = self.state.0.lock().expect("no handler panics").is_down;
            if self.life().born != born {
                (born, sequence, next_beat) = (self.life().born, 1, 0);
            }
            if now >= next_beat && !is_down {
                self.store
                    .put("keyed.servers", &self.kind.id, &self.entry(sequence));
                sequence += 1;
                next_beat = now + HEARTBEAT_MS;
            }
            self.end_due_runs();
            thread::sleep(TICK);
        }
    }

    fn end_due_runs(&self) {
        let now = self.clock();
        let mut state = self.state.0.lock().expect("no handler panics");
        let has_lapsed = now > state.deadline;
        let is_grey = state.is_grey;
        for run in &mut state.running {
            if let (None, Some(gang)) = (run.due, run.gang) {
                run.due = self.gang_end(run, gang, is_grey).map(|how| (now, how));
            }
        }
        let mut ended = Vec::new();
        state.running.retain(|run| {
            let how = match run.due {
                _ if has_lapsed => Some("lapsed"),
                Some((at, how)) if at <= now => Some(how),
                _ => None,
            };
            ended.extend(how.map(|how| (run.task.clone(), run.run, run.at, how)));
            how.is_none()
        });
        for (task, run, at, how) in ended {
            state.last_end += 1;
            let number = state.last_end;
            state.finished.push((number, task.clone(), run, how));
            let over = state.over.entry(task).or_default();
            *over = run.max(*over);
            self.end_run(at, how);
            self.state.1.notify_all();
        }
    }

    /// Returns how a member of a gang ends now, if it does.
    fn gang_end(
        &self,
        run: &Running,
        (count, work_ms): (usize, u64),
        is_grey: bool,
    ) -> Option<&'static str> {
        let now = self.record.now();
        let step = run.task.rsplit_once('.').map_or("", |(step, _)| step);
        let mut gangs = self.gangs.0.lock().expect("no handler panics");
        let gang = gangs.entry((step.to_owned(), run.run)).or_default();
        gang.present.insert(run.task.clone());
        if gang.began.is_none() && gang.present.len() == count {
            gang.began = Some(now);
        }
        let Some(began) = gang.began else {
            let has_waited = self.clock() >= run.began + GANG_WAIT_MS;
            return has_waited.then_some("alone");
        };
        if is_grey && now >= began + GREY_FAILURE_MS {
            gang.broken.get_or_insert(now);
            return Some("failed");
        }
        if gang.broken.is_some_and(|broken| now >= broken + BREAK_MS) {
            return Some("broken");
        }
        (now >= began + work_ms).then_some("done")
    }

    fn end_run(&self, at: usize, how: &'static str) {
        let mut runs = self.runs.lock().expect("no handler panics");
        runs[at].ended = Some(self.record.now());
        runs[at].how = how;
        let run = &runs[at];
        self.record.add(format!(
            "{} run {} on {}: {how}",
            run.task, run.run, run.runner
        ));
    }

    fn handle(&self, req: &Request) -> Answer {
        if self.state.0.lock().expect("no handler panics").is_gone {
            thread::sleep(SILENCE);
            return None;
        }
        if req.path != "/api/hold" {
            ORDERS.fetch_add(1, Ordering::SeqCst);
        }
        if req.path == "/api/run-start"
            && self.record.now() < self.holds_starts_until.load(Ordering::SeqCst)
        {
            self.record
                .add(format!("a start to {} is held up", self.kind.id));
            thread::sleep(Duration::from_millis(LATE_MS));
            self.record
                .add(format!("the start to {} is delivered", self.kind.id));
            // Its sender has given up; the answer is lost.
            self.answer(req);
            return None;
        }
        self.answer(req)
    }

    /// Answers a request as the present life of the runner.
    fn answer(&self, req: &Request) -> Answer {
        if self.state.0.lock().expect("no handler panics").is_down {
            return None;
        }
        if req
            .header("x-knapweedspan-expect-instance")
            .is_some_and(|id| id != self.kind.id)
        {
            return Some((421, Vec::new()));
        }
        let order = json::parse(&String::from_utf8_lossy(&req.body))?;
        // What ended before the order came has ended, however late the next tick is.
        self.end_due_runs();
        let answer = match req.path.as_str() {
            "/api/run-start" => self.run_start(&order),
            "/api/run-stop" => self.run_stop(&order),
            "/api/hold" => self.hold(&order),
            _ => (404, String::new()),
        };
        Some((answer.0, answer.1.into_bytes()))
    }

    /// Applies the fence of an order. Returns whether it is high enough.
    fn apply_fence(state: &mut State, order: &Json) -> bool {
        let fence = order.number("Fence");
        if fence < state.fence {
            return false;
        }
        state.fence = fence;
        true
    }

    fn apply_deadline(&self, state: &mut State, order: &Json) {
        let deadline = order.number("DeadlineMs").min(self.clock() + MAX_HOLD_MS);
        state.deadline = state.deadline.max(deadline);
    }

    fn refusal(&self, reason: &str) -> (u16, String) {
        (
            409,
            format!("{{\"ClockMs\":{},\"Reason\":\"{reason}\"}}", self.clock()),
        )
    }

    fn done(&self) -> (u16, String) {
        (200, format!("{{\"ClockMs\":{}}}", self.clock()))
    }

    fn run_start(&self, order: &Json) -> (u16, String) {
        let (task, run) = (order.text("Task"), order.number("Run"));
        let mut state = self.state.0.lock().expect("no handler panics");
        if !Self::apply_fence(&mut state, order) {
            return self.refusal("fence");
        }
        if order.number("DeadlineMs") < self.clock() {
            return self.refusal("late");
        }
        self.apply_deadline(&mut state, order);
        if state
            .running
            .iter()
            .any(|known| known.task == task && known.run == run)
        {
            return self.done();
        }
        if state.over.get(&task).is_some_and(|over| run <= *over) {
            return self.refusal("old");
        }
        let spec = order.text("Spec");
        let words: Vec<&str> = spec.split(' ').collect();
        let what = words[0];
        let ms = words.last().and_then(|ms| ms.parse().ok()).unwrap_or(0);
        let after = self.clock() + ms;
        let count = words
            .get(1)
            .and_then(|count| count.parse().ok())
            .unwrap_or(1);
        let gang = (what == "gang").then_some((count, ms));
        let due = match what {
            "run" => Some((after, "done")),
            "fail" | "flaky" => Some((after, "failed")),
            _ => None,
        };
        let mut runs = self.runs.lock().expect("no handler panics");
        self.record
            .add(format!("{task} run {run} on {}: begins", self.kind.id));
        runs.push(Run {
            task: task.clone(),
            run,
            runner: self.kind.id.clone(),
            began: self.record.now(),
            ended: None,
            how: "",
        });
        let at = runs.len() - 1;
        let began = self.clock();
        let lasts = matches!(what, "last" | "flaky");
        state.running.push(Running {
            lasts,
            task,
            run,
            began,
            due,
            gang,
            at,
        });
        self.done()
    }

    fn run_stop(&self, order: &Json) -> (u16, String) {
        let (task, run) = (order.text("Task"), order.number("Run"));
        let mut state = self.state.0.lock().expect("no handler panics");
        if !Self::apply_fence(&mut state, order) {
            return self.refusal("fence");
        }
        let over = state.over.entry(task.clone()).or_default();
        *over = run.max(*over);
        let due = Some((self.clock() + STOP_MS, "stopped"));
        for known in &mut state.running {
            if known.task == task
                && known.run <= run
                && !known.due.is_some_and(|due| due.1 == "stopped")
            {
                known.due = due;
            }
        }
        self.done()
    }

    fn hold(&self, order: &Json) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(order.number("WaitMs").min(2_000));
        let mut state = self.state.0.lock().expect("no handler panics");
        if !Self::apply_fence(&mut state, order) {
            return self.refusal("fence");
        }
        self.apply_deadline(&mut state, order);
        let ack = order.number("AckCursor");
        state.finished.retain(|(number, ..)| *number > ack);
        while state.finished.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self
                .state
                .1
                .wait_timeout(state, left)
                .expect("no handler panics")
                .0;
        }
        let now = self.clock();
        let running: Vec<String> = state
            .running
            .iter()
            .map(|run| {
                let percent = match run.due {
                    Some((at, "done" | "failed")) if !run.lasts => {
                        (now - run.began) * 100 / (at - run.began).max(1)
                    }
                    _ => u64::from(now >= run.began + STARTUP_MS) * 100,
                };
                format!("[\"{}\",{},\"\",{},0]", run.task, run.run, percent.min(100))
            })
            .collect();
        let finished: Vec<String> = state
            .finished
            .iter()
            .take(500)
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        let (running, finished) = (running.join(","), finished.join(","));
        let body = format!(
            "{{\"ClockMs\":{now},\"born\":{},\"Running\":[{running}],\"Finished\":[{finished}]}}",
            self.life().born
        );
        (200, body)
    }
}
