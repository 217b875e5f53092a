//! The upstream side: connection pools, sends, the scatter of one request, and the state that requests share.

pub(crate) mod conns;
pub(crate) mod judge;
pub(crate) mod probe;
pub(crate) mod run;
pub(crate) mod scene;
pub(crate) mod send;
pub(crate) mod tier;
