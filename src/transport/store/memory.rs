//! A platform in memory, for trying out a single instance.

use std::time::Duration;

use futures::future::BoxFuture;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::coordination::once::{Expected, StoreEra, WriteOutcome};
use crate::protocol::platform::{ListedInstance, Object, Platform, PlatformError, WriteResult};

/// A platform in memory; its objects are lost when the process ends.
#[derive(Default)]
pub struct MemoryPlatform {
    objects: Mutex<IndexMap<String, Object>>,
    listed: Mutex<Vec<ListedInstance>>,
    changed: Notify,
}

impl MemoryPlatform {
    /// Replaces the instance list.
    pub fn set_instances(&self, listed: Vec<ListedInstance>) {
        *self.listed.lock() = listed;
    }

    fn read(&self, key: &str) -> Option<Object> {
        self.objects.lock().get(key).cloned()
    }

    fn write(&self, key: &str, value: String, version: u64) -> WriteResult {
        let mut objects = self.objects.lock();
        let current = objects.get(key).map_or(0, |o| o.version);
        if current != version {
            return (WriteOutcome::Conflict, current);
        }
        objects.insert(key.to_owned(), Object { version: current + 1, value });
        self.changed.notify_waiters();
        (WriteOutcome::Applied, current + 1)
    }

    fn delete(&self, key: &str, version: u64) -> WriteOutcome {
        let mut objects = self.objects.lock();
        if objects.get(key).map(|o| o.version) != Some(version) {
            return WriteOutcome::Conflict;
        }
        objects.shift_remove(key);
        WriteOutcome::Applied
    }

    async fn wait_newer(&self, key: &str, after: u64) -> Object {
        loop {
            let changed = self.changed.notified();
            if let Some(object) = self.read(key).filter(|o| o.version > after) {
                return object;
            }
            changed.await;
        }
    }
}

impl Platform for MemoryPlatform {
    fn get(&self, key: &str) -> BoxFuture<'_, Result<Option<Object>, PlatformError>> {
        let found = self.read(key);
        Box::pin(async move { Ok(found) })
    }

    fn put(
        &self,
        key: &str,
        value: String,
        expected: Expected,
    ) -> BoxFuture<'_, Result<WriteResult, PlatformError>> {
        let result = self.write(key, value, expected.version);
        Box::pin(async move { Ok(result) })
    }

    fn remove(
        &self,
        key: &str,
        expected: Expected,
    ) -> BoxFuture<'_, Result<WriteOutcome, PlatformError>> {
        let result = self.delete(key, expected.version);
        Box::pin(async move { Ok(result) })
    }

    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Option<Object>, PlatformError>> {
        let key = key.to_owned();
        Box::pin(
            async move { Ok(tokio::time::timeout(wait, self.wait_newer(&key, after)).await.ok()) },
        )
    }

    fn instances(&self) -> BoxFuture<'_, Result<Vec<ListedInstance>, PlatformError>> {
        let listed = self.listed.lock().clone();
        Box::pin(async move { Ok(listed) })
    }

    fn era(&self) -> Option<StoreEra> {
        None
    }
}
