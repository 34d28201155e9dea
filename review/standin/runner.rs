//! Runners, as the users' protocol page describes them (`ControlMode` `call`).
//!
//! The text of a job says what its tasks do: words of the form `name=value`. `ms` is the time that a
//! task works, `saves=1` makes checkpoints, `lasts=1` never ends.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Reply, Request},
    json::{self, Json, quote},
    record::Record,
    store::Store,
};

/// Bounds of the settings.
const MAX_HOLD_MS: u64 = 10_000;
const STOP_MS: u64 = 400;
const CHECKPOINT_MS: u64 = 1_000;

/// Time after which a runner that fails all that it starts ends a run.
const FAILING_MS: u64 = 50;
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Ends that one answer lists.
const ENDS_PER_ANSWER: usize = 500;

/// A run on a runner.
struct Run {
    task: String,
    run: u64,
    began: Instant,
    work_ms: u64,
    fails: bool,
    saves: bool,
    lasts: bool,
    /// Time at which a run that is being stopped is gone.
    gone_at: Option<Instant>,
    /// Index in the record.
    index: usize,
}

impl Run {
    fn saved(&self) -> String {
        let steps = self.began.elapsed().as_millis() as u64 / CHECKPOINT_MS;
        if self.saves && steps > 0 {
            format!("{:016x}", steps)
        } else {
            String::new()
        }
    }

    fn percent(&self) -> u64 {
        if self.lasts {
            return 100;
        }
        let done = self.began.elapsed().as_millis() as u64 * 100 / self.work_ms.max(1);
        done.min(100)
    }
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
    index: usize,
    /// Whether the lease has lapsed since. Such an end isn't taken note of any more.
    has_lapsed: bool,
}

struct State {
    id: String,
    /// Unix time of the start, in milliseconds.
    born: u64,
    started: Instant,
    is_up: bool,
    /// Whether calls get no answer and have no effect.
    is_silent: bool,
    /// Whether the runner fails all that it starts.
    is_failing: bool,
    is_draining: bool,
    sequence: u64,
    fence: u64,
    deadline_ms: u64,
    running: Vec<Run>,
    /// Highest run of each task that was stopped or has ended here.
    barred: HashMap<String, u64>,
    ends: Vec<End>,
    next_end: u64,
    last_beat: Option<Instant>,
}

