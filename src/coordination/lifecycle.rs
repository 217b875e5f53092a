//! The life cycle of an instance as a typestate: starting, serving, leaving, stopped.

use std::time::Duration;

use crate::state::time::Tick;

/// State of an instance that has no configuration yet and is not ready.
#[derive(Debug)]
pub struct Starting(());
/// State of an instance that is ready.
#[derive(Debug)]
pub struct Serving(());
/// State of an instance that has announced its shutdown and finishes the work in flight.
#[derive(Debug)]
pub struct Leaving {
    since: Tick,
}
/// State of an instance without work in flight, whose process may exit.
#[derive(Debug)]
pub struct Stopped(());

/// An instance in life cycle state `S`.
#[derive(Debug)]
pub struct Instance<S>(S);

/// Work in flight of an instance that is shutting down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlight {
    /// Number of requests of callers.
    pub requests: usize,
    /// Number of requests gathered for peers.
    pub gathers: usize,
}

/// Time limits of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopOptions {
    /// Time for which callers are still accepted after the load balancer was notified.
    pub notice: Duration,
    /// Maximum duration of the whole stop.
    pub max_duration: Duration,
}

impl Default for StopOptions {
    fn default() -> Self {
        Self { notice: Duration::from_secs(2), max_duration: Duration::from_secs(20) }
    }
}

impl Default for Instance<Starting> {
    fn default() -> Self {
        Instance(Starting(()))
    }
}

impl Instance<Starting> {
    /// Starts serving, once there is a configuration.
    pub fn serve(self) -> Instance<Serving> {
        Instance(Serving(()))
    }
}

impl Instance<Serving> {
    /// Starts the planned stop.
    pub fn leave(self, now: Tick) -> Instance<Leaving> {
        Instance(Leaving { since: now })
    }
}

impl Instance<Leaving> {
    /// Returns whether callers are still accepted.
    pub fn is_accepting(&self, opts: &StopOptions, now: Tick) -> bool {
        now.since(self.0.since) < opts.notice
    }

    /// Stops after the notice if nothing is in flight, or after the maximum duration.
    pub fn try_stop(
        self,
        opts: &StopOptions,
        in_flight: InFlight,
        now: Tick,
    ) -> Result<Instance<Stopped>, Self> {
        let elapsed = now.since(self.0.since);
        let is_done = elapsed >= opts.notice && in_flight == InFlight::default();
        if is_done || elapsed >= opts.max_duration { Ok(Instance(Stopped(()))) } else { Err(self) }
    }
}
