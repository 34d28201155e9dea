//! Placement, queues, quotas and gangs.
