//! One query over all shards of one snapshot: attempts, retries, hedges and the answer's coverage.

use std::time::Duration;

use bytes::Bytes;

use crate::coordination::attempt::{Label, Outcome, Why};
use crate::coordination::query::{Answer, Choices, Effect, FanOutOptions, Missing, Progress, Send};
use crate::state::arena::{Arena, AttemptKey, UpstreamKey};
use crate::state::catalog::ShardEntry;
use crate::state::fleet::{Prefer, Snapshot};
use crate::state::time::Tick;

/// Most attempts for one shard of one query.
const MOST_ATTEMPTS: usize = 6;
/// Wait before a second round over the replicas of a shard; it doubles with each round.
const BACKOFF: Duration = Duration::from_millis(10);

/// Wait before a hedge for which no replica had a free slot is thought of again.
const HEDGE_AGAIN: Duration = Duration::from_millis(5);

struct ShardRun {
    name: String,
    replicas: Vec<UpstreamKey>,
    tried: Vec<UpstreamKey>,
    not_held: Vec<UpstreamKey>,
    flying: Vec<AttemptKey>,
    answer: Option<Bytes>,
    missing: Missing,
    hedge_at: Option<Tick>,
    retry_at: Option<Tick>,
    given_up: bool,
}

impl ShardRun {
    fn settled(&self) -> bool {
        self.answer.is_some() || self.given_up
    }
}

struct Flying {
    shard: usize,
    upstream: UpstreamKey,
}

/// The fan-out of one query.
pub struct FanOut {
    opts: FanOutOptions,
    snapshot: Snapshot,
    shards: Vec<ShardRun>,
    attempts: Arena<AttemptKey, Flying>,
    next_attempt: u64,
    open: usize,
    lost: bool,
}

impl FanOut {
    /// Begins a query: one attempt for each shard of the snapshot's own map.
    pub fn start(
        opts: FanOutOptions,
        snapshot: Snapshot,
        shards: &[ShardEntry],
        choices: &mut impl Choices,
        now: Tick,
    ) -> (Self, Vec<Effect>) {
        let run = |s: &ShardEntry| ShardRun {
            name: s.name.clone(),
            replicas: s.replicas.clone(),
            tried: Vec::new(),
            not_held: Vec::new(),
            flying: Vec::new(),
            answer: None,
            missing: Missing::Deadline,
            hedge_at: None,
            retry_at: None,
            given_up: false,
        };
        let mut fan = Self {
            opts,
            snapshot,
            shards: shards.iter().map(run).collect(),
            attempts: Arena::default(),
            next_attempt: opts.first_attempt,
            open: shards.len(),
            lost: false,
        };
        let mut effects = Vec::with_capacity(shards.len());
        for shard in 0..fan.shards.len() {
            choices.earn();
            fan.ask(shard, choices, now, &mut effects);
        }
        (fan, effects)
    }

    /// Asks one more replica of a shard, or plans to do so later.
    fn ask(
        &mut self,
        shard: usize,
        choices: &mut impl Choices,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        let due = self.due();
        let run = &mut self.shards[shard];
        run.retry_at = None;
        let hedge = !run.flying.is_empty();
        let may = |r: &UpstreamKey| !(run.not_held.contains(r) || hedge && run.tried.contains(r));
        let left: Vec<_> = run.replicas.iter().copied().filter(may).collect();
        let Some(upstream) = choices.pick(&left, &run.tried, now) else {
            if run.flying.is_empty() {
                let why = if left.is_empty() { Why::NotHeld } else { Why::NoReplica };
                run.missing = Missing::Refused(why);
                self.later(shard, now);
            }
            return;
        };
        run.tried.push(upstream);
        run.hedge_at = choices.hedge_after(upstream).map(|d| now + d);
        let key = self.attempts.insert(Flying { shard, upstream });
        run.flying.push(key);
        let label = Label {
            request: self.opts.request,
            attempt: self.next_attempt,
            shard: run.name.clone(),
            snapshot: Some(self.snapshot),
        };
        self.next_attempt += 1;
        effects.push(Effect::Send(Send { key, label, upstream, deadline: due }));
    }

    /// Plans another round over the replicas, or gives the shard up.
    fn later(&mut self, shard: usize, now: Tick) {
        let run = &mut self.shards[shard];
        let rounds = run.tried.len() / run.replicas.len().max(1);
        let wait = BACKOFF.saturating_mul(1 << rounds.min(8));
        let due = if self.opts.prefer == Prefer::Tail { self.opts.soft } else { self.opts.hard };
        let none_holds = run.not_held.len() >= run.replicas.len();
        if none_holds || run.tried.len() >= MOST_ATTEMPTS || now + wait >= due {
            run.given_up = true;
            self.open -= 1;
            self.lost |= none_holds && self.opts.may_restart;
        } else {
            run.retry_at = Some(now + wait);
        }
    }

