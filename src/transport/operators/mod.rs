//! Serves operators: the listener, ticket submission and the command line tool.

pub(crate) mod command;
pub(crate) mod listener;
pub(crate) mod submit;
