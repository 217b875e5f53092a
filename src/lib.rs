//! tamarackdeck: a query tier over many shards.
//!
//! Entry instances stand between callers and upstreams. Each query is answered by its deadline, from
//! one snapshot, and the answer states which shards it covers. A starting upstream gets no more load
//! than it can take, and a non-idempotent request never runs twice. Each layer depends only on those
//! after it: transport, protocol, coordination, state.

mod coordination;
mod protocol;
mod state;
mod transport;

pub use coordination::attempt::{
    Attempt, ConnectionUse, Dispatched, Fault, Label, NotRun, NotRunCode, Outcome, Pending,
    RawAnswer, Replied, UpstreamRefusal, is_final_status,
};
pub use coordination::caller_budget::{
    CONNECTION_BYTES, CallerBudget, CallerBudgetOptions, Eviction, Grant, Machine, Opening,
    UNREAD_BYTES,
};
pub use coordination::connection::{CallerConnection, ConnectionPhase};
pub use coordination::division::{
    Division, RangeEnd, RangeProgress, RangeRatios, RangeRefusals, RangeStep, RangesDecision,
    range_ratios,
};
pub use coordination::doc_fetch::{DocOffers, FetchStep, SLOW_FETCH, fetch_delay};
pub use coordination::domain_health::DomainHealth;
pub use coordination::gatherers::{
    GatherContext, GatherRefusal, Spread, can_take, is_heavy, places, role, select_gatherers,
    shards_by_domain,
};
pub use coordination::grace::{GracePeriods, HeldBack, REREGISTRATION_GRACE};
pub use coordination::lag::{Lag, SAMPLE_INTERVAL as LAG_SAMPLE_INTERVAL};
pub use coordination::latency_histogram::LatencyHistogram;
pub use coordination::lifecycle::{
    Closing, Instance, Leaving, Serving, Starting, StopOptions, StopTimes, Stopped, Unfinished,
};
pub use coordination::limiter::Limiter;
pub use coordination::list_walk::{ListWalk, NextPage, PORTABLE_NAME_BYTES, PageName};
pub use coordination::once::{
    Claim, ClaimAction, Expected, RecentClaims, Rewrite, Step, StoreEra, WriteOutcome,
    rewrite_step, settle_claim, step_after_create, step_after_read, step_before_create,
};
pub use coordination::outlier::{OutlierDetector, Probe};
pub use coordination::peer_clock::{MAX_CLOCK_ERROR, PeerClock};
pub use coordination::query::{Answer, MissingReason};
pub use coordination::rate_limit::{LimitPart, LimitReport, LimitedRate, RateLimit, Reservation};
pub use coordination::reachability::{CutReport, available_from, is_unreachable, limited_rate};
pub use coordination::retry_budget::{RetryBudget, RetryBudgetOptions};
pub use coordination::return_times::{ReturnTimes, ServiceShare, return_from};
pub use coordination::round_robin::WeightedRoundRobin;
pub use coordination::scatter::{
    Decision, Scatter, ScatterContext, ScatterOptions, SendResult, ShardSend,
};
pub use coordination::server_notices::{
    Availability, ListenerNumber, MAX_BACKOFF, Notice, NoticeMemory, RunId, SendPermit,
    ServerNotices,
};
pub use coordination::server_stats::{Candidate, RunReport, Sent, ServerStats, pick_server};
pub use coordination::shares::{ColdLimiter, Places, Role, connection_share, limit_share};
pub use coordination::sliding_window::SlidingWindow;
pub use coordination::snapshot::choose_snapshot;
pub use coordination::store_era::{
    ListUse, StoreCall, StorePoint, WatchCursor, WatchUse, doc_era, is_interrupted,
};
pub use coordination::store_mirror::{ListExtent, StoreChanges, StoreList, StoreMirror};
pub use coordination::supervision::{Ended, Running, SupervisionOptions, Task};
pub use coordination::tickets::{
    Accepted, Change, Checked, Draft, Head, MAX_CONFIG_BYTES, is_newer,
};
pub use coordination::top_records::top_records;
pub use coordination::warming::Warming;
pub use protocol::caller::{
    Coverage, MissingShard, Part, QueryAnswer, Refusal, RequestAnswer, RequestOptions,
};
pub use protocol::codec::{
    CallerCodec, CallerRequest, DeclineReason, OutgoingRequest, ResponseHead, ServerCodec,
};
pub use protocol::dump::{Dump, UpstreamDump};
pub use protocol::encoded::Encoded;
pub use protocol::frames::{
    FrameError, FrameTransport, MAX_FRAME_BYTES, decode_batch, encode_batch,
};
pub use protocol::gather::{GatherRequest, GatherResult, GatherScope, GatherTimes};
pub use protocol::peer::{Heartbeat, Hello, HelloReply, PROTOCOL_VERSION as PEER_PROTOCOL_VERSION};
pub use protocol::platform::{
    ERA_HEADER, HEAD_KEY, InstanceState, ListedInstance, Object, Platform, PlatformError,
    RESTORED_HEADER, WriteResult, claim_key, encode_head, head_size, parse_head, parse_store_era,
    ticket_key,
};
pub use protocol::rate_limit::{InvalidRateLimit, parse_rate_limit};
pub use protocol::retry_after::{InvalidRetryAfter, parse_retry_after, retry_after_value};
pub use protocol::upstream::{UpstreamCodec, parse_label, parse_load};
pub use protocol::uri::encode_uri_component;
pub use state::arena::{
    Arena, CallerKey, Key, PoolKey, RouteKey, ServerKey, ServiceKey, UpstreamKey,
};
pub use state::beliefs::Beliefs;
pub use state::catalog::{Catalog, ServiceEntry, ShardEntry, ShardMapEntry};
pub use state::docs::{ApplyOutcome, Doc, DocDelta, DocStore};
pub use state::findings::{Finding, Findings};
pub use state::fleet::{
    Capacity, Domain, FleetConfig, Policy, Preference, Service, ShardMap, Snapshot, Upstream,
    Versioned,
};
pub use state::members::{InstanceId, Member, Members};
pub use state::name_interner::NameInterner;
pub use state::named_map::NamedMap;
pub use state::routes::{CallerLimits, PoolLimits, Route, RouteTable, ScatterGather, Target};
pub use state::sharded_map::ShardedMap;
pub use state::snapshot_range::SnapshotRange;
pub use state::ticket::{Removals, Ticket};
pub use state::time::Tick;
pub use state::topology::{Server, ServerReport, Topology, TopologyView};
pub use transport::admission::{Receiving, RequestHold, Working};
pub use transport::callers::frontend::{
    Arrival, Handler, readiness_response, serve as serve_callers,
};
pub use transport::callers::proxy::Proxy;
pub use transport::clock::Clock;
pub use transport::http::{
    Client, FullResponse, Reply, get, post, serve as serve_http, text_response,
};
pub use transport::operators::command::{Output as CommandOutput, run_command};
pub use transport::peers::gather::{GatherHandler, maintain_links as maintain_gatherer_links};
pub use transport::peers::heartbeats::{announce_departure, run as run_heartbeats};
pub use transport::peers::server::serve as serve_peers;
pub use transport::peers::{DocHandler, PeerOptions, Peers};
pub use transport::process::daemon::run;
pub use transport::process::logging::{LogOptions, init as init_log, render as render_log};
pub use transport::segments::SegmentedBody;
pub use transport::settings::{Command, LogFormat, Settings};
pub use transport::store::http::HttpPlatform;
pub use transport::store::memory::MemoryPlatform;
pub use transport::supervisor::Supervisor;
pub use transport::upstreams::probe::run as run_probes;
pub use transport::upstreams::tier::{Tier, TierOptions};
pub use transport::upstreams::warm::run as run_warming;
