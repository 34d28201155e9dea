//! Applies log entries to a state.
//!
//! The rules depend on the entries alone, so every process reaches the same state. No input text
//! makes them panic.

use std::sync::Arc;

use kspan_model::{JobEnd, JobId, Member, Millis, Name, Submission, UnixMillis, View};

use crate::{
    history::Edit,
    record::{Body, Record, RecordId, SnapshotPart},
    state::{ApplyOutcome, Refusal, SnapshotPosition, State, Verdict},
};

/// Maximum number of views retained besides the one in force. A process that starts from a
/// snapshot needs the earlier views that may still be active.
const MAX_PAST_VIEWS: usize = 8;

/// Time for which the end of a job is retained after the log appended its record.
pub const END_RETENTION: Millis = Millis(60 * 60 * 1_000);

/// Maximum number of retained ends. At 110,000 jobs a day, 4,600 jobs end in an hour.
pub const MAX_ENDS: usize = 20_000;

/// Upper bound on the clock skew between two hosts.
pub const MAX_CLOCK_SKEW: Millis = Millis(500);

/// Maximum number of ids of drain and document records retained for duplicate detection.
const MAX_APPLIED_IDS: usize = 1_024;

/// Maximum number of retained refusals.
const MAX_REFUSALS: usize = 32;

/// Maximum length of a retained refusal reason; longer reasons are truncated.
const MAX_REASON_BYTES: usize = 2_048;

/// Maximum size of a view; more members would not fit into a record.
const MAX_MEMBERS: usize = 1_000;

impl State {
    /// Applies the entry at `offset`, which the log appended at `time`. An entry below
    /// `next_offset` changes nothing.
    pub fn apply(&mut self, offset: u64, time: UnixMillis, data: &str) -> ApplyOutcome {
        let record = serde_json::from_str::<Record>(data);
        let id = record.as_ref().ok().map(|record| record.id);
        if offset < self.next_offset {
            let verdict = Verdict::Unchanged;
            return ApplyOutcome { id, verdict };
        }
        self.next_offset = offset + 1;
        let Ok(record) = record else {
            self.poisoned += 1;
            let verdict = Verdict::Poisoned;
            return ApplyOutcome { id, verdict };
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
        ApplyOutcome { id, verdict }
    }

    fn apply_record(&mut self, offset: u64, time: UnixMillis, record: Record) -> Verdict {
        match record.body {
            Body::View { base, members } => self.apply_view(offset, base, members),
            Body::Document { base, text } => {
                if self.check_duplicate(record.id) {
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
                if self.check_duplicate(record.id) {
                    return Verdict::Unchanged;
                }
                self.apply_drain(host, drained)
            }
            Body::Snapshot(part) => self.record_snapshot_part(offset, part),
        }
    }

    /// Returns whether a record with this id was already applied; if not, retains the id.
    fn check_duplicate(&mut self, id: RecordId) -> bool {
        if self.applied_ids.contains(&id) {
            return true;
        }
        let ids = Arc::make_mut(&mut self.applied_ids);
        ids.push_back(id);
        if ids.len() > MAX_APPLIED_IDS {
            ids.pop_front();
        }
        false
    }

    fn apply_view(&mut self, offset: u64, base: u64, mut members: Vec<Member>) -> Verdict {
        if base != self.view.number {
            let number = self.view.number;
            let reason = format!("base view {base} is not in force; view {number} is");
            return Verdict::Refused(reason.into());
        }
        // Number zero stands for the empty initial view.
        if offset == 0 {
            return Verdict::Refused("a view can't be the first entry of a log".into());
        }
        if members.is_empty() || members.len() > MAX_MEMBERS {
            return Verdict::Refused("a view must have 1 to 1000 members".into());
        }
        members.sort_by(|a, b| a.node.cmp(&b.node));
        if members
            .windows(2)
            .any(|pair| pair[0].node.name == pair[1].node.name)
        {
            return Verdict::Refused("two members of the view have the same name".into());
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
            return Verdict::Refused("a document can't be the first entry of a log".into());
        }
        let document = match kspan_model::document::parse(text) {
            Ok(document) => document,
            Err(faults) => return Verdict::Refused(faults.to_string().into()),
        };
        let history = Arc::make_mut(&mut self.history);
        match history.accept_edit(edit, text, &self.document_text) {
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
        let (mut accepted, mut duplicate) = (false, false);
        for submission in submissions {
            let job = submission.job;
            if self.submissions.contains_key(&job) || self.ends.contains_key(&job) {
                duplicate = true;
            } else if !self.may_have_ended(submission.accepted) {
                Arc::make_mut(&mut self.submissions).insert(job, submission);
                accepted = true;
            }
        }
        match (accepted, duplicate) {
            (true, _) => Verdict::Accepted,
            (false, true) => Verdict::Unchanged,
            (false, false) => Verdict::Refused(
                "the submissions are older than the retained job ends; the jobs may have run"
                    .into(),
            ),
        }
    }

    /// Returns whether a job accepted at `accepted` may have ended with its end since dropped.
    fn may_have_ended(&self, accepted: UnixMillis) -> bool {
        let bound = self
            .newest_dropped_end
            .map(|dropped| dropped.after(MAX_CLOCK_SKEW));
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
            Arc::make_mut(&mut self.ended_jobs).push_back((time, job));
        }
        self.drop_old_ends(time);
        if changed {
            Verdict::Accepted
        } else {
            Verdict::Unchanged
        }
    }

    fn drop_old_ends(&mut self, time: UnixMillis) {
        while let Some(&(appended, job)) = self.ended_jobs.front() {
            if self.ended_jobs.len() <= MAX_ENDS && time.since(appended) <= END_RETENTION {
                return;
            }
            Arc::make_mut(&mut self.ended_jobs).pop_front();
            Arc::make_mut(&mut self.ends).remove(&job);
            self.newest_dropped_end = self.newest_dropped_end.max(Some(appended));
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

    /// Records the position of a complete snapshot. Its content is ignored, because this process
    /// has already applied the records that the snapshot covers.
    fn record_snapshot_part(&mut self, offset: u64, part: SnapshotPart) -> Verdict {
        let through = part.through;
        let parts = Arc::make_mut(&mut self.snapshot_parts);
        let is_complete = parts.add_part(part).is_some();
        // A slow writer may complete its snapshot after a newer one was completed.
        if is_complete && self.snapshot.is_none_or(|newest| newest.through <= through) {
            self.snapshot = Some(SnapshotPosition { through, offset });
        }
        Verdict::Accepted
    }
}
