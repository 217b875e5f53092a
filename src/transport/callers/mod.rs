//! Communication with callers: the listener, the reverse proxy for routes, and the HTTP API.

pub(crate) mod api;
pub(crate) mod divide;
pub(crate) mod forward;
pub(crate) mod frontend;
pub(crate) mod once;
pub(crate) mod proxy;
pub(crate) mod query;
