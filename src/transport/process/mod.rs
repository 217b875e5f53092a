//! The life cycle of the daemon: flags, logging, start and stop.

pub(crate) mod daemon;
pub(crate) mod flags;
pub(crate) mod logging;
