//! Decision logic: routing, hedging and retries, admission, and claims on idempotency keys.
//!
//! Time and randomness are passed in as arguments and effects are returned as values, so every decision
//! can be replayed from a seed and used by another front end.

pub(crate) mod attempt;
pub(crate) mod darkness;
pub(crate) mod extras;
pub(crate) mod gatherers;
pub(crate) mod lag;
pub(crate) mod learned;
pub(crate) mod lifecycle;
pub(crate) mod limiter;
pub(crate) mod once;
pub(crate) mod outlier;
pub(crate) mod quantile;
pub(crate) mod query;
pub(crate) mod reach;
pub(crate) mod scatter;
pub(crate) mod shares;
pub(crate) mod sliding_window;
pub(crate) mod snapshot;
pub(crate) mod split;
pub(crate) mod tickets;
pub(crate) mod top;
