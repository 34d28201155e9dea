//! Shared immutable names.
//!
//! Names of teams, workers and services are compared, hashed and cloned on hot paths. A
//! reference-counted string makes clones cheap without adding a lifetime to every type.

use std::sync::Arc;

use derive_more::{Deref, Display};
use serde::{Deserialize, Serialize};

/// An immutable name that is cheap to clone.
///
/// # Examples
///
/// ```
/// use kspan_model::Name;
///
/// let name = Name::new("ledger");
/// assert_eq!(name.as_str(), "ledger");
/// ```
#[derive(
    Clone,
    Debug,
    Default,
    Deref,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Name(Arc<str>);

impl Name {
    /// Creates a name from text.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// Returns the text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self::new(text)
    }
}

impl From<String> for Name {
    fn from(text: String) -> Self {
        Self(Arc::from(text))
    }
}
