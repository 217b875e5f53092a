//! What a process holds for callers that it does not control: their connections and the bytes held for them, as one budget.
//!
//! The load pattern: a crowd opens many connections and sends nothing, heads or bodies that stop just short of their end, whole, in
//! pieces or in tiny chunks, or does not read its answers. Ordinary callers come beside it: what they send arrives within a few
//! round trips, and they read what they get. So whatever waits for its caller may be given up once the budget is used up, and what
//! has held the most bytes for the longest goes first; a request that has arrived whole is never given up, and a newcomer that
//! finds nothing but such requests is turned away.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;

use crate::state::arena::{Arena, CallerKey};
use crate::state::sharded_map::ShardedMap;
use crate::state::time::Tick;

/// Bytes held for an open connection: its task, and its read buffer with a head of the maximum size.
pub const CONNECTION_BYTES: usize = 32 << 10;
/// Bytes that a connection's socket may have received while nothing is read from it, because its request is at work.
pub const UNREAD_BYTES: usize = 64 << 10;
/// Part of a machine's memory that is set aside for callers; replies of servers have a fifth, the rest is the process's own.
const MEMORY_DIVISOR: usize = 4;
/// Part of a machine's memory that is set aside for one of the other listeners.
const LISTENER_MEMORY_DIVISOR: usize = 32;
/// Maximum number of connections to one of the other listeners; balancers and operators have a few.
const LISTENER_CONNECTIONS: usize = 64;
/// Descriptors that a machine sets aside for files, if it has twice as many.
const FILE_DESCRIPTORS: usize = 200;

/// What the machine grants to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory, in bytes; what sockets have received and nobody has read counts towards it.
    pub memory_bytes: usize,
    /// Descriptors, of files and sockets together.
    pub descriptors: usize,
}

impl Default for Machine {
    fn default() -> Self {
        Self { memory_bytes: 256 << 20, descriptors: 1_024 }
    }
}

impl Machine {
    /// Returns what settings state, in megabytes and descriptors, with the defaults for what they do not.
    pub fn from_settings(memory_mb: Option<u64>, descriptors: Option<usize>) -> Self {
        let defaults = Self::default();
        let memory_bytes = memory_mb.map(|mb| usize::try_from(mb.saturating_mul(1 << 20)));
        Self {
            memory_bytes: memory_bytes.map_or(defaults.memory_bytes, |b| b.unwrap_or(usize::MAX)),
            descriptors: descriptors.unwrap_or(defaults.descriptors),
        }
    }
}

/// Limits of what is held for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBudgetOptions {
    /// Maximum number of bytes held.
    pub max_bytes: usize,
    /// Maximum number of open connections.
    pub max_connections: usize,
}

impl CallerBudgetOptions {
    /// Returns the part of a machine that is set aside for callers: a quarter of its memory, and half of the descriptors that
    /// sockets may have. The other half is for servers, peers and the platform's store.
    pub fn for_machine(machine: Machine) -> Self {
        let files = FILE_DESCRIPTORS.min(machine.descriptors / 2);
        Self {
            max_bytes: machine.memory_bytes / MEMORY_DIVISOR,
            max_connections: (machine.descriptors - files) / 2,
        }
    }

    /// Returns the part of a machine that is set aside for links that peers open: a quarter of the descriptors that sockets may
    /// have. What a link holds beside its buffers is bounded by the size of a frame.
    pub fn for_peers(machine: Machine) -> Self {
        let max_connections = Self::for_machine(machine).max_connections / 2;
        Self { max_bytes: max_connections * (CONNECTION_BYTES + UNREAD_BYTES), max_connections }
    }

    /// Returns the part of a machine that is set aside for a listener of operators, the load balancer or metrics.
    pub fn for_listener(machine: Machine) -> Self {
        Self {
            max_bytes: machine.memory_bytes / LISTENER_MEMORY_DIVISOR,
            max_connections: LISTENER_CONNECTIONS.min(machine.descriptors / 16),
        }
    }
}

impl Default for CallerBudgetOptions {
    fn default() -> Self {
        Self::for_machine(Machine::default())
    }
}

/// What is given up of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// The request that has not arrived whole: it is refused, and what was held of its body is dropped.
    Body,
    /// The connection: it is closed.
    Connection,
}

/// The outcome of a call that needs room.
#[derive(Debug)]
#[must_use]
pub struct Grant<H> {
    /// Whether there is room.
    pub is_granted: bool,
    /// What was given up for it, by the handles of the connections.
    pub evicted: Vec<(H, Eviction)>,
}

/// What one connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Awaited {
    /// Its caller is to send a head, or has been idle since its last answer.
    Head,
    /// Its caller is to send the rest of a body.
    Body,
    /// Its request has arrived whole and is at work.
    Servers,
    /// Its caller is to read an answer.
    Reader,
    /// It was given up, and is to be closed.
    Close,
}

