//! Teams of callers: their API keys, shares and caps, as declared by the operators.

use std::fmt;

use kspan_model::{Name, Resources};
use rustc_hash::FxHashMap;
use sha2::{Digest, Sha256};

/// Digest of an API key. Keys are looked up by digest, so that no state dump contains one and the time
/// of a look-up does not depend on how much of a key is right.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn new(key: &str) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// A team of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: Name,
    /// Digests of its API keys.
    pub keys: Vec<KeyDigest>,
    /// Share of the cell when it is full, relative to the other teams, and the rate of submissions
    /// that the team is entitled to, in jobs a second.
    pub weight: f64,
    /// Maximum of what the team's tasks may use together; `u64::MAX` where there is no limit.
    pub cap: Resources,
}

/// The declared teams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Teams {
    teams: Vec<Team>,
    by_key: FxHashMap<KeyDigest, usize>,
    by_name: FxHashMap<Name, usize>,
}

impl Teams {
    /// Creates the set of declared teams.
    pub fn new(teams: Vec<Team>) -> Self {
        let mut by_key = FxHashMap::default();
        let mut by_name = FxHashMap::default();
        for (ix, team) in teams.iter().enumerate() {
            by_key.extend(team.keys.iter().map(|key| (*key, ix)));
            by_name.insert(team.name.clone(), ix);
        }
        Self {
            teams,
            by_key,
            by_name,
        }
    }

    /// Returns the team with a name.
    pub fn get(&self, name: &Name) -> Option<&Team> {
        Some(&self.teams[*self.by_name.get(name)?])
    }

    /// Returns the team that a key belongs to.
    pub fn find_by_key(&self, key: &str) -> Option<&Team> {
        Some(&self.teams[*self.by_key.get(&KeyDigest::new(key))?])
    }

    /// Returns the declared teams.
    pub fn iter(&self) -> impl Iterator<Item = &Team> {
        self.teams.iter()
    }
}

/// Result of the check of a caller's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// The call is allowed, on behalf of this team if there is one.
    Granted(Option<Name>),
    /// The call carries no key, or one that no team has.
    UnknownKey,
}
