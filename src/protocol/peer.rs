//! Messages between instances, and the calls that carry them.

use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::coordination::attempt::{Label, Outcome};
use crate::coordination::leases::Verdict;
use crate::coordination::tickets::Head;
use crate::state::members::Rosters;
use crate::state::news::News;
use crate::state::roster::{Bucket, InstanceId, Member};
use crate::state::time::Tick;

/// Version of the peer protocol; both ends must have the same.
pub const VERSION: u32 = 1;

/// First message on a peer link, from the end that opened it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the deployment.
    pub deployment: String,
    /// Version of the protocol.
    pub version: u32,
    /// Who opens the link.
    pub from: InstanceId,
    /// Its failure domain.
    pub domain: String,
}

/// Answer to a hello.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Welcome {
    /// The link may be used; this instance answers.
    Yes(InstanceId),
    /// It may not, for this reason; the link is closed.
    No(String),
}

impl Hello {
    /// Answers a hello as instance `me` of `deployment`.
    pub fn welcome(&self, deployment: &str, me: &InstanceId) -> Welcome {
        if self.deployment != deployment {
            Welcome::No(format!("this is deployment `{deployment}`, not `{}`", self.deployment))
        } else if self.version != VERSION {
            Welcome::No(format!("protocol version {VERSION} is spoken here, not {}", self.version))
        } else if self.from.0.is_empty() || self.domain.is_empty() {
            Welcome::No("the hello names no instance or no failure domain".into())
        } else {
            Welcome::Yes(me.clone())
        }
    }
}

/// A sub-request for an upstream's steward.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// What it is for.
    pub label: Label,
    /// The upstream's name.
    pub upstream: String,
    /// It may be run again.
    pub idempotent: bool,
    /// Time left, in microseconds.
    pub left_us: u64,
    /// The body.
    pub body: Bytes,
}

/// A steward's reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkReply {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// News of the upstream.
    pub news: Option<News>,
    /// Who is steward, as far as this instance knows, when it is not itself.
    pub holder: Option<InstanceId>,
}

/// A heartbeat: requests for leases, and versions to compare.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Who sends it.
    pub from: Member,
    /// Buckets whose leases are asked for or renewed; none between failure domains.
    pub asks: Vec<Bucket>,
    /// Stamp of the roster of the sender's failure domain in use there.
    pub stamp: u64,
    /// When it was sent, on the sender's clock.
    pub at: Tick,
    /// Version of the configuration in force at the sender.
    pub config: u64,
    /// Stamps of the sender's rosters.
    pub rosters: IndexMap<String, u64>,
    /// The sender is waiting to become a member.
    pub waiting: bool,
}

/// Answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeatReply {
    /// Who answers.
    pub from: InstanceId,
    /// Answers to the requests, in their order.
    pub verdicts: Vec<Verdict>,
    /// Stamp of the roster of this failure domain in use here.
    pub stamp: u64,
    /// Version of the configuration in force here.
    pub config: u64,
    /// Rosters that differ here.
    pub rosters: Rosters,
}

/// The ramp of an upstream that is handed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ramped {
    /// The upstream's name.
    pub upstream: String,
    /// Answers counted since it started.
    pub answered: u32,
    /// Mark of its run.
    pub boot: Option<u64>,
}

/// A bucket given back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The bucket.
    pub bucket: Bucket,
    /// Who gives it back.
    pub holder: InstanceId,
    /// When, on its clock.
    pub at: Tick,
    /// The ramps of its upstreams.
    pub ramps: Vec<Ramped>,
}

/// Calls between instances.
#[tarpc::service]
pub trait Peer {
    /// Runs a sub-request as steward.
    async fn run(work: Work) -> WorkReply;
    /// Tells what this instance knows of upstreams that it is steward of.
    async fn news(upstreams: Vec<String>) -> IndexMap<String, News>;
    /// Answers at once: the link is alive.
    async fn ping();
    /// Takes a heartbeat.
    async fn beat(beat: Beat) -> BeatReply;
    /// Returns the configuration, if it is newer than `have`.
    async fn head(have: u64) -> Option<Head>;
    /// Takes a configuration that was just accepted.
    async fn push(head: Head) -> u64;
    /// Takes in that buckets were given back.
    async fn release(release: Vec<Release>);
    /// Takes in changed rosters, from a member that leaves.
    async fn rosters(rosters: Rosters);
}
