//! Communication with peers: links, heartbeats and the distribution of documents.
//!
//! One instance of each failure domain watches the platform and pushes updates to the others.

pub(crate) mod gather;
pub(crate) mod heartbeats;
pub(crate) mod links;
pub(crate) mod server;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::coordination::doc_fetch::{DocOffers, FetchStep};
use crate::coordination::gatherers::{places, role};
use crate::coordination::grace::GracePeriods;
use crate::coordination::shares::{Places, Role};
use crate::protocol::encoded::Encoded;
use crate::protocol::frames::FrameError;
use crate::protocol::peer::{DocDeltas, Heartbeat, Hello, PROTOCOL_VERSION};
use crate::state::docs::{ApplyOutcome, Doc, DocDelta, DocStore};
use crate::state::members::{Member, Members, NEWCOMER_TIME};
use crate::state::time::Tick;
use crate::transport::clock::Clock;
use crate::transport::faults::Faults;
use crate::transport::peers::gather::{GatherHandler, Gatherers};
use crate::transport::peers::links::{Link, Links};

/// Time since the last contact after which a member is no longer relied on: three heartbeats.
pub(crate) const CONTACT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Time since the last contact after which a member that is not listed is dropped.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings of the communication with peers.
#[derive(Clone, Debug)]
pub struct PeerOptions {
    /// Name of the deployment; links from other deployments are refused.
    pub deployment: String,
    /// This instance.
    pub me: Member,
    /// Peer addresses to contact while no member is known.
    pub seeds: Vec<SocketAddr>,
    /// Number of members of each other failure domain that document updates are pushed to.
    pub remote_push_fanout: usize,
}

/// A callback that gets topic and content of each new document, from the platform or a peer.
pub type DocHandler = Box<dyn Fn(&str, Arc<Doc>) + Send + Sync>;

/// The links to peers, the known members and the documents received.
pub struct Peers {
    pub(crate) opts: PeerOptions,
    pub(crate) links: Links,
    pub(crate) faults: Faults,
    clock: Clock,
    docs: Mutex<DocStore>,
    /// Documents as last sent whole to a peer, each with its version.
    encoded_docs: Mutex<IndexMap<String, (u64, Encoded<Doc>)>>,
    doc_offers: Mutex<DocOffers>,
    /// Notified of new offers of documents.
    pub(crate) docs_offered: Notify,
    members: Mutex<Members>,
    grace: Mutex<GracePeriods>,
    has_member_list: AtomicBool,
    can_watch: AtomicBool,
    /// Whether this instance has begun to tell its peers that it leaves.
    has_departed: AtomicBool,
    doc_handler: DocHandler,
    pub(crate) gather_handler: OnceLock<Arc<dyn GatherHandler>>,
    pub(crate) gatherers: Gatherers,
}

impl Peers {
    /// Creates the state without any link; `doc_handler` is called for each new document.
    pub fn new(opts: PeerOptions, doc_handler: DocHandler) -> Self {
        Self {
            opts,
            links: Links::default(),
            faults: Faults::default(),
            clock: Clock::default(),
            docs: Mutex::default(),
            encoded_docs: Mutex::default(),
            doc_offers: Mutex::default(),
            docs_offered: Notify::default(),
            members: Mutex::default(),
            grace: Mutex::default(),
            has_member_list: AtomicBool::new(false),
            can_watch: AtomicBool::new(true),
            has_departed: AtomicBool::new(false),
            doc_handler,
            gather_handler: OnceLock::new(),
            gatherers: Gatherers::default(),
        }
    }

    /// Returns the current time on the clock of the grace periods.
    pub fn now(&self) -> Tick {
        self.clock.now()
    }

    /// Returns the grace periods for entries of the platform's store.
    pub fn grace(&self) -> GracePeriods {
        *self.grace.lock()
    }

    /// Records an era of the platform's store.
    pub fn record_store_era(&self, era: u64) {
        self.grace.lock().record_era(era, self.now());
    }

    /// Records that the platform's store answers this instance again.
    pub fn record_store_return(&self) {
        self.grace.lock().record_return(self.now());
    }

    /// Records what is left of a peer's grace period.
    pub(crate) fn record_peer_grace(&self, left: Duration) {
        self.grace.lock().record_peer(left, self.now());
    }

    /// Returns whether this instance watches the platform for its failure domain.
    pub fn is_watcher(&self) -> bool {
        self.members.lock().is_watcher(&self.opts.me, self.can_watch(), CONTACT_TIMEOUT, self.now())
    }

