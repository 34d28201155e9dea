//! A fake worker: leases, commands and an inventory, on a clock that tests advance.

use std::collections::BTreeMap;

use kspan_contract::protocol::worker::{
    Command, CommandResult, Exchange, Refusal, Report, Size, Start, Task, TaskState, Token,
};

pub(crate) struct TaskRow {
    pub(crate) start: Start,
    pub(crate) state: TaskState,
    pub(crate) started: u64,
    lease_until: u64,
    version: u64,
}

pub(crate) struct FakeWorker {
    pub(crate) name: String,
    pub(crate) rows: BTreeMap<String, TaskRow>,
    pub(crate) leaving: bool,
    pub(crate) starts: Vec<String>,
    /// Run time of every batch task in milliseconds.
    pub(crate) run_ms: u64,
    /// CPU time that every task uses, in thousandths of a core.
    pub(crate) usage_cpu: u64,
    pub(crate) throttles: Vec<(String, u64)>,
    incarnation: u64,
    token: Token,
    owner: String,
    lease_until: u64,
    version: u64,
}

pub(crate) const CAPACITY: Size = Size {
    cpu_milli: 8_000,
    memory_mib: 8_000,
    accelerators: 0,
};

impl FakeWorker {
    pub(crate) fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            rows: BTreeMap::new(),
            leaving: false,
            starts: Vec::new(),
            run_ms: 2_000,
            usage_cpu: 0,
            throttles: Vec::new(),
            incarnation: 1,
            token: Token::default(),
            owner: String::new(),
            lease_until: 0,
            version: 1,
        }
    }

    pub(crate) fn restart(&mut self) {
        self.rows.clear();
        self.incarnation += 1;
        self.version = 1;
        self.token = Token::default();
        self.owner.clear();
        self.lease_until = 0;
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = &String> {
        let rows = self.rows.iter();
        rows.filter(|(_, row)| !row.state.is_ended())
            .map(|(task, _)| task)
    }

    pub(crate) fn tick(&mut self, now: u64) {
        for row in self.rows.values_mut().filter(|row| !row.state.is_ended()) {
            let is_runner = row.start.slots > 0;
            let next = if now >= row.lease_until {
                TaskState::LeaseLapsed
            } else if row.state == TaskState::Stopping {
                TaskState::Stopped
            } else if !is_runner && now >= row.started + self.run_ms {
                TaskState::Succeeded
            } else {
                TaskState::Running
            };
            if next != row.state {
                self.version += 1;
                row.version = self.version;
                row.state = next;
            }
        }
    }

    pub(crate) fn exchange(&mut self, body: &Exchange, now: u64, unix: u64) -> (bool, Report) {
        self.tick(now);
        let same_name = self.owner.split('#').next() == body.owner.split('#').next();
        let granted = if body.token == self.token {
            body.owner == self.owner
        } else {
            body.token > self.token && (now >= self.lease_until || same_name)
        };
        let mut results = Vec::new();
        if granted {
            self.token = body.token;
            self.owner.clone_from(&body.owner);
            self.lease_until = now + body.control_lease_ms;
            for row in self.rows.values_mut() {
                row.lease_until = now + body.task_lease_ms;
            }
            for command in &body.commands {
                let (task, refused) = self.execute(command, now, unix, body.task_lease_ms);
                results.push(CommandResult { task, refused });
            }
            if body.release {
                self.lease_until = now;
            }
        }
        (
            granted,
            self.report(body.known_version, granted, results, now),
        )
    }

    fn execute(
        &mut self,
        command: &Command,
        now: u64,
        unix: u64,
        lease: u64,
    ) -> (String, Option<Refusal>) {
        self.version += 1;
        let version = self.version;
        match command {
            Command::Start(start) => {
                let refused = self.start(start, now, unix, lease);
                (start.task.clone(), refused)
            }
            Command::Stop { task, .. } => (task.clone(), self.set_state(task, TaskState::Stopping)),
            Command::Checkpoint { task } => {
                (task.clone(), self.set_state(task, TaskState::Checkpointed))
            }
            Command::Throttle { task, cpu_milli } => {
                self.throttles.push((task.clone(), *cpu_milli));
                (task.clone(), None)
            }
            Command::Forget { task } => {
                let known = self.rows.remove(task).is_some();
                self.version = version;
                (task.clone(), (!known).then_some(Refusal::NoSuchTask))
            }
        }
    }

    fn set_state(&mut self, task: &str, state: TaskState) -> Option<Refusal> {
        let Some(row) = self.rows.get_mut(task) else {
            return Some(Refusal::NoSuchTask);
        };
        if !row.state.is_ended() {
            row.state = state;
            row.version = self.version;
        }
        None
    }

    fn start(&mut self, start: &Start, now: u64, unix: u64, lease: u64) -> Option<Refusal> {
        if self.rows.contains_key(&start.task) {
            return None;
        }
        if self.leaving {
            return Some(Refusal::Leaving);
        }
        if unix > start.sent_unix_ms + start.not_after_ms {
            return Some(Refusal::TooLate);
        }
        let used: u64 = self
            .running()
            .map(|task| self.rows[task].start.size.cpu_milli)
            .sum();
        if used + start.size.cpu_milli > CAPACITY.cpu_milli {
            return Some(Refusal::NoCapacity);
        }
        self.starts.push(start.task.clone());
        let row = TaskRow {
            start: start.clone(),
            state: TaskState::Starting,
            started: now,
            lease_until: now + lease,
            version: self.version,
        };
        self.rows.insert(start.task.clone(), row);
        None
    }

    fn report(&self, known: u64, granted: bool, results: Vec<CommandResult>, now: u64) -> Report {
        let full = known == 0;
        let rows = self
            .rows
            .iter()
            .filter(|(_, row)| full || row.version > known);
        Report {
            incarnation: self.incarnation,
            granted,
            token: self.token,
            lease_left_ms: self.lease_until.saturating_sub(now),
            capacity: CAPACITY,
            leaving: self.leaving,
            results,
            version: self.version,
            full,
            tasks: rows
                .map(|(task, row)| Task {
                    task: task.clone(),
                    workload: row.start.workload.clone(),
                    state: row.state,
                    size: row.start.size,
                    usage: Size {
                        cpu_milli: self.usage_cpu,
                        ..Size::default()
                    },
                    endpoint: (row.start.slots > 0)
                        .then(|| "127.0.0.9:9000".parse().expect("a valid address")),
                    ran_ms: now - row.started,
                })
                .collect(),
        }
    }
}
