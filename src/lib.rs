//! tamarackdeck: a query tier over many shards.
//!
//! Entry instances stand between callers and upstreams. They answer on time, from one snapshot, say
//! what their answers cover, never overload a starting upstream and never run a non-idempotent
//! request twice. The layers point one way: transport, protocol, coordination, state.

mod coordination;
mod protocol;
mod state;
mod transport;

pub use coordination::admission::{Done, Gate, Moves, Waits};
pub use coordination::attempt::{
    Attempt, Fault, Handed, Label, NotRun, Outcome, RawAnswer, Said, Waiting, Why,
};
pub use coordination::budget::Budget;
pub use coordination::darkness::Darkness;
pub use coordination::extras::{ExtraOptions, Extras};
pub use coordination::fanout::FanOut;
pub use coordination::learned::{Choice, Learned, pick as pick_server};
pub use coordination::leases::{Ask, Lease, LeaseOptions, Leases, Share, Verdict};
pub use coordination::lifecycle::{
    Instance, Leaving, Serving, Starting, StopOptions, Stopped, UnderWay,
};
pub use coordination::limiter::Limiter;
pub use coordination::once::{Claim, Settle, Step, Written, after_create, after_read, settle};
pub use coordination::outlier::Outlier;
pub use coordination::quantile::Quantile;
pub use coordination::query::{
    Answer, Choices, Effect, FanOutOptions, Missing, Progress, Send as SendAttempt,
};
pub use coordination::ramp::Ramp;
pub use coordination::replica::{Candidate, pick};
pub use coordination::roster_change::{
    SILENT, Sightings, bequeath, bury, join, leave, settle_roster, succeed,
};
pub use coordination::scatter::{
    End, Order, Scatter, ScatterOptions, Scene, Verdict as ScatterVerdict,
};
pub use coordination::shares::{ColdGate, connections as connection_share};
pub use coordination::snapshot::choose;
pub use coordination::split::Draw;
pub use coordination::tickets::{
    Accepted, Change, Checked, Draft, Head, MOST_BYTES, moves_forward,
};
pub use coordination::top::greatest;
pub use coordination::window::Window;
pub use protocol::caller::{
    Coverage, MissingShard, Part, QueryAnswer, Refusal, RequestAnswer, Wishes,
};
pub use protocol::dump::{BucketDump, Dump, GateDump};
pub use protocol::frames::{FrameError, Frames, decode, encode};
pub use protocol::peer::{
    Beat, BeatReply, Hello, Ramped, Release, VERSION as PEER_VERSION, Welcome, Work, WorkReply,
};
pub use protocol::platform::{
    Away, HEAD, InstanceState, Listed, Object, Platform, WriteResult, claim_key, roster_key,
    ticket_key,
};
pub use protocol::upstream::{Call, Ended, Target, Told, Upstreams};
pub use protocol::wire::{Ask as CallerAsk, Declined, HeadTold, Wire};
pub use state::arena::{
    Arena, AttemptKey, FlightKey, Key, PoolKey, RouteKey, ServerKey, ServiceKey, UpstreamKey,
};
pub use state::catalog::{Catalog, MapEntry, ServiceEntry, ShardEntry, UpstreamEntry};
pub use state::findings::{Finding, Findings};
pub use state::fleet::{
    Bear, Domain, Fleet, Policy, Prefer, Service, ShardMap, Snapshot, Stamped, Upstream,
};
pub use state::members::Rosters;
pub use state::named::Named;
pub use state::names::Names;
pub use state::news::{Health, Heard, Held, News};
pub use state::roster::{BUCKETS, Bucket, Entry, InstanceId, Member, Roster};
pub use state::picture::{Picture, Server, ServerReport, View};
pub use state::routes::{CallerLimits, Gathering, PoolBounds, Route, RouteTable, Target as RouteTarget};
pub use state::sharded::{Sharded, ShardedArena};
pub use state::ticket::{Remove, Ticket};
pub use state::time::Tick;
pub use transport::clock::Clock;
pub use transport::daemon::run;
pub use transport::http::{Client, FullResponse, Reply, get, plain, post, serve as serve_http};
pub use transport::line_log::init as init_line_log;
pub use transport::logging::init as init_logging;
pub use transport::operate::{Ended as CommandEnded, operate};
pub use transport::platform_http::HttpPlatform;
pub use transport::platform_memory::MemoryPlatform;
pub use transport::settings::{Command, LogFormat, Mode, Settings};
pub use transport::tier::front::{FrontStop, ready, serve as serve_callers};
pub use transport::tier::{Tier, TierOptions};
pub use transport::upstream_http::HttpUpstreams;
