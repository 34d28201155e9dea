//! Applies log entries to a state.
//!
//! The rules use nothing but the entries, so that every process comes to the same state. Nothing
//! here panics on any text.

use std::sync::Arc;

use kspan_model::{JobEnd, JobId, Member, Millis, Name, Submission, UnixMillis, View};

use crate::{
    history::Edit,
    record::{Body, Record, RecordId, SnapshotPart},
    state::{Applied, Refusal, SnapshotSeen, State, Verdict},
};

/// Views that are remembered besides the one in force. A process that starts from a snapshot
/// needs those that may still be active.
const MAX_PAST_VIEWS: usize = 8;

/// How long the end of a job is remembered after its record was taken by the log.
pub const ENDS_KEPT: Millis = Millis(60 * 60 * 1_000);

/// Most ends that are remembered. At 110,000 jobs a day an hour has 4,600.
pub const MAX_ENDS: usize = 20_000;

/// Bound on the difference between the clocks of two hosts.
pub const CLOCK_BOUND: Millis = Millis(500);

/// Ids of drain and document records that are remembered.
const MAX_IDS: usize = 1_024;

/// Refusals that are remembered.
const MAX_REFUSALS: usize = 32;

/// Longest reason that is remembered, in bytes.
const MAX_REASON_BYTES: usize = 2_048;

/// Largest view; more members would not fit into a record.
const MAX_MEMBERS: usize = 1_000;

impl State {
    /// Applies the entry at `offset`, taken by the log at `time`. An entry below the state's
    /// offset changes nothing.
    pub fn apply(&mut self, offset: u64, time: UnixMillis, data: &str) -> Applied {
        let record = serde_json::from_str::<Record>(data);
        let id = record.as_ref().ok().map(|record| record.id);
        if offset < self.next_offset {
            let verdict = Verdict::Unchanged;
            return Applied { id, verdict };
        }
        self.next_offset = offset + 1;
        let Ok(record) = record else {
            self.poisoned += 1;
            let verdict = Verdict::Poisoned;
            return Applied { id, verdict };
        };
        let (id, by) = (record.id, record.by.clone());
        let verdict = self.apply_record(offset, time, record);
        if let Verdict::Refused(reason) = &verdict {
            let end = reason.floor_char_boundary(MAX_REASON_BYTES.min(reason.len()));
            let reason = Name::new(&reason[..end]);
            let refusals = Arc::make_mut(&mut self.refusals);
            refusals.push_back(Refusal {
                offset,
                id,
                by,
                reason,
            });
            if refusals.len() > MAX_REFUSALS {
                refusals.pop_front();
            }
        }
        let id = Some(id);
        Applied { id, verdict }
    }

    fn apply_record(&mut self, offset: u64, time: UnixMillis, record: Record) -> Verdict {
        match record.body {
            Body::View { base, members } => self.apply_view(offset, base, members),
            Body::Document { base, text } => {
                if self.is_repeated(record.id) {
                    return Verdict::Unchanged;
                }
                let edit = Edit {
                    version: offset,
                    base,
                    by: record.by,
                };
                self.apply_document(&edit, &text)
            }
            Body::Submissions { submissions } => self.apply_submissions(submissions),
            Body::Cancels { jobs } => self.apply_cancels(jobs),
            Body::Ends { ends } => self.apply_ends(time, ends),
            Body::Drain { host, drained } => {
                if self.is_repeated(record.id) {
                    return Verdict::Unchanged;
                }
                self.apply_drain(host, drained)
            }
            Body::Snapshot(part) => self.observe_snapshot(offset, part),
        }
    }

    /// Returns whether a record of this id was applied already, and remembers it.
    fn is_repeated(&mut self, id: RecordId) -> bool {
        if self.ids.contains(&id) {
            return true;
        }
        let ids = Arc::make_mut(&mut self.ids);
        ids.push_back(id);
        if ids.len() > MAX_IDS {
            ids.pop_front();
        }
        false
    }

    fn apply_view(&mut self, offset: u64, base: u64, mut members: Vec<Member>) -> Verdict {
        if base != self.view.number {
            let number = self.view.number;
            let reason = format!("the view is {number} and no longer {base}");
            return Verdict::Refused(reason.into());
        }
        // Offset zero is the number of the empty view before any.
        if offset == 0 {
            return Verdict::Refused("the first entry of a log can't be a view".into());
        }
        if members.is_empty() || members.len() > MAX_MEMBERS {
            return Verdict::Refused("a view has 1 to 1000 members".into());
        }
        members.sort_by(|a, b| a.node.cmp(&b.node));
        if members
            .windows(2)
            .any(|pair| pair[0].node.name == pair[1].node.name)
        {
            return Verdict::Refused("two members have one name".into());
        }
        if self.view.number > 0 {
            let past = Arc::make_mut(&mut self.past_views);
            past.push_back(Arc::clone(&self.view));
            if past.len() > MAX_PAST_VIEWS {
                past.pop_front();
            }
        }
        self.view = Arc::new(View {
            number: offset,
            members,
        });
        Verdict::Accepted
    }

