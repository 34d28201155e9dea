//! State of a worker: the control lease and the tasks.

use std::collections::BTreeMap;

use kspan_contract::protocol::worker::{
    Command, CommandResult, Exchange, Refusal, Report, Start, TaskState, Token,
};
use kspan_model::{Name, Resources, TaskId};

use super::{
    WorkerSpec,
    entry::{self, RunTimeModel, Stop, TaskEntry, resources, size},
};
use crate::{
    clock::{Micros, unix_ms},
    http::ServerHandle,
    record::{EventKind, Grant, Recorder, TaskRun, WorkerInfo},
    standin::runner::{self, Runner},
};

/// Behaviour of a worker, which may change at any time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Behaviour {
    /// Whether every task fails.
    pub fails_everything: bool,
    /// Whether requests get no answer.
    pub silent: bool,
    /// Whether new tasks are refused.
    pub leaving: bool,
}

/// An action to perform after the lock on the state has been released.
pub(super) enum Effect {
    /// Open the runner's listener.
    Listen { task: String, runner: Runner },
}

pub(super) struct State {
    name: Name,
    capacity: Resources,
    run_time_model: RunTimeModel,
    recorder: Recorder,
    pub(super) behaviour: Behaviour,
    runner_behaviour: runner::Behaviour,
    incarnation: u64,
    token: Token,
    owner: String,
    lease_until: Micros,
    tasks: BTreeMap<String, TaskEntry>,
    version: u64,
}

impl State {
    pub(super) fn new(spec: &WorkerSpec, run_time_model: RunTimeModel, recorder: Recorder) -> Self {
        recorder.records().workers.push(WorkerInfo {
            name: spec.name.clone(),
            capacity: spec.capacity,
        });
        Self {
            name: spec.name.clone(),
            capacity: spec.capacity,
            run_time_model,
            recorder,
            behaviour: Behaviour::default(),
            runner_behaviour: runner::Behaviour::default(),
            incarnation: 1,
            token: Token::default(),
            owner: String::new(),
            lease_until: Micros::default(),
            tasks: BTreeMap::new(),
            version: 1,
        }
    }

    pub(super) fn exchange(&mut self, exchange: &Exchange, now: Micros) -> (Report, Vec<Effect>) {
        let mut effects = self.tick(now);
        if !self.may_grant(exchange, now) {
            self.recorder.records().refused_tokens += 1;
            return (self.report(exchange, false, Vec::new(), now), effects);
        }
        if self.owner != exchange.owner {
            self.record_grant(exchange, now);
        }
        self.token = exchange.token;
        self.owner.clone_from(&exchange.owner);
        self.lease_until = Micros(now.0 + exchange.control_lease_ms * 1_000);
        let task_lease = Micros(now.0 + exchange.task_lease_ms * 1_000);
        for entry in self.tasks.values_mut() {
            entry.lease_until = task_lease;
        }
        let mut results = Vec::with_capacity(exchange.commands.len());
        for command in &exchange.commands {
            results.push(self.execute(command, task_lease, now, &mut effects));
        }
        if exchange.release {
            self.lease_until = now;
        }
        (self.report(exchange, true, results, now), effects)
    }

    fn record_grant(&self, exchange: &Exchange, now: Micros) {
        self.recorder.records().grants.push(Grant {
            at: now,
            worker: self.name.clone(),
            owner: exchange.owner.clone(),
            token: exchange.token,
        });
    }

    fn may_grant(&self, exchange: &Exchange, now: Micros) -> bool {
        let token = exchange.token;
        if token < self.token {
            return false;
        }
        if token == self.token {
            return exchange.owner == self.owner;
        }
        now >= self.lease_until || owner_name(&exchange.owner) == owner_name(&self.owner)
    }

    fn execute(
        &mut self,
        command: &Command,
        lease: Micros,
        now: Micros,
        effects: &mut Vec<Effect>,
    ) -> CommandResult {
        let (task, refused) = match command {
            Command::Start(start) => (&start.task, self.start(start, lease, now, effects).err()),
            Command::Stop { task, grace_ms } => (task, self.stop(task, *grace_ms, now).err()),
            Command::Checkpoint { task } => (
                task,
                self.end_task(task, TaskState::Checkpointed, now).err(),
            ),
            Command::Throttle { task, cpu_milli } => (task, self.throttle(task, *cpu_milli).err()),
            Command::Forget { task } => (task, self.forget(task).err()),
        };
        CommandResult {
            task: task.clone(),
            refused,
        }
    }

