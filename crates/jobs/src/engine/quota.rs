//! Caps of teams: what a team's runs may use together on all runners.
//!
//! A run is charged to its team from the order to start it until it is proven to be over, in the
//! same way as it holds resources of its runner. A start that is carried out late, or a run that is
//! being stopped, is therefore still counted. A cap that is lowered stops nothing.
//!
//! After a takeover, runs on runners that have not answered are unknown. Until all are known, a team
//! is charged in addition with everything that it may have there.

use kspan_model::{Millis, Name, Resources};
use rustc_hash::FxHashMap;

use super::{Engine, Event, job::Job};
use crate::{config::CellConfig, id::StepId, record::Phase, spec::StepSpec};

/// Time after the end of a job for which its runs may be alive on a runner that has not answered.
const MAX_RUN_AFTER_JOB_END: Millis = Millis(20_000);

/// Index of a team in the engine's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct TeamIx(usize);

/// What a run is charged to its team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Charge {
    team: TeamIx,
    size: Resources,
}

/// A team that has jobs, or had some since the ownership began.
#[derive(Clone, Debug)]
pub(super) struct TeamEntry {
    pub(super) name: Name,
    pub(super) weight: f64,
    cap: Resources,
    /// Resources of the runs that are charged to the team.
    pub(super) committed: Resources,
    /// What runs that are not known yet may use in addition.
    unknown: Resources,
    pub(super) active_jobs: usize,
    /// Whether the cap kept a step from starting in the present scheduling pass.
    is_blocked: bool,
    /// Whether it did in the previous pass.
    was_blocked: bool,
}

impl TeamEntry {
    /// Returns what the team uses, including what runs that are not known yet may use.
    fn taken(&self) -> Resources {
        self.committed.saturating_add(self.unknown)
    }

    /// Returns what the team may use in addition.
    fn left(&self) -> Resources {
        self.cap.saturating_sub(self.taken())
    }

    fn declare(&mut self, config: &CellConfig) {
        let team = config.team(&self.name);
        self.weight = team.map_or(0.0, |team| team.weight);
        // Before the first configuration is read, the cap is unknown.
        let undeclared = if config.version == 0 {
            Resources::ZERO
        } else {
            UNLIMITED
        };
        self.cap = team.map_or(undeclared, |team| team.cap);
    }
}

/// Cap of a team that is not declared.
const UNLIMITED: Resources = Resources::new(u64::MAX, u64::MAX, u64::MAX);

/// The teams that have jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamTable {
    entries: Vec<TeamEntry>,
    by_name: FxHashMap<Name, TeamIx>,
}

impl TeamTable {
    /// Returns the team's index, adding the team if it is new.
    pub(super) fn index(&mut self, name: &Name, config: &CellConfig) -> TeamIx {
        if let Some(&ix) = self.by_name.get(name) {
            return ix;
        }
        let ix = TeamIx(self.entries.len());
        let mut entry = TeamEntry {
            name: name.clone(),
            weight: 0.0,
            cap: UNLIMITED,
            committed: Resources::ZERO,
            unknown: Resources::ZERO,
            active_jobs: 0,
            is_blocked: false,
            was_blocked: false,
        };
        entry.declare(config);
        self.entries.push(entry);
        self.by_name.insert(name.clone(), ix);
        ix
    }

    /// Applies the weights and caps of a configuration.
    pub(super) fn declare(&mut self, config: &CellConfig) {
        self.entries
            .iter_mut()
            .for_each(|entry| entry.declare(config));
    }

    pub(super) fn get(&self, ix: TeamIx) -> &TeamEntry {
        &self.entries[ix.0]
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &TeamEntry> {
        self.entries.iter()
    }

    /// Counts a job of the team that became active.
    pub(super) fn add_active_job(&mut self, ix: TeamIx) {
        self.entries[ix.0].active_jobs += 1;
    }

    /// Counts a job of the team that ended.
    pub(super) fn remove_active_job(&mut self, ix: TeamIx) {
        self.entries[ix.0].active_jobs -= 1;
    }

    /// Charges a run to its team.
    pub(super) fn charge(&mut self, charge: Charge) {
        let committed = &mut self.entries[charge.team.0].committed;
        *committed = committed.saturating_add(charge.size);
    }

    /// Releases the charge of a run that is over.
    pub(super) fn release(&mut self, charge: Charge) {
        let committed = &mut self.entries[charge.team.0].committed;
        *committed = committed.saturating_sub(charge.size);
    }
}

/// Returns what a task of a step counts for its team. A best-effort task counts in full, because it
/// uses processors although it reserves none.
fn charged_to_team(spec: &StepSpec) -> Resources {
    spec.size
}

impl Engine {
    /// Returns what a run of the step is charged to the job's team; `None` if it has none.
    pub(super) fn charge_of(job: &Job, spec: &StepSpec) -> Option<Charge> {
        Some(Charge {
            team: job.team?,
            size: charged_to_team(spec),
        })
    }

