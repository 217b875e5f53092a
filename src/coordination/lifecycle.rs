//! The life cycle of an instance as a typestate: starting, serving, leaving, closing, stopped.
//!
//! The load pattern: a planned stop under load, while callers are sent to the instance until the load balancer has noticed, open
//! connections whose first request is still to come, send requests slowly and read answers slowly, and peers send it requests to
//! gather. The stop is over when nothing is unfinished, from the first byte of a request to the last of its answer, and nothing can
//! begin; shortly before the kill, whatever is unfinished then is answered as of unknown outcome.

use std::time::Duration;

use crate::state::time::Tick;

/// Time before the end of a stop at which requests in flight are given up, so that their answers are written and read.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(200);
/// Time before the end of a stop at which the departure is announced at the latest: a call to each peer, and one back.
const DEPARTURE_TIME: Duration = Duration::from_millis(600);

/// State of an instance that has no configuration yet and is not ready.
#[derive(Debug)]
pub struct Starting(());
/// State of an instance that is ready.
#[derive(Debug)]
pub struct Serving(());
/// State of an instance that has announced its shutdown, and still accepts connections.
#[derive(Debug)]
pub struct Leaving(StopTimes);
/// State of an instance that accepts no connections and finishes its work.
#[derive(Debug)]
pub struct Closing(StopTimes);
/// State of an instance without unfinished work, whose process may exit.
#[derive(Debug)]
pub struct Stopped(());

/// An instance in life cycle state `S`.
#[derive(Debug)]
pub struct Instance<S>(S);

/// Unfinished work of an instance that is shutting down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unfinished {
    /// Connections of callers that have begun a request or may begin one, until their answers are written.
    pub connections: usize,
    /// Requests of callers, whether or not their connections are still open.
    pub requests: usize,
    /// Requests gathered for peers.
    pub gathers: usize,
    /// Changes that operators have sent.
    pub changes: usize,
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

/// The times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimes {
    /// Until when connections are accepted.
    pub accepts_until: Tick,
    /// When the departure is announced to peers at the latest.
    pub departs_at: Tick,
    /// When requests in flight are given up.
    pub answers_at: Tick,
    /// When the process exits, whatever is unfinished.
    pub ends_at: Tick,
}

impl StopTimes {
    /// Returns the times of a stop that begins `now`.
    pub fn new(opts: &StopOptions, now: Tick) -> Self {
        let before_end = |time: Duration| now + opts.max_duration.saturating_sub(time);
        Self {
            accepts_until: now + opts.notice.min(opts.max_duration),
            departs_at: before_end(DEPARTURE_TIME.min(opts.max_duration / 4)),
            answers_at: before_end(FINAL_ANSWER_TIME.min(opts.max_duration / 8)),
            ends_at: now + opts.max_duration,
        }
    }

    /// Returns whether a request that is complete now may run, if it usually takes `usual`.
    ///
    /// One that is not likely to be answered in time is refused, since callers know then that it has not run.
    pub fn admits(&self, usual: Duration, now: Tick) -> bool {
        now < self.accepts_until || now + usual <= self.answers_at
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
    pub fn leave(self, times: StopTimes) -> Instance<Leaving> {
        Instance(Leaving(times))
    }
}

impl Instance<Leaving> {
    /// Returns whether connections of callers are still accepted.
    pub fn is_accepting(&self, now: Tick) -> bool {
        now < self.0.0.accepts_until
    }

    /// Stops accepting connections once the notice has passed.
    pub fn try_close(self, now: Tick) -> Result<Instance<Closing>, Self> {
        if self.is_accepting(now) { Err(self) } else { Ok(Instance(Closing(self.0.0))) }
    }
}

impl Instance<Closing> {
    /// Returns whether peers are to be told that this instance leaves: they send it nothing more then.
    pub fn announces(&self, unfinished: Unfinished, now: Tick) -> bool {
        unfinished == Unfinished::default() || now >= self.0.0.departs_at
    }

    /// Stops if nothing is unfinished and peers know, or at the end of the stop.
    pub fn try_stop(
        self,
        unfinished: Unfinished,
        is_announced: bool,
        now: Tick,
    ) -> Result<Instance<Stopped>, Self> {
        let is_done = is_announced && unfinished == Unfinished::default();
        if is_done || now >= self.0.0.ends_at { Ok(Instance(Stopped(()))) } else { Err(self) }
    }
}
