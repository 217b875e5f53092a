//! Client of the platform's object API: JSON over HTTP.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::Full;
use hyper::{Method, Request};
use parking_lot::Mutex;
use serde::de::DeserializeOwned;

use crate::coordination::once::{Expected, StoreEra, WriteOutcome};
use crate::protocol::platform::{
    ListedInstance, Object, Platform, PlatformError, WriteResult, parse_store_era,
};
use crate::transport::http::{Client, Reply};

/// Time limit for a read or a write.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// A client of the platform over HTTP.
pub struct HttpPlatform {
    addr: SocketAddr,
    /// The latest era, and when it was stated first.
    era: Mutex<Option<(StoreEra, Instant)>>,
}

impl HttpPlatform {
    /// Creates a client without connecting.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, era: Mutex::default() }
    }

    async fn get_reply(&self, path: String, timeout: Duration) -> Result<Reply, PlatformError> {
        self.call(Method::GET, path, String::new(), timeout)
            .await?
            .ok_or_else(|| PlatformError("no answer".into()))
    }

    /// Makes a call: an error means that nothing was sent, `None` that the reply was lost.
    async fn call(
        &self,
        method: Method,
        path: String,
        body: String,
        timeout: Duration,
    ) -> Result<Option<Reply>, PlatformError> {
        let req = Request::builder().method(method).uri(path).header("host", self.addr.to_string());
        let req =
            req.body(Full::new(Bytes::from(body))).map_err(|e| PlatformError(e.to_string()))?;
        let client =
            Client::open(self.addr, TIMEOUT).await.map_err(|e| PlatformError(format!("{e:#}")))?;
        let reply = client.send(req, timeout).await.ok();
        if let Some(stated) = reply.as_ref().and_then(|reply| parse_store_era(&reply.headers)) {
            self.record_era(stated);
        }
        Ok(reply)
    }

    /// Records the era that a reply states, unless a later one is known: replies of two calls may overtake each other.
    fn record_era(&self, stated: StoreEra) {
        let mut era = self.era.lock();
        match *era {
            Some((known, _)) if known.number >= stated.number => return,
            Some(_) => log::warn!(era = stated.number; "the platform came back from an older copy"),
            None => {}
        }
        *era = Some((stated, Instant::now()));
    }

    async fn read_object(
        &self,
        path: String,
        timeout: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        let reply = self.get_reply(path, timeout).await?;
        match reply.status {
            200 => parse_body(&reply).map(Some),
            204 | 404 => Ok(None),
            status => Err(PlatformError(format!("status {status}"))),
        }
    }
}

fn write_path(key: &str, expected: Expected) -> String {
    let path = format!("/v1/objects/{key}?if_version={}", expected.version);
    match expected.era {
        Some(era) => format!("{path}&if_era={era}"),
        None => path,
    }
}

fn parse_body<T: DeserializeOwned>(reply: &Reply) -> Result<T, PlatformError> {
    serde_json::from_slice(&reply.body).map_err(|e| PlatformError(e.to_string()))
}

impl Platform for HttpPlatform {
    fn get(&self, key: &str) -> BoxFuture<'_, Result<Option<Object>, PlatformError>> {
        Box::pin(self.read_object(format!("/v1/objects/{key}"), TIMEOUT))
    }

    fn put(
        &self,
        key: &str,
        value: String,
        expected: Expected,
    ) -> BoxFuture<'_, Result<WriteResult, PlatformError>> {
        let path = write_path(key, expected);
        Box::pin(async move {
            match self.call(Method::PUT, path, value, TIMEOUT).await? {
                Some(reply) if reply.status == 200 => {
                    Ok((WriteOutcome::Applied, parse_body::<Object>(&reply)?.version))
                }
                Some(reply) if reply.status == 409 => Ok((WriteOutcome::Conflict, 0)),
                Some(reply) if reply.status == 429 => Err(PlatformError("too many calls".into())),
                _ => Ok((WriteOutcome::Unknown, 0)),
            }
        })
    }

    fn remove(
        &self,
        key: &str,
        expected: Expected,
    ) -> BoxFuture<'_, Result<WriteOutcome, PlatformError>> {
        let path = write_path(key, expected);
        Box::pin(async move {
            match self.call(Method::DELETE, path, String::new(), TIMEOUT).await? {
                Some(reply) if reply.status == 200 => Ok(WriteOutcome::Applied),
                Some(reply) if reply.status == 409 || reply.status == 404 => {
                    Ok(WriteOutcome::Conflict)
                }
                _ => Ok(WriteOutcome::Unknown),
            }
        })
    }

    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Option<Object>, PlatformError>> {
        let path = format!("/v1/watch/{key}?after={after}&wait_ms={}", wait.as_millis());
        Box::pin(self.read_object(path, wait + TIMEOUT))
    }

    fn instances(&self) -> BoxFuture<'_, Result<Vec<ListedInstance>, PlatformError>> {
        Box::pin(async move {
            let reply = self.get_reply("/v1/instances".into(), TIMEOUT).await?;
            parse_body(&reply)
        })
    }

    fn era(&self) -> Option<StoreEra> {
        let (stated, at) = (*self.era.lock())?;
        Some(StoreEra { restored: stated.restored.map(|ago| ago + at.elapsed()), ..stated })
    }
}