    /// Returns how many waiting tasks of a step may start within the cap of its team. A gang counts
    /// only as a whole.
    pub(super) fn tasks_within_cap(&self, id: StepId) -> usize {
        let Some(job) = self.jobs.get(&id.job) else {
            return 0;
        };
        let Some((step, spec)) = job.step(id) else {
            return 0;
        };
        let Some(team) = job.team else {
            return step.waiting;
        };
        let fitting = charged_to_team(spec).count_in(self.teams.get(team).left());
        let fitting = usize::try_from(fitting).unwrap_or(usize::MAX);
        if spec.gang && fitting < spec.count as usize {
            return 0;
        }
        fitting.min(step.waiting)
    }

    /// Returns whether the cap of its team keeps the waiting tasks of a step from starting.
    pub(super) fn is_blocked_by_cap(&self, id: StepId) -> bool {
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        step.is_some_and(|(step, _)| step.waiting > 0) && self.tasks_within_cap(id) == 0
    }

    /// Records that the cap of a step's team keeps its tasks from starting.
    pub(super) fn mark_blocked_by_cap(&mut self, id: StepId) {
        let team = self.jobs.get(&id.job).and_then(|job| job.team);
        if let Some(team) = team {
            self.teams.entries[team.0].is_blocked = true;
        }
    }

    /// Reports the teams whose caps began or ceased to keep tasks from starting in this pass.
    pub(super) fn report_blocked_teams(&mut self) {
        for entry in &mut self.teams.entries {
            if entry.is_blocked != entry.was_blocked {
                self.events.push(Event::CapChanged {
                    team: entry.name.clone(),
                    is_reached: entry.is_blocked,
                    used: entry.taken(),
                    cap: entry.cap,
                });
            }
            entry.was_blocked = std::mem::take(&mut entry.is_blocked);
        }
    }

    /// Returns the first step of which not even one task, or not the whole gang, fits into the cap.
    pub(super) fn step_beyond_cap(cap: Resources, steps: &[StepSpec]) -> Option<usize> {
        steps.iter().position(|spec| {
            let needed = if spec.gang { spec.count } else { 1 };
            charged_to_team(spec).count_in(cap) < u64::from(needed)
        })
    }

    /// Describes why a job's tasks wait for the cap of its team; `None` if they do not.
    pub(super) fn cap_reason(&self, id: StepId) -> Option<String> {
        let job = self.jobs.get(&id.job)?;
        let team = self.teams.get(job.team?);
        if !self.is_blocked_by_cap(id) {
            return None;
        }
        let (_, spec) = job.step(id)?;
        let (size, cap) = (charged_to_team(spec), team.cap);
        let (name, taken) = (&team.name, team.taken());
        Some(format!(
            "team {name} has reached its cap: {taken} of {cap} taken, a task needs {size}"
        ))
    }

    /// Updates what each team may have running on runners that have not answered since the takeover.
    pub(super) fn update_unknown_usage(&mut self, all_verified: bool, now: Millis) {
        self.teams
            .entries
            .iter_mut()
            .for_each(|entry| entry.unknown = Resources::ZERO);
        if all_verified || self.teams.entries.is_empty() {
            return;
        }
        let silent = self.runners.iter().filter(|runner| runner.is_unaccounted());
        let room = silent
            .map(|runner| runner.largest_capacity)
            .fold(Resources::ZERO, Resources::saturating_add);
        for job in self.jobs.values() {
            let Some(team) = job.team else {
                continue;
            };
            let unknown = &mut self.teams.entries[team.0].unknown;
            *unknown = unknown.saturating_add(possibly_running(job, now));
        }
        for entry in &mut self.teams.entries {
            entry.unknown = entry.unknown.component_min(room);
        }
    }
}

/// Returns what the tasks of a job may use on runners that have not answered.
fn possibly_running(job: &Job, now: Millis) -> Resources {
    if job.phase != Phase::Active {
        let is_recent = job
            .ended_at
            .is_some_and(|ended_at| now < ended_at + MAX_RUN_AFTER_JOB_END);
        if !is_recent {
            return Resources::ZERO;
        }
        let steps = job.record.spec.steps.iter();
        let sizes = steps.map(|spec| charged_to_team(spec).saturating_mul(u64::from(spec.count)));
        return sizes.fold(Resources::ZERO, Resources::saturating_add);
    }
    let steps = job
        .occurrences
        .iter()
        .flat_map(|occ| occ.steps.iter().zip(&job.record.spec.steps));
    let sizes = steps.map(|(step, spec)| {
        let unverified = step.tasks.iter().filter(|task| task.unverified).count();
        charged_to_team(spec).saturating_mul(unverified as u64)
    });
    sizes.fold(Resources::ZERO, Resources::saturating_add)
}
