//! When a task of an instance that has ended is started again, and when the instance stops reporting ready for it.
//!
//! The load pattern: an input that ends a task is still there when the task starts again, on all instances at the same moment,
//! so that it ends again and again; or it was there once, and the task has to go on as if nothing had happened. An instance
//! whose task does not go on would believe for good what it believed last.

use std::time::Duration;

use crate::state::time::Tick;

/// Settings of the supervision of tasks.
#[derive(Clone, Copy, Debug)]
pub struct SupervisionOptions {
    /// Delay before the first restart; it doubles with each further end.
    pub initial_delay: Duration,
    /// Maximum delay before a restart.
    pub max_delay: Duration,
    /// Time after which a task that runs counts as sound.
    pub sound_after: Duration,
    /// Number of ends, without a sound run between them, from which a task is failing.
    pub failing_ends: u32,
}

impl Default for SupervisionOptions {
    fn default() -> Self {
        Self {
            initial_delay: Duration::from_millis(50),
            max_delay: Duration::from_secs(5),
            sound_after: Duration::from_secs(10),
            failing_ends: 3,
        }
    }
}

/// State of a task that runs.
#[derive(Debug)]
pub struct Running {
    since: Tick,
}

/// State of a task that has ended although its instance goes on.
#[derive(Debug)]
pub struct Ended {
    restart_at: Tick,
}

/// A task in state `S` that is to run for as long as its instance does.
#[derive(Debug)]
pub struct Task<S> {
    state: S,
    opts: SupervisionOptions,
    /// Ends without a sound run between them.
    ends: u32,
}

impl Task<Running> {
    /// Starts the task for the first time.
    pub fn start(opts: SupervisionOptions, now: Tick) -> Self {
        Self { state: Running { since: now }, opts, ends: 0 }
    }

    /// Returns when the task counts as sound, unless it ends before.
    pub fn sound_at(&self) -> Tick {
        self.state.since + self.opts.sound_after
    }

    /// Returns whether the task has ended so often that the instance is not to report ready.
    pub fn is_failing(&self, now: Tick) -> bool {
        self.ends >= self.opts.failing_ends && now < self.sound_at()
    }

    /// Records that the task has ended.
    pub fn end(self, now: Tick) -> Task<Ended> {
        let ends = if now < self.sound_at() { self.ends.saturating_add(1) } else { 1 };
        let factor = 1u32.checked_shl(ends - 1).unwrap_or(u32::MAX);
        let delay = self.opts.initial_delay.saturating_mul(factor).min(self.opts.max_delay);
        Task { state: Ended { restart_at: now + delay }, opts: self.opts, ends }
    }
}

impl Task<Ended> {
    /// Returns when the task is started again.
    pub fn restart_at(&self) -> Tick {
        self.state.restart_at
    }

    /// Returns whether the task has ended so often that the instance is not to report ready.
    pub fn is_failing(&self) -> bool {
        self.ends >= self.opts.failing_ends
    }

    /// Starts the task again.
    pub fn restart(self, now: Tick) -> Task<Running> {
        Task { state: Running { since: now }, opts: self.opts, ends: self.ends }
    }
}
