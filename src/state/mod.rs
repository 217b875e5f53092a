//! Plain types and tables: time, keys, arenas, configuration, routes, topology, members, documents.
//!
//! This layer uses no sockets, codecs or wall clock.

pub(crate) mod arena;
pub(crate) mod beliefs;
pub(crate) mod catalog;
pub(crate) mod docs;
pub(crate) mod findings;
pub(crate) mod fleet;
pub(crate) mod hash;
pub(crate) mod members;
pub(crate) mod name_interner;
pub(crate) mod named_map;
pub(crate) mod routes;
pub(crate) mod sharded_map;
pub(crate) mod snapshot_range;
pub(crate) mod ticket;
pub(crate) mod time;
pub(crate) mod topology;
