//! When an instance fetches documents that a heartbeat shows to be newer.
//!
//! The load pattern: hundreds of servers register within seconds, and each batch of changes is pushed to all instances of a
//! failure domain. Heartbeats overtake the pushes; if each instance then fetches the whole document, the transfers
//! take the links and processors that the pushes need, so that more pushes are overtaken.

use std::time::Duration;

/// Time that a push has to arrive after a heartbeat with its version: two rounds of heartbeats, and a small part of the
/// seconds within which a change must be in force.
const PUSH_GRACE: Duration = Duration::from_millis(800);

/// Returns how long to wait for pushes before newer documents are fetched; an instance that lacks a document does not wait,
/// since a push only changes one that it has.
pub fn fetch_delay(lacks_doc: bool) -> Duration {
    if lacks_doc { Duration::ZERO } else { PUSH_GRACE }
}
