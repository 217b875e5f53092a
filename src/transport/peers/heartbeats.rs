//! Heartbeats between instances, which spread liveness, platform reachability and document versions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use indexmap::IndexMap;
use rand::RngExt;
use rand::seq::{IndexedRandom, IteratorRandom};
use tarpc::context;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::coordination::doc_fetch::{FetchStep, SLOW_FETCH};
use crate::protocol::encoded::Encoded;
use crate::protocol::frames::FrameError;
use crate::protocol::peer::{DocDeltas, Heartbeat, NewerDocs};
use crate::state::docs::{Doc, DocDelta};
use crate::state::members::Member;
use crate::transport::peers::Peers;

/// Mean interval between two rounds of heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Mean interval between two rounds while this instance has just started and had no contact.
const NEWCOMER_INTERVAL: Duration = Duration::from_millis(100);
/// Rounds between two heartbeats to other failure domains, as links between domains are costly.
const REMOTE_HEARTBEAT_ROUNDS: u64 = 5;
/// Rounds between two searches for links that are no longer used.
const LINK_CLEANUP_ROUNDS: u64 = 25;
/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout for fetching or pushing documents.
const DOCS_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of highest-ranked members of this failure domain that get a heartbeat in each round, so
/// that the next in rank notices when the platform watcher fails. One random other gets one too.
const RANKED_LOCAL_TARGETS: usize = 2;

/// Sends heartbeats, and fetches documents that peers show to be newer, until the task is aborted or the fetches end.
pub async fn run(peers: Arc<Peers>) {
    let mut fetching = JoinSet::new(); // aborts the task when dropped
    fetching.spawn(fetch_offered_docs(peers.clone()));
    let mut round = 0u64;
    loop {
        let started = Instant::now();
        if round.is_multiple_of(LINK_CLEANUP_ROUNDS) {
            peers.links.close_unused();
        }
        for addr in targets(&peers, round) {
            // spawned, so that a slow peer does not delay the next round
            tokio::spawn(send_heartbeat(peers.clone(), addr));
        }
        round += 1;
        let jitter = rand::rng().random_range(0.9..1.1);
        let interval = if peers.awaits_contact() { NEWCOMER_INTERVAL } else { HEARTBEAT_INTERVAL };
        let pause = interval.mul_f64(jitter).saturating_sub(started.elapsed());
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            _ = fetching.join_next() => return,
        }
    }
}

fn targets(peers: &Peers, round: u64) -> Vec<SocketAddr> {
    let me = &peers.opts.me;
    let members = peers.members();
    let others = || members.iter().filter(|m| m.id.name() != me.id.name());
    let mut local: Vec<&Member> = others().filter(|m| m.domain == me.domain).collect();
    local.sort_by_key(|m| std::cmp::Reverse(m.watch_rank()));
    let mut targets: Vec<SocketAddr> =
        local.iter().take(RANKED_LOCAL_TARGETS).map(|m| m.addr).collect();
    let mut rng = rand::rng();
    targets.extend(local.iter().skip(RANKED_LOCAL_TARGETS).choose(&mut rng).map(|m| m.addr));
    if round.is_multiple_of(REMOTE_HEARTBEAT_ROUNDS) || local.is_empty() || !peers.can_watch() {
        targets.extend(remote_members(&members, &me.domain).choose(&mut rng).map(|m| m.addr));
    }
    if targets.is_empty() {
        targets.extend(peers.opts.seeds.iter().filter(|s| **s != me.addr).choose(&mut rng));
    }
    targets
}

fn remote_members<'a>(members: &'a [Member], domain: &str) -> Vec<&'a Member> {
    members.iter().filter(|m| m.domain != domain).collect()
}

fn context_with_timeout(timeout: Duration) -> context::Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + timeout;
    cx
}

async fn send_heartbeat(peers: Arc<Peers>, addr: SocketAddr) {
    let Ok(link) = peers.link(addr).await else { return };
    if peers.has_departed() {
        return;
    }
    let sent_at = Instant::now();
    if let Ok(reply) =
        link.client.beat(context_with_timeout(HEARTBEAT_TIMEOUT), peers.heartbeat(Vec::new())).await
    {
        link.record_response(Some(sent_at.elapsed()));
        peers.record_heartbeat(&reply);
        peers.offer_docs(addr, &reply.versions);
    }
}

/// Answers a heartbeat from a peer, whose documents are fetched if they are newer and no push brings them.
///
/// The answer lists the members if the peer lacks the document of any topic.
pub(crate) fn handle_heartbeat(peers: &Arc<Peers>, heartbeat: &Heartbeat) -> Heartbeat {
    peers.record_heartbeat(heartbeat);
    peers.offer_docs(heartbeat.from.addr, &heartbeat.versions);
    let lacks_topic = peers.versions().keys().any(|topic| !heartbeat.versions.contains_key(topic));
    peers.heartbeat(if lacks_topic { peers.members() } else { Vec::new() })
}

/// Fetches the documents that peers have shown to be newer, one fetch at a time unless a peer is slow.
async fn fetch_offered_docs(peers: Arc<Peers>) {
    loop {
        match peers.next_fetch_step() {
            FetchStep::Fetch(addr) => {
                let peers = peers.clone();
                let fetch = tokio::spawn(async move { fetch_docs(&peers, addr).await });
                if timeout(SLOW_FETCH, fetch).await.is_err() {
                    log::debug!(
                        "peer {addr} is slow to send documents; others are asked beside it"
                    );
                }
            }
            FetchStep::WaitUntil(due) => tokio::select! {
                () = peers.sleep_until(due) => {}
                () = peers.docs_offered.notified() => {}
            },
            FetchStep::Idle => peers.docs_offered.notified().await,
        }
    }
}

