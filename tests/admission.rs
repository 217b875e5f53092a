//! Admission at a steward: exact slots, true early refusals, and a ramp that a cold upstream bears.

mod support;

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::{ms, seeds};
use tamarackdeck::{Bear, Done, Gate, Health, Lease, Moves, Share, Tick, Waits, Why};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Ticket {
    number: u64,
    gone: bool,
}

impl Waits for Ticket {
    fn gone(&self) -> bool {
        self.gone
    }
}

fn lease(share: Share, since: u64) -> Lease {
    Lease { share, until: ms(1_000_000), since: ms(since) }
}

fn bear() -> Bear {
    Bear { slots: 2, queue: 4, ..Default::default() }
}

/// A warm gate that holds all slots.
fn warm() -> Gate<Ticket> {
    let mut gate = Gate::new(bear(), ms(0));
    gate.set_lease(lease(Share::All, 1), ms(0));
    gate.resume(10_000, None, ms(0));
    gate
}

fn offer(gate: &mut Gate<Ticket>, number: u64, deadline: u64, now: u64) -> Moves<Ticket> {
    gate.offer(Ticket { number, gone: false }, ms(deadline), true, ms(now))
}

struct Case {
    name: &'static str,
    set_up: fn(&mut Gate<Ticket>),
    refused: Option<Why>,
}

fn fill(gate: &mut Gate<Ticket>) {
    (0..6).for_each(|n| drop(offer(gate, n, 900 + n, 1)));
}

fn fail(gate: &mut Gate<Ticket>, times: usize) {
    for n in 0..times as u64 {
        assert_eq!(offer(gate, n, 900, 1).start.len(), 1);
        gate.done(Done::Failed, ms(1));
    }
}

const CASES: &[Case] = &[
    Case { name: "free", set_up: |_| {}, refused: None },
    Case { name: "full queue", set_up: fill, refused: Some(Why::QueueFull) },
    Case { name: "closed", set_up: |g| g.configure(bear(), false), refused: Some(Why::Leaving) },
    Case {
        name: "draining",
        set_up: |g| g.told(None, None, true, ms(1)),
        refused: Some(Why::Leaving),
    },
    Case {
        name: "no lease",
        set_up: |g| assert!(!g.set_lease(lease(Share::None, 0), ms(1))),
        refused: Some(Why::NotSteward),
    },
    Case { name: "two failures", set_up: |g| fail(g, 2), refused: None },
    Case { name: "three failures", set_up: |g| fail(g, 3), refused: Some(Why::Ejected) },
];

#[test]
fn a_request_is_taken_on_or_refused_at_once() {
    for case in CASES {
        let mut gate = warm();
        (case.set_up)(&mut gate);
        let moves = offer(&mut gate, 99, 500, 2);
        let refused = moves.refuse.iter().find(|(t, _)| t.number == 99).map(|(_, why)| *why);
        assert_eq!(refused, case.refused, "{}", case.name);
        assert_eq!(
            moves.start.iter().any(|t| t.number == 99),
            case.refused.is_none(),
            "{}",
            case.name
        );
    }
}

#[test]
fn the_earliest_deadline_goes_first_and_what_nobody_awaits_takes_no_slot() {
    let mut gate = warm();
    fill(&mut gate);
    gate.done(Done::Answered(Duration::from_millis(1)), ms(5));
    let next = gate.pump(ms(5)).start;
    assert_eq!(next.iter().map(|t| t.number).collect::<Vec<_>>(), [2]);
    let mut gate = Gate::new(bear(), ms(0));
    gate.set_lease(lease(Share::All, 1), ms(0));
    assert!(offer(&mut gate, 1, 900, 1).start.is_empty(), "a cold upstream gets none at once");
    assert_eq!(gate.pump(ms(51)).start.len(), 1);
    let abandoned = Ticket { number: 2, gone: true };
    assert!(gate.offer(abandoned, ms(400), true, ms(52)).start.is_empty());
    offer(&mut gate, 3, 900, 52);
    gate.done(Done::Answered(Duration::from_millis(1)), ms(110));
    let start = gate.pump(ms(110)).start;
    assert_eq!(
        start.iter().map(|t| t.number).collect::<Vec<_>>(),
        [3],
        "the permit goes to one that waits"
    );
}

#[test]
fn a_domain_that_leaves_refuses_what_is_queued() {
    let mut gate = warm();
    fill(&mut gate);
    gate.configure(bear(), false);
    let moves = gate.pump(ms(2));
    assert_eq!(moves.refuse.len(), 4);
    assert!(moves.refuse.iter().all(|(_, why)| *why == Why::Leaving));
    assert_eq!(gate.running(), 2, "what is under way goes on");
}

