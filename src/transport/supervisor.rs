//! Runs the tasks that an instance needs for as long as it runs, and starts those again that have ended.

use std::sync::Arc;

use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::coordination::supervision::{SupervisionOptions, Task};
use crate::transport::http::AbortOnDrop;
use crate::transport::upstreams::tier::Tier;

/// Starts the tasks of an instance.
#[derive(Clone)]
pub struct Supervisor {
    tier: Arc<Tier>,
    opts: SupervisionOptions,
    stop: CancellationToken,
}

impl Supervisor {
    /// Creates a supervisor; tasks that end after `stop` is cancelled are not started again.
    pub fn new(tier: Arc<Tier>, opts: SupervisionOptions, stop: CancellationToken) -> Self {
        Self { tier, opts, stop }
    }

    pub(crate) fn tier(&self) -> Arc<Tier> {
        self.tier.clone()
    }

    /// Runs the task that `make` returns, and another one whenever it has ended, by a panic or otherwise.
    ///
    /// Aborting the returned handle aborts the task.
    pub fn spawn<F>(
        &self,
        name: &'static str,
        make: impl Fn() -> F + Send + 'static,
    ) -> JoinHandle<()>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        tokio::spawn(self.clone().run(name, make))
    }

    async fn run<F>(self, name: &'static str, make: impl Fn() -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let Self { tier, opts, stop } = self;
        let clock = tier.clock();
        let mut failing = FailingGuard { tier: &tier, name, is_set: false };
        let mut running = Task::start(opts, clock.now());
        loop {
            let mut handle = AbortOnDrop(tokio::spawn(make()));
            let result = tokio::select! {
                result = &mut handle.0 => result,
                () = clock.sleep_until(running.sound_at()) => {
                    failing.set(false);
                    (&mut handle.0).await
                }
            };
            if stop.is_cancelled() {
                return;
            }
            let ended = running.end(clock.now());
            let has_panicked = result.is_err();
            tier.metrics.task_ends.with_label_values(&[name]).inc();
            log::error!(task = name, has_panicked; "a task has ended; it is started again");
            failing.set(ended.is_failing());
            clock.sleep_until(ended.restart_at()).await;
            running = ended.restart(clock.now());
        }
    }
}

/// Counts a task as failing until dropped.
struct FailingGuard<'a> {
    tier: &'a Tier,
    name: &'static str,
    is_set: bool,
}

impl FailingGuard<'_> {
    fn set(&mut self, is_failing: bool) {
        if std::mem::replace(&mut self.is_set, is_failing) != is_failing {
            self.tier.record_failing_task(is_failing);
            log::warn!(task = self.name, failing = is_failing; "ability to keep a task running changed");
        }
    }
}

impl Drop for FailingGuard<'_> {
    fn drop(&mut self) {
        self.set(false);
    }
}
