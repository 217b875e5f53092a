//! Towards callers: the listener, requests passed on by routes, and the product's own interface.

pub(crate) mod front;
pub(crate) mod hand;
pub(crate) mod once;
pub(crate) mod own;
pub(crate) mod pass;
pub(crate) mod query;