    fn start(
        &mut self,
        start: &Start,
        lease: Micros,
        now: Micros,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        if self.tasks.contains_key(&start.task) {
            return Ok(());
        }
        if self.behaviour.leaving {
            return Err(Refusal::Leaving);
        }
        if unix_ms() > start.sent_unix_ms.saturating_add(start.not_after_ms) {
            return Err(Refusal::TooLate);
        }
        let task = TaskId::parse(&start.task).ok_or(Refusal::NoSuchTask)?;
        let size = resources(start.size);
        if !self.committed().saturating_add(size).fits_in(self.capacity) {
            self.recorder.records().refused_starts += 1;
            return Err(Refusal::NoCapacity);
        }
        let record_index = self.record_start(task, start, size, now);
        let runner = (start.slots > 0).then(|| self.new_runner(task, start));
        if let Some(runner) = &runner {
            effects.push(Effect::Listen {
                task: start.task.clone(),
                runner: runner.clone(),
            });
        }
        self.version += 1;
        let entry = TaskEntry {
            run_for: entry::actual_run_time(
                start,
                &self.run_time_model,
                self.behaviour.fails_everything,
            ),
            start: start.clone(),
            state: TaskState::Starting,
            usage_cpu_limit: None,
            started: now,
            lease_until: lease,
            stop: None,
            ended: None,
            runner,
            server: None,
            version: self.version,
            record_index,
        };
        self.tasks.insert(start.task.clone(), entry);
        Ok(())
    }

    fn record_start(&self, task: TaskId, start: &Start, size: Resources, now: Micros) -> usize {
        let mut records = self.recorder.records();
        records.tasks.push(TaskRun {
            worker: self.name.clone(),
            task,
            workload: Name::new(&start.workload),
            size,
            token: self.token,
            started: now,
            ended: None,
            end: None,
        });
        records.tasks.len() - 1
    }

    fn new_runner(&self, task: TaskId, start: &Start) -> Runner {
        let (slots, connections) = (start.slots, start.connections);
        let behaviour = self.runner_behaviour;
        Runner::new(task, slots, connections, behaviour, self.recorder.clone())
    }

    fn stop(&mut self, task: &str, grace_ms: u64, now: Micros) -> Result<(), Refusal> {
        let entry = self.tasks.get_mut(task).ok_or(Refusal::NoSuchTask)?;
        if entry.state.is_ended() || entry.stop.is_some() {
            return Ok(());
        }
        let force_at = Micros(now.0 + grace_ms * 1_000);
        let Some(runner) = &entry.runner else {
            return self.end_task(task, TaskState::Stopped, now);
        };
        runner.drain();
        entry.stop = Some(Stop {
            requested_at: now,
            force_at,
        });
        let record_index = entry.record_index;
        self.set_state(task, TaskState::Stopping);
        self.record_leaving(record_index);
        Ok(())
    }

    fn record_leaving(&self, record_index: usize) {
        let task = self.recorder.records().tasks[record_index].task;
        self.recorder.record_event(EventKind::Leaving { task });
    }

    fn throttle(&mut self, task: &str, cpu_milli: u64) -> Result<(), Refusal> {
        let entry = self.tasks.get_mut(task).ok_or(Refusal::NoSuchTask)?;
        entry.usage_cpu_limit = Some(cpu_milli);
        Ok(())
    }

    fn forget(&mut self, task: &str) -> Result<(), Refusal> {
        match self.tasks.get(task) {
            None => Err(Refusal::NoSuchTask),
            Some(entry) if !entry.state.is_ended() => Err(Refusal::NoSuchTask),
            Some(_) => {
                self.tasks.remove(task);
                Ok(())
            }
        }
    }

