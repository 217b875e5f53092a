//! A small HTTP/1.1 reader and writer for blocking sockets.

use std::io::{self, Read, Write};

/// A message; `start` is its first line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or_default()
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the path of a request, with its query.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads messages from a socket and keeps what belongs to the next one.
pub struct Reader<R> {
    inner: R,
    buf: Vec<u8>,
}

impl<R: Read> Reader<R> {
    pub fn new(inner: R) -> Self {
        Self { inner, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let n = self.inner.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..end + 2).take(end).collect();
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take_bytes(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..len).collect())
    }

    /// Reads a complete message; `Ok(None)` if the connection ended before the first byte of it.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        while self.buf.is_empty() {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        let mut message = Message { start: self.take_line()?, ..Default::default() };
        loop {
            let line = self.take_line()?;
            let Some((name, value)) = line.split_once(':') else { break };
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
        if message.header("transfer-encoding").is_some() {
            loop {
                let len = usize::from_str_radix(self.take_line()?.trim(), 16).unwrap_or(0);
                let chunk = self.take_bytes(len)?;
                self.take_line()?;
                if len == 0 {
                    break;
                }
                message.body.extend(chunk);
            }
        } else if let Some(len) = message.header("content-length").and_then(|l| l.parse().ok()) {
            message.body = self.take_bytes(len)?;
        }
        Ok(Some(message))
    }
}

/// Writes a response.
pub fn respond(
    out: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    out.write_all(&bytes)
}
