//! A proxy on a loopback address between an instance and the store, which can cut it off.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Default)]
struct State {
    /// New connections are closed at once.
    refuses: AtomicBool,
    /// Connections up to this number are silent for good: nothing that either end sends arrives.
    silent_until: AtomicU64,
    count: AtomicU64,
    open: Mutex<Vec<(TcpStream, TcpStream)>>,
}

pub struct Proxy {
    pub addr: SocketAddr,
    state: Arc<State>,
}

impl Proxy {
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(listen).expect("cannot listen for the proxy");
        let addr = listener.local_addr().unwrap();
        let state = Arc::new(State::default());
        let s = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if s.refuses.load(Ordering::SeqCst) {
                    continue; // dropped, which closes it
                }
                let Ok(up) = TcpStream::connect(target) else { continue };
                let number = s.count.fetch_add(1, Ordering::SeqCst) + 1;
                let _ = (stream.set_nodelay(true), up.set_nodelay(true));
                let pair = (stream.try_clone().unwrap(), up.try_clone().unwrap());
                s.open.lock().unwrap().push(pair);
                let back = (up.try_clone().unwrap(), stream.try_clone().unwrap());
                let (s1, s2) = (s.clone(), s.clone());
                std::thread::spawn(move || copy(stream, up, number, &s1));
                std::thread::spawn(move || copy(back.0, back.1, number, &s2));
            }
        });
        Self { addr, state }
    }

    /// Resets all connections and refuses new ones, or ends that.
    pub fn set_cut(&self, cut: bool) {
        self.state.refuses.store(cut, Ordering::SeqCst);
        if cut {
            for (a, b) in self.state.open.lock().unwrap().drain(..) {
                let _ = (a.shutdown(Shutdown::Both), b.shutdown(Shutdown::Both));
            }
        }
    }

    /// From now on nothing passes on the connections that are open, which are not closed; new ones work.
    pub fn silence_open(&self) {
        self.state.silent_until.store(self.state.count.load(Ordering::SeqCst), Ordering::SeqCst);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, number: u64, state: &State) {
    let mut buf = vec![0; 64 << 10];
    loop {
        let n = from.read(&mut buf).unwrap_or(0);
        if number <= state.silent_until.load(Ordering::SeqCst) {
            if n == 0 {
                // the other end is told nothing either
                std::thread::sleep(Duration::from_secs(200));
                return;
            }
            continue;
        }
        if n == 0 || to.write_all(&buf[..n]).is_err() {
            let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
            return;
        }
    }
}