    /// Takes in the outcome of an attempt.
    pub fn outcome(
        &mut self,
        key: AttemptKey,
        outcome: Outcome,
        choices: &mut impl Choices,
        now: Tick,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(flying) = self.attempts.remove(key) else { return effects };
        let shard = flying.shard;
        let run = &mut self.shards[shard];
        run.flying.retain(|k| *k != key);
        if run.settled() {
            return effects;
        }
        let free = match outcome {
            Outcome::Answer(body) => {
                run.answer = Some(body);
                self.open -= 1;
                self.cancel_rest(shard, &mut effects);
                return effects;
            }
            Outcome::NotRun(refusal) => {
                if refusal.why() == Why::NotHeld {
                    run.not_held.push(flying.upstream);
                }
                run.missing = Missing::Refused(refusal.why());
                true
            }
            Outcome::Unknown(fault) => {
                run.missing = Missing::Failed(fault);
                false
            }
        };
        if run.flying.is_empty() {
            self.again(shard, free, choices, now, &mut effects);
        }
        effects
    }

    /// Asks again after a refusal (`free`: no upstream did any work) or a failure.
    fn again(
        &mut self,
        shard: usize,
        free: bool,
        choices: &mut impl Choices,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        let run = &self.shards[shard];
        let fresh = run.replicas.iter().any(|r| !run.tried.contains(r));
        if fresh && (free || choices.spend()) && run.tried.len() < MOST_ATTEMPTS {
            self.ask(shard, choices, now, effects);
        } else {
            self.later(shard, now);
        }
    }

    fn cancel_rest(&mut self, shard: usize, effects: &mut Vec<Effect>) {
        for key in std::mem::take(&mut self.shards[shard].flying) {
            self.attempts.remove(key);
            effects.push(Effect::Cancel(key));
        }
    }

    /// Acts on the time: hedges, retries, and the deadlines.
    pub fn tick(&mut self, choices: &mut impl Choices, now: Tick) -> Vec<Effect> {
        let mut effects = Vec::new();
        for shard in 0..self.shards.len() {
            if self.shards[shard].settled() {
                continue;
            }
            if self.shards[shard].retry_at.is_some_and(|at| at <= now) {
                self.retry(shard, choices, now, &mut effects);
            } else if self.shards[shard].hedge_at.is_some_and(|at| at <= now) {
                self.hedge(shard, choices, now, &mut effects);
            }
        }
        effects
    }

    /// Asks a replica a second time; after a failure that takes the budget.
    fn retry(
        &mut self,
        shard: usize,
        choices: &mut impl Choices,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        let failed = matches!(self.shards[shard].missing, Missing::Failed(_));
        if failed && !choices.spend() {
            self.later(shard, now);
        } else {
            self.ask(shard, choices, now, effects);
        }
    }

    fn hedge(
        &mut self,
        shard: usize,
        choices: &mut impl Choices,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        let run = &mut self.shards[shard];
        let other = |r: &&UpstreamKey| !run.tried.contains(r);
        let idle = run.replicas.iter().filter(other).any(|r| choices.idle(*r));
        let fresh = run.replicas.iter().any(|r| other(&r));
        let due = fresh && run.flying.len() == 1;
        run.hedge_at = (due && !idle).then(|| now + HEDGE_AGAIN);
        if due && idle && choices.spend() {
            self.ask(shard, choices, now, effects);
            self.shards[shard].hedge_at = None;
        }
    }

    /// Returns when `tick` or `progress` is worth calling again though nothing has come.
    pub fn wake(&self) -> Tick {
        let open = self.shards.iter().filter(|s| !s.settled());
        let planned = open.flat_map(|s| [s.hedge_at, s.retry_at]).flatten().min();
        planned.map_or(self.due(), |t| t.min(self.due()))
    }

    /// Returns when the answer is given with what there is.
    fn due(&self) -> Tick {
        match self.opts.prefer {
            Prefer::Tail => self.opts.soft.min(self.opts.hard),
            Prefer::Coverage => self.opts.hard,
        }
    }

    /// Says how far the query is.
    pub fn progress(&self, now: Tick) -> Progress {
        if self.lost && now < self.due() {
            Progress::SnapshotLost
        } else if self.open == 0 || now >= self.due() {
            Progress::Done
        } else {
            Progress::Running
        }
    }

    /// Returns the number that the next attempt would get.
    pub fn next_attempt(&self) -> u64 {
        self.next_attempt
    }

    /// Ends the query: cancels what is under way and gives the answer's parts with their coverage.
    pub fn finish(mut self) -> (Answer, Vec<Effect>) {
        let mut effects = Vec::new();
        for shard in 0..self.shards.len() {
            self.cancel_rest(shard, &mut effects);
        }
        let mut answer = Answer {
            snapshot: self.snapshot,
            parts: Vec::new(),
            missing: Vec::new(),
            total: self.shards.len(),
        };
        for run in self.shards {
            match run.answer {
                Some(body) => answer.parts.push((run.name, body)),
                None => answer.missing.push((run.name, run.missing)),
            }
        }
        assert_eq!(answer.parts.len() + answer.missing.len(), answer.total, "coverage");
        (answer, effects)
    }
}
