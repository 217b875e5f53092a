//! When an instance fetches documents that a peer shows to be newer, and from whom.
//!
//! The load pattern: hundreds of servers register within seconds, and each batch of changes is pushed to all instances of a
//! failure domain. Heartbeats overtake the pushes; if each instance then fetches the whole document, the transfers
//! take the links and processors that the pushes need, so that more pushes are overtaken. After a suspension or a cut all
//! peers show newer documents at the same time, of which one fetch brings all.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::state::time::Tick;

/// Time that a push has to arrive after a heartbeat with its version: two rounds of heartbeats, and a small part of the
/// seconds within which a change must be in force.
const PUSH_GRACE: Duration = Duration::from_millis(800);

/// Time after which a fetch no longer holds up the next one, since its peer may answer nothing any more: three heartbeats,
/// as for a member that is not relied on.
pub const SLOW_FETCH: Duration = Duration::from_millis(1_300);

/// Returns how long to wait for pushes before newer documents are fetched; an instance that lacks a document does not wait,
/// since a push only changes one that it has.
pub fn fetch_delay(lacks_doc: bool) -> Duration {
    if lacks_doc { Duration::ZERO } else { PUSH_GRACE }
}

/// What the task that fetches documents does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchStep {
    /// Fetch from this peer.
    Fetch(SocketAddr),
    /// Wait until this time, or until a peer shows newer documents.
    WaitUntil(Tick),
    /// Wait until a peer shows newer documents.
    Idle,
}

/// Newer documents that a peer has, which a push may bring in time.
#[derive(Debug)]
struct Offer {
    peer: SocketAddr,
    versions: IndexMap<String, u64>,
    due: Tick,
}

/// The newer documents that peers have shown.
///
/// A single task asks for the next step, so that a fetch begins only once the one before it has ended or is slow.
#[derive(Debug, Default)]
pub struct DocOffers {
    /// Offers in the order in which they fall due.
    waiting: VecDeque<Offer>,
    /// Versions by peer, the last one that showed any at the end: it is the most likely to be reached.
    due: IndexMap<SocketAddr, IndexMap<String, u64>>,
}

impl DocOffers {
    /// Records the versions that a heartbeat shows; `lacks_doc` states that there is none here to apply a push to.
    pub fn record_heartbeat(
        &mut self,
        peer: SocketAddr,
        versions: IndexMap<String, u64>,
        lacks_doc: bool,
        now: Tick,
    ) {
        let delay = fetch_delay(lacks_doc);
        if delay.is_zero() {
            self.add_due(peer, versions);
        } else if !self.waiting.iter().any(|o| o.peer == peer && o.versions == versions) {
            self.waiting.push_back(Offer { peer, versions, due: now + delay });
        }
    }

    /// Records the versions of a push that could not be applied.
    pub fn record_failed_push(&mut self, peer: SocketAddr, versions: IndexMap<String, u64>) {
        self.add_due(peer, versions);
    }

    fn add_due(&mut self, peer: SocketAddr, versions: IndexMap<String, u64>) {
        self.due.shift_remove(&peer);
        self.due.insert(peer, versions);
    }

    /// Returns the next step; `is_behind` returns whether any of the versions is newer than what the instance has.
    pub fn next_step(
        &mut self,
        is_behind: impl Fn(&IndexMap<String, u64>) -> bool,
        now: Tick,
    ) -> FetchStep {
        while let Some(offer) = self.waiting.pop_front_if(|o| o.due <= now) {
            self.add_due(offer.peer, offer.versions);
        }
        while let Some((peer, versions)) = self.due.pop() {
            if is_behind(&versions) {
                return FetchStep::Fetch(peer);
            }
        }
        self.waiting.front().map_or(FetchStep::Idle, |o| FetchStep::WaitUntil(o.due))
    }
}
