//! What a caller's connection is doing, and from when on a planned stop may close it.
//!
//! The load pattern: callers open a connection some time before its first request, send heads in pieces, and read large answers
//! slowly. A connection that is closed between its first byte and the last byte of the answer costs a request that may have run,
//! and its caller is not told; one that is idle after an answer costs nothing, since callers know that it may be closed.

use std::time::Duration;

use crate::state::routes::CallerLimits;
use crate::state::time::Tick;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// Nothing was received yet: its first request is still to come.
    #[default]
    Fresh,
    /// A part of a request's head was received.
    Reading,
    /// A request is handled, or its answer is being written.
    Busy,
    /// The last answer is written, and nothing was received since.
    Idle,
}

/// A caller's connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerConnection {
    phase: ConnectionPhase,
    /// When it was opened, the first byte of a head came, a byte of an answer was last written, or the last answer was.
    since: Tick,
    /// Whether all of the answer was handed over to be written.
    is_answered: bool,
    /// How long a caller may take for a head, once a stop closes connections.
    head_time: Option<Duration>,
}

impl CallerConnection {
    /// Opens a connection.
    pub fn open(now: Tick) -> Self {
        Self { since: now, ..Self::default() }
    }

    /// Returns what the connection is doing.
    pub fn phase(&self) -> ConnectionPhase {
        self.phase
    }

    /// Records received bytes; returns whether they are the first ones of a head.
    pub fn record_read(&mut self, now: Tick) -> bool {
        let is_first = matches!(self.phase, ConnectionPhase::Fresh | ConnectionPhase::Idle);
        if is_first {
            self.phase = ConnectionPhase::Reading;
            self.since = now;
        }
        is_first
    }

    /// Records a whole head.
    pub fn record_request(&mut self) {
        self.phase = ConnectionPhase::Busy;
        self.is_answered = false;
    }

    /// Records that all of an answer was handed over to be written.
    pub fn record_answer(&mut self, now: Tick) {
        self.is_answered = true;
        self.since = now;
    }

    /// Records that bytes of an answer were written, since its caller has read what was written before.
    pub fn record_write(&mut self, now: Tick) {
        if self.phase == ConnectionPhase::Busy && self.is_answered {
            self.since = now;
        }
    }

    /// Records that all that was handed over is written; returns whether the connection is idle since.
    pub fn record_flush(&mut self, now: Tick) -> bool {
        let is_read = self.phase == ConnectionPhase::Busy && self.is_answered;
        if is_read {
            self.phase = ConnectionPhase::Idle;
            self.since = now;
        }
        is_read
    }

    /// Returns when the caller has taken too long for what the connection waits for: a head from its first byte on, the next head,
    /// or the reading of an answer. `None` while the instance itself is at work; a body has the time of its request.
    pub fn expires_at(&self, limits: &CallerLimits) -> Option<Tick> {
        match self.phase {
            ConnectionPhase::Reading => Some(self.since + limits.header_timeout),
            ConnectionPhase::Fresh | ConnectionPhase::Idle => {
                Some(self.since + limits.idle_timeout)
            }
            ConnectionPhase::Busy => self.is_answered.then(|| self.since + limits.idle_timeout),
        }
    }

    /// Records that the instance closes its connections; a caller has `head_time` for a head, from when it began or could have.
    pub fn begin_close(&mut self, head_time: Duration) {
        self.head_time = Some(head_time);
    }

    /// Returns from when on the connection is closed, unless something is received before: `None` while a request is under way.
    pub fn closes_at(&self) -> Option<Tick> {
        let head_time = self.head_time?;
        match self.phase {
            ConnectionPhase::Fresh | ConnectionPhase::Reading => Some(self.since + head_time),
            ConnectionPhase::Idle => Some(self.since),
            ConnectionPhase::Busy => None,
        }
    }
}
