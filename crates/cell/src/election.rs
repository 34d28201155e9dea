//! When a process claims the cell.
//!
//! The owner beats to all and moves the topic of claims while it lives. A process claims when it
//! hears no beat, nobody else does, and the topic has not moved for a while; the claim itself
//! holds only if the topic still ends where it was seen. Safety does not rest on any of this:
//! runners and the store refuse orders of all owners but the newest.

use kspan_model::Millis;

use crate::{message::Member, precedence};

/// Silence of the owner that starts suspicion.
const SILENCE: Millis = Millis(900);

/// Silence that starts suspicion where the connection to the owner has broken.
const SILENCE_AFTER_BREAK: Millis = Millis(250);

/// Further silence for each process that goes first.
const RANK_STEP: Millis = Millis(150);

/// How long the topic of claims must not have moved.
const STILLNESS: Millis = Millis(550);

/// Owner that was heard or read of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KnownOwner {
    /// Its fence.
    pub(crate) fence: u64,
    /// The process.
    pub(crate) member: Member,
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    since: Millis,
    end: u64,
}

/// What a process knows about the owner.
#[derive(Clone, Debug)]
pub(crate) struct Election {
    me: Member,
    known: Option<KnownOwner>,
    heard: Millis,
    suspicion: Option<Suspicion>,
    /// Highest fence that this process has given up.
    given_up: u64,
}

/// The topic of claims as it was read.
#[derive(Clone, Debug)]
pub(crate) struct Claims {
    /// Newest claim.
    pub(crate) owner: Option<KnownOwner>,
    /// End of the topic.
    pub(crate) end: u64,
}

/// What to do after the topic of claims was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Nothing yet.
    Wait,
    /// Ask the others, and claim where none of them hears the owner.
    AskOthers,
    /// Claim at once.
    Claim,
    /// This process owns the cell with this fence already.
    Own(u64),
}

impl Election {
    /// Creates the state of a process that knows no owner.
    pub(crate) fn new(me: Member, now: Millis) -> Self {
        Self {
            me,
            known: None,
            heard: now,
            suspicion: None,
            given_up: 0,
        }
    }

    /// Returns the owner.
    pub(crate) fn owner(&self) -> Option<&KnownOwner> {
        self.known.as_ref()
    }

    /// Returns for how long the owner has been silent.
    pub(crate) fn silence(&self, now: Millis) -> Millis {
        now.saturating_sub(self.heard)
    }

    /// Takes in a sign of life. Returns whether the owner is a new one.
    pub(crate) fn heard(&mut self, now: Millis, fence: u64, owner: &Member) -> bool {
        let newest = self.known.as_ref().map_or(0, |known| known.fence);
        if fence < newest {
            return false;
        }
        self.heard = now;
        self.suspicion = None;
        let member = owner.clone();
        let known = Some(KnownOwner { fence, member });
        let is_new = self.known != known;
        self.known = known;
        is_new
    }

    /// Notes that this process gives up its ownership.
    pub(crate) fn gave_up(&mut self, now: Millis, fence: u64) {
        self.given_up = self.given_up.max(fence);
        self.heard = now;
    }

    /// Returns whether the owner is suspect, so that the claims have to be read.
    pub(crate) fn is_suspect(&self, now: Millis, members: &[Member], is_linked: bool) -> bool {
        let Some(known) = &self.known else {
            return true;
        };
        let silence = if is_linked {
            SILENCE
        } else {
            SILENCE_AFTER_BREAK
        };
        let owner = &known.member.node;
        let rank = precedence::rank(&self.me.node, owner, known.fence, members);
        self.silence(now) >= silence + Millis(RANK_STEP.0 * rank)
    }

    /// Decides after the topic of claims was read.
    pub(crate) fn read(&mut self, now: Millis, claims: &Claims) -> Step {
        let Some(owner) = &claims.owner else {
            let waited = now.saturating_sub(self.heard);
            let may_claim = waited >= precedence::first_claim_wait(&self.me);
            return if may_claim { Step::Claim } else { Step::Wait };
        };
        if owner.member == self.me {
            return if owner.fence > self.given_up {
                Step::Own(owner.fence)
            } else {
                Step::Claim
            };
        }
        if owner.member.node == self.me.node {
            // The owner was an earlier life of this process.
            return Step::Claim;
        }
        let newest = self.known.as_ref().map_or(0, |known| known.fence);
        if owner.fence > newest {
            let booting = self.known.is_none();
            self.known = Some(owner.clone());
            if !booting {
                self.heard = now;
            }
        }
        match self.suspicion {
            Some(seen) if seen.end == claims.end => {
                let still = now.saturating_sub(seen.since) >= STILLNESS;
                if still { Step::AskOthers } else { Step::Wait }
            }
            _ => {
                self.suspicion = Some(Suspicion {
                    since: now,
                    end: claims.end,
                });
                Step::Wait
            }
        }
    }
}
