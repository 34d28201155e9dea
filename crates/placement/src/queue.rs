//! Queued jobs, in the order in which their placement is attempted.
//!
//! Jobs of similar size, kind and priority form a class. When the first job of a class does not
//! fit, the whole class is blocked until a worker has capacity for it, so that a full queue costs
//! one failed search per class rather than one per job. Within a class each team has its own queue,
//! sorted by a key that depends on the policy; the teams are ordered by their standing.

use std::collections::{BTreeMap, BTreeSet};

use kspan_model::{Priority, Resources};
use rustc_hash::FxHashMap;

use crate::{
    class::{ClassKey, CompactSize},
    job::{JobNo, QueueEntry},
    team::{Standing, TeamNo},
};

/// Position of a team queue; lower ranks go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    borrows: bool,
    /// Reversed, so that urgent jobs rank lowest.
    priority: std::cmp::Reverse<Priority>,
    band: u16,
    key: u64,
}

#[derive(Clone, Debug, Default)]
struct TeamQueue {
    jobs: BTreeSet<(u64, JobNo)>,
    /// Rank within the class; `None` while the queue is parked, waiting for its team's quota.
    rank: Option<Rank>,
}

#[derive(Clone, Debug)]
struct Class {
    key: ClassKey,
    team_queues: BTreeMap<TeamNo, TeamQueue>,
    order: BTreeSet<(Rank, TeamNo)>,
    /// Rank among the classes that are not blocked.
    ready: Option<Rank>,
    /// Index into [`Queue::blocked`], if the class is blocked.
    blocked: Option<usize>,
}

/// A blocked class. All of them are scanned for each freed worker, so they are kept contiguous in
/// memory.
#[derive(Clone, Copy, Debug)]
struct Blocked {
    class: u32,
    gang: bool,
    /// Rank of the class's first job; `None` while all its team queues are parked.
    rank: Option<Rank>,
}

/// The next job to place.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) class: u32,
    pub(crate) team: TeamNo,
    pub(crate) job: JobNo,
}

/// All queued jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    classes: Vec<Class>,
    by_key: FxHashMap<ClassKey, u32>,
    vacant: Vec<u32>,
    ready: BTreeSet<(Rank, u32)>,
    blocked: Vec<Blocked>,
    /// For each blocked class, the size that did not fit, or a lower bound on its jobs' sizes.
    needs: Vec<CompactSize>,
    /// Position at which the last sweep ended.
    sweep_cursor: usize,
    len: usize,
}

impl Queue {
    /// Adds a job and returns its position and whether this created a team queue in the class.
    pub(crate) fn push(
        &mut self,
        class_key: ClassKey,
        team: TeamNo,
        standing: Standing,
        key: u64,
        job: JobNo,
    ) -> (QueueEntry, bool) {
        let class = self.class(class_key);
        let team_queues = &mut self.classes[class as usize].team_queues;
        let is_new = !team_queues.contains_key(&team);
        let team_queue = team_queues.entry(team).or_default();
        team_queue.jobs.insert((key, job));
        let parked = !is_new && team_queue.rank.is_none();
        self.len += 1;
        if !parked {
            self.rank_team_queue(class, team, standing);
        }
        (QueueEntry { class, key }, is_new)
    }

    /// Removes a job and returns whether this removed its team queue from the class.
    pub(crate) fn remove(
        &mut self,
        entry: QueueEntry,
        team: TeamNo,
        standing: Standing,
        job: JobNo,
    ) -> bool {
        let class = &mut self.classes[entry.class as usize];
        let team_queue = class
            .team_queues
            .get_mut(&team)
            .expect("a queued job is in a queue of its team");
        let was_present = team_queue.jobs.remove(&(entry.key, job));
        debug_assert!(was_present, "a queued job is in the queue of its team");
        self.len -= 1;
        let is_empty = team_queue.jobs.is_empty();
        let parked = team_queue.rank.is_none();
        if is_empty {
            if let Some(rank) = team_queue.rank {
                class.order.remove(&(rank, team));
            }
            class.team_queues.remove(&team);
            self.rank_class(entry.class);
            self.remove_if_empty(entry.class);
        } else if !parked {
            self.rank_team_queue(entry.class, team, standing);
        }
        is_empty
    }

