//! Plain types and tables: time, keys, arenas, configuration, routes, servers, members, documents.
//!
//! Nothing here names a socket, a codec or a wall clock.

pub(crate) mod arena;
pub(crate) mod catalog;
pub(crate) mod docs;
pub(crate) mod entries;
pub(crate) mod findings;
pub(crate) mod fleet;
pub(crate) mod hash;
pub(crate) mod members;
pub(crate) mod named;
pub(crate) mod names;
pub(crate) mod news;
pub(crate) mod picture;
pub(crate) mod routes;
pub(crate) mod sharded;
pub(crate) mod ticket;
pub(crate) mod time;
