//! Waiting jobs in the order in which they are to be tried.
//!
//! Jobs of alike size, kind and priority form a class. When the first job of a class finds no
//! room the whole class is set aside until a worker has room for it, so that a full queue costs
//! one failed search a class rather than one a job. Within a class each team has its own line,
//! ordered by a key that the policy chooses; the teams are ordered by their standing.

use std::collections::{BTreeMap, BTreeSet};

use kspan_model::{Priority, Resources};
use rustc_hash::FxHashMap;

use crate::{
    job::{JobNo, QueueEntry},
    team::{Standing, TeamNo},
};

/// What jobs of one class have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ClassKey {
    pub(crate) priority: Priority,
    pub(crate) gang: bool,
    pub(crate) service: bool,
    /// Whether the task can be checkpointed, which decides where it may backfill.
    pub(crate) checkpoint: bool,
    pub(crate) accelerators: u64,
    /// Processor time and memory in steps of an eighth of their size.
    pub(crate) cpu_step: u32,
    pub(crate) memory_step: u32,
}

/// Returns the step of an amount; amounts of one step differ by less than an eighth.
pub(crate) fn step(amount: u64) -> u32 {
    if amount < 8 {
        return u32::try_from(amount).expect("less than eight");
    }
    let octave = amount.ilog2();
    let eighth = (amount >> (octave - 3)) & 7;
    octave * 8 + u32::try_from(eighth).expect("less than eight")
}

/// Place of a line in the order; smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    borrows: bool,
    /// Urgent is the smallest.
    priority: std::cmp::Reverse<Priority>,
    band: u16,
    key: u64,
}

#[derive(Clone, Debug, Default)]
struct Line {
    jobs: BTreeSet<(u64, JobNo)>,
    /// Where the line stands in the class's order; none while it waits for its team's quota.
    rank: Option<Rank>,
}

#[derive(Clone, Debug)]
struct Class {
    key: ClassKey,
    lines: BTreeMap<TeamNo, Line>,
    order: BTreeSet<(Rank, TeamNo)>,
    /// Where the class stands among the ready ones.
    ready: Option<Rank>,
    /// What found no room; the class is set aside while this is set.
    blocked: Option<Resources>,
}

/// The next job to try.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Next {
    pub(crate) class: u32,
    pub(crate) team: TeamNo,
    pub(crate) job: JobNo,
}

/// All waiting jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    classes: Vec<Class>,
    by_key: FxHashMap<ClassKey, u32>,
    vacant: Vec<u32>,
    ready: BTreeSet<(Rank, u32)>,
    blocked: Vec<u32>,
    len: usize,
}

impl Queue {
    /// Adds a job and returns where it stands and whether its team has a new line there.
    pub(crate) fn push(
        &mut self,
        class_key: ClassKey,
        team: TeamNo,
        standing: Standing,
        key: u64,
        job: JobNo,
    ) -> (QueueEntry, bool) {
        let class = self.class(class_key);
        let lines = &mut self.classes[class as usize].lines;
        let is_new = !lines.contains_key(&team);
        let line = lines.entry(team).or_default();
        line.jobs.insert((key, job));
        let parked = !is_new && line.rank.is_none();
        self.len += 1;
        if !parked {
            self.rank_line(class, team, standing);
        }
        (QueueEntry { class, key }, is_new)
    }

    /// Removes a job and returns whether its team's line there is gone.
    pub(crate) fn remove(
        &mut self,
        entry: QueueEntry,
        team: TeamNo,
        standing: Standing,
        job: JobNo,
    ) -> bool {
        let class = &mut self.classes[entry.class as usize];
        let line = class
            .lines
            .get_mut(&team)
            .expect("a queued job has a line of its team");
        let was_present = line.jobs.remove(&(entry.key, job));
        debug_assert!(was_present, "a queued job stands in its line");
        self.len -= 1;
        let is_empty = line.jobs.is_empty();
        let parked = line.rank.is_none();
        if is_empty {
            if let Some(rank) = line.rank {
                class.order.remove(&(rank, team));
            }
            class.lines.remove(&team);
            self.rank_class(entry.class);
            self.drop_if_empty(entry.class);
        } else if !parked {
            self.rank_line(entry.class, team, standing);
        }
        is_empty
    }

    /// Returns the job that is to be tried next.
    pub(crate) fn next(&self) -> Option<Next> {
        let &(_, class) = self.ready.first()?;
        let entry = &self.classes[class as usize];
        let &(_, team) = entry.order.first()?;
        let &(_, job) = entry.lines.get(&team)?.jobs.first()?;
        Some(Next { class, team, job })
    }

    /// Brings a line's place up to date with its team's standing.
    pub(crate) fn restand(&mut self, class: u32, team: TeamNo, standing: Standing) {
        let line = &self.classes[class as usize].lines[&team];
        if line.rank.is_some() {
            self.rank_line(class, team, standing);
        }
    }

