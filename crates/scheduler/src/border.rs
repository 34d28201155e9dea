//! Conversions between domain types and the bodies of workers' exchanges.

use kspan_contract::protocol::worker::{self as border, Refusal, Size, Token};
use kspan_model::{Fence, JobId, Resources, TaskId};
use kspan_placement::{End, StartRefusal, TaskState};

/// Converts an amount to the border.
pub const fn size(amount: Resources) -> Size {
    Size {
        cpu_milli: amount.cpu_milli,
        memory_mib: amount.memory_mib,
        accelerators: amount.accelerators,
    }
}

/// Converts an amount from the border.
pub const fn resources(size: Size) -> Resources {
    Resources::new(size.cpu_milli, size.memory_mib, size.accelerators)
}

/// Converts a token to the border.
pub const fn token(fence: Fence) -> Token {
    Token {
        view: fence.view,
        rank: fence.rank,
    }
}

/// Converts a token from the border.
pub const fn fence(token: Token) -> Fence {
    Fence::new(token.view, token.rank)
}

/// Parses a task id, `job.index.attempt`; none where it is not one of this system's.
pub fn task_id(text: &str) -> Option<TaskId> {
    let mut parts = text.split('.');
    let job: JobId = parts.next()?.parse().ok()?;
    let index = parts.next()?.parse().ok()?;
    let attempt = parts.next()?.parse().ok()?;
    parts
        .next()
        .is_none()
        .then_some(TaskId::new(job, index, attempt))
}

/// Returns the state of a task that holds its worker; none once it has ended.
pub const fn held_state(state: border::TaskState) -> Option<TaskState> {
    match state {
        border::TaskState::Starting => Some(TaskState::Starting),
        border::TaskState::Running => Some(TaskState::Running),
        border::TaskState::Stopping => Some(TaskState::Stopping),
        _ => None,
    }
}

/// Returns how a task ended; none while it holds its worker.
pub const fn end(state: border::TaskState) -> Option<End> {
    match state {
        border::TaskState::Succeeded => Some(End::Succeeded),
        border::TaskState::Failed => Some(End::Failed),
        border::TaskState::Stopped => Some(End::Stopped),
        border::TaskState::Checkpointed => Some(End::Checkpointed),
        border::TaskState::LeaseLapsed => Some(End::LeaseLapsed),
        _ => None,
    }
}

/// Converts the refusal of a start.
pub const fn start_refusal(refusal: Refusal) -> StartRefusal {
    match refusal {
        Refusal::NoCapacity | Refusal::NoSuchTask => StartRefusal::NoCapacity,
        Refusal::TooLate => StartRefusal::TooLate,
        Refusal::Leaving => StartRefusal::Leaving,
    }
}
