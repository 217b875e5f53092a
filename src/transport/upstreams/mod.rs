//! The upstream side: connection pools, sends, the scatter of one request, and the state that requests share.

pub(crate) mod connection_pool;
pub(crate) mod context;
pub(crate) mod outcome;
pub(crate) mod probe;
pub(crate) mod run;
pub(crate) mod send;
pub(crate) mod tier;
pub(crate) mod warm;