async fn fetch_docs(peers: &Arc<Peers>, addr: SocketAddr) {
    let Ok(link) = peers.link(addr).await else { return };
    let cx = context_with_timeout(DOCS_TIMEOUT);
    if let Ok(NewerDocs { docs, grace }) = link.client.docs(cx, peers.versions()).await {
        let decode = |(topic, doc): (String, Encoded<Doc>)| Ok((topic, Arc::new(doc.decode()?)));
        let decoded: Result<IndexMap<_, _>, FrameError> = docs.into_iter().map(decode).collect();
        let docs = match decoded {
            Ok(docs) => docs,
            Err(e) => return log::warn!("invalid document from peer {addr}: {e}"),
        };
        let bytes: usize = docs.values().map(|doc| doc.bytes()).sum();
        let peer = addr.to_string();
        log::info!(peer = peer.as_str(), topics = docs.len(), bytes; "documents fetched");
        peers.record_peer_grace(grace);
        let deltas = peers.apply_docs(docs);
        let is_remote =
            !peers.members().iter().any(|m| m.addr == addr && m.domain == peers.opts.me.domain);
        if is_remote && !deltas.is_empty() {
            let peers = peers.clone();
            tokio::spawn(async move { push_to(&peers, local_addrs(&peers), &deltas).await });
        }
    }
}

/// Applies deltas pushed by a peer; its newer documents are fetched if any delta has another base.
pub(crate) fn handle_push(peers: &Arc<Peers>, from: SocketAddr, deltas: &Encoded<DocDeltas>) {
    let deltas = match deltas.decode() {
        Ok(deltas) => deltas,
        Err(e) => return log::warn!("invalid change of documents from peer {from}: {e}"),
    };
    let failed = deltas.iter().filter(|(topic, delta)| !peers.apply_delta(topic, delta));
    let versions: IndexMap<String, u64> =
        failed.map(|(topic, delta)| (topic.clone(), delta.version)).collect();
    if !versions.is_empty() {
        peers.offer_missed_docs(from, versions);
    }
}

/// Pushes deltas to all members of this failure domain and to a sample of each other one.
pub(crate) async fn push_deltas(peers: Arc<Peers>, deltas: DocDeltas) {
    let members = peers.members();
    let remote = remote_members(&members, &peers.opts.me.domain);
    let mut domains: Vec<&str> = remote.iter().map(|m| m.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    let sample = |domain: &str| -> Vec<SocketAddr> {
        let candidates: Vec<_> = remote.iter().filter(|m| m.domain == domain).collect();
        candidates.sample(&mut rand::rng(), peers.opts.remote_push_fanout).map(|m| m.addr).collect()
    };
    let remote: Vec<SocketAddr> = domains.into_iter().flat_map(sample).collect();
    let mut addrs = local_addrs(&peers);
    addrs.extend(remote);
    push_to(&peers, addrs, &deltas).await;
}

/// Returns the addresses of the other members of this failure domain.
fn local_addrs(peers: &Peers) -> Vec<SocketAddr> {
    let me = &peers.opts.me;
    let local = |m: &Member| m.domain == me.domain && m.id.name() != me.id.name();
    peers.members().into_iter().filter(local).map(|m| m.addr).collect()
}

async fn push_to(peers: &Arc<Peers>, addrs: Vec<SocketAddr>, deltas: &DocDeltas) {
    let (started, members) = (Instant::now(), addrs.len());
    let encoded = match Encoded::new(deltas) {
        Ok(encoded) => encoded,
        Err(e) => return log::error!("cannot encode a change of documents: {e}"),
    };
    let send = async |addr| {
        let Ok(link) = peers.link(addr).await else { return };
        let (me, grace) = (peers.opts.me.addr, peers.grace().left(peers.now()));
        let cx = context_with_timeout(DOCS_TIMEOUT);
        if let Err(e) = link.client.push(cx, me, encoded.clone(), grace).await {
            // the peer fetches the documents after a heartbeat with newer versions
            log::debug!("cannot push documents to peer {addr}: {e}");
        }
    };
    join_all(addrs.into_iter().map(send)).await;
    let entries: usize = deltas.values().map(|delta| delta.put.len() + delta.gone.len()).sum();
    let bytes: usize = deltas.values().map(DocDelta::bytes).sum();
    let took_ms = started.elapsed().as_millis() as u64;
    let compressed_bytes = encoded.compressed_bytes();
    log::info!(members, entries, bytes, compressed_bytes, took_ms; "documents pushed");
}

/// Tells all known members that this instance is leaving, and waits until what they have sent it has arrived.
pub async fn announce_departure(peers: &Arc<Peers>) {
    peers.depart();
    let me = peers.opts.me.clone();
    let send = async |m: Member| {
        if let Ok(link) = peers.link(m.addr).await {
            let sent = link
                .client
                .left(context_with_timeout(HEARTBEAT_TIMEOUT), me.id.name().to_owned())
                .await;
            if let Err(e) = sent {
                // the peer stops counting on this instance once heartbeats cease
                log::debug!("cannot announce the departure to peer {}: {e}", m.addr);
            }
        }
    };
    let others = peers.members().into_iter().filter(|m| m.id.name() != me.id.name());
    join_all(others.map(send)).await;
}