/// What is held for one connection.
#[derive(Debug)]
struct Holding<H> {
    /// Bytes of the connection itself; zero until there is room for it.
    connection: usize,
    /// Bytes of the request that arrives or is at work.
    request: usize,
    /// Bytes of the answers that are not read.
    answers: usize,
    awaits: Awaited,
    /// Since when it waits for its caller.
    since: Tick,
    handle: H,
}

impl<H> Holding<H> {
    fn bytes(&self) -> usize {
        self.connection + self.request + self.answers
    }

    /// Returns what can be given up for a need, and how many bytes that frees.
    fn evictable(&self, need: Need) -> Option<(Eviction, usize)> {
        match self.awaits {
            Awaited::Servers | Awaited::Close => None,
            Awaited::Body if need == Need::Bytes && self.answers == 0 => {
                Some((Eviction::Body, self.request))
            }
            _ => Some((Eviction::Connection, self.bytes())),
        }
    }

    /// Returns how much it matters that this is given up for a need; zero if nothing would be gained.
    fn weight(&self, need: Need, now: Tick) -> u128 {
        let Some((_, freed)) = self.evictable(need) else { return 0 };
        // a wait of less than a microsecond counts as one
        let waited = now.since(self.since).max(Duration::from_micros(1)).as_micros();
        match need {
            Need::Bytes => waited * freed as u128,
            Need::Connection => waited,
        }
    }
}

/// The outcome of opening a connection.
#[derive(Debug)]
#[must_use]
pub enum Opening<H> {
    /// It is open, and what was given up for its bytes.
    Open(CallerKey, Vec<(H, Eviction)>),
    /// It may be opened once a connection that was given up is closed, with those that were given up for it now.
    Wait(Vec<(H, Eviction)>),
    /// There is no room for it, since all others have whole requests at work; what was given up all the same.
    Full(Vec<(H, Eviction)>),
}

/// What is scarce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    Bytes,
    Connection,
}

/// The budget of all connections of callers; `H` is what the transport needs to give up a connection.
///
/// Each connection has its record in one of the shards. The bytes of all are an atomic number, so that two threads may both find it
/// below its limit: it may be exceeded by what each of them adds at a time, a segment of a body.
pub struct CallerBudget<H> {
    opts: CallerBudgetOptions,
    /// The keys in use; their number is that of the open connections.
    keys: Mutex<Arena<CallerKey, ()>>,
    holdings: ShardedMap<CallerKey, Holding<H>>,
    bytes: AtomicUsize,
    /// Number of connections that were given up and are not closed.
    closing: AtomicUsize,
}

impl<H: Clone> CallerBudget<H> {
    /// Creates a budget of which nothing is used.
    pub fn new(opts: CallerBudgetOptions) -> Self {
        let (keys, holdings) = (Mutex::default(), ShardedMap::default());
        let (bytes, closing) = (AtomicUsize::new(0), AtomicUsize::new(0));
        Self { opts, keys, holdings, bytes, closing }
    }

