//! The platform as this project sees it: objects with versions, conditional updates, watches and the
//! instance list.

use std::time::Duration;

use anyhow::{Context, Result as Read};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::coordination::once::WriteOutcome;
use crate::coordination::tickets::Head;

/// Key of the object that holds the configuration in force.
pub const HEAD_KEY: &str = "config/head";

/// Returns the key of the claim of an idempotency key.
pub fn claim_key(service: &str, key: &str) -> String {
    format!("once/{service}/{key}")
}

/// Returns the key of an accepted ticket.
pub fn ticket_key(number: u64) -> String {
    format!("ticket/{number}")
}

/// An object of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Object {
    /// Its version; it grows with each write.
    pub version: u64,
    /// Its value, a JSON text.
    pub value: String,
}

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// It runs.
    Live,
    /// It is being stopped.
    Leaving,
}

/// An instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its peer listener.
    pub addr: String,
    /// Its state.
    pub state: InstanceState,
}

/// The platform did not answer, or not in a way that can be understood.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("platform: {0}")]
pub struct PlatformError(pub String);

/// Result of a write and the version that it made.
pub type WriteResult = (WriteOutcome, u64);

/// The platform's service; each method is one call that the platform counts.
pub trait Platform: Send + Sync + 'static {
    /// Reads an object.
    fn get(&self, key: &str) -> BoxFuture<'_, Result<Option<Object>, PlatformError>>;
    /// Writes an object if its version is still `version`; zero creates it.
    ///
    /// An error means that nothing was sent; a lost answer is [`WriteOutcome::Unknown`].
    fn put(
        &self,
        key: &str,
        value: String,
        version: u64,
    ) -> BoxFuture<'_, Result<WriteResult, PlatformError>>;
    /// Removes an object if its version is still `version`.
    fn remove(&self, key: &str, version: u64)
    -> BoxFuture<'_, Result<WriteOutcome, PlatformError>>;
    /// Waits until an object's version is above `after`; `None` when `wait` has passed.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Option<Object>, PlatformError>>;
    /// Reads the instance list.
    fn instances(&self) -> BoxFuture<'_, Result<Vec<ListedInstance>, PlatformError>>;
}

/// Returns the text of a head object as the platform keeps it.
///
/// # Errors
/// When it has a value that JSON does not hold.
pub fn head_text(head: &Head) -> Read<String> {
    serde_json::to_string(head).context("the head object has no JSON text")
}

/// Returns the bytes of a head object as the platform keeps it; one without a text is over any limit.
pub fn head_size(head: &Head) -> usize {
    head_text(head).map_or(usize::MAX, |text| text.len())
}

/// Reads the head object: the configuration and the object's version.
///
/// # Errors
/// When the object is of another form.
pub fn parse_head(object: &Object) -> Read<(Head, u64)> {
    let head = serde_json::from_str(&object.value).context("the head object is of another form")?;
    Ok((head, object.version))
}
