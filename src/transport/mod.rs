//! Sockets, timers and the life of the process: everything that waits.

pub(crate) mod beats;
pub(crate) mod caller_http;
pub(crate) mod choices;
pub(crate) mod clock;
pub(crate) mod daemon;
pub(crate) mod dispatch;
pub(crate) mod entry;
pub(crate) mod faults;
pub(crate) mod http;
pub(crate) mod links;
pub(crate) mod logging;
pub(crate) mod membership;
pub(crate) mod metrics;
pub(crate) mod node;
pub(crate) mod once_request;
pub(crate) mod operate;
pub(crate) mod operator_http;
pub(crate) mod peer_server;
pub(crate) mod platform_http;
pub(crate) mod platform_memory;
pub(crate) mod reports;
pub(crate) mod settings;
pub(crate) mod steward;
pub(crate) mod submit;
pub(crate) mod upstream_http;
pub(crate) mod watches;
