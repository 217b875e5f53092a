//! Clients of the platform's store, over HTTP and in memory, and the tasks that watch it.

pub(crate) mod http;
pub(crate) mod memory;
pub(crate) mod watches;
