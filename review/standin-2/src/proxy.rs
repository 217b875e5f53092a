//! A proxy between instances and the store. Its open connections can go silent for good, without a reset, while new ones
//! work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use crate::listen;

#[derive(Clone)]
pub struct Proxy {
    pub addr: SocketAddr,
    opened: Arc<AtomicU64>,
    /// Connections with a lower number are silent.
    silent_below: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> Self {
        let (listener, addr) = listen();
        let proxy = Self { addr, opened: Arc::default(), silent_below: Arc::default() };
        let serving = proxy.clone();
        thread::spawn(move || {
            for from in listener.incoming().flatten() {
                let Ok(to) = TcpStream::connect(to) else { continue };
                let _ = (from.set_nodelay(true), to.set_nodelay(true));
                let number = serving.opened.fetch_add(1, Ordering::SeqCst);
                for (a, b) in [(&from, &to), (&to, &from)] {
                    let (Ok(a), Ok(b)) = (a.try_clone(), b.try_clone()) else { continue };
                    let proxy = serving.clone();
                    thread::spawn(move || proxy.pump(number, a, b));
                }
            }
        });
        proxy
    }

    /// Makes all open connections silent: what is sent on them from now on is lost, and neither end is told.
    pub fn silence(&self) -> u64 {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_below.store(opened, Ordering::SeqCst);
        opened
    }

    fn pump(&self, number: u64, mut from: TcpStream, mut to: TcpStream) {
        let mut buf = [0; 16 << 10];
        loop {
            let n = from.read(&mut buf).unwrap_or(0);
            if number < self.silent_below.load(Ordering::SeqCst) {
                if n == 0 {
                    return; // the end is not passed on either
                }
                continue;
            }
            if n == 0 || to.write_all(&buf[..n]).is_err() {
                let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
                return;
            }
        }
    }
}