impl State {
    fn new(id: String) -> Self {
        Self {
            id,
            born: unix_ms(),
            started: Instant::now(),
            is_up: true,
            is_silent: false,
            is_failing: false,
            is_draining: false,
            sequence: 0,
            fence: 0,
            deadline_ms: 0,
            running: Vec::new(),
            barred: HashMap::new(),
            ends: Vec::new(),
            next_end: 1,
            last_beat: None,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn extend(&mut self, order: &Json) {
        let limit = self.clock_ms() + MAX_HOLD_MS;
        let deadline = order.u64("DeadlineMs").unwrap_or(0).min(limit);
        self.deadline_ms = self.deadline_ms.max(deadline);
    }

    fn end(&mut self, run: Run, how: &'static str, saved: String, record: &Record) {
        record.ended(run.index, how);
        let highest = self.barred.entry(run.task.clone()).or_default();
        *highest = (*highest).max(run.run);
        self.ends.push(End {
            number: self.next_end,
            task: run.task,
            run: run.run,
            how,
            saved,
            index: run.index,
            has_lapsed: false,
        });
        self.next_end += 1;
    }

    /// Ends what is due. Returns whether anything ended.
    fn advance(&mut self, record: &Record) -> bool {
        let now = Instant::now();
        let has_lapsed = self.clock_ms() > self.deadline_ms;
        if has_lapsed {
            self.ends.iter_mut().for_each(|end| end.has_lapsed = true);
        }
        let due: Vec<Run> = self
            .running
            .extract_if(.., |run| {
                let is_done = !run.lasts
                    && now.duration_since(run.began) >= Duration::from_millis(run.work_ms);
                has_lapsed || is_done || run.gone_at.is_some_and(|at| now >= at)
            })
            .collect();
        let any = !due.is_empty();
        for run in due {
            let saved = run.saved();
            let how = if run.gone_at.is_some() {
                "stopped"
            } else if has_lapsed {
                "lapsed"
            } else if run.fails {
                "failed"
            } else {
                "done"
            };
            let saved = if how == "done" || how == "failed" {
                String::new()
            } else {
                saved
            };
            self.end(run, how, saved, record);
        }
        any
    }
}

/// A runner.
#[derive(Clone)]
pub struct Runner {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub number: usize,
    pub addr: SocketAddr,
    settings: Arc<Settings>,
}

/// What all runners of a deployment share.
pub struct Settings {
    pub store: Store,
    pub record: Arc<Record>,
    pub service: String,
    pub cpu: u64,
    pub mem_mb: u64,
}

impl Runner {
    pub fn start(number: usize, address: IpAddr, settings: &Arc<Settings>) -> Self {
        let id = format!("runner-{number:02}-{:08x}", std::process::id());
        let shared = Arc::new((Mutex::new(State::new(id)), Condvar::new()));
        let (state, record) = (Arc::clone(&shared), Arc::clone(&settings.record));
        let addr = http::serve(address, move |request| {
            handle(&state, &record, number, &request)
        });
        let runner = Self {
            shared,
            number,
            addr,
            settings: Arc::clone(settings),
        };
        let beating = runner.clone();
        thread::spawn(move || {
            loop {
                beating.beat();
                thread::sleep(Duration::from_millis(3));
            }
        });
        runner
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap()
    }

    /// Ends what is due, and writes the runner's entry when that is due.
    fn beat(&self) {
        let mut state = self.lock();
        if !state.is_up {
            return;
        }
        if state.advance(&self.settings.record) {
            self.shared.1.notify_all();
        }
        if state.last_beat.is_some_and(|at| at.elapsed() < HEARTBEAT) {
            return;
        }
        state.last_beat = Some(Instant::now());
        state.sequence += 1;
        let entry = self.entry(&state);
        let id = state.id.clone();
        drop(state);
        self.settings.store.put("keyed.servers", &id, &entry);
    }

    fn entry(&self, state: &State) -> String {
        let Settings {
            service,
            cpu,
            mem_mb,
            ..
        } = &*self.settings;
        let word = if state.is_draining {
            "draining"
        } else {
            "ready"
        };
        format!(
            "{{\"Service\":{},\"Addr\":\"{}\",\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":8,\
             \"State\":\"{word}\",\"ColdRemainingMs\":0,\"Capacity\":{{\"Cpu\":{cpu},\
             \"MemMb\":{mem_mb},\"Gpus\":0}},\"Labels\":[\"a\",\"r1-{}\"],\"Seq\":{},\"born\":{}}}",
            quote(service),
            self.addr,
            self.number / 8,
            state.sequence,
            state.born
        )
    }

    /// Kills the runner: what ran is gone, and calls are refused until it starts again.
    pub fn kill(&self) {
        let mut state = self.lock();
        state.is_up = false;
        for run in state.running.drain(..) {
            self.settings.record.ended(run.index, "crashed");
        }
        self.shared.1.notify_all();
    }

    /// Starts the runner again under the id that it had.
    pub fn restart(&self) {
        let mut state = self.lock();
        let id = state.id.clone();
        *state = State::new(id);
    }

    /// Kills the runner with its machine: what ran is gone, and calls get no answer until it starts
    /// again.
    pub fn kill_dark(&self) {
        self.lock().is_silent = true;
        self.kill();
    }

    /// Leaves calls without an answer or an effect, or serves again. What runs goes on meanwhile.
    pub fn set_silent(&self, is_silent: bool) {
        self.lock().is_silent = is_silent;
        self.shared.1.notify_all();
    }

    /// Lets the runner fail all that it starts, soon after the start, or not any more.
    pub fn set_failing(&self, is_failing: bool) {
        self.lock().is_failing = is_failing;
    }

    /// Returns the number of ends that were not acknowledged.
    pub fn open_ends(&self) -> usize {
        self.lock().ends.len()
    }
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Returns the value of a word of the job's text.
fn word(text: &str, name: &str) -> Option<u64> {
    let value = text.split(' ').find_map(|word| word.strip_prefix(name))?;
    value.strip_prefix('=')?.parse().ok()
}

fn handle(
    shared: &(Mutex<State>, Condvar),
    record: &Record,
    number: usize,
    request: &Request,
) -> Reply {
    let order = json::parse(&request.body).unwrap_or(Json::Null);
    let mut state = shared.0.lock().unwrap();
    if state.is_silent {
        return Reply::Silence;
    }
    if !state.is_up {
        return Reply::Close;
    }
    let expected = request.headers.get("x-knapweedspan-expect-instance");
    if expected.is_some_and(|id| *id != state.id) {
        return Reply::Answer(421, Vec::new());
    }
    let fence = order.u64("Fence").unwrap_or(0);
    let refusal = |state: &State, reason: &str| {
        let clock = state.clock_ms();
        Reply::json(
            409,
            format!("{{\"ClockMs\":{clock},\"Reason\":\"{reason}\"}}"),
        )
    };
    if fence < state.fence {
        return refusal(&state, "fence");
    }
    state.fence = fence;
    state.advance(record);
    match request.path.as_str() {
        "/api/run-start" => {
            let task = order.str("Task").unwrap_or_default().to_owned();
            let run = order.u64("Run").unwrap_or(0);
            let text = order.str("Spec").unwrap_or_default().to_owned();
            let is_known = |known: &&Run| known.task == task && known.run == run;
            if state.running.iter().find(is_known).is_some() {
                state.extend(&order);
            } else if order.u64("DeadlineMs").unwrap_or(0) <= state.clock_ms() {
                return refusal(&state, "late");
            } else if state.barred.get(&task).is_some_and(|high| run <= *high) {
                state.extend(&order);
                return refusal(&state, "old");
            } else {
                state.extend(&order);
                let index = record.began(&task, run, number);
                let is_failing = state.is_failing;
                let work_ms = if is_failing {
                    FAILING_MS
                } else {
                    word(&text, "ms").unwrap_or(100)
                };
                state.running.push(Run {
                    task,
                    run,
                    began: Instant::now(),
                    work_ms,
                    fails: is_failing,
                    saves: word(&text, "saves") == Some(1),
                    lasts: word(&text, "lasts") == Some(1) && !is_failing,
                    gone_at: None,
                    index,
                });
            }
            Reply::json(200, format!("{{\"ClockMs\":{}}}", state.clock_ms()))
        }
        "/api/run-stop" => {
            let task = order.str("Task").unwrap_or_default().to_owned();
            let run = order.u64("Run").unwrap_or(0);
            let highest = state.barred.entry(task.clone()).or_default();
            *highest = (*highest).max(run);
            let gone_at = Instant::now() + Duration::from_millis(STOP_MS / 4);
            for known in &mut state.running {
                if known.task == task && known.run <= run && known.gone_at.is_none() {
                    known.gone_at = Some(gone_at);
                }
            }
            Reply::json(200, format!("{{\"ClockMs\":{}}}", state.clock_ms()))
        }
        "/api/hold" => {
            let ack = order.u64("AckCursor").unwrap_or(0);
            for end in state.ends.extract_if(.., |end| end.number <= ack) {
                if !end.has_lapsed {
                    record.noted(end.index);
                }
            }
            state.extend(&order);
            let until = Instant::now() + Duration::from_millis(order.u64("WaitMs").unwrap_or(0));
            let born = state.born;
            loop {
                let left = until.saturating_duration_since(Instant::now());
                if !state.ends.is_empty() || left.is_zero() {
                    break;
                }
                state = shared.1.wait_timeout(state, left).unwrap().0;
                if state.is_silent {
                    return Reply::Silence;
                }
                if !state.is_up || state.born != born {
                    return Reply::Close;
                }
            }
            Reply::json(200, inventory(&state))
        }
        _ => Reply::Answer(404, Vec::new()),
    }
}

fn inventory(state: &State) -> String {
    let running: Vec<String> = state
        .running
        .iter()
        .map(|run| {
            let (saved, percent) = (run.saved(), run.percent());
            format!("[\"{}\",{},\"{saved}\",{percent},100]", run.task, run.run)
        })
        .collect();
    let ends: Vec<String> = state
        .ends
        .iter()
        .take(ENDS_PER_ANSWER)
        .map(|end| {
            let End {
                number,
                task,
                run,
                how,
                saved,
                ..
            } = end;
            format!("[{number},\"{task}\",{run},\"{how}\",\"{saved}\"]")
        })
        .collect();
    format!(
        "{{\"ClockMs\":{},\"Running\":[{}],\"Finished\":[{}],\"born\":{}}}",
        state.clock_ms(),
        running.join(","),
        ends.join(","),
        state.born
    )
}
