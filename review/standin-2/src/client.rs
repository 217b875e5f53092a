//! Clients, and the questions of the platform's balancer.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::HOST;
use crate::http::{Message, Reader};

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub enum End {
    Answer(Message),
    /// The connection ended without a complete answer.
    Closed(String),
    /// No answer came by the client's deadline.
    Late,
    NotConnected,
}

impl End {
    pub fn status(&self) -> u16 {
        if let End::Answer(message) = self { message.status() } else { 0 }
    }

    pub fn text(&self) -> String {
        match self {
            End::Answer(message) => format!(
                "answer {} {}",
                message.status(),
                message.header("x-server-stamp").unwrap_or("(no stamp)")
            ),
            End::Closed(why) => format!("connection closed without a complete answer ({why})"),
            End::Late => "no answer by the deadline".to_owned(),
            End::NotConnected => "not connected".to_owned(),
        }
    }
}

/// Returns the head of a request.
pub fn head(method: &str, path: &str, attempt: &str, deadline_ms: u64, body: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {deadline_ms}\r\nContent-Length: {body}\r\n\r\n"
    )
}

/// Opens a connection; clients allow one second.
pub fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Waits for the answer on a connection.
pub fn read_answer(stream: &TcpStream, limit: Duration) -> End {
    let _ = stream.set_read_timeout(Some(limit));
    match Reader::new(stream).message() {
        Ok(Some(message)) => End::Answer(message),
        Ok(None) => End::Closed("end of the connection".to_owned()),
        Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
            End::Late
        }
        Err(e) => End::Closed(e.to_string()),
    }
}

/// Sends a request without a body on a new connection.
pub fn get(addr: SocketAddr, path: &str, attempt: &str, deadline_ms: u64) -> End {
    let Ok(mut stream) = connect(addr) else { return End::NotConnected };
    if let Err(e) = stream.write_all(head("GET", path, attempt, deadline_ms, 0).as_bytes()) {
        return End::Closed(e.to_string());
    }
    read_answer(&stream, Duration::from_millis(deadline_ms))
}

/// Asks an instance whether it is ready, as the balancer does.
pub fn is_ready(addr: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(300)) else {
        return false;
    };
    let ask = format!("GET /api/ready HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
    if stream.write_all(ask.as_bytes()).is_err() {
        return false;
    }
    read_answer(&stream, Duration::from_millis(300)).status() == 200
}
