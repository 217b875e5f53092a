//! A proxy on a loopback address between an instance and the store, which can cut it off.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

extern "C" {
    /// `connect` of the C library, which the standard library links.
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

/// Resets a connection: to connect it to the unspecified family sends a reset at once, whatever else holds the socket.
fn reset(stream: &TcpStream) {
    const AF_UNSPEC: [u8; 16] = [0; 16];
    // SAFETY: the descriptor is open while `stream` is borrowed, and the address is 16 bytes long.
    if unsafe { connect(stream.as_raw_fd(), AF_UNSPEC.as_ptr(), 16) } != 0 {
        let _ = stream.shutdown(Shutdown::Both);
    }
}

#[derive(Default)]
struct State {
    /// The port has no listener, which resets new connections.
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
        std::thread::spawn(move || accept(listener, addr, target, &s));
        Self { addr, state }
    }

    /// Resets all connections and refuses new ones, or ends that.
    pub fn set_cut(&self, cut: bool) {
        self.state.refuses.store(cut, Ordering::SeqCst);
        if cut {
            for (a, b) in self.state.open.lock().unwrap().drain(..) {
                reset(&a);
                reset(&b);
            }
        }
    }

    /// From now on nothing passes on the connections that are open, which are not closed; new ones work.
    pub fn silence_open(&self) {
        self.state.silent_until.store(self.state.count.load(Ordering::SeqCst), Ordering::SeqCst);
    }
}

fn accept(mut listener: TcpListener, addr: SocketAddr, target: SocketAddr, state: &Arc<State>) {
    loop {
        listener.set_nonblocking(true).expect("cannot set the listener's mode");
        while !state.refuses.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => forward(stream, target, state),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    std::thread::sleep(Duration::from_millis(1));
                }
                Err(_) => {}
            }
        }
        drop(listener);
        while state.refuses.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(2));
        }
        listener = loop {
            match TcpListener::bind(addr) {
                Ok(listener) => break listener,
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        };
    }
}

fn forward(stream: TcpStream, target: SocketAddr, state: &Arc<State>) {
    let _ = stream.set_nonblocking(false);
    let Ok(up) = TcpStream::connect(target) else { return };
    let number = state.count.fetch_add(1, Ordering::SeqCst) + 1;
    let _ = (stream.set_nodelay(true), up.set_nodelay(true));
    let (Ok(stream2), Ok(up2)) = (stream.try_clone(), up.try_clone()) else { return };
    if let (Ok(a), Ok(b)) = (stream.try_clone(), up.try_clone()) {
        state.open.lock().unwrap().push((a, b));
    }
    let (s1, s2) = (state.clone(), state.clone());
    std::thread::spawn(move || copy(stream, up, number, &s1));
    std::thread::spawn(move || copy(up2, stream2, number, &s2));
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