    /// Returns the bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.keys.lock().len()
    }

    /// Opens a connection, if there is room for it. A connection that was given up takes its place until it is closed.
    pub fn open(&self, handle: H, now: Tick) -> Opening<H> {
        let key = {
            let mut keys = self.keys.lock();
            (keys.len() < self.opts.max_connections).then(|| keys.insert(()))
        };
        let Some(key) = key else {
            if self.closing.load(Ordering::Relaxed) > 0 {
                return Opening::Wait(Vec::new());
            }
            return match self.evict_one(Need::Connection, now) {
                Some((_, evicted)) => Opening::Wait(vec![evicted]),
                None => Opening::Full(Vec::new()),
            };
        };
        let new = Holding {
            connection: 0,
            request: 0,
            answers: 0,
            awaits: Awaited::Head,
            since: now,
            handle,
        };
        self.holdings.with_or_insert(key, || new, |_| ());
        let Grant { is_granted, evicted } = self.make_room(key, CONNECTION_BYTES, now);
        if !is_granted {
            self.close(key);
            return Opening::Full(evicted);
        }
        self.update(key, |h| h.connection = CONNECTION_BYTES);
        Opening::Open(key, evicted)
    }

    /// Closes a connection and gives back what it holds.
    pub fn close(&self, key: CallerKey) {
        if let Some(holding) = self.holdings.remove(key) {
            self.bytes.fetch_sub(holding.bytes(), Ordering::Relaxed);
            if holding.awaits == Awaited::Close {
                self.closing.fetch_sub(1, Ordering::Relaxed);
            }
            self.keys.lock().remove(key);
        }
    }

    /// Records the first byte of a head.
    pub fn begin_head(&self, key: CallerKey, now: Tick) {
        self.update(key, |h| {
            if h.awaits == Awaited::Head {
                h.since = now;
            }
        });
    }

    /// Records a whole head, whose body is to come; the time since the first byte of the head counts on.
    pub fn begin_body(&self, key: CallerKey) {
        self.update(key, |h| h.awaits = Awaited::Body);
    }

    /// Adds bytes of a body that arrives. Others are given up for them, unless the connection itself has held the most for the
    /// longest.
    pub fn hold(&self, key: CallerKey, bytes: usize, now: Tick) -> Grant<H> {
        let mut grant = self.make_room(key, bytes, now);
        grant.is_granted = grant.is_granted && self.update(key, |h| h.request += bytes);
        grant
    }

    /// Records that a request has arrived whole with a body of `bytes`: from now on it is not given up. Refused if there is no
    /// room for what its socket may receive meanwhile.
    pub fn begin_work(&self, key: CallerKey, bytes: usize, now: Tick) -> Grant<H> {
        let held = self.holdings.with(key, |h| h.request).unwrap_or_default();
        let wanted = UNREAD_BYTES + bytes;
        let mut grant = self.make_room(key, wanted.saturating_sub(held), now);
        grant.is_granted = grant.is_granted
            && self.update(key, |h| {
                h.request = wanted;
                h.awaits = Awaited::Servers;
            });
        grant
    }

    /// Gives back bytes that were held for a request.
    pub fn give_back(&self, key: CallerKey, bytes: usize) {
        self.update(key, |h| h.request = h.request.saturating_sub(bytes));
    }

    /// Records an answer of `bytes`, which is held until its caller has read it. It is always held, since its request may have
    /// run; others are given up for it as long as there are any.
    pub fn begin_answer(&self, key: CallerKey, bytes: usize, now: Tick) -> Vec<(H, Eviction)> {
        let Grant { evicted, .. } = self.make_room(key, bytes, now);
        self.update(key, |h| {
            h.request = h.request.min(UNREAD_BYTES);
            h.answers += bytes;
            h.awaits = Awaited::Reader;
            h.since = now;
        });
        evicted
    }

    /// Records that all answers of a connection are read.
    pub fn finish_answer(&self, key: CallerKey, now: Tick) {
        self.update(key, |h| {
            (h.request, h.answers) = (0, 0);
            h.awaits = Awaited::Head;
            h.since = now;
        });
    }

    /// Changes what is held for a connection; returns whether it is open.
    fn update(&self, key: CallerKey, change: impl FnOnce(&mut Holding<H>)) -> bool {
        let changed = self.holdings.with(key, |h| {
            // what was given up holds nothing more, even if its task has not noticed yet
            (h.awaits != Awaited::Close).then(|| self.change(h, change))
        });
        changed.flatten().is_some()
    }

    /// Changes a record under its lock, and the bytes of all with it.
    fn change(&self, holding: &mut Holding<H>, change: impl FnOnce(&mut Holding<H>)) {
        let before = holding.bytes();
        change(holding);
        let after = holding.bytes();
        if after > before {
            self.bytes.fetch_add(after - before, Ordering::Relaxed);
        } else {
            self.bytes.fetch_sub(before - after, Ordering::Relaxed);
        }
    }

    /// Gives up what it takes to hold `bytes` more for a connection, until that connection itself would be next.
    fn make_room(&self, key: CallerKey, bytes: usize, now: Tick) -> Grant<H> {
        let mut evicted = Vec::new();
        while bytes > 0 && self.bytes() + bytes > self.opts.max_bytes {
            match self.evict_one(Need::Bytes, now) {
                Some((victim, eviction)) => {
                    evicted.push(eviction);
                    if victim == key {
                        return Grant { is_granted: false, evicted };
                    }
                }
                None => return Grant { is_granted: false, evicted },
            }
        }
        Grant { is_granted: true, evicted }
    }

    /// Gives up what has waited for its caller with the most bytes for the longest, or for the longest if a connection is needed.
    fn evict_one(&self, need: Need, now: Tick) -> Option<(CallerKey, (H, Eviction))> {
        loop {
            let mut heaviest: Option<(u128, CallerKey)> = None;
            self.holdings.for_each(|key, h| {
                let weight = h.weight(need, now);
                if weight > heaviest.map_or(0, |(most, _)| most) {
                    heaviest = Some((weight, key));
                }
            });
            let (_, key) = heaviest?;
            // it may have become whole or been closed since it was looked at
            if let Some(evicted) = self.holdings.with(key, |h| self.evict(h, need)).flatten() {
                return Some((key, evicted));
            }
        }
    }

    /// Gives up what a need can be met with, unless nothing of it waits for its caller any more.
    fn evict(&self, holding: &mut Holding<H>, need: Need) -> Option<(H, Eviction)> {
        let (eviction, _) = holding.evictable(need)?;
        match eviction {
            Eviction::Body => self.change(holding, |h| h.request = 0),
            Eviction::Connection => {
                self.closing.fetch_add(1, Ordering::Relaxed);
                self.change(holding, |h| {
                    (h.connection, h.request, h.answers) = (0, 0, 0);
                    h.awaits = Awaited::Close;
                });
            }
        }
        Some((holding.handle.clone(), eviction))
    }
}