    fn end_task(&mut self, task: &str, end: TaskState, now: Micros) -> Result<(), Refusal> {
        let entry = self.tasks.get_mut(task).ok_or(Refusal::NoSuchTask)?;
        if entry.state.is_ended() {
            return Ok(());
        }
        entry.ended = Some(now);
        entry.server = None;
        let record_index = entry.record_index;
        self.set_state(task, end);
        let mut records = self.recorder.records();
        records.tasks[record_index].ended = Some(now);
        records.tasks[record_index].end = Some(end);
        Ok(())
    }

    fn set_state(&mut self, task: &str, state: TaskState) {
        self.version += 1;
        if let Some(entry) = self.tasks.get_mut(task) {
            entry.state = state;
            entry.version = self.version;
        }
    }

    pub(super) fn tick(&mut self, now: Micros) -> Vec<Effect> {
        let due: Vec<(String, TaskState)> = self
            .tasks
            .iter()
            .filter_map(|(name, entry)| Some((name.clone(), entry.next_state(now)?)))
            .collect();
        for (name, state) in due {
            let failed = self.behaviour.fails_everything && state == TaskState::Succeeded;
            let state = if failed { TaskState::Failed } else { state };
            if state.is_ended() {
                self.end_task(&name, state, now)
                    .expect("the task exists, as it was looked up above");
            } else {
                self.set_state(&name, state);
            }
        }
        Vec::new()
    }

    pub(super) fn attach_server(&mut self, task: &str, server: ServerHandle) {
        self.version += 1;
        // If the task has ended in the meantime, the listener is closed immediately.
        if let Some(entry) = self
            .tasks
            .get_mut(task)
            .filter(|entry| !entry.state.is_ended())
        {
            entry.server = Some(server);
            entry.version = self.version;
        }
    }

    pub(super) fn set_runner_behaviour(&mut self, behaviour: runner::Behaviour) {
        self.runner_behaviour = behaviour;
        for runner in self
            .tasks
            .values()
            .filter_map(|entry| entry.runner.as_ref())
        {
            runner.set_behaviour(behaviour);
        }
    }

    pub(super) fn drain_runners(&mut self) {
        let running = self.tasks.values().filter(|entry| !entry.state.is_ended());
        running
            .filter_map(|entry| entry.runner.as_ref())
            .for_each(Runner::drain);
        self.record_runners_leaving();
    }

    pub(super) fn record_runners_leaving(&self) {
        let running = self.tasks.values().filter(|entry| !entry.state.is_ended());
        for entry in running.filter(|entry| entry.runner.is_some()) {
            self.record_leaving(entry.record_index);
        }
    }

    pub(super) fn restart(&mut self, now: Micros) {
        let names: Vec<String> = self.tasks.keys().cloned().collect();
        for name in names {
            self.end_task(&name, TaskState::Failed, now)
                .expect("the task exists, as it was looked up above");
        }
        self.tasks.clear();
        self.incarnation += 1;
        self.lease_until = now;
        self.version = 1;
    }

    pub(super) fn committed(&self) -> Resources {
        self.tasks
            .values()
            .filter(|entry| !entry.state.is_ended())
            .fold(Resources::ZERO, |sum, entry| {
                sum.saturating_add(resources(entry.start.size))
            })
    }

    pub(super) fn owner(&self) -> &str {
        owner_name(&self.owner)
    }

    pub(super) fn ready_runners(&self) -> usize {
        let up = |entry: &&TaskEntry| entry.server.is_some() && entry.state == TaskState::Running;
        self.tasks.values().filter(up).count()
    }

    fn report(
        &self,
        exchange: &Exchange,
        granted: bool,
        results: Vec<CommandResult>,
        now: Micros,
    ) -> Report {
        let full = exchange.known_version == 0 || exchange.known_version > self.version;
        let since = if full { 0 } else { exchange.known_version };
        Report {
            incarnation: self.incarnation,
            granted,
            token: self.token,
            lease_left_ms: self.lease_until.since(now).as_millis(),
            capacity: size(self.capacity),
            leaving: self.behaviour.leaving,
            results,
            version: self.version,
            full,
            tasks: self
                .tasks
                .values()
                .filter(|entry| entry.version > since)
                .map(|entry| entry.describe(now))
                .collect(),
        }
    }
}

fn owner_name(owner: &str) -> &str {
    owner.split('#').next().unwrap_or(owner)
}
