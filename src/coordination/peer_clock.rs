//! An estimate of a peer's clock, by which the age of a message is known from the first one on a link.
//!
//! A process that was suspended reads old messages when it wakes. They must not look fresh to it, nor may a
//! sender that was suspended between its decision and the write pass on time that is over.

use std::time::Duration;

use crate::state::time::Tick;

/// Maximum error of an estimate from a handshake; a link with a larger one is not used.
pub const MAX_CLOCK_ERROR: Duration = Duration::from_millis(250);
/// Drift between the clocks of two machines, as a ratio; common quartz clocks stay within it.
const MAX_DRIFT: f64 = 1e-4;

/// An estimate from one exchange in which the peer stated its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerClock {
    /// The peer's time in the middle of the exchange.
    peer: Tick,
    /// The local time in the middle of the exchange.
    local: Tick,
    round_trip: Duration,
}

impl PeerClock {
    /// Estimates the clock of a peer that stated `peer` between `sent` and `received`.
    pub fn from_exchange(sent: Tick, peer: Tick, received: Tick) -> Self {
        let round_trip = received.since(sent);
        Self { peer, local: sent + round_trip / 2, round_trip }
    }

    /// Returns the round-trip time of the exchange.
    pub fn round_trip(&self) -> Duration {
        self.round_trip
    }

    /// Returns the peer's time at the local time `now`.
    pub fn peer_time(&self, now: Tick) -> Tick {
        self.peer + now.since(self.local)
    }

    /// Returns the maximum error of [`peer_time`](Self::peer_time) at the local time `now`.
    pub fn max_error(&self, now: Tick) -> Duration {
        self.round_trip / 2 + now.since(self.local).mul_f64(MAX_DRIFT)
    }

    /// Takes over a newer estimate if its maximum error is smaller.
    pub fn update(&mut self, newer: Self, now: Tick) {
        if newer.max_error(now) <= self.max_error(now) {
            *self = newer;
        }
    }
}
