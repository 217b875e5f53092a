//! Towards peers: links, heartbeats, and documents passed on. One instance of a failure domain follows
//! the platform; the others hear from it.

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

use crate::coordination::gatherers::role;
use crate::coordination::shares::Role;
use crate::protocol::peer::{Beat, Hello, VERSION};
use crate::state::docs::{ApplyOutcome, Doc, DocDelta, DocStore};
use crate::state::members::{Member, Members};
use crate::state::time::Tick;
use crate::transport::clock::Clock;
use crate::transport::faults::Faults;
use crate::transport::peers::gather::{GatherHandler, Gatherers};
use crate::transport::peers::links::{Link, Links};

/// Time without a word after which a member is not counted on: three heartbeats.
pub(crate) const PATIENCE: Duration = Duration::from_millis(1_300);
/// Time for which a member that is not listed any more still counts.
const UNLISTED: Duration = Duration::from_secs(5);

/// Settings of the links to peers.
#[derive(Clone, Debug)]
pub struct PeerOptions {
    /// Name of the deployment; links between deployments are refused.
    pub deployment: String,
    /// This instance.
    pub me: Member,
    /// Listeners to ask while no member is known.
    pub seeds: Vec<SocketAddr>,
    /// Members of each other failure domain that new documents are pushed to at once.
    pub remote_push_fanout: usize,
}

/// What takes in a document that has come from a peer.
pub type DocHandler = Box<dyn Fn(&str, Arc<Doc>) + Send + Sync>;

/// The links to peers and what was heard over them.
pub struct Peers {
    pub(crate) opts: PeerOptions,
    pub(crate) links: Links,
    pub(crate) faults: Faults,
    clock: Clock,
    docs: Mutex<DocStore>,
    members: Mutex<Members>,
    known: AtomicBool,
    can_watch: AtomicBool,
    doc_handler: DocHandler,
    pub(crate) gather_handler: OnceLock<Arc<dyn GatherHandler>>,
    pub(crate) gatherers: Gatherers,
}

impl Peers {
    /// Builds the state of links; `taker` takes in what comes.
    pub fn new(opts: PeerOptions, doc_handler: DocHandler) -> Self {
        Self {
            opts,
            links: Links::default(),
            faults: Faults::default(),
            clock: Clock::default(),
            docs: Mutex::default(),
            members: Mutex::default(),
            known: AtomicBool::new(false),
            can_watch: AtomicBool::new(true),
            doc_handler,
            gather_handler: OnceLock::new(),
            gatherers: Gatherers::default(),
        }
    }

    pub(crate) fn now(&self) -> Tick {
        self.clock.now()
    }

    /// Says whether this instance follows the platform for its failure domain.
    pub fn is_watcher(&self) -> bool {
        self.members.lock().is_watcher(&self.opts.me, self.can_watch(), PATIENCE, self.now())
    }

    /// Sets whether the platform answers this instance.
    pub fn set_can_watch(&self, can_watch: bool) {
        if self.can_watch.swap(can_watch, Ordering::Relaxed) != can_watch {
            log::info!(follows = can_watch; "this instance can follow the platform");
        }
    }

    /// Takes in the platform's list of instances.
    pub fn apply_list(&self, list: &[Member]) {
        self.members.lock().apply_list(list, self.now(), UNLISTED);
        self.known.store(true, Ordering::Relaxed);
    }

    /// Returns the number of instances, this one included, once any list of them is known.
    pub fn instance_count(&self) -> Option<usize> {
        let members = self.members.lock();
        let own = !members.iter().any(|m| m.id.name() == self.opts.me.id.name());
        self.known.load(Ordering::Relaxed).then(|| members.len() + usize::from(own))
    }

    /// Returns the number of members of the own failure domain, this one included.
    pub fn domain_member_count(&self) -> usize {
        self.members.lock().count_in(&self.opts.me.domain).max(1)
    }

    /// Returns what this instance does for requests over shards.
    pub fn role(&self) -> Role {
        role(&self.opts.me, &self.members())
    }