    /// Sets whether this instance can watch the platform, that is, whether the platform answers it.
    pub fn set_can_watch(&self, can_watch: bool) {
        if self.can_watch.swap(can_watch, Ordering::Relaxed) != can_watch {
            log::info!(follows = can_watch; "ability to watch the platform changed");
        }
    }

    /// Applies the platform's list of instances.
    pub fn apply_list(&self, list: &[Member]) {
        self.members.lock().apply_list(list, self.now(), UNLISTED_TIMEOUT);
        self.has_member_list.store(true, Ordering::Relaxed);
    }

    /// Returns the number of instances, this one included; none until a list of them is received.
    pub fn instance_count(&self) -> Option<usize> {
        let members = self.members.lock();
        let is_self_unlisted = !members.iter().any(|m| m.id.name() == self.opts.me.id.name());
        self.has_member_list
            .load(Ordering::Relaxed)
            .then(|| members.len() + usize::from(is_self_unlisted))
    }

    /// Returns the number of known members of this instance's failure domain, at least one.
    pub fn domain_member_count(&self) -> usize {
        self.members.lock().count_in(&self.opts.me.domain).max(1)
    }

    /// Returns the role of this instance for sharded requests.
    pub fn role(&self) -> Role {
        role(&self.opts.me, &self.members())
    }

    /// Returns the places of this instance among those that share limits with it.
    pub fn places(&self) -> Places {
        places(&self.opts.me, &self.members())
    }

    /// Returns the names of the other listed members of this failure domain that had no contact for
    /// longer than `timeout`.
    pub fn silent_members(&self, timeout: Duration) -> Vec<String> {
        let mut silent = self.members.lock().silent_in(&self.opts.me.domain, timeout, self.now());
        silent.retain(|name| name != self.opts.me.id.name());
        silent
    }

    /// Returns the current document of a topic.
    pub fn doc(&self, topic: &str) -> Option<Arc<Doc>> {
        self.docs.lock().get(topic)
    }

    /// Returns whether this instance has received any document.
    pub fn has_docs(&self) -> bool {
        !self.docs.lock().versions().is_empty()
    }

    /// Returns whether this instance has just started and had no contact with a member.
    pub(crate) fn awaits_contact(&self) -> bool {
        self.now() < Tick::default() + NEWCOMER_TIME && !self.members.lock().has_contact()
    }

    /// Returns whether this instance has received a list of the members.
    pub fn has_member_list(&self) -> bool {
        self.has_member_list.load(Ordering::Relaxed)
    }

    /// Returns whether this instance can watch the platform; `true` until it is set otherwise.
    pub fn can_watch(&self) -> bool {
        self.can_watch.load(Ordering::Relaxed)
    }

    /// Returns whether this instance has begun to tell its peers that it leaves.
    pub(crate) fn has_departed(&self) -> bool {
        self.has_departed.load(Ordering::Relaxed)
    }

    /// Records that this instance tells its peers that it leaves; it sends and answers no heartbeats from then on.
    pub(crate) fn depart(&self) {
        self.has_departed.store(true, Ordering::Relaxed);
    }

    /// Returns the known members.
    pub fn members(&self) -> Vec<Member> {
        self.members.lock().iter().cloned().collect()
    }

    /// Stores a document from the platform and pushes the update to peers; returns `false` if the document is not newer
    /// than the one held.
    pub fn publish(self: &Arc<Self>, topic: &str, doc: Doc) -> bool {
        let Some(delta) = self.update_doc(topic, Arc::new(doc)) else { return false };
        let deltas = IndexMap::from([(topic.to_owned(), delta)]);
        tokio::spawn(heartbeats::push_deltas(self.clone(), deltas));
        true
    }

    fn update_doc(&self, topic: &str, doc: Arc<Doc>) -> Option<DocDelta> {
        let mut docs = self.docs.lock();
        let delta = docs.update(topic, doc.clone())?;
        (self.doc_handler)(topic, doc);
        Some(delta)
    }

    /// Stores documents from a peer; returns the updates of those that were newer.
    pub(crate) fn apply_docs(&self, docs: IndexMap<String, Arc<Doc>>) -> DocDeltas {
        let update = |(topic, doc): (String, Arc<Doc>)| {
            log::debug!("received {topic} version {} from a peer", doc.version);
            let delta = self.update_doc(&topic, doc)?;
            Some((topic, delta))
        };
        docs.into_iter().filter_map(update).collect()
    }

