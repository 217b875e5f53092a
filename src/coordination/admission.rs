//! Admission at an upstream's steward: exact slots, a queue ordered by deadline, slow start.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::coordination::attempt::Why;
use crate::coordination::leases::{Lease, Share};
use crate::coordination::outlier::Outlier;
use crate::coordination::ramp::Ramp;
use crate::state::fleet::Bear;
use crate::state::news::{Health, Held, News};
use crate::state::time::Tick;

/// Weight of one answer in the moving mean of answer times.
const MEAN_WEIGHT: f64 = 0.2;

/// Shortest time before a connection that gives no answer counts as silent.
const PATIENCE: Duration = Duration::from_millis(250);

/// How a request at the upstream ended, as far as its steward must know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Done {
    /// It was answered after this time.
    Answered(Duration),
    /// It failed: no answer, a broken one, or an error.
    Failed,
    /// No connection could be opened; when one opens again, the upstream is cold.
    Refused,
    /// The upstream shed it: it is cold again.
    Shed,
    /// It says nothing of the upstream, for instance when the caller has gone.
    Neither,
}

/// What became of the offered and waiting requests.
#[derive(Debug)]
pub struct Moves<W> {
    /// These may be sent now; each holds a slot until `done`.
    pub start: Vec<W>,
    /// These are refused.
    pub refuse: Vec<(W, Why)>,
    /// When `pump` is worth calling again though nothing ended.
    pub wake: Option<Tick>,
}

/// A request that waits at a gate.
pub trait Waits {
    /// Says whether nobody waits for it any more.
    fn gone(&self) -> bool {
        false
    }
}

struct Waiter<W> {
    token: W,
    idempotent: bool,
}

/// The gate of one upstream; `W` names a waiting request for whoever drives the gate.
pub struct Gate<W> {
    bear: Bear,
    share: Share,
    since: Option<Tick>,
    ramp: Ramp,
    outlier: Outlier,
    queue: BTreeMap<(Tick, u64), Waiter<W>>,
    next: u64,
    running: u32,
    mean_us: f64,
    boot: Option<u64>,
    held: Option<Held>,
    closed: bool,
    draining: bool,
    was_refused: bool,
}

impl<W: Waits> Gate<W> {
    /// Builds the gate of an upstream of which nothing is known: it counts as cold.
    pub fn new(bear: Bear, now: Tick) -> Self {
        Self {
            bear,
            share: Share::None,
            since: None,
            ramp: Ramp::cold(now),
            outlier: Outlier::default(),
            queue: BTreeMap::new(),
            next: 0,
            running: 0,
            mean_us: 0.0,
            boot: None,
            held: None,
            closed: false,
            draining: false,
            was_refused: false,
        }
    }

    /// Offers a request; `pump` then says what becomes of it.
    pub fn offer(&mut self, token: W, deadline: Tick, idempotent: bool, now: Tick) -> Moves<W> {
        if let Err(why) = self.check(deadline, idempotent, now) {
            return Moves { start: Vec::new(), refuse: vec![(token, why)], wake: None };
        }
        self.next += 1;
        self.queue.insert((deadline, self.next), Waiter { token, idempotent });
        self.pump(now)
    }

    fn check(&self, deadline: Tick, idempotent: bool, now: Tick) -> Result<(), Why> {
        if self.closed || self.draining {
            Err(Why::Leaving)
        } else if self.share == Share::None {
            Err(Why::NotSteward)
        } else if !self.outlier.admits(idempotent, now) {
            Err(Why::Ejected)
        } else if self.queue.len() >= self.bear.queue as usize {
            Err(Why::QueueFull)
        } else if now + self.wait(deadline) > deadline {
            Err(Why::TooLate)
        } else {
            Ok(())
        }
    }

    /// Estimates the time until a request with this deadline would be answered.
    fn wait(&self, deadline: Tick) -> Duration {
        let ahead = self.queue.range(..=(deadline, u64::MAX)).count() as f64;
        let slots = f64::from(self.limit().max(1));
        let served = (ahead + f64::from(self.running)) / slots * self.mean_us / 1e6;
        let paced = if self.ramp.warm(&self.bear) {
            0.0
        } else {
            ahead / self.ramp.rate(&self.bear).max(0.001)
        };
        Duration::from_secs_f64(served.max(paced) + self.mean_us / 1e6)
    }