    /// Sets a class aside because `need` found no room.
    pub(crate) fn block(&mut self, class: u32, need: Resources) {
        self.classes[class as usize].blocked = Some(need);
        self.blocked.push(class);
        self.rank_class(class);
    }

    /// Takes back the classes whose first job may now fit in `free`. Gangs are taken back on their
    /// own, because trying one costs a walk over all workers.
    pub(crate) fn unblock_fitting(&mut self, free: Resources) {
        self.unblock(|need, key| !key.gang && need.fits_in(free));
    }

    /// Takes back every class of gangs.
    pub(crate) fn unblock_gangs(&mut self) {
        self.unblock(|_, key| key.gang);
    }

    /// Takes back every class.
    pub(crate) fn unblock_all(&mut self) {
        self.unblock(|_, _| true);
    }

    pub(crate) fn any_blocked(&self) -> bool {
        !self.blocked.is_empty()
    }

    fn unblock(&mut self, may_fit: impl Fn(Resources, &ClassKey) -> bool) {
        let mut position = 0;
        while position < self.blocked.len() {
            let number = self.blocked[position];
            let class = &mut self.classes[number as usize];
            let back = class.blocked.is_none_or(|need| may_fit(need, &class.key));
            if back {
                class.blocked = None;
                self.blocked.swap_remove(position);
                self.rank_class(number);
            } else {
                position += 1;
            }
        }
    }

    /// Sets a team's line aside until its quota has room.
    pub(crate) fn park(&mut self, class: u32, team: TeamNo) {
        let entry = &mut self.classes[class as usize];
        let line = entry
            .lines
            .get_mut(&team)
            .expect("only a line that was offered is parked");
        if let Some(rank) = line.rank.take() {
            entry.order.remove(&(rank, team));
        }
        self.rank_class(class);
    }

    /// Takes a parked line back.
    pub(crate) fn unpark(&mut self, class: u32, team: TeamNo, standing: Standing) {
        let known = self
            .classes
            .get(class as usize)
            .is_some_and(|class| class.lines.contains_key(&team));
        if known {
            self.rank_line(class, team, standing);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_blocked(&self, class: u32) -> bool {
        self.classes[class as usize].blocked.is_some()
    }

    pub(crate) fn is_parked(&self, class: u32, team: TeamNo) -> bool {
        let line = self.classes[class as usize].lines.get(&team);
        line.is_some_and(|line| line.rank.is_none())
    }

    /// Returns every waiting job.
    pub(crate) fn jobs(&self) -> impl Iterator<Item = JobNo> {
        self.classes
            .iter()
            .flat_map(|class| class.lines.values())
            .flat_map(|line| line.jobs.iter().map(|&(_, job)| job))
    }

    fn class(&mut self, key: ClassKey) -> u32 {
        if let Some(&number) = self.by_key.get(&key) {
            return number;
        }
        let class = Class {
            key,
            lines: BTreeMap::new(),
            order: BTreeSet::new(),
            ready: None,
            blocked: None,
        };
        let number = if let Some(number) = self.vacant.pop() {
            self.classes[number as usize] = class;
            number
        } else {
            self.classes.push(class);
            u32::try_from(self.classes.len() - 1).expect("classes are numbered in 32 bits")
        };
        self.by_key.insert(key, number);
        number
    }

    fn drop_if_empty(&mut self, number: u32) {
        let class = &mut self.classes[number as usize];
        if !class.lines.is_empty() {
            return;
        }
        if class.blocked.take().is_some() {
            self.blocked.retain(|&blocked| blocked != number);
        }
        self.by_key.remove(&class.key);
        self.vacant.push(number);
    }

    fn rank_line(&mut self, number: u32, team: TeamNo, standing: Standing) {
        let class = &mut self.classes[number as usize];
        let line = class
            .lines
            .get_mut(&team)
            .expect("only lines that exist are ranked");
        let &(key, _) = line.jobs.first().expect("a line that exists has a job");
        let rank = Rank {
            borrows: standing.borrows,
            priority: std::cmp::Reverse(class.key.priority),
            band: standing.band,
            key,
        };
        if line.rank == Some(rank) {
            return;
        }
        if let Some(before) = line.rank.replace(rank) {
            class.order.remove(&(before, team));
        }
        class.order.insert((rank, team));
        self.rank_class(number);
    }

    fn rank_class(&mut self, number: u32) {
        let class = &mut self.classes[number as usize];
        let first = match class.blocked {
            Some(_) => None,
            None => class.order.first().map(|&(rank, _)| rank),
        };
        if class.ready == first {
            return;
        }
        if let Some(before) = class.ready.take() {
            self.ready.remove(&(before, number));
        }
        if let Some(rank) = first {
            self.ready.insert((rank, number));
        }
        class.ready = first;
    }
}
