//! Sockets, timers and the life cycle of the process: all code that waits.
//!
//! Each folder serves one counterpart, such as callers or peers; the files beside them are shared.

pub(crate) mod admission;
pub(crate) mod callers;
pub(crate) mod clock;
pub(crate) mod connection;
pub(crate) mod faults;
pub(crate) mod http;
pub(crate) mod metrics;
pub(crate) mod node;
pub(crate) mod operators;
pub(crate) mod peers;
pub(crate) mod process;
pub(crate) mod segments;
pub(crate) mod settings;
pub(crate) mod store;
pub(crate) mod supervisor;
pub(crate) mod upstreams;
