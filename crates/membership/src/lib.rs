//! Heartbeats, views, ownership and key homes.