    /// Lets waiting requests go, as far as slots, share and ramp permit.
    pub fn pump(&mut self, now: Tick) -> Moves<W> {
        let mut moves = Moves { start: Vec::new(), refuse: Vec::new(), wake: None };
        self.refuse_hopeless(now, &mut moves);
        while self.running < self.limit() {
            let Some(entry) = self.queue.first_entry() else { break };
            if entry.get().token.gone() {
                entry.remove();
            } else if !self.outlier.admits(entry.get().idempotent, now) {
                moves.refuse.push((entry.remove().token, Why::Ejected));
            } else if self.ramp.take(&self.bear, now) {
                self.outlier.sent();
                self.running += 1;
                assert!(self.running <= self.bear.slots, "more requests than slots");
                moves.start.push(entry.remove().token);
            } else {
                moves.wake = Some(self.ramp.ready_at(&self.bear, now));
                break;
            }
        }
        moves
    }

    fn refuse_hopeless(&mut self, now: Tick, moves: &mut Moves<W>) {
        let all = if self.closed || self.draining {
            Some(Why::Leaving)
        } else if self.share == Share::None {
            Some(Why::NotSteward)
        } else {
            None
        };
        let need = Duration::from_micros(self.mean_us as u64);
        while let Some(entry) = self.queue.first_entry() {
            let late = entry.key().0 < now + need;
            let Some(why) = all.or(late.then_some(Why::TooLate)) else { break };
            moves.refuse.push((entry.remove().token, why));
        }
    }

    /// Returns the requests that may run at once now.
    pub fn limit(&self) -> u32 {
        let slots = self.share.of(self.bear.slots);
        if self.outlier.ejected() { slots.min(1) } else { self.ramp.at_once(&self.bear, slots) }
    }

    /// Notes the end of a request that held a slot; call `pump` next.
    pub fn done(&mut self, done: Done, now: Tick) {
        assert!(self.running > 0, "a slot was given back twice");
        self.running -= 1;
        match done {
            Done::Answered(took) => self.answered(took, now),
            Done::Failed => {
                self.outlier.failed(now);
            }
            Done::Refused => {
                self.was_refused = true;
                self.outlier.failed(now);
            }
            Done::Shed => {
                self.ramp = Ramp::cold(now);
                self.outlier.neither();
            }
            Done::Neither => self.outlier.neither(),
        }
    }

    fn answered(&mut self, took: Duration, now: Tick) {
        if self.was_refused {
            self.ramp = Ramp::cold(now);
            self.was_refused = false;
        }
        self.outlier.answered();
        self.ramp.count();
        let us = took.as_micros() as f64;
        let weight = if self.mean_us == 0.0 { 1.0 } else { MEAN_WEIGHT };
        self.mean_us += (us - self.mean_us) * weight;
    }

    /// Takes in what an upstream told of itself; a new boot mark means that it is cold.
    pub fn told(&mut self, boot: Option<u64>, held: Option<Held>, draining: bool, now: Tick) {
        if boot.is_some() && boot != self.boot {
            if self.boot.is_some() {
                self.ramp = Ramp::cold(now);
                self.outlier = Outlier::default();
            }
            self.boot = boot;
        }
        self.held = held.or(self.held);
        self.draining = draining;
    }

    /// Sets what the configuration says; call `pump` next.
    pub fn configure(&mut self, bear: Bear, open: bool) {
        self.bear = bear;
        self.closed = !open;
    }

    /// Sets how many of the slots this instance may use; call `pump` next.
    ///
    /// Whoever takes an upstream over finds it cold: says whether it did, for `resume`.
    pub fn set_lease(&mut self, lease: Lease, now: Tick) -> bool {
        let taken = lease.share != Share::None && self.since != Some(lease.since);
        if taken {
            self.since = Some(lease.since);
            self.ramp = Ramp::cold(now);
            self.outlier = Outlier::default();
        }
        self.share = lease.share;
        taken
    }

    /// Goes on with the ramp of the former steward, who has handed the upstream over.
    pub fn resume(&mut self, answered: u32, boot: Option<u64>, now: Tick) {
        self.ramp = Ramp::resume(answered, now);
        self.boot = boot;
    }

    /// Returns what a successor needs to go on: the answers counted and the boot mark.
    pub fn handover(&self) -> (u32, Option<u64>) {
        (self.ramp.answered(), self.boot)
    }

    /// Returns the requests under way.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the time after which an answer that has not come is not expected any more.
    pub fn patience(&self) -> Duration {
        PATIENCE.max(Duration::from_micros(self.mean_us as u64 * 20))
    }

    /// Returns the requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns what others should know.
    pub fn news(&self) -> News {
        let health = if self.closed || self.draining {
            Health::Leaving
        } else if self.outlier.ejected() {
            Health::Ejected
        } else if self.ramp.warm(&self.bear) {
            Health::Warm
        } else {
            Health::Cold
        };
        let depth = self.running + self.queue.len() as u32;
        News { held: self.held, health, depth, mean_us: self.mean_us as u32 }
    }
}