struct ColdCase {
    name: &'static str,
    event: fn(&mut Gate<Ticket>),
    health: Health,
}

const COLD: &[ColdCase] = &[
    ColdCase {
        name: "same boot",
        event: |g| g.told(Some(1), None, false, ms(2)),
        health: Health::Warm,
    },
    ColdCase {
        name: "new boot",
        event: |g| g.told(Some(2), None, false, ms(2)),
        health: Health::Cold,
    },
    ColdCase {
        name: "taken over",
        event: |g| assert!(g.set_lease(lease(Share::All, 2), ms(2))),
        health: Health::Cold,
    },
    ColdCase { name: "shed", event: |g| shed(g), health: Health::Cold },
    ColdCase {
        name: "refused, then answers",
        event: |g| refused_then_answers(g),
        health: Health::Cold,
    },
];

fn shed(gate: &mut Gate<Ticket>) {
    offer(gate, 1, 900, 1);
    gate.done(Done::Shed, ms(2));
}

fn refused_then_answers(gate: &mut Gate<Ticket>) {
    offer(gate, 1, 900, 1);
    gate.done(Done::Refused, ms(2));
    offer(gate, 2, 900, 2);
    gate.done(Done::Answered(Duration::from_millis(1)), ms(3));
}

#[test]
fn signs_of_a_restart_make_an_upstream_cold() {
    for case in COLD {
        let mut gate = warm();
        gate.told(Some(1), None, false, ms(1));
        (case.event)(&mut gate);
        assert_eq!(gate.news().health, case.health, "{}", case.name);
    }
}

/// What a cold upstream bears: counted at the upstream, with answers that the steward has yet to hear.
struct Cold {
    answered: u32,
    tokens: f64,
    at: Tick,
}

impl Cold {
    fn new(now: Tick) -> Self {
        Cold { answered: 0, tokens: 1.0, at: now }
    }

    /// Takes a request on; it must bear it.
    fn take(&mut self, bear: &Bear, now: Tick, seed: u64) {
        let rate = bear.cold_rate * 2f64.powi((self.answered / bear.cold_step) as i32);
        self.tokens = (self.tokens + now.since(self.at).as_secs_f64() * rate).min(1.0);
        self.at = now;
        self.tokens -= 1.0;
        assert!(
            rate >= bear.warm_rate || self.tokens > -1e-3,
            "seed {seed}: more than a cold upstream bears"
        );
    }
}

fn random_gate(seed: u64) -> u64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let bear = Bear { slots: rng.random_range(1..5), queue: 8, ..Default::default() };
    let mut gate = Gate::new(bear, ms(0));
    let (mut now, mut since, mut boot, mut number) = (ms(0), 1, 1, 0);
    gate.set_lease(lease(Share::All, since), now);
    gate.told(Some(boot), None, false, now);
    let (mut cold, mut running, mut served) = (Cold::new(now), Vec::new(), 0);
    for _ in 0..2_000 {
        now = now + Duration::from_micros(rng.random_range(0..4_000));
        let mut start: Vec<Ticket> = gate.pump(now).start;
        start.drain(..).for_each(|t: Ticket| {
            cold.take(&bear, now, seed);
            running.push(t.number);
        });
        match rng.random_range(0..100) {
            0 => {
                // the upstream restarts; its steward is told before it sends again
                running.clear();
                while gate.running() > 0 {
                    gate.done(Done::Refused, now);
                }
                boot += 1;
                cold = Cold::new(now);
                gate.told(Some(boot), None, false, now);
            }
            1 => {
                since += 1;
                let share = [Share::None, Share::Half, Share::All][rng.random_range(0..3)];
                gate.set_lease(lease(share, since), now);
            }
            2..50 => {
                number += 1;
                let deadline = now + Duration::from_millis(rng.random_range(1..200));
                start = gate
                    .offer(Ticket { number, gone: rng.random_bool(0.05) }, deadline, true, now)
                    .start;
            }
            _ if !running.is_empty() => {
                running.swap_remove(rng.random_range(0..running.len()));
                cold.answered += 1;
                served += 1;
                gate.done(Done::Answered(Duration::from_millis(3)), now);
            }
            _ => {}
        }
        for ticket in start {
            cold.take(&bear, now, seed);
            running.push(ticket.number);
        }
        assert_eq!(running.len(), gate.running() as usize, "seed {seed}");
        assert!(running.len() <= bear.slots as usize, "seed {seed}: more requests than slots");
    }
    served
}

#[test]
fn slots_and_ramp_hold_in_any_order_of_events() {
    let served: u64 = seeds(500).into_iter().map(random_gate).sum();
    assert!(served > 0, "a run without answers proves nothing");
}
