//! Decisions: what is sent where, when it is refused, and who may act for an upstream.
//!
//! Time and randomness come in as arguments and effects go out as values, so every decision can be
//! replayed from a seed and used behind another front end.

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
