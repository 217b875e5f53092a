//! Towards callers: the listener, requests passed on by routes, and the product's own interface.

pub(crate) mod api;
pub(crate) mod forward;
pub(crate) mod frontend;
pub(crate) mod once;
pub(crate) mod proxy;
pub(crate) mod query;
