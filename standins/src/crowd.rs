//! Callers that do not behave: connections that send bytes, whole or in pieces, and then stay open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// How long an ordinary caller tries again before it gives up.
const PATIENCE: Duration = Duration::from_secs(10);
/// Delay before an ordinary caller tries again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a crowd waits for its members to have sent what they send.
const SEND_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay before a connection that was reset while it was opened is tried again.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// What each member of a crowd sends.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// What is written, one piece after another.
    pub pieces: Vec<Bytes>,
    /// Pause after each piece but the last.
    pub pause: Duration,
}

impl Script {
    /// Writes all bytes at once.
    pub fn at_once(bytes: impl Into<Bytes>) -> Self {
        Self { pieces: vec![bytes.into()], ..Default::default() }
    }

    /// Writes the bytes in pieces of a size, with a pause after each.
    pub fn in_pieces(bytes: impl Into<Bytes>, size: usize, pause: Duration) -> Self {
        let bytes = bytes.into();
        let starts = (0..bytes.len()).step_by(size);
        let pieces = starts.map(|start| bytes.slice(start..bytes.len().min(start + size)));
        Self { pieces: pieces.collect(), pause }
    }
}

/// A request whose body does not come to its end, or does.
#[derive(Clone, Debug)]
pub struct BodyScript {
    /// The request line and all headers but those of the framing, each with its line end.
    pub head: String,
    /// Size of the body, in bytes.
    pub size: usize,
    /// Bytes at the end that are not sent, those of the framing included.
    pub missing: usize,
}

impl BodyScript {
    /// Returns the request with a length.
    pub fn sized(&self) -> Vec<u8> {
        let head = format!("{}content-length: {}\r\n\r\n", self.head, self.size);
        self.cut([head.as_bytes(), &vec![b'x'; self.size]].concat())
    }

    /// Returns the request in chunks of `chunk` bytes.
    pub fn chunked(&self, chunk: usize) -> Vec<u8> {
        let one = [format!("{chunk:x}\r\n").as_bytes(), &vec![b'x'; chunk], b"\r\n"].concat();
        let mut bytes = format!("{}transfer-encoding: chunked\r\n\r\n", self.head).into_bytes();
        bytes.extend(one.repeat(self.size / chunk));
        bytes.extend(b"0\r\n\r\n");
        self.cut(bytes)
    }

    fn cut(&self, mut bytes: Vec<u8>) -> Vec<u8> {
        bytes.truncate(bytes.len() - self.missing);
        bytes
    }
}

/// Returns the handshake of a link between instances, and `sent` of the `stated` bytes of its first message.
pub fn unfinished_message(stated: u64, sent: usize) -> Script {
    let handshake = "GET /peer HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: websocket\r\n\
        sec-websocket-version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    // a binary message, masked with zeros (RFC 6455, section 5.2)
    let mut message = vec![0x82, 0xff];
    message.extend(stated.to_be_bytes());
    message.extend([0; 4]);
    message.extend(vec![b'x'; sent]);
    Script { pieces: vec![handshake.into(), message.into()], pause: Duration::from_millis(200) }
}

/// Open connections that have sent their bytes, or were closed; dropping it closes them.
pub struct Crowd {
    members: JoinSet<()>,
}

impl Crowd {
    /// Opens a connection for each script at the same time, and returns some time after all have sent their bytes, were closed,
    /// or do not get on. No member reads what it is sent.
    pub async fn open(
        addr: SocketAddr,
        scripts: impl Iterator<Item = Script>,
        stay: Duration,
    ) -> Self {
        let (settled, mut members, mut size) = (Arc::new(AtomicUsize::new(0)), JoinSet::new(), 0);
        for script in scripts {
            size += 1;
            let settled = settled.clone();
            members.spawn(async move {
                let stream = play(addr, &script).await;
                settled.fetch_add(1, Ordering::Relaxed);
                if let Some(stream) = stream {
                    std::future::pending::<()>().await;
                    drop(stream);
                }
            });
        }
        let deadline = Instant::now() + SEND_TIMEOUT;
        while settled.load(Ordering::Relaxed) < size && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        tokio::time::sleep(stay).await;
        Self { members }
    }

    /// Closes all connections.
    pub async fn close(mut self) {
        self.members.shutdown().await;
    }
}

/// Sends an ordinary request until it is answered, as callers do; returns whether it was.
pub async fn is_served(is_answered: impl AsyncFn() -> bool) -> bool {
    let deadline = Instant::now() + PATIENCE;
    while Instant::now() < deadline {
        if is_answered().await {
            return true;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    false
}

/// Opens a connection and sends the script; `None` if the connection was closed before.
async fn play(addr: SocketAddr, script: &Script) -> Option<TcpStream> {
    let mut stream = loop {
        match TcpStream::connect(addr).await {
            Ok(stream) => break stream,
            Err(_) => tokio::time::sleep(RECONNECT_DELAY).await,
        }
    };
    send(&mut stream, script).await.ok()?;
    Some(stream)
}

/// Sends the pieces of a script.
pub async fn send(stream: &mut TcpStream, script: &Script) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut pieces = script.pieces.iter().peekable();
    while let Some(bytes) = pieces.next() {
        stream.write_all(bytes).await?;
        if pieces.peek().is_some() && !script.pause.is_zero() {
            tokio::time::sleep(script.pause).await;
        }
    }
    Ok(())
}
