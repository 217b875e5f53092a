//! Stand-ins on loopback addresses, with the standard library alone: the platform's store, servers, clients,
//! the platform's balancer, a proxy between them, and the instances as child processes.

pub mod client;
pub mod config;
pub mod http;
pub mod instance;
pub mod json;
pub mod proxy;
pub mod record;
pub mod server;
pub mod store;

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// Exit code: the rule held.
pub const HELD: i32 = 0;
/// Exit code: the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code: the case could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// Host of all routes.
pub const HOST: &str = "deck.example";

/// Returns whether the disruption is played (`TROUBLE` is not 0).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Returns an unused loopback address; those of two runs at the same time differ.
pub fn next_ip() -> IpAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, 64 + (pid >> 8) as u8 % 60, pid as u8, n as u8))
}

/// Returns free ports of an address, all different.
pub fn free_ports<const N: usize>(ip: IpAddr) -> [u16; N] {
    let listeners = [(); N].map(|()| TcpListener::bind((ip, 0)).expect("a free port"));
    listeners.each_ref().map(|l| l.local_addr().expect("an address").port())
}

/// Opens a listener on a new loopback address.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((next_ip(), 0)).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}
