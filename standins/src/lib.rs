//! Stand-ins for the peers of the query tier: the platform, upstreams, callers and a load balancer.

pub mod crowd;
pub mod load;
pub mod platform;
pub mod requests;
pub mod rig;
pub mod scenario;
pub mod server;
pub mod standstills;
pub mod upstream;
pub mod usage;

/// Generates one async test per table of cases; each passes its table to `$run_all`.
#[macro_export]
macro_rules! groups {
    ($run_all:ident; $($name:ident: $cases:ident;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            $run_all($cases).await;
        }
    )*};
}