    /// Returns the job to place next.
    pub(crate) fn next(&self) -> Option<Candidate> {
        let &(_, class) = self.ready.first()?;
        self.first_job(class)
    }

    /// Updates the rank of a team queue to its team's standing.
    pub(crate) fn update_rank(&mut self, class: u32, team: TeamNo, standing: Standing) {
        let team_queue = &self.classes[class as usize].team_queues[&team];
        if team_queue.rank.is_some() {
            self.rank_team_queue(class, team, standing);
        }
    }

    /// Returns the first job of the best blocked class that may fit in `free`, if it ranks before
    /// every job that is not blocked. Gangs are excluded, because an attempt to place one visits
    /// all workers. Jobs without accelerators may use only `unaccelerated`, unless they are urgent.
    pub(crate) fn best_fitting(
        &self,
        free: Resources,
        unaccelerated: Resources,
        except: &[u32],
    ) -> Option<Candidate> {
        let mut best = self.ready.first().map(|&(rank, _)| rank);
        let mut found = None;
        let free = CompactSize::new(free, false);
        let unaccelerated = CompactSize::new(unaccelerated, false);
        for (entry, needs) in self.blocked.iter().zip(&self.needs) {
            if !needs.fits_in(free) {
                continue;
            }
            let Some(rank) = entry.rank else {
                continue;
            };
            let is_unaccelerated = needs.accelerators == 0 && rank.priority.0 < Priority::Urgent;
            if is_unaccelerated && !needs.fits_in(unaccelerated) {
                continue;
            }
            if best.is_none_or(|best| rank < best) && !except.contains(&entry.class) {
                best = Some(rank);
                found = Some(entry.class);
            }
        }
        self.first_job(found?)
    }

    /// Returns the standing that the team queue was ranked by.
    pub(crate) fn standing(&self, next: Candidate) -> Option<Standing> {
        let team_queue = self.classes[next.class as usize]
            .team_queues
            .get(&next.team)?;
        let rank = team_queue.rank?;
        Some(Standing {
            borrows: rank.borrows,
            band: rank.band,
        })
    }

    /// Blocks a class because `need` does not fit.
    pub(crate) fn block(&mut self, class: u32, need: Resources) {
        let entry = &mut self.classes[class as usize];
        if let Some(position) = entry.blocked {
            self.needs[position] = CompactSize::new(need, entry.key.gang);
            return;
        }
        entry.blocked = Some(self.blocked.len());
        self.blocked.push(Blocked {
            class,
            gang: entry.key.gang,
            rank: None,
        });
        self.needs.push(CompactSize::new(need, entry.key.gang));
        self.rank_class(class);
    }

    /// Lets a blocked class be tried wherever its smallest possible job fits.
    pub(crate) fn lower_need_to_class_minimum(&mut self, class: u32) {
        let entry = &self.classes[class as usize];
        if let Some(position) = entry.blocked {
            self.needs[position] = CompactSize::new(entry.key.min_size(), entry.key.gang);
        }
    }

    /// Unblocks all classes of gangs.
    pub(crate) fn unblock_gangs(&mut self) {
        let gangs = self.blocked.iter().filter(|entry| entry.gang);
        let gangs: Vec<u32> = gangs.map(|entry| entry.class).collect();
        self.unblock(&gangs);
    }

    /// Unblocks the best classes, and some others in round-robin order.
    pub(crate) fn unblock_some(&mut self, best: usize, round_robin: usize) {
        let mut ranked: Vec<(Rank, u32)> = self
            .blocked
            .iter()
            .filter_map(|entry| entry.rank.map(|rank| (rank, entry.class)))
            .collect();
        if ranked.len() > best {
            ranked.select_nth_unstable(best);
            ranked.truncate(best);
        }
        let mut unblocked: Vec<u32> = ranked.into_iter().map(|(_, class)| class).collect();
        for _ in 0..round_robin.min(self.blocked.len()) {
            self.sweep_cursor = (self.sweep_cursor + 1) % self.blocked.len();
            unblocked.push(self.blocked[self.sweep_cursor].class);
        }
        self.unblock(&unblocked);
    }

