//! Stand-in of a runner: runs each task for the time that the job's text names, under a lease.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Answer, Request},
    store::Store,
};

/// Longest lease that a runner grants (`MaxHoldMs`), in milliseconds.
const MAX_HOLD_MS: u64 = 10_000;

/// Interval of the runner's entries in the store (`HeartbeatMs`).
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Interval at which a runner ends what is due.
const TICK: Duration = Duration::from_millis(20);

/// A run that a runner was told to start.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub runner: usize,
    pub task: String,
    pub run: u64,
    pub began: Instant,
    pub ended: Option<(Instant, &'static str)>,
}

struct Running {
    task: String,
    run: u64,
    until: Instant,
    record: usize,
}

struct State {
    number: usize,
    id: String,
    born: u64,
    started: Instant,
    fence: u64,
    lease_until: u64,
    running: Vec<Running>,
    ended: Vec<(u64, String)>,
    next_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    barred: std::collections::HashMap<String, u64>,
    records: Vec<RunRecord>,
    /// Text of the job at the first start of which the runner crashes, and for how long it is down.
    crash: Option<(&'static str, [Duration; 2], Arc<AtomicBool>)>,
    /// Time at which a crashed runner is back.
    down_until: Option<Instant>,
    /// Time until which the runner is cut off from all machines, and runs on.
    cut_until: Option<Instant>,
    /// Time of the latest call that reached the runner.
    last_call: Option<Instant>,
}

/// A runner.
#[derive(Clone)]
pub struct Runner(Arc<Mutex<State>>);

impl Runner {
    /// Starts a runner of 32 cores, which registers itself in the store.
    pub fn start(number: usize, service: &'static str, store: &Arc<Store>) -> Self {
        // One runner of all has a label of its own.
        let label = if number == 0 { "a" } else { "b" };
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let state = State {
            number,
            id: format!("i-{number:04x}"),
            born: now.as_millis() as u64,
            started: Instant::now(),
            fence: 0,
            lease_until: 0,
            running: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            barred: std::collections::HashMap::new(),
            records: Vec::new(),
            crash: None,
            down_until: None,
            cut_until: None,
            last_call: None,
        };
        let runner = Self(Arc::new(Mutex::new(state)));
        let served = runner.clone();
        let addr = http::serve(move |req| served.handle(req));
        let ticking = runner.clone();
        thread::spawn(move || {
            loop {
                ticking.0.lock().unwrap().end_due();
                thread::sleep(TICK);
            }
        });
        let (writer, store) = (runner.clone(), Arc::clone(store));
        thread::spawn(move || {
            for seq in 1.. {
                let down_until = writer.0.lock().unwrap().down_until;
                if let Some(until) = down_until {
                    let id = writer.0.lock().unwrap().id.clone();
                    writer.be_down(&store, &id, until);
                }
                let (id, born, clock) = {
                    let state = writer.0.lock().unwrap();
                    (state.id.clone(), state.born, state.clock())
                };
                let entry = format!(
                    "{{\"Service\":\"{service}\",\"Addr\":\"{addr}\",\"Zone\":\"z\",\"Version\":\"v1\",\
                     \"Slots\":8,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Capacity\":{{\"Cpu\":32000,\
                     \"MemMb\":131072,\"Gpus\":0}},\"Labels\":[\"{label}\",\"r1-{}\"],\"ClockMs\":{clock},\
                     \"Seq\":{seq},\"born\":{born}}}",
                    number / 8
                );
                store.put("keyed.servers", &id, &entry);
                thread::sleep(HEARTBEAT);
            }
        });
        runner
    }

    /// Lets the runner crash when it is told to start a task of a job with this text for the first time. The
    /// call is not answered, and reaches the next life, under the same id, as its first call.
    /// Of the runners that share `armed` only the first one crashes.
    pub fn crash_at(
        &self,
        text: &'static str,
        cut: Duration,
        down: Duration,
        armed: &Arc<AtomicBool>,
    ) {
        self.0.lock().unwrap().crash = Some((text, [cut, down], Arc::clone(armed)));
    }

    /// Cuts the runner off from all machines for a time. It runs on, and reaches the store.
    pub fn cut_off(&self, length: Duration) {
        self.0.lock().unwrap().cut_until = Some(Instant::now() + length);
    }

