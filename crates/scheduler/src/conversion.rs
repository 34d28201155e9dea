//! Conversions between domain types and the bodies of worker exchanges.

use kspan_contract::protocol::worker::{self as protocol, Refusal, Size, Token};
use kspan_model::{Fence, Resources};
use kspan_placement::{End, StartRefusal, TaskState};

/// Converts resources to their exchange format.
pub const fn to_size(amount: Resources) -> Size {
    Size {
        cpu_milli: amount.cpu_milli,
        memory_mib: amount.memory_mib,
        accelerators: amount.accelerators,
    }
}

/// Converts resources from their exchange format.
pub const fn to_resources(size: Size) -> Resources {
    Resources::new(size.cpu_milli, size.memory_mib, size.accelerators)
}

/// Converts a fencing token to its exchange format.
pub const fn to_token(fence: Fence) -> Token {
    Token {
        view: fence.view,
        rank: fence.rank,
    }
}

/// Converts a fencing token from its exchange format.
pub const fn to_fence(token: Token) -> Fence {
    Fence::new(token.view, token.rank)
}

/// Returns the state of a task that occupies its worker, or `None` if it has ended.
pub const fn active_state(state: protocol::TaskState) -> Option<TaskState> {
    match state {
        protocol::TaskState::Starting => Some(TaskState::Starting),
        protocol::TaskState::Running => Some(TaskState::Running),
        protocol::TaskState::Stopping => Some(TaskState::Stopping),
        _ => None,
    }
}

/// Returns how a task ended, or `None` while it occupies its worker.
pub const fn to_end(state: protocol::TaskState) -> Option<End> {
    match state {
        protocol::TaskState::Succeeded => Some(End::Succeeded),
        protocol::TaskState::Failed => Some(End::Failed),
        protocol::TaskState::Stopped => Some(End::Stopped),
        protocol::TaskState::Checkpointed => Some(End::Checkpointed),
        protocol::TaskState::LeaseLapsed => Some(End::LeaseLapsed),
        _ => None,
    }
}

/// Converts the refusal of a start order.
pub const fn to_start_refusal(refusal: Refusal) -> StartRefusal {
    match refusal {
        Refusal::NoCapacity | Refusal::NoSuchTask => StartRefusal::NoCapacity,
        Refusal::TooLate => StartRefusal::TooLate,
        Refusal::Leaving => StartRefusal::Leaving,
    }
}