    /// Returns the names of listed members of the own failure domain that are silent for long.
    pub fn silent_members(&self, patience: Duration) -> Vec<String> {
        let mut silent = self.members.lock().silent_in(&self.opts.me.domain, patience, self.now());
        silent.retain(|name| name != self.opts.me.id.name());
        silent
    }

    /// Returns the document of a topic that this instance holds.
    pub fn doc(&self, topic: &str) -> Option<Arc<Doc>> {
        self.docs.lock().get(topic)
    }

    /// Says whether this instance holds any document yet.
    pub fn has_docs(&self) -> bool {
        !self.docs.lock().versions().is_empty()
    }

    /// Says whether the platform answers this instance, as far as it knows.
    pub fn can_watch(&self) -> bool {
        self.can_watch.load(Ordering::Relaxed)
    }

    /// Returns the members known.
    pub fn members(&self) -> Vec<Member> {
        self.members.lock().iter().cloned().collect()
    }

    /// Takes a document in that this instance has from the platform, and passes it on.
    pub fn publish(self: &Arc<Self>, topic: &str, doc: Doc) {
        if let Some(change) = self.take_one(topic, Arc::new(doc)) {
            let changes = IndexMap::from([(topic.to_owned(), change)]);
            tokio::spawn(heartbeats::push(self.clone(), changes));
        }
    }

    fn take_one(&self, topic: &str, doc: Arc<Doc>) -> Option<DocDelta> {
        let mut docs = self.docs.lock();
        let change = docs.update(topic, doc.clone())?;
        (self.doc_handler)(topic, doc);
        Some(change)
    }

    /// Takes documents in from a peer; returns what that changed.
    pub(crate) fn take(&self, docs: IndexMap<String, Arc<Doc>>) -> IndexMap<String, DocDelta> {
        let one = |(topic, doc): (String, Arc<Doc>)| {
            log::debug!("{topic} version {} from a peer", doc.version);
            let change = self.take_one(&topic, doc)?;
            Some((topic, change))
        };
        docs.into_iter().filter_map(one).collect()
    }

    /// Takes in a change from a peer; says whether it fits what this instance holds.
    pub(crate) fn apply(&self, topic: &str, change: &DocDelta) -> bool {
        let mut docs = self.docs.lock();
        match docs.apply_delta(topic, change) {
            ApplyOutcome::Updated(doc) => {
                (self.doc_handler)(topic, doc);
                true
            }
            ApplyOutcome::NotNewer => true,
            ApplyOutcome::BaseMismatch => false,
        }
    }

    pub(crate) fn newer_than(&self, have: &IndexMap<String, u64>) -> IndexMap<String, Arc<Doc>> {
        self.docs.lock().newer_than(have)
    }

    pub(crate) fn versions(&self) -> IndexMap<String, u64> {
        self.docs.lock().versions()
    }

    pub(crate) fn behind(&self, theirs: &IndexMap<String, u64>) -> bool {
        self.docs.lock().is_behind(theirs)
    }

    /// Returns this instance's heartbeat.
    pub(crate) fn beat(&self, members: Vec<Member>) -> Beat {
        Beat {
            from: self.opts.me.clone(),
            follows: self.can_watch.load(Ordering::Relaxed),
            versions: self.versions(),
            members,
        }
    }

    /// Takes in a peer's heartbeat.
    pub(crate) fn heard(&self, beat: &Beat) {
        let mut members = self.members.lock();
        members.record_contact(&beat.from, beat.follows, self.now());
        if !beat.members.is_empty() {
            members.add_known(&beat.members, self.now());
            self.known.store(true, Ordering::Relaxed);
        }
    }

    pub(crate) fn left(&self, name: &str) {
        self.members.lock().remove(name);
    }

    fn hello(&self) -> Hello {
        Hello {
            deployment: self.opts.deployment.clone(),
            version: VERSION,
            from: self.opts.me.id.clone(),
            domain: self.opts.me.domain.clone(),
        }
    }

    /// Returns the link to a peer.
    pub(crate) async fn link(&self, addr: SocketAddr) -> anyhow::Result<Arc<Link>> {
        if self.faults.cuts_peer(addr) {
            anyhow::bail!("peer {addr} is cut off");
        }
        self.links.get(addr, &self.hello()).await
    }
}
