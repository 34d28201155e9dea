//! Which version changed which object of the document, and whether two edits conflict.
//!
//! An object is an item with a name in one of the document's lists, or any other top-level
//! value. An edit is compared with the version that it was made from: objects that it left alone
//! keep what others made of them since. Only an object that both changed is a conflict.
//!
//! Digests of objects are kept instead of old texts, because a snapshot carries the history.

use std::collections::{BTreeMap, VecDeque};

use kspan_model::{
    Name,
    document::{self, Document},
};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::objects::{self, Key, Objects};

/// Result of accepting an edit.
pub type Result<T> = std::result::Result<T, Conflict>;

/// Versions that an edit may be made from, the newest ones.
const MAX_VERSIONS: usize = 256;

quick_error! {
    /// Why an edit was refused.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Conflict {
        /// The version that it was made from is not remembered.
        UnknownBase(base: u64) {
            display("version {base} is too old or never was in force; edit the newest one")
        }
        /// Another operator changed the same object since.
        SameObject(object: Key, first: Name, version: u64, second: Name, base: u64) {
            display("{object}: {first} changed it in version {version}, \
                     which {second}, who edited version {base}, did not see")
        }
        /// The edits don't conflict, but together they are no valid document.
        Together(first: Name, second: Name, faults: String) {
            display("the changes of {first} and {second} don't fit together: {faults}")
        }
        /// The text is not what a document looks like.
        Malformed {
            display("the text has no top-level keys")
        }
    }
}

/// An edit of the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// Version that it will be.
    pub version: u64,
    /// Version that it was made from.
    pub base: u64,
    /// The operator.
    pub by: Name,
}

/// An edit with what others changed since it was begun.
#[derive(Clone, Debug)]
pub struct Merged {
    /// The document.
    pub document: Document,
    /// Its text. Comments are lost where two edits met.
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
    /// Digest of the object from then on; none where it was removed.
    digest: Option<u64>,
}

/// The history of the document's objects.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    versions: VecDeque<Version>,
    changes: BTreeMap<Key, Vec<Change>>,
    /// Whether versions were forgotten, so that the empty document is no base any more.
    truncated: bool,
}

impl History {
    /// Accepts or refuses an edit. Returns the merged document where others changed something
    /// since the edit's base, nothing where the text is in force as it is.
    ///
    /// # Errors
    ///
    /// Returns the conflict with the newest other edit.
    pub fn accept(&mut self, edit: &Edit, text: &str, current: &str) -> Result<Option<Merged>> {
        let new = objects::parse(text).ok_or(Conflict::Malformed)?;
        let newest = self.versions.back().map_or(0, |version| version.number);
        if edit.base == newest {
            self.remember(edit, &new);
            return Ok(None);
        }
        if !self.is_known(edit.base) {
            return Err(Conflict::UnknownBase(edit.base));
        }
        let touched = self.touched(edit.base, &new);
        if let Some(conflict) = self.conflict(edit, &touched, &new) {
            return Err(conflict);
        }
        let merged = self.merge(edit, &touched, &new, current)?;
        let objects = objects::parse(&merged.text).ok_or(Conflict::Malformed)?;
        self.remember(edit, &objects);
        Ok(Some(merged))
    }

    fn is_known(&self, base: u64) -> bool {
        let mut versions = self.versions.iter();
        (base == 0 && !self.truncated) || versions.any(|version| version.number == base)
    }

    /// Returns the objects that an edit changed, seen from its base.
    fn touched(&self, base: u64, new: &Objects) -> Vec<Key> {
        let keys = self.changes.keys().chain(new.keys());
        let mut touched: Vec<_> = keys
            .filter(|key| self.digest_at(key, base) != new.digest(key))
            .cloned()
            .collect();
        touched.sort();
        touched.dedup();
        touched
    }

    fn conflict(&self, edit: &Edit, touched: &[Key], new: &Objects) -> Option<Conflict> {
        touched.iter().find_map(|key| {
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

    fn merge(&self, edit: &Edit, touched: &[Key], new: &Objects, current: &str) -> Result<Merged> {
        let text = objects::merge(current, new, touched).ok_or(Conflict::Malformed)?;
        match document::parse(&text) {
            Ok(document) => Ok(Merged { document, text }),
            Err(faults) => {
                let newest = self.versions.back().map_or(0, |version| version.number);
                let first = self.author(newest);
                Err(Conflict::Together(
                    first,
                    edit.by.clone(),
                    faults.to_string(),
                ))
            }
        }
    }

    fn digest_at(&self, key: &Key, version: u64) -> Option<u64> {
        let changes = self.changes.get(key)?;
        let upto = changes.iter().rfind(|change| change.version <= version);
        upto.and_then(|change| change.digest)
    }

    fn author(&self, version: u64) -> Name {
        let mut versions = self.versions.iter();
        let found = versions.find(|known| known.number == version);
        found.map_or_else(|| "someone".into(), |known| known.by.clone())
    }

    fn remember(&mut self, edit: &Edit, new: &Objects) {
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
            self.forget();
        }
    }

    /// Drops changes that were replaced before the oldest remembered version.
    fn forget(&mut self) {
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
            let gone = |change: &Change| change.digest.is_none() && change.version <= oldest;
            !(changes.len() == 1 && changes.iter().all(gone))
        });
    }
}