    fn apply_document(&mut self, edit: &Edit, text: &str) -> Verdict {
        let version = edit.version;
        if version == 0 {
            return Verdict::Refused("the first entry of a log can't be a document".into());
        }
        let document = match kspan_model::document::parse(text) {
            Ok(document) => document,
            Err(faults) => return Verdict::Refused(faults.to_string().into()),
        };
        let history = Arc::make_mut(&mut self.history);
        match history.accept(edit, text, &self.document_text) {
            Ok(None) => {
                self.document = Some(Arc::new(document));
                self.document_text = text.into();
            }
            Ok(Some(merged)) => {
                self.document = Some(Arc::new(merged.document));
                self.document_text = merged.text.into();
            }
            Err(reason) => return Verdict::Refused(reason.to_string().into()),
        }
        self.document_version = version;
        Verdict::Accepted
    }

    fn apply_submissions(&mut self, submissions: Vec<Submission>) -> Verdict {
        let (mut accepted, mut known) = (false, false);
        for submission in submissions {
            let job = submission.job;
            if self.submissions.contains_key(&job) || self.ends.contains_key(&job) {
                known = true;
            } else if !self.may_have_ended(submission.accepted) {
                Arc::make_mut(&mut self.submissions).insert(job, submission);
                accepted = true;
            }
        }
        match (accepted, known) {
            (true, _) => Verdict::Accepted,
            (false, true) => Verdict::Unchanged,
            (false, false) => Verdict::Refused("too old to tell whether the jobs ran".into()),
        }
    }

    /// Returns whether a job accepted then may have ended and been forgotten.
    fn may_have_ended(&self, accepted: UnixMillis) -> bool {
        let bound = self.forgotten.map(|forgotten| forgotten.after(CLOCK_BOUND));
        bound.is_some_and(|bound| accepted <= bound)
    }

    fn apply_cancels(&mut self, jobs: Vec<JobId>) -> Verdict {
        let mut changed = false;
        for job in jobs {
            if self.submissions.contains_key(&job) {
                changed |= Arc::make_mut(&mut self.cancels).insert(job);
            }
        }
        if changed {
            Verdict::Accepted
        } else {
            Verdict::Unchanged
        }
    }

    fn apply_ends(&mut self, time: UnixMillis, ends: Vec<JobEnd>) -> Verdict {
        let mut changed = false;
        for end in ends {
            let job = end.job;
            if self.ends.contains_key(&job) {
                continue;
            }
            changed = true;
            Arc::make_mut(&mut self.submissions).remove(&job);
            Arc::make_mut(&mut self.cancels).remove(&job);
            Arc::make_mut(&mut self.ends).insert(job, end);
            Arc::make_mut(&mut self.ended).push_back((time, job));
        }
        self.forget_ends(time);
        if changed {
            Verdict::Accepted
        } else {
            Verdict::Unchanged
        }
    }

    fn forget_ends(&mut self, time: UnixMillis) {
        while let Some(&(taken, job)) = self.ended.front() {
            if self.ended.len() <= MAX_ENDS && time.since(taken) <= ENDS_KEPT {
                return;
            }
            Arc::make_mut(&mut self.ended).pop_front();
            Arc::make_mut(&mut self.ends).remove(&job);
            self.forgotten = self.forgotten.max(Some(taken));
        }
    }

    fn apply_drain(&mut self, host: Name, drained: bool) -> Verdict {
        let drains = Arc::make_mut(&mut self.drains);
        let changed = if drained {
            drains.insert(host)
        } else {
            drains.remove(&host)
        };
        if changed {
            Verdict::Accepted
        } else {
            Verdict::Unchanged
        }
    }

    /// A process that folds the log learns nothing from a snapshot but that it is there.
    fn observe_snapshot(&mut self, offset: u64, part: SnapshotPart) -> Verdict {
        let through = part.through;
        let parts = Arc::make_mut(&mut self.parts);
        let is_whole = parts.add(part).is_some();
        // A slow writer's snapshot may be older than one that is there already.
        if is_whole && self.snapshot.is_none_or(|newest| newest.through <= through) {
            self.snapshot = Some(SnapshotSeen { through, offset });
        }
        Verdict::Accepted
    }
}