    /// Returns for how long no call has reached the runner.
    pub fn uncalled(&self) -> Duration {
        let last = self.0.lock().unwrap().last_call;
        last.map_or(Duration::MAX, |last| last.elapsed())
    }

    /// Returns the runner's id.
    pub fn id(&self) -> String {
        self.0.lock().unwrap().id.clone()
    }

    /// Waits until the runner is back. The platform removes its entry after three heartbeats of silence.
    fn be_down(&self, store: &Store, id: &str, until: Instant) {
        let removed = 3 * HEARTBEAT;
        if until > Instant::now() + removed {
            thread::sleep(removed);
            store.put("keyed.servers", id, "");
        }
        while self.0.lock().unwrap().down_until.is_some() {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Crashes: everything here ends, and `late` is carried out after the restart.
    fn crash(&self, late: Request, down: Duration) {
        let mut state = self.0.lock().unwrap();
        let now = Instant::now();
        for known in std::mem::take(&mut state.running) {
            state.records[known.record].ended = Some((now, "crashed"));
        }
        state.crash = None;
        state.down_until = Some(now + down);
        drop(state);
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            let mut state = runner.0.lock().unwrap();
            state.born = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap()
                .as_millis() as u64;
            state.started = Instant::now();
            state.fence = 0;
            state.lease_until = 0;
            state.ended.clear();
            state.next_end = 1;
            state.barred.clear();
            drop(state);
            // The call that was held up is the first one that reaches the new life.
            runner.execute(&late);
            runner.0.lock().unwrap().down_until = None;
        });
    }

    /// Returns all runs so far.
    pub fn records(&self) -> Vec<RunRecord> {
        let mut state = self.0.lock().unwrap();
        state.end_due();
        state.records.clone()
    }

    fn handle(&self, req: &Request) -> Answer {
        let crash = {
            let state = self.0.lock().unwrap();
            if state.down_until.is_some() {
                drop(state);
                return self.keep_silent();
            }
            if let Some(until) = state.cut_until.filter(|until| Instant::now() < *until) {
                drop(state);
                // What a cut holds up is lost, and the connection is reset once it is over.
                thread::sleep(until.saturating_duration_since(Instant::now()));
                return Answer::Silence;
            }
            state.crash.clone()
        };
        let body = String::from_utf8_lossy(&req.body);
        if let Some((spec, [cut, down], armed)) = crash
            && req.path == "/api/run-start"
            && text(&body, "Spec").as_deref() == Some(spec)
            && armed.swap(false, Ordering::Relaxed)
        {
            self.cut_off(cut);
            let (runner, late) = (self.clone(), req.clone());
            thread::spawn(move || {
                // Just before the cut ends, so that no call comes through between the two.
                thread::sleep(cut.saturating_sub(5 * TICK));
                runner.crash(late, down);
            });
            thread::sleep(cut);
            return self.keep_silent();
        }
        self.execute(req)
    }

    /// Answers nothing until the runner is back, and then closes the connection.
    fn keep_silent(&self) -> Answer {
        while self.0.lock().unwrap().down_until.is_some() {
            thread::sleep(Duration::from_millis(5));
        }
        Answer::Silence
    }

    fn execute(&self, req: &Request) -> Answer {
        let body = String::from_utf8_lossy(&req.body).into_owned();
        let mut state = self.0.lock().unwrap();
        state.last_call = Some(Instant::now());
        state.end_due();
        if req
            .header("x-knapweedspan-expect-instance")
            .is_some_and(|id| id != state.id)
        {
            return Answer::Reply(421, Vec::new());
        }
        let fence = number(&body, "Fence").unwrap_or(0);
        if fence < state.fence {
            return state.refuse("fence");
        }
        state.fence = fence;
        let deadline = number(&body, "DeadlineMs").unwrap_or(0);
        state.lease_until = state
            .lease_until
            .max(deadline.min(state.clock() + MAX_HOLD_MS));
        match req.path.as_str() {
            "/api/run-start" => state.start(&body, deadline),
            "/api/run-stop" => state.stop(&body),
            "/api/pace" => state.done(),
            "/api/hold" => {
                let ack = number(&body, "AckCursor").unwrap_or(0);
                state.ended.retain(|(number, _)| *number > ack);
                let wait = number(&body, "WaitMs").unwrap_or(0);
                drop(state);
                self.hold(wait)
            }
            _ => Answer::Reply(404, Vec::new()),
        }
    }

