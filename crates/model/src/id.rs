//! Identifiers of processes, jobs, tasks and requests.

use std::str::FromStr;

use derive_more::{Display, From};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::Name;

/// Distinguishes successive starts of a process under one name; later starts have higher numbers.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Identifies one start of one of the system's own processes.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{name}#{incarnation}")]
pub struct NodeId {
    /// Name of the process, unique in the cell.
    pub name: Name,
    /// Number that distinguishes this start of the process from others.
    pub incarnation: Incarnation,
}

impl NodeId {
    /// Creates an identifier.
    pub fn new(name: impl Into<Name>, incarnation: u64) -> Self {
        Self {
            name: name.into(),
            incarnation: Incarnation(incarnation),
        }
    }
}

/// Parses 1 to 32 hexadecimal digits.
///
/// # Errors
///
/// Returns the standard library's parse error for any other text.
pub fn parse_hex_u128(text: &str) -> Result<u128, std::num::ParseIntError> {
    u128::from_str_radix(text, 16)
}

macro_rules! hex_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[display("{_0:032x}")]
        pub struct $name(pub u128);

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                parse_hex_u128(text).map(Self)
            }
        }

        // Text formats use hexadecimal digits because JSON numbers lose precision past 53 bits.
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                if s.is_human_readable() { s.collect_str(self) } else { self.0.serialize(s) }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                if d.is_human_readable() {
                    let text = <std::borrow::Cow<'de, str>>::deserialize(d)?;
                    text.parse().map_err(serde::de::Error::custom)
                } else {
                    u128::deserialize(d).map(Self)
                }
            }
        }
    };
}

hex_id! {
    /// Identifies a job: one submission of a batch or gang workload, or a declared service.
    JobId
}

hex_id! {
    /// Identifies one request of a caller, as received by one router.
    RequestId
}

impl JobId {
    /// Derives the identifier of the job that holds a declared service's runners from the
    /// service's name.
    pub fn for_service(service: &Name) -> Self {
        Self(xxhash_rust::xxh3::xxh3_128(service.as_str().as_bytes()))
    }

    /// Derives the identifier of a submission from its team and the caller's idempotency key, so
    /// that a submission sent twice creates one job.
    pub fn for_submission(team: &Name, key: &str) -> Self {
        let text = format!("submission\u{0}{team}\u{0}{key}");
        Self(xxhash_rust::xxh3::xxh3_128(text.as_bytes()))
    }
}

/// Identifies one attempt at running one task of a job.
///
/// At most one attempt of a `(job, index)` pair runs at any time.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{job}.{index}.{attempt}")]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Position within the job, from zero.
    pub index: u32,
    /// Attempt number, from zero.
    pub attempt: u32,
}

impl TaskId {
    /// Creates an identifier.
    pub const fn new(job: JobId, index: u32, attempt: u32) -> Self {
        Self {
            job,
            index,
            attempt,
        }
    }

    /// Parses a task id of the form `job.index.attempt`; returns `None` if the text has another
    /// form.
    ///
    /// # Examples
    ///
    /// ```
    /// use kspan_model::{JobId, TaskId};
    ///
    /// let task = TaskId::new(JobId(0xa1), 2, 3);
    /// assert_eq!(TaskId::parse(&task.to_string()), Some(task));
    /// for text in ["", "a1", "a1.2", "a1.2.3.4", "a1.2.", "x.2.3", "a1.-2.3"] {
    ///     assert_eq!(TaskId::parse(text), None, "{text}");
    /// }
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let job = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        let attempt = parts.next()?.parse().ok()?;
        let is_complete = parts.next().is_none();
        is_complete.then_some(Self::new(job, index, attempt))
    }
}
