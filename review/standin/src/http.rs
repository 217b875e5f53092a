//! HTTP/1.1 with blocking sockets: what the stand-ins need of it, and no more.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Debug, Default, Clone)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn bad(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

fn read_line(r: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut buf = Vec::new();
    if r.read_until(b'\n', &mut buf)? == 0 {
        return Ok(None);
    }
    while matches!(buf.last(), Some(b'\n' | b'\r')) {
        buf.pop();
    }
    Ok(Some(String::from_utf8_lossy(&buf).into_owned()))
}

/// Reads a message with a stated length, in chunks or without a body; `None` at the end of the connection.
pub fn read_message(r: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(start) = read_line(r)? else { return Ok(None) };
    let mut m = Message { start, ..Message::default() };
    loop {
        let line = read_line(r)?.ok_or_else(|| bad("the head ended early"))?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("header without a colon"))?;
        m.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    if m.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let size = read_line(r)?.ok_or_else(|| bad("the body ended early"))?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| bad("chunk size"))?;
            let mut chunk = vec![0; size];
            r.read_exact(&mut chunk)?;
            m.body.extend(chunk);
            read_line(r)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = m.header("content-length").and_then(|v| v.parse().ok()) {
        m.body = vec![0; length];
        r.read_exact(&mut m.body)?;
    }
    Ok(Some(m))
}

/// Writes a response with a stated length.
pub fn write_response(
    w: &mut impl Write,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status} Reason\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    w.write_all(&bytes)?;
    w.flush()
}

/// A connection of a client, which may be used for several requests in turn.
pub struct Conn {
    reader: BufReader<TcpStream>,
}

impl Conn {
    pub fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    pub fn request(
        &mut self,
        head: &str,
        headers: &[(&str, String)],
        body: &[u8],
        wait: Duration,
    ) -> io::Result<Message> {
        let deadline = Instant::now() + wait;
        let mut out = format!("{head} HTTP/1.1\r\n");
        for (name, value) in headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() {
            out.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        out.push_str("\r\n");
        let mut bytes = out.into_bytes();
        bytes.extend_from_slice(body);
        self.reader.get_mut().write_all(&bytes)?;
        let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        self.reader.get_ref().set_read_timeout(Some(left))?;
        read_message(&mut self.reader)?.ok_or_else(|| bad("closed without an answer"))
    }
}
