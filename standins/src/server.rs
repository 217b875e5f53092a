//! A small HTTP server that can be stopped abruptly, like a killed process.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinSet};

/// The response to a request; `None` closes the connection without a response.
pub type Answer = Option<Response<Full<Bytes>>>;

/// The other end of the connection that a request came on; an extension of each request.
#[derive(Clone, Copy, Debug)]
pub struct PeerAddr(pub SocketAddr);

/// A running server; dropping it closes the listener and all connections immediately.
pub struct Server {
    pub addr: SocketAddr,
    task: AbortHandle,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves requests with `handler(connection number, request)`. A new connection is served after
/// `setup_delay`; connections beyond `max_connections` are closed.
pub async fn serve<F, R>(
    addr: SocketAddr,
    setup_delay: Duration,
    max_connections: usize,
    handler: F,
) -> std::io::Result<Server>
where
    F: Fn(u64, Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Answer> + Send + 'static,
{
    let listener = bind_with_retry(addr).await?;
    let addr = listener.local_addr()?;
    let handler = Arc::new(handler);
    let task = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        let mut number = 0;
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, peer)) = accepted else { continue };
                    if connections.len() >= max_connections {
                        continue; // over the connection limit: drop the stream, which closes it
                    }
                    let _ = stream.set_nodelay(true);
                    number += 1;
                    let (handler, number) = (handler.clone(), number);
                    connections.spawn(async move {
                        tokio::time::sleep(setup_delay).await;
                        let service = service_fn(move |mut request: Request<Incoming>| {
                            request.extensions_mut().insert(PeerAddr(peer));
                            let answer = handler(number, request);
                            async move { answer.await.ok_or_else(|| std::io::Error::other("closed")) }
                        });
                        let _ = hyper::server::conn::http1::Builder::new()
                            .serve_connection(TokioIo::new(stream), service)
                            .await;
                    });
                }
                Some(_) = connections.join_next() => {}
            }
        }
    });
    Ok(Server { addr, task: task.abort_handle() })
}

/// Binds a listener, retrying while a recently closed listener still holds the address.
async fn bind_with_retry(addr: SocketAddr) -> std::io::Result<TcpListener> {
    for _ in 0..50 {
        match TcpListener::bind(addr).await {
            Err(e) if addr.port() != 0 && e.kind() == std::io::ErrorKind::AddrInUse => {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            result => return result,
        }
    }
    TcpListener::bind(addr).await
}

pub async fn read_body(request: Request<Incoming>) -> Result<Bytes, Infallible> {
    Ok(request.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default())
}

pub fn respond(status: u16, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = StatusCode::from_u16(status).expect("a valid status");
    response
}

pub fn respond_json(status: u16, value: &impl Serialize) -> Answer {
    Some(respond(status, serde_json::to_vec(value).unwrap_or_default()))
}

/// Returns the value of a numeric query parameter.
pub fn query_param(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)?
        .1
        .parse()
        .ok()
}
