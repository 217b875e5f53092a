//! A small HTTP server that can be stopped hard, as a killed process would be.

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

/// A response; `None` closes the connection without an answer.
pub type Answer = Option<Response<Full<Bytes>>>;

/// A running server; dropping it closes the listener and every connection at once.
pub struct Server {
    pub addr: SocketAddr,
    task: AbortHandle,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves with `handler(connection number, request)`; `setup` passes before a new connection is used.
pub async fn serve<F, R>(
    addr: SocketAddr,
    setup: Duration,
    most: usize,
    handler: F,
) -> std::io::Result<Server>
where
    F: Fn(u64, Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Answer> + Send + 'static,
{
    let listener = listen(addr).await?;
    let addr = listener.local_addr()?;
    let handler = Arc::new(handler);
    let task = tokio::spawn(async move {
        let mut conns = JoinSet::new();
        let mut number = 0;
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    if conns.len() >= most {
                        continue; // over the connection limit: closed at once
                    }
                    let _ = stream.set_nodelay(true);
                    number += 1;
                    let (handler, number) = (handler.clone(), number);
                    conns.spawn(async move {
                        tokio::time::sleep(setup).await;
                        let service = service_fn(move |req| {
                            let answer = handler(number, req);
                            async move { answer.await.ok_or_else(|| std::io::Error::other("closed")) }
                        });
                        let _ = hyper::server::conn::http1::Builder::new()
                            .serve_connection(TokioIo::new(stream), service)
                            .await;
                    });
                }
                Some(_) = conns.join_next() => {}
            }
        }
    });
    Ok(Server { addr, task: task.abort_handle() })
}

/// Listens; an address that was just given up may need a moment.
async fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    for _ in 0..50 {
        match TcpListener::bind(addr).await {
            Err(e) if addr.port() != 0 && e.kind() == std::io::ErrorKind::AddrInUse => {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            other => return other,
        }
    }
    TcpListener::bind(addr).await
}

pub async fn body(req: Request<Incoming>) -> Result<Bytes, Infallible> {
    Ok(req.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default())
}

pub fn respond(status: u16, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(body.into()));
    *res.status_mut() = StatusCode::from_u16(status).expect("a valid status");
    res
}

pub fn json(status: u16, value: &impl Serialize) -> Answer {
    Some(respond(status, serde_json::to_vec(value).unwrap_or_default()))
}

/// Returns the value of a query parameter.
pub fn param(req: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = req.uri().query()?;
    query.split('&').filter_map(|p| p.split_once('=')).find(|(k, _)| *k == name)?.1.parse().ok()
}
