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
    class::{ClassKey, Needs},
    job::{JobNo, QueueEntry},
    team::{Standing, TeamNo},
};

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
    /// Where the class stands among those that are set aside.
    blocked: Option<usize>,
}

/// A class that is set aside. These are walked over for each room that comes free, so they lie
/// close together.
#[derive(Clone, Copy, Debug)]
struct Blocked {
    class: u32,
    gang: bool,
    /// Place of the class's first job; none while all its lines wait for quotas.
    rank: Option<Rank>,
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
    blocked: Vec<Blocked>,
    /// What found no room, or may find some, for each class set aside.
    needs: Vec<Needs>,
    /// Where the last sweep ended.
    swept: usize,
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
        self.first_of(class)
    }

    /// Brings a line's place up to date with its team's standing.
    pub(crate) fn restand(&mut self, class: u32, team: TeamNo, standing: Standing) {
        let line = &self.classes[class as usize].lines[&team];
        if line.rank.is_some() {
            self.rank_line(class, team, standing);
        }
    }

    /// Returns the class set aside whose first job is the best one that may fit in `free`, with
    /// that job, if it goes before everything that is not set aside. Gangs are left out, because
    /// trying one costs a walk over all workers.
    /// Work without accelerators may take only `plain` of the room, unless it is urgent.
    pub(crate) fn best_fitting(
        &self,
        free: Resources,
        plain: Resources,
        except: &[u32],
    ) -> Option<Next> {
        let mut best = self.ready.first().map(|&(rank, _)| rank);
        let mut found = None;
        let free = Needs::new(free, false);
        let plain = Needs::new(plain, false);
        for (entry, needs) in self.blocked.iter().zip(&self.needs) {
            if !needs.fit_in(free) {
                continue;
            }
            let Some(rank) = entry.rank else {
                continue;
            };
            let is_plain = needs.accelerators == 0 && rank.priority.0 < Priority::Urgent;
            if is_plain && !needs.fit_in(plain) {
                continue;
            }
            if best.is_none_or(|best| rank < best) && !except.contains(&entry.class) {
                best = Some(rank);
                found = Some(entry.class);
            }
        }
        self.first_of(found?)
    }

    /// Returns the standing that a line was ranked by.
    pub(crate) fn standing(&self, next: Next) -> Option<Standing> {
        let line = self.classes[next.class as usize].lines.get(&next.team)?;
        let rank = line.rank?;
        Some(Standing {
            borrows: rank.borrows,
            band: rank.band,
        })
    }

    /// Sets a class aside because `need` found no room.
    pub(crate) fn block(&mut self, class: u32, need: Resources) {
        let entry = &mut self.classes[class as usize];
        if let Some(position) = entry.blocked {
            self.needs[position] = Needs::new(need, entry.key.gang);
            return;
        }
        entry.blocked = Some(self.blocked.len());
        self.blocked.push(Blocked {
            class,
            gang: entry.key.gang,
            rank: None,
        });
        self.needs.push(Needs::new(need, entry.key.gang));
        self.rank_class(class);
    }

    /// Lets any job of a class that is set aside be tried that its smallest size allows.
    pub(crate) fn expect_any_size(&mut self, class: u32) {
        let entry = &self.classes[class as usize];
        if let Some(position) = entry.blocked {
            self.needs[position] = Needs::new(entry.key.smallest(), entry.key.gang);
        }
    }

    /// Takes back every class of gangs.
    pub(crate) fn unblock_gangs(&mut self) {
        let gangs = self.blocked.iter().filter(|entry| entry.gang);
        let gangs: Vec<u32> = gangs.map(|entry| entry.class).collect();
        self.unblock(&gangs);
    }

    /// Takes back the best classes, and some others in turn.
    pub(crate) fn unblock_some(&mut self, best: usize, in_turn: usize) {
        let mut ranked: Vec<(Rank, u32)> = self
            .blocked
            .iter()
            .filter_map(|entry| entry.rank.map(|rank| (rank, entry.class)))
            .collect();
        if ranked.len() > best {
            ranked.select_nth_unstable(best);
            ranked.truncate(best);
        }
        let mut back: Vec<u32> = ranked.into_iter().map(|(_, class)| class).collect();
        for _ in 0..in_turn.min(self.blocked.len()) {
            self.swept = (self.swept + 1) % self.blocked.len();
            back.push(self.blocked[self.swept].class);
        }
        self.unblock(&back);
    }

    pub(crate) fn any_blocked(&self) -> bool {
        !self.blocked.is_empty()
    }

    fn unblock(&mut self, classes: &[u32]) {
        for &class in classes {
            self.forget_blocked(class);
            self.rank_class(class);
        }
    }

    fn forget_blocked(&mut self, class: u32) {
        let Some(position) = self.classes[class as usize].blocked.take() else {
            return;
        };
        self.blocked.swap_remove(position);
        self.needs.swap_remove(position);
        if let Some(moved) = self.blocked.get(position) {
            self.classes[moved.class as usize].blocked = Some(position);
        }
    }

    fn first_of(&self, class: u32) -> Option<Next> {
        let entry = &self.classes[class as usize];
        let &(_, team) = entry.order.first()?;
        let &(_, job) = entry.lines.get(&team)?.jobs.first()?;
        Some(Next { class, team, job })
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
        if !self.classes[number as usize].lines.is_empty() {
            return;
        }
        self.forget_blocked(number);
        self.by_key.remove(&self.classes[number as usize].key);
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
        let mut first = class.order.first().map(|&(rank, _)| rank);
        if let Some(position) = class.blocked {
            self.blocked[position].rank = first.take();
        }
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