    fn hold(&self, wait_ms: u64) -> Answer {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let mut state = self.0.lock().unwrap();
                state.end_due();
                if let Some(until) = state.cut_until.filter(|until| Instant::now() < *until) {
                    drop(state);
                    thread::sleep(until.saturating_duration_since(Instant::now()));
                    return Answer::Silence;
                }
                if !state.ended.is_empty() || Instant::now() >= until {
                    return Answer::Reply(200, state.inventory().into_bytes());
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl State {
    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1_000
    }

    fn done(&self) -> Answer {
        Answer::Reply(
            200,
            format!("{{\"ClockMs\":{}}}", self.clock()).into_bytes(),
        )
    }

    fn refuse(&self, reason: &str) -> Answer {
        let body = format!("{{\"ClockMs\":{},\"Reason\":\"{reason}\"}}", self.clock());
        Answer::Reply(409, body.into_bytes())
    }

    fn start(&mut self, body: &str, deadline: u64) -> Answer {
        let (Some(task), Some(run)) = (text(body, "Task"), number(body, "Run")) else {
            return Answer::Reply(400, Vec::new());
        };
        if self
            .running
            .iter()
            .any(|known| known.task == task && known.run == run)
        {
            return self.done();
        }
        if self.barred.get(&task).is_some_and(|barred| run <= *barred) {
            return self.refuse("old");
        }
        if deadline <= self.clock() {
            return self.refuse("late");
        }
        let spec = text(body, "Spec").unwrap_or_default();
        // The text `run MS` gives the time that each task takes.
        let ms = spec
            .strip_prefix("run ")
            .and_then(|ms| ms.trim().parse().ok());
        let began = Instant::now();
        self.records.push(RunRecord {
            runner: self.number,
            task: task.clone(),
            run,
            began,
            ended: None,
        });
        self.running.push(Running {
            task,
            run,
            until: began + Duration::from_millis(ms.unwrap_or(500)),
            record: self.records.len() - 1,
        });
        self.done()
    }

    fn stop(&mut self, body: &str) -> Answer {
        let (Some(task), Some(run)) = (text(body, "Task"), number(body, "Run")) else {
            return Answer::Reply(400, Vec::new());
        };
        self.bar(&task, run);
        for known in std::mem::take(&mut self.running) {
            if known.task == task && known.run <= run {
                self.end(known, "stopped");
            } else {
                self.running.push(known);
            }
        }
        self.done()
    }

    fn bar(&mut self, task: &str, run: u64) {
        let barred = self.barred.entry(task.to_owned()).or_default();
        *barred = run.max(*barred);
    }

    fn end_due(&mut self) {
        let (now, clock) = (Instant::now(), self.clock());
        for known in std::mem::take(&mut self.running) {
            if clock > self.lease_until {
                self.end(known, "lapsed");
            } else if known.until <= now {
                self.end(known, "done");
            } else {
                self.running.push(known);
            }
        }
    }

    fn end(&mut self, run: Running, how: &'static str) {
        self.records[run.record].ended = Some((Instant::now(), how));
        self.bar(&run.task, run.run);
        let row = format!(
            "[{},\"{}\",{},\"{how}\",\"\"]",
            self.next_end, run.task, run.run
        );
        self.ended.push((self.next_end, row));
        self.next_end += 1;
    }

    fn inventory(&self) -> String {
        let now = Instant::now();
        let running = self.running.iter().map(|run| {
            let began = self.records[run.record].began;
            let length = (run.until - began).as_millis().max(1);
            let percent = (now - began).as_millis() as f64 * 100.0 / length as f64;
            format!("[\"{}\",{},\"\",{percent:.3},1000]", run.task, run.run)
        });
        let running: Vec<String> = running.collect();
        let ended: Vec<&str> = self
            .ended
            .iter()
            .take(500)
            .map(|(_, row)| row.as_str())
            .collect();
        format!(
            "{{\"ClockMs\":{},\"Running\":[{}],\"Finished\":[{}],\"born\":{}}}",
            self.clock(),
            running.join(","),
            ended.join(","),
            self.born
        )
    }
}

/// Returns a number of a flat JSON object.
pub fn number(body: &str, name: &str) -> Option<u64> {
    let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
    let end = rest
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}

/// Returns a text without escapes of a flat JSON object.
pub fn text(body: &str, name: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{name}\":\""))?;
    Some(rest.split_once('"')?.0.to_owned())
}
