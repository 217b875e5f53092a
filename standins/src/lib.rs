//! Small stand-ins for what the query tier meets: the platform, upstreams, callers and a balancer.

pub mod load;
pub mod platform;
pub mod requests;
pub mod rig;
pub mod scenario;
pub mod server;
pub mod upstream;

/// Makes a test of each table of cases, run by one function.
#[macro_export]
macro_rules! groups {
    ($run_all:ident; $($name:ident: $cases:ident;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            $run_all($cases).await;
        }
    )*};
}
