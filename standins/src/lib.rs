//! Small stand-ins for what the query tier meets: the platform, upstreams, callers and a balancer.

pub mod load;
pub mod platform;
pub mod requests;
pub mod rig;
pub mod scenario;
pub mod server;
pub mod upstream;
