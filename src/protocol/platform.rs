//! The interface of the platform: versioned objects, conditional updates, watches and the instance
//! list.

use std::time::Duration;

use anyhow::{Context, Result as AnyResult};
use futures::future::BoxFuture;
use hyper::HeaderMap;
use serde::{Deserialize, Serialize};

use crate::coordination::once::{Expected, StoreEra, WriteOutcome};
use crate::coordination::tickets::Head;

/// Key of the head object, which holds the configuration in force.
pub const HEAD_KEY: &str = "config/head";

/// Header of each reply that states the era of the store: a number that rises each time it comes back from an older copy.
pub const ERA_HEADER: &str = "store-era";
/// Header of each reply of a store that came back from an older copy: the time since it answers again, in milliseconds.
pub const RESTORED_HEADER: &str = "store-restored-ms";

/// Returns the era that the headers of a reply state; `None` if they state none.
pub fn parse_store_era(headers: &HeaderMap) -> Option<StoreEra> {
    let number = |name| headers.get(name)?.to_str().ok()?.parse().ok();
    let restored = number(RESTORED_HEADER).map(Duration::from_millis);
    Some(StoreEra { number: number(ERA_HEADER)?, restored })
}

/// Returns the key of the object that claims an idempotency key.
pub fn claim_key(service: &str, key: &str) -> String {
    format!("once/{service}/{key}")
}

/// Returns the key of the object that holds an accepted ticket.
pub fn ticket_key(number: u64) -> String {
    format!("ticket/{number}")
}

/// An object stored on the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Object {
    /// Version of the object; each write increases it. Versions of the lost time are given out again in the next era.
    pub version: u64,
    /// Value of the object, as JSON text.
    pub value: String,
}

/// State of an instance in the platform's instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The instance runs.
    Live,
    /// The instance is being stopped.
    Leaving,
}

/// An entry of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Address of its peer listener.
    pub addr: String,
    /// State of the instance.
    pub state: InstanceState,
}

/// The platform could not be reached or returned an invalid reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("platform: {0}")]
pub struct PlatformError(pub String);

/// The outcome of a write and the version of the object after it.
pub type WriteResult = (WriteOutcome, u64);

/// A client of the platform; each method makes one call that the platform counts.
pub trait Platform: Send + Sync + 'static {
    /// Reads an object.
    fn get(&self, key: &str) -> BoxFuture<'_, Result<Option<Object>, PlatformError>>;
    /// Writes an object if it is as expected; version zero creates it.
    ///
    /// An error means that nothing was written; a lost reply is [`WriteOutcome::Unknown`].
    fn put(
        &self,
        key: &str,
        value: String,
        expected: Expected,
    ) -> BoxFuture<'_, Result<WriteResult, PlatformError>>;
    /// Deletes an object if it is as expected.
    fn remove(
        &self,
        key: &str,
        expected: Expected,
    ) -> BoxFuture<'_, Result<WriteOutcome, PlatformError>>;
    /// Waits until the version of an object exceeds `after`; returns `None` after `wait`.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Option<Object>, PlatformError>>;
    /// Reads the instance list.
    fn instances(&self) -> BoxFuture<'_, Result<Vec<ListedInstance>, PlatformError>>;
    /// Returns the latest era of the store that a reply has stated, without a call.
    fn era(&self) -> Option<StoreEra>;
}

/// Encodes the head object as the JSON text that the platform stores.
///
/// # Errors
/// When a value cannot be represented in JSON.
pub fn encode_head(head: &Head) -> AnyResult<String> {
    serde_json::to_string(head).context("the head object has no JSON text")
}

/// Returns the encoded size of the head object, in bytes; `usize::MAX` if it cannot be encoded.
pub fn head_size(head: &Head) -> usize {
    encode_head(head).map_or(usize::MAX, |text| text.len())
}

/// Decodes the head object and returns it with the version of the platform's object.
///
/// # Errors
/// When the value is not a valid head object.
pub fn parse_head(object: &Object) -> AnyResult<(Head, u64)> {
    let head = serde_json::from_str(&object.value).context("the head object is of another form")?;
    Ok((head, object.version))
}
