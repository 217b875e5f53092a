//! The body of a reply arrives whole and in order, however it is cut into frames.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

struct Case {
    name: &'static str,
    /// Sizes of the chunks, in bytes.
    chunks: &'static [usize],
}

const CASES: &[Case] = &[
    Case { name: "empty", chunks: &[] },
    Case { name: "one byte", chunks: &[1] },
    Case { name: "two frames of one byte", chunks: &[1, 1] },
    Case { name: "one frame of a segment", chunks: &[4_096] },
    Case { name: "a segment, and one byte", chunks: &[4_096, 1] },
    Case { name: "a byte less than a segment, then two", chunks: &[4_095, 2] },
    Case { name: "a byte, then many segments", chunks: &[1, 40_000] },
    Case { name: "many segments, then a byte", chunks: &[100_000, 1] },
    Case { name: "odd sizes", chunks: &[7, 4_089, 4_096, 13, 65_536, 300_001, 5] },
];

/// Returns bytes that differ from those at other offsets near them.
fn body(len: usize) -> Vec<u8> {
    (0..len).map(|n| (n % 251) as u8).collect()
}

/// Answers one request with a body in chunks, each sent by itself.
async fn answer(listener: TcpListener, chunks: &'static [usize]) -> std::io::Result<()> {
    let (mut stream, _) = listener.accept().await?;
    stream.set_nodelay(true)?;
    let mut buf = [0; 4096];
    let _ = stream.read(&mut buf).await?;
    stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await?;
    let body = body(chunks.iter().sum());
    let mut rest = body.as_slice();
    for len in chunks {
        let (chunk, after) = rest.split_at(*len);
        rest = after;
        stream.write_all(format!("{len:x}\r\n").as_bytes()).await?;
        stream.write_all(chunk).await?;
        stream.write_all(b"\r\n").await?;
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    stream.write_all(b"0\r\n\r\n").await
}

#[tokio::test]
async fn a_body_arrives_whole_however_it_is_cut() {
    for case in CASES {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let server = tokio::spawn(answer(listener, case.chunks));
        let reply = tamarackdeck::get(addr, "/", Duration::from_secs(10)).await.unwrap();
        assert_eq!(reply.status, 200, "{}", case.name);
        let expected = body(case.chunks.iter().sum());
        assert!(reply.body == expected, "{}: {} bytes", case.name, reply.body.len());
        server.await.unwrap().unwrap();
    }
}