    pub(crate) fn any_blocked(&self) -> bool {
        !self.blocked.is_empty()
    }

    fn unblock(&mut self, classes: &[u32]) {
        for &class in classes {
            self.remove_blocked(class);
            self.rank_class(class);
        }
    }

    fn remove_blocked(&mut self, class: u32) {
        let Some(position) = self.classes[class as usize].blocked.take() else {
            return;
        };
        self.blocked.swap_remove(position);
        self.needs.swap_remove(position);
        if let Some(moved) = self.blocked.get(position) {
            self.classes[moved.class as usize].blocked = Some(position);
        }
    }

    fn first_job(&self, class: u32) -> Option<Candidate> {
        let entry = &self.classes[class as usize];
        let &(_, team) = entry.order.first()?;
        let &(_, job) = entry.team_queues.get(&team)?.jobs.first()?;
        Some(Candidate { class, team, job })
    }

    /// Parks a team queue until its team's quota has room.
    pub(crate) fn park(&mut self, class: u32, team: TeamNo) {
        let entry = &mut self.classes[class as usize];
        let team_queue = entry
            .team_queues
            .get_mut(&team)
            .expect("only a queue with a candidate is parked");
        if let Some(rank) = team_queue.rank.take() {
            entry.order.remove(&(rank, team));
        }
        self.rank_class(class);
    }

    /// Puts a parked team queue back in the order of its class.
    pub(crate) fn unpark(&mut self, class: u32, team: TeamNo, standing: Standing) {
        let known = self
            .classes
            .get(class as usize)
            .is_some_and(|class| class.team_queues.contains_key(&team));
        if known {
            self.rank_team_queue(class, team, standing);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_blocked(&self, class: u32) -> bool {
        self.classes[class as usize].blocked.is_some()
    }

    pub(crate) fn is_parked(&self, class: u32, team: TeamNo) -> bool {
        let team_queue = self.classes[class as usize].team_queues.get(&team);
        team_queue.is_some_and(|team_queue| team_queue.rank.is_none())
    }

    /// Returns every queued job.
    pub(crate) fn jobs(&self) -> impl Iterator<Item = JobNo> {
        self.classes
            .iter()
            .flat_map(|class| class.team_queues.values())
            .flat_map(|team_queue| team_queue.jobs.iter().map(|&(_, job)| job))
    }

    fn class(&mut self, key: ClassKey) -> u32 {
        if let Some(&number) = self.by_key.get(&key) {
            return number;
        }
        let class = Class {
            key,
            team_queues: BTreeMap::new(),
            order: BTreeSet::new(),
            ready: None,
            blocked: None,
        };
        let number = if let Some(number) = self.vacant.pop() {
            self.classes[number as usize] = class;
            number
        } else {
            self.classes.push(class);
            u32::try_from(self.classes.len() - 1).expect("classes fit in 32-bit numbers")
        };
        self.by_key.insert(key, number);
        number
    }

    fn remove_if_empty(&mut self, number: u32) {
        if !self.classes[number as usize].team_queues.is_empty() {
            return;
        }
        self.remove_blocked(number);
        self.by_key.remove(&self.classes[number as usize].key);
        self.vacant.push(number);
    }

    fn rank_team_queue(&mut self, number: u32, team: TeamNo, standing: Standing) {
        let class = &mut self.classes[number as usize];
        let team_queue = class
            .team_queues
            .get_mut(&team)
            .expect("only existing queues are ranked");
        let &(key, _) = team_queue
            .jobs
            .first()
            .expect("an existing queue has a job");
        let rank = Rank {
            borrows: standing.borrows,
            priority: std::cmp::Reverse(class.key.priority),
            band: standing.band,
            key,
        };
        if team_queue.rank == Some(rank) {
            return;
        }
        if let Some(before) = team_queue.rank.replace(rank) {
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
