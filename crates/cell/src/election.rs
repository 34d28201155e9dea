//! Decides when a process claims the cell.
//!
//! The owner sends heartbeats to all processes and appends heartbeats to the topic of claims. A
//! process claims the cell if neither it nor another process receives heartbeats and the topic has
//! not grown for a while. The claim is a conditional append, which succeeds only if the topic's end
//! is unchanged. Safety does not depend on these conditions: runners and the store refuse requests
//! with any but the highest fence.

use kspan_model::Millis;

use crate::{message::Member, precedence};

#[cfg(test)]
mod tests;

/// Time without a heartbeat after which the owner is suspected.
const SUSPICION_TIMEOUT: Millis = Millis(900);

/// Time without a heartbeat after which the owner is suspected if the connection to it is broken.
const DISCONNECTED_SUSPICION_TIMEOUT: Millis = Millis(250);

/// Time without a heartbeat after which the topic of claims is observed, two heartbeats. The evidence is
/// then complete soon after the owner is suspected.
const OBSERVATION_TIMEOUT: Millis = Millis(500);

/// Time after its start at which a process that received no heartbeat suspects the owner that the topic of
/// claims names. A living owner sends it a heartbeat sooner.
const STARTUP_SUSPICION_TIMEOUT: Millis = Millis(600);

/// Additional time for each process that precedes this one in the order of successors.
const RANK_DELAY: Millis = Millis(150);

/// Time for which the end of the topic of claims must be unchanged before a claim.
const MIN_UNCHANGED_TIME: Millis = Millis(550);

/// Owner known from a heartbeat or from the topic of claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KnownOwner {
    /// Fence of the owner.
    pub(crate) fence: u64,
    /// Process that is the owner.
    pub(crate) member: Member,
}

/// How far the owner's heartbeats are overdue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Suspicion {
    /// Heartbeats arrive.
    None,
    /// Heartbeats are overdue; the topic of claims has to be observed.
    Possible,
    /// The owner may be replaced if the topic of claims confirms that it has failed.
    Confirmed,
}

/// End of the topic of claims, and since when it is unchanged.
#[derive(Clone, Copy, Debug)]
struct Observation {
    since: Millis,
    end: u64,
}

/// Election state of a process.
#[derive(Clone, Debug)]
pub(crate) struct Election {
    local: Member,
    known: Option<KnownOwner>,
    last_heartbeat: Millis,
    /// Whether a heartbeat has arrived since the start of the process.
    has_received_heartbeat: bool,
    observation: Option<Observation>,
    /// Highest fence whose ownership this process has released.
    released_fence: u64,
}

/// State of the topic of claims.
#[derive(Clone, Debug)]
pub(crate) struct Claims {
    /// Owner by the newest claim.
    pub(crate) owner: Option<KnownOwner>,
    /// Members that the owner knew.
    pub(crate) members: Vec<Member>,
    /// End offset of the topic.
    pub(crate) end: u64,
    /// Whether that owner ends once neither the store nor a member confirms it.
    pub(crate) ends_when_isolated: bool,
}

/// Next step of the election after the topic of claims was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Wait and read the claims again later.
    Wait,
    /// Query the other processes, and claim if none of them receives the owner's heartbeats.
    QueryOthers,
    /// Claim without querying the others.
    Claim,
    /// The newest claim, with this fence, is this process's own.
    AlreadyOwner(u64),
}

impl Election {
    /// Creates the state of a process without a known owner.
    pub(crate) fn new(local: Member, now: Millis) -> Self {
        Self {
            local,
            known: None,
            last_heartbeat: now,
            has_received_heartbeat: false,
            observation: None,
            released_fence: 0,
        }
    }

    /// Returns the newest known owner.
    pub(crate) fn owner(&self) -> Option<&KnownOwner> {
        self.known.as_ref()
    }

    /// Returns the time since the owner's last heartbeat.
    pub(crate) fn silence(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last_heartbeat)
    }

    /// Records a heartbeat, unless it is from an older owner than the known one. Returns whether it
    /// changed the known owner.
    pub(crate) fn record_heartbeat(&mut self, now: Millis, fence: u64, owner: &Member) -> bool {
        let newest = self.known.as_ref().map_or(0, |known| known.fence);
        if fence < newest {
            return false;
        }
        self.last_heartbeat = now;
        self.has_received_heartbeat = true;
        self.observation = None;
        let member = owner.clone();
        let known = Some(KnownOwner { fence, member });
        let is_new = self.known != known;
        self.known = known;
        is_new
    }

    /// Records that this process released its ownership with this fence.
    pub(crate) fn record_release(&mut self, now: Millis, fence: u64) {
        self.released_fence = self.released_fence.max(fence);
        self.last_heartbeat = now;
    }

    /// Returns whether the owner is suspected.
    pub(crate) fn suspicion(
        &self,
        now: Millis,
        members: &[Member],
        is_connected: bool,
    ) -> Suspicion {
        let Some(known) = &self.known else {
            return Suspicion::Confirmed;
        };
        let (observed, suspected) = if !self.has_received_heartbeat {
            (Millis::ZERO, STARTUP_SUSPICION_TIMEOUT)
        } else if is_connected {
            (OBSERVATION_TIMEOUT, SUSPICION_TIMEOUT)
        } else {
            (
                DISCONNECTED_SUSPICION_TIMEOUT,
                DISCONNECTED_SUSPICION_TIMEOUT,
            )
        };
        let owner = &known.member.node;
        let rank = precedence::rank(&self.local.node, owner, known.fence, members);
        let silence = self.silence(now);
        let delay = Millis(RANK_DELAY.0 * rank);
        if silence >= suspected + delay {
            Suspicion::Confirmed
        } else if silence >= observed + delay {
            Suspicion::Possible
        } else {
            Suspicion::None
        }
    }

    /// Determines the next step from the state of the topic of claims.
    pub(crate) fn evaluate_claims(
        &mut self,
        now: Millis,
        claims: &Claims,
        suspicion: Suspicion,
    ) -> Step {
        let Some(owner) = &claims.owner else {
            let waited = now.saturating_sub(self.last_heartbeat);
            let may_claim = waited >= precedence::first_claim_delay(&self.local);
            return if may_claim { Step::Claim } else { Step::Wait };
        };
        if owner.member == self.local {
            return if owner.fence > self.released_fence {
                Step::AlreadyOwner(owner.fence)
            } else {
                Step::Claim
            };
        }
        if owner.member.node == self.local.node {
            // The owner was an earlier incarnation of this process.
            return Step::Claim;
        }
        let newest = self.known.as_ref().map_or(0, |known| known.fence);
        if owner.fence > newest {
            let is_first_owner = self.known.is_none();
            self.known = Some(owner.clone());
            if !is_first_owner {
                self.last_heartbeat = now;
            }
        }
        match self.observation {
            Some(observation) if observation.end == claims.end => {
                let is_unchanged = now.saturating_sub(observation.since) >= MIN_UNCHANGED_TIME;
                if is_unchanged && suspicion == Suspicion::Confirmed {
                    Step::QueryOthers
                } else {
                    Step::Wait
                }
            }
            _ => {
                self.observation = Some(Observation {
                    since: now,
                    end: claims.end,
                });
                Step::Wait
            }
        }
    }
}
