//! Messages and codecs for callers, upstreams, peers, the platform and operators.

pub(crate) mod caller;
pub(crate) mod codec;
pub(crate) mod dump;
pub(crate) mod encoded;
pub(crate) mod frames;
pub(crate) mod gather;
pub(crate) mod peer;
pub(crate) mod platform;
pub(crate) mod rate_limit;
pub(crate) mod retry_after;
pub(crate) mod upstream;
pub(crate) mod uri;
