//! HTTP/1.1 messages over plain sockets, for servers and for clients.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response that was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line: method, target and version, or version, status and reason.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }
}

/// A connection with the bytes that were read and not used.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 << 10];
        let read = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..read]);
        Ok(read > 0)
    }

    /// Reads a message; `None` at the end of the connection. `until_end` if a body without a length ends with it.
    pub fn read(&mut self, until_end: bool) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break end;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned())).collect();
        let mut message = Message { first, headers, body: Vec::new() };
        let is_chunked = message.header("transfer-encoding").is_some();
        let length = message.header("content-length").and_then(|l| l.parse::<usize>().ok());
        if is_chunked {
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.trim(), 16).map_err(|_| broken())?;
                self.need(size + 2)?;
                message.body.extend_from_slice(&self.buf[..size]);
                self.buf.drain(..size + 2);
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = length {
            self.need(length)?;
            message.body = self.buf.drain(..length).collect();
        } else if until_end {
            while self.fill()? {}
            message.body = std::mem::take(&mut self.buf);
        }
        Ok(Some(message))
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(broken());
            }
        }
    }

    fn need(&mut self, bytes: usize) -> io::Result<()> {
        while self.buf.len() < bytes {
            if !self.fill()? {
                return Err(broken());
            }
        }
        Ok(())
    }

    /// Writes a response with a length.
    pub fn respond(
        &mut self,
        status: u16,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

fn broken() -> io::Error {
    io::Error::other("the message broke off")
}

/// Accepts connections in a thread and serves each in a thread of its own.
pub fn listen(
    addr: SocketAddr,
    serve: impl Fn(Conn) + Clone + Send + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr)?;
    let addr = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(Conn::new(stream)));
        }
    });
    Ok(addr)
}

/// A client that keeps its connection as long as it stays open.
pub struct Client {
    addr: SocketAddr,
    conn: Option<Conn>,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, conn: None }
    }

    /// Sends a request and returns the response; the connection is not used again after an error.
    pub fn send(&mut self, request: &[u8], limit: Duration) -> io::Result<Message> {
        let deadline = Instant::now() + limit;
        let mut conn = match self.conn.take() {
            Some(conn) => conn,
            None => Conn::new(TcpStream::connect_timeout(&self.addr, Duration::from_secs(1))?),
        };
        conn.stream.set_read_timeout(Some(limit))?;
        conn.stream.write_all(request)?;
        let message = conn.read(true)?.ok_or_else(broken)?;
        if Instant::now() > deadline {
            return Err(io::Error::other("the answer came too late"));
        }
        let closes = message.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
        self.conn = (!closes && message.header("content-length").is_some()).then_some(conn);
        Ok(message)
    }
}
