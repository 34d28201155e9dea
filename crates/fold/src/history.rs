//! Change history of the document's objects, and detection of conflicting edits.
//!
//! An object is a named item of one of the document's lists, or any other top-level value. An
//! edit is compared with its base version. Objects that the edit does not change keep the changes
//! that others have made since. Two edits conflict only when both change the same object.
//!
//! The history holds digests of objects instead of old texts, because every snapshot includes it.

use std::collections::{BTreeMap, VecDeque};

use kspan_model::{
    Name,
    document::{self, Document},
};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::objects::{self, ObjectKey, Objects};

/// Result of accepting an edit.
pub type Result<T> = std::result::Result<T, Conflict>;

/// Maximum number of versions in the history, which are those that an edit may be based on.
const MAX_VERSIONS: usize = 256;

quick_error! {
    /// Why an edit was refused.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Conflict {
        /// The base version is not in the history.
        UnknownBase(base: u64) {
            display("base version {base} is too old or never was in force; edit the newest version")
        }
        /// Another operator has changed the same object since the base version.
        SameObject(object: ObjectKey, first: Name, version: u64, second: Name, base: u64) {
            display("{object}: conflicting changes by {first} in version {version} \
                     and by {second}, who edited version {base}")
        }
        /// The edits change different objects, but the merged document is not valid.
        InvalidMerge(first: Name, second: Name, faults: String) {
            display("merging the changes of {first} and {second} gives an invalid document: \
                     {faults}")
        }
        /// The text is not a YAML mapping with text keys.
        Malformed {
            display("the document is not a YAML mapping with text keys")
        }
    }
}

/// An edit of the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// Version that the edit creates.
    pub version: u64,
    /// Version that the edit started from.
    pub base: u64,
    /// Name of the operator.
    pub by: Name,
}

/// An edit merged with the changes that others have made since its base.
#[derive(Clone, Debug)]
pub struct MergedDocument {
    /// The merged document.
    pub document: Document,
    /// YAML text of the merged document, without the comments of either edit.
    pub text: String,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Version {
    number: u64,
    by: Name,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Change {
    version: u64,
    /// Digest of the object as of this version; none when the version removed it.
    digest: Option<u64>,
}

/// Change history of the document's objects.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    versions: VecDeque<Version>,
    changes: BTreeMap<ObjectKey, Vec<Change>>,
    /// Whether old versions were dropped, so that an edit can't start from the empty document.
    truncated: bool,
}

impl History {
    /// Accepts or refuses an edit. Returns the merged document when the edit's base is not the
    /// newest version, and nothing when the text comes into force unchanged.
    ///
    /// # Errors
    ///
    /// Returns an error when the base is unknown, when the edit conflicts with a later one, or
    /// when the text or the merged document is not valid.
    pub fn accept_edit(
        &mut self,
        edit: &Edit,
        text: &str,
        current: &str,
    ) -> Result<Option<MergedDocument>> {
        let new = objects::parse(text).ok_or(Conflict::Malformed)?;
        let newest = self.versions.back().map_or(0, |version| version.number);
        if edit.base == newest {
            self.record_version(edit, &new);
            return Ok(None);
        }
        if !self.is_known_version(edit.base) {
            return Err(Conflict::UnknownBase(edit.base));
        }
        let changed = self.changed_objects(edit.base, &new);
        if let Some(conflict) = self.find_conflict(edit, &changed, &new) {
            return Err(conflict);
        }
        let merged = self.merge(edit, &changed, &new, current)?;
        let objects = objects::parse(&merged.text).ok_or(Conflict::Malformed)?;
        self.record_version(edit, &objects);
        Ok(Some(merged))
    }

    fn is_known_version(&self, base: u64) -> bool {
        let mut versions = self.versions.iter();
        (base == 0 && !self.truncated) || versions.any(|version| version.number == base)
    }

    /// Returns the keys of the objects whose content differs from that at version `base`.
    fn changed_objects(&self, base: u64, new: &Objects) -> Vec<ObjectKey> {
        let keys = self.changes.keys().chain(new.keys());
        let mut changed: Vec<_> = keys
            .filter(|key| self.digest_at(key, base) != new.digest(key))
            .cloned()
            .collect();
        changed.sort();
        changed.dedup();
        changed
    }

    fn find_conflict(&self, edit: &Edit, changed: &[ObjectKey], new: &Objects) -> Option<Conflict> {
        changed.iter().find_map(|key| {
            let last = self.changes.get(key)?.last()?;
            if last.version <= edit.base || last.digest == new.digest(key) {
                return None;
            }
            Some(Conflict::SameObject(
                key.clone(),
                self.author(last.version),
                last.version,
                edit.by.clone(),
                edit.base,
            ))
        })
    }

    fn merge(
        &self,
        edit: &Edit,
        changed: &[ObjectKey],
        new: &Objects,
        current: &str,
    ) -> Result<MergedDocument> {
        let text = objects::merge(current, new, changed).ok_or(Conflict::Malformed)?;
        match document::parse(&text) {
            Ok(document) => Ok(MergedDocument { document, text }),
            Err(faults) => {
                let newest = self.versions.back().map_or(0, |version| version.number);
                let first = self.author(newest);
                Err(Conflict::InvalidMerge(
                    first,
                    edit.by.clone(),
                    faults.to_string(),
                ))
            }
        }
    }

    fn digest_at(&self, key: &ObjectKey, version: u64) -> Option<u64> {
        let changes = self.changes.get(key)?;
        let last = changes.iter().rfind(|change| change.version <= version);
        last.and_then(|change| change.digest)
    }

    fn author(&self, version: u64) -> Name {
        let mut versions = self.versions.iter();
        let found = versions.find(|candidate| candidate.number == version);
        found.map_or_else(|| "someone".into(), |candidate| candidate.by.clone())
    }

    fn record_version(&mut self, edit: &Edit, new: &Objects) {
        let keys: Vec<_> = self.changes.keys().chain(new.keys()).cloned().collect();
        for key in keys {
            let digest = new.digest(&key);
            let changes = self.changes.entry(key).or_default();
            if changes.last().and_then(|last| last.digest) != digest {
                let version = edit.version;
                changes.push(Change { version, digest });
            }
        }
        self.versions.push_back(Version {
            number: edit.version,
            by: edit.by.clone(),
        });
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
            self.truncated = true;
            self.drop_replaced_changes();
        }
    }

    /// Drops changes that were replaced at or before the oldest version of the history.
    fn drop_replaced_changes(&mut self) {
        let oldest = self.versions.front().map_or(0, |version| version.number);
        for changes in self.changes.values_mut() {
            let replaced = changes
                .iter()
                .skip(1)
                .take_while(|next| next.version <= oldest);
            let replaced = replaced.count();
            changes.drain(..replaced);
        }
        self.changes.retain(|_, changes| {
            let is_removed = |change: &Change| change.digest.is_none() && change.version <= oldest;
            !(changes.len() == 1 && changes.iter().all(is_removed))
        });
    }
}
