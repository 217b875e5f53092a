//! Decision logic: routing, hedging and retries, admission, and claims on idempotency keys.
//!
//! Time and randomness are passed in as arguments and effects are returned as values, so every decision
//! can be replayed from a seed and used by another front end.

pub(crate) mod attempt;
pub(crate) mod caller_budget;
pub(crate) mod connection;
pub(crate) mod division;
pub(crate) mod doc_fetch;
pub(crate) mod domain_health;
pub(crate) mod gatherers;
pub(crate) mod grace;
pub(crate) mod lag;
pub(crate) mod latency_histogram;
pub(crate) mod lifecycle;
pub(crate) mod limiter;
pub(crate) mod list_walk;
pub(crate) mod once;
pub(crate) mod outlier;
pub(crate) mod peer_clock;
pub(crate) mod query;
pub(crate) mod rate_limit;
pub(crate) mod reachability;
pub(crate) mod retry_budget;
pub(crate) mod return_times;
pub(crate) mod round_robin;
pub(crate) mod scatter;
pub(crate) mod server_notices;
pub(crate) mod server_stats;
pub(crate) mod shares;
pub(crate) mod sliding_window;
pub(crate) mod snapshot;
pub(crate) mod store_era;
pub(crate) mod store_mirror;
pub(crate) mod supervision;
pub(crate) mod tickets;
pub(crate) mod top_records;
pub(crate) mod warming;