    /// Applies a delta from a peer; returns `false` if its base is not the version held here.
    pub(crate) fn apply_delta(&self, topic: &str, delta: &DocDelta) -> bool {
        let mut docs = self.docs.lock();
        match docs.apply_delta(topic, delta) {
            ApplyOutcome::Updated(doc) => {
                (self.doc_handler)(topic, doc);
                true
            }
            ApplyOutcome::NotNewer => true,
            ApplyOutcome::BaseMismatch => false,
        }
    }

    /// Returns the documents that are newer than the versions in `have`; each version is encoded once.
    pub(crate) fn docs_newer_than(
        &self,
        have: &IndexMap<String, u64>,
    ) -> IndexMap<String, Encoded<Doc>> {
        let newer = self.docs.lock().newer_than(have);
        let encoded = newer.into_iter().map(|(topic, doc)| {
            let mut cache = self.encoded_docs.lock();
            if let Some((version, encoded)) = cache.get(&topic)
                && *version == doc.version
            {
                return Ok((topic, encoded.clone()));
            }
            let encoded = Encoded::new(&*doc)?;
            cache.insert(topic.clone(), (doc.version, encoded.clone()));
            Ok((topic, encoded))
        });
        let encoded = encoded.filter_map(|result: Result<_, FrameError>| {
            result.inspect_err(|e| log::error!("cannot encode a document: {e}")).ok()
        });
        encoded.collect()
    }

    pub(crate) fn versions(&self) -> IndexMap<String, u64> {
        self.docs.lock().versions()
    }

    /// Offers documents of a peer with the versions that its heartbeat shows, if they are newer than those held here.
    pub(crate) fn offer_docs(&self, peer: SocketAddr, versions: &IndexMap<String, u64>) {
        let lacks_doc = {
            let docs = self.docs.lock();
            if !docs.is_behind(versions) {
                return;
            }
            versions.keys().any(|topic| docs.get(topic).is_none())
        };
        let now = self.now();
        self.doc_offers.lock().record_heartbeat(peer, versions.clone(), lacks_doc, now);
        self.docs_offered.notify_one();
    }

    /// Offers documents of a peer whose push could not be applied here.
    pub(crate) fn offer_missed_docs(&self, peer: SocketAddr, versions: IndexMap<String, u64>) {
        self.doc_offers.lock().record_failed_push(peer, versions);
        self.docs_offered.notify_one();
    }

    /// Returns what the task that fetches documents does next.
    pub(crate) fn next_fetch_step(&self) -> FetchStep {
        let is_behind = |versions: &IndexMap<String, u64>| self.docs.lock().is_behind(versions);
        self.doc_offers.lock().next_step(is_behind, self.now())
    }

    /// Sleeps until `at`.
    pub async fn sleep_until(&self, at: Tick) {
        self.clock.sleep_until(at).await;
    }

    /// Builds a heartbeat of this instance.
    pub(crate) fn heartbeat(&self, members: Vec<Member>) -> Heartbeat {
        Heartbeat {
            from: self.opts.me.clone(),
            follows: self.can_watch.load(Ordering::Relaxed),
            versions: self.versions(),
            members,
        }
    }

    /// Records a heartbeat from a peer and the members it lists.
    pub(crate) fn record_heartbeat(&self, heartbeat: &Heartbeat) {
        let mut members = self.members.lock();
        members.record_contact(&heartbeat.from, heartbeat.follows, self.now());
        if !heartbeat.members.is_empty() {
            members.add_known(&heartbeat.members, self.now());
            self.has_member_list.store(true, Ordering::Relaxed);
        }
    }

    /// Removes a member that announced its departure, and returns its address.
    pub(crate) fn remove_member(&self, name: &str) -> Option<SocketAddr> {
        self.members.lock().remove(name)
    }

    fn hello(&self) -> Hello {
        Hello {
            deployment: self.opts.deployment.clone(),
            version: PROTOCOL_VERSION,
            from: self.opts.me.id.clone(),
            domain: self.opts.me.domain.clone(),
        }
    }

    /// Returns the link to a peer, opening it if necessary.
    pub(crate) async fn link(&self, addr: SocketAddr) -> anyhow::Result<Arc<Link>> {
        if self.faults.is_peer_cut(addr) {
            anyhow::bail!("peer {addr} is cut off by an injected fault");
        }
        self.links.get(addr, &self.hello(), self.clock).await
    }
}
