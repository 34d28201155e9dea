//! Runner choice, limits, retries and idempotency keys.
