//! The life cycle of an instance as a typestate: starting, serving, leaving, stopped.

use std::time::Duration;

use crate::state::time::Tick;

/// It has no configuration yet and is not ready.
#[derive(Debug)]
pub struct Starting(());
/// It is ready.
#[derive(Debug)]
pub struct Serving(());
/// It has told the balancer and its peers; work under way goes on.
#[derive(Debug)]
pub struct Leaving {
    since: Tick,
}
/// Nothing is under way; the process may exit.
#[derive(Debug)]
pub struct Stopped(());

/// An instance in life cycle state `S`.
#[derive(Debug)]
pub struct Instance<S>(S);

/// What an instance that is leaving still has under way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlight {
    /// Requests of callers.
    pub requests: usize,
    /// Requests that are gathered for peers.
    pub gathers: usize,
}

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopOptions {
    /// How long callers are still taken on after the balancer was told.
    pub notice: Duration,
    /// Longest time for the whole stop.
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
    /// Begins to serve, once there is a configuration.
    pub fn serve(self) -> Instance<Serving> {
        Instance(Serving(()))
    }
}

impl Instance<Serving> {
    /// Begins to leave.
    pub fn leave(self, now: Tick) -> Instance<Leaving> {
        Instance(Leaving { since: now })
    }
}

impl Instance<Leaving> {
    /// Says whether callers are still taken on.
    pub fn is_accepting(&self, opts: &StopOptions, now: Tick) -> bool {
        now.since(self.0.since) < opts.notice
    }

    /// Stops when the notice is over and nothing is under way, or when it has taken too long.
    pub fn try_stop(
        self,
        opts: &StopOptions,
        left: InFlight,
        now: Tick,
    ) -> Result<Instance<Stopped>, Self> {
        let took = now.since(self.0.since);
        let idle = took >= opts.notice && left == InFlight::default();
        if idle || took >= opts.max_duration { Ok(Instance(Stopped(()))) } else { Err(self) }
    }
}
