//! Planned stops in virtual time: connections that begin, send, read and end at any step of a stop, peers that send requests to
//! gather, and servers that work for any time. Whatever is read whole is answered, nothing runs that was refused, and the process
//! ends in time.

mod support;

use std::time::Duration;

use support::ms;
use tamarackdeck::{
    CallerConnection, Closing, ConnectionPhase, Instance, Leaving, Starting, StopOptions,
    StopTimes, Unfinished,
};

const OPTS: StopOptions = StopOptions {
    notice: Duration::from_millis(2_800),
    max_duration: Duration::from_millis(5_500),
};
const HEADER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time that a request of the route usually takes.
const USUAL: Duration = Duration::from_millis(400);
/// Time to write an answer that says no more than how a request ended, in milliseconds.
const SHORT_WRITE: u64 = 5;
/// Time that it takes to tell all peers, in milliseconds.
const DEPARTURE: u64 = 100;
/// Step of the replay, in milliseconds: the interval at which an instance looks at its unfinished work.
const STEP: u64 = 25;
/// The stop begins then.
const STOP_AT: u64 = 10_000;

/// What a caller does on a connection; times are in milliseconds from the start of the stop.
#[derive(Clone, Copy, Debug)]
struct Script {
    open_at: i64,
    /// When an earlier request is answered, if there is one.
    answered_at: Option<i64>,
    half_at: Option<i64>,
    whole_at: Option<i64>,
    /// Time that the server works and that writing the answer takes.
    work: u64,
    write: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sent {
    Nothing,
    Running { until: u64 },
    Refused,
    GivenUp,
    Answered,
}

struct Connection {
    script: Script,
    state: CallerConnection,
    is_open: bool,
    has_closed: bool,
    sent: Sent,
    /// Until when the answer is being written.
    written_at: Option<u64>,
    has_answer: bool,
    was_read_whole: bool,
}

impl Connection {
    fn new(script: Script) -> Self {
        Self {
            script,
            state: CallerConnection::default(),
            is_open: false,
            has_closed: false,
            sent: Sent::Nothing,
            written_at: None,
            has_answer: false,
            was_read_whole: false,
        }
    }

    /// Plays what the caller, the server and the socket do until `now`.
    fn play(&mut self, now: u64, accepts: bool, times: Option<&StopTimes>) {
        let at = |time: i64| u64::try_from(STOP_AT as i64 + time).unwrap();
        if !self.is_open && !self.has_closed && now >= at(self.script.open_at) {
            self.is_open = accepts;
            self.has_closed = !accepts;
            self.state = CallerConnection::open(ms(now));
        }
        if !self.is_open {
            return;
        }
        if self.script.answered_at.is_some_and(|time| now >= at(time)) {
            self.script.answered_at = None;
            self.state.record_read(ms(now));
            self.state.record_request();
            self.state.record_answer(ms(now));
            self.state.record_flush(ms(now));
            // a leaving instance closes the connection with the answer
            if times.is_some() {
                self.close();
                return;
            }
        }
        if self.script.half_at.is_some_and(|time| now >= at(time)) {
            self.script.half_at = None;
            self.state.record_read(ms(now));
        }
        if self.script.whole_at.is_some_and(|time| now >= at(time)) {
            self.script.whole_at = None;
            self.was_read_whole = true;
            self.state.record_read(ms(now));
            self.state.record_request();
            if times.is_none_or(|times| times.admits(USUAL, ms(now))) {
                self.sent = Sent::Running { until: now + self.script.work };
            } else {
                self.sent = Sent::Refused;
                self.written_at = Some(now + SHORT_WRITE);
            }
        }
        if let Sent::Running { until } = self.sent {
            if now >= until {
                self.sent = Sent::Answered;
                self.written_at = Some(now + self.script.write);
            } else if times.is_some_and(|times| ms(now) >= times.answers_at) {
                self.sent = Sent::GivenUp;
                self.written_at = Some(now + SHORT_WRITE);
            }
            if self.written_at.is_some() {
                self.state.record_answer(ms(now));
            }
        }
        if self.written_at.is_some_and(|at| now >= at) {
            self.state.record_flush(ms(now));
            self.has_answer = true;
            self.written_at = None;
            if times.is_some() {
                self.close();
            }
        }
        if self.state.closes_at().is_some_and(|at| at <= ms(now)) {
            self.close();
        }
    }

    fn close(&mut self) {
        self.is_open = false;
        self.has_closed = true;
    }

    fn is_running(&self) -> bool {
        matches!(self.sent, Sent::Running { .. })
    }
}

enum Stage {
    Serving,
    Leaving(Instance<Leaving>),
    Closing(Instance<Closing>),
}

/// Plays a stop and returns when the process ended; fails if anything was cut off that need not have been.
fn play(scripts: &[Script], gather: Option<(i64, u64)>) -> Result<u64, String> {
    let mut connections: Vec<Connection> = scripts.iter().copied().map(Connection::new).collect();
    let (mut stage, mut times, mut announced_at) = (Stage::Serving, None, None);
    let mut now = STOP_AT - 2_000;
    let ended = loop {
        now += STEP;
        if now == STOP_AT {
            let stop = StopTimes::new(&OPTS, ms(now));
            times = Some(stop);
            stage = Stage::Leaving(Instance::<Starting>::default().serve().leave(stop));
        }
        let accepts = !matches!(stage, Stage::Closing(_));
        connections.iter_mut().for_each(|c| c.play(now, accepts, times.as_ref()));
        // a leaving instance refuses what peers send it from then on
        let begins = |at: i64| (STOP_AT as i64 + at).min(STOP_AT as i64 - 1) as u64;
        let gathers = gather
            .filter(|(at, _)| *at < 0)
            .is_some_and(|(at, took)| now >= begins(at) && now < begins(at) + took);
        stage = match stage {
            Stage::Leaving(leaving) => match leaving.try_close(ms(now)) {
                Ok(closing) => {
                    for c in connections.iter_mut().filter(|c| c.is_open) {
                        c.state.begin_close(HEADER_TIMEOUT);
                    }
                    Stage::Closing(closing)
                }
                Err(leaving) => Stage::Leaving(leaving),
            },
            Stage::Closing(closing) => {
                let unfinished = Unfinished {
                    connections: connections.iter().filter(|c| c.is_open).count(),
                    requests: connections.iter().filter(|c| c.is_running()).count(),
                    gathers: usize::from(gathers),
                    changes: 0,
                };
                if announced_at.is_none() && closing.announces(unfinished, ms(now)) {
                    announced_at = Some(now + DEPARTURE);
                }
                let is_announced = announced_at.is_some_and(|at| now >= at);
                match closing.try_stop(unfinished, is_announced, ms(now)) {
                    Ok(_) => break now - STOP_AT,
                    Err(closing) => Stage::Closing(closing),
                }
            }
            Stage::Serving => Stage::Serving,
        };
    };
    if ended > OPTS.max_duration.as_millis() as u64 {
        return Err(format!("ended after {ended} ms"));
    }
    for c in &connections {
        // an answer that takes longer to write than the stop lasts cannot be whole
        let fits = c.sent != Sent::Answered || c.written_at.is_none() || ended < 5_500 - STEP;
        if c.was_read_whole && !c.has_answer && fits {
            return Err(format!("no answer after {ended} ms: {:?}", c.sent));
        }
        if !c.was_read_whole && c.state.phase() == ConnectionPhase::Busy && c.is_open {
            return Err("busy without a request".into());
        }
    }
    if gather.is_some_and(|(at, took)| at < 0 && (at + took as i64) as u64 > ended && ended < 5_500)
    {
        return Err(format!("a gathered request is cut off after {ended} ms"));
    }
    Ok(ended)
}

const OPENS: &[i64] = &[-1_000, 1_900, 2_775, 2_800];
const HALVES: &[Option<i64>] = &[None, Some(1_950), Some(2_775), Some(2_800), Some(3_100)];
const WHOLES: &[Option<i64>] = &[
    None,
    Some(-500),
    Some(2_000),
    Some(2_775),
    Some(2_800),
    Some(2_900),
    Some(3_300),
    Some(4_500),
    Some(4_900),
    Some(5_025),
    Some(5_300),
    Some(5_475),
];
const WORKS: &[u64] = &[0, 100, 450, 1_500, 7_000];
const WRITES: &[u64] = &[0, 25, 500, 2_000];
const GATHERS: &[Option<(i64, u64)>] =
    &[None, Some((-25, 100)), Some((-100, 4_000)), Some((2_000, 300))];

fn scripts() -> Vec<Script> {
    let mut scripts = Vec::new();
    for open_at in OPENS {
        for answered_at in [None, Some(*open_at + 100)] {
            for half_at in HALVES {
                for whole_at in WHOLES {
                    let begins = half_at.or(*whole_at);
                    let is_ordered = begins.is_none_or(|at| at >= answered_at.unwrap_or(*open_at))
                        && whole_at.is_none_or(|at| half_at.is_none_or(|half| half <= at));
                    if !is_ordered {
                        continue;
                    }
                    for work in WORKS {
                        for write in WRITES {
                            scripts.push(Script {
                                open_at: *open_at,
                                answered_at,
                                half_at: *half_at,
                                whole_at: *whole_at,
                                work: *work,
                                write: *write,
                            });
                        }
                    }
                }
            }
        }
    }
    scripts
}

/// Guards against a stop that waits for less than what has begun, or for longer than it may, in every short history.
#[test]
fn every_short_history_of_a_stop_leaves_nothing_unanswered() {
    let scripts = scripts();
    assert!(scripts.len() > 1_000, "{}", scripts.len());
    for script in &scripts {
        for gather in GATHERS {
            play(&[*script], *gather).unwrap_or_else(|why| panic!("{script:?}, {gather:?}: {why}"));
        }
    }
}

/// Guards against a connection whose end makes the stop forget another one.
#[test]
fn two_connections_are_both_waited_for() {
    let scripts = scripts();
    let sample: Vec<&Script> = scripts.iter().step_by(37).collect();
    for (n, first) in sample.iter().enumerate() {
        for second in &sample[n..] {
            play(&[**first, **second], None)
                .unwrap_or_else(|why| panic!("{first:?}, {second:?}: {why}"));
        }
    }
}

struct EndCase {
    name: &'static str,
    script: Script,
    /// When the process has ended at the latest, in milliseconds.
    ends_within: u64,
}

const SCRIPT: Script = Script {
    open_at: -1_000,
    answered_at: None,
    half_at: None,
    whole_at: None,
    work: 100,
    write: 0,
};

const ENDS: &[EndCase] = &[
    EndCase {
        name: "an idle connection",
        script: Script { answered_at: Some(-500), ..SCRIPT },
        ends_within: 3_000,
    },
    EndCase {
        name: "a request during the notice",
        script: Script { whole_at: Some(2_000), ..SCRIPT },
        ends_within: 3_000,
    },
    EndCase { name: "no byte for longer than a head may take", script: SCRIPT, ends_within: 3_000 },
    EndCase {
        name: "no byte on a connection of the notice",
        script: Script { open_at: 1_000, ..SCRIPT },
        ends_within: 4_200,
    },
    EndCase {
        name: "half a head",
        script: Script { open_at: 1_000, half_at: Some(1_200), ..SCRIPT },
        ends_within: 4_400,
    },
    EndCase {
        name: "a head that is whole after the listener closed",
        script: Script { open_at: 1_950, half_at: Some(1_950), whole_at: Some(2_900), ..SCRIPT },
        ends_within: 3_300,
    },
];

/// Guards against a stop that lasts longer than what has begun, so that an instance is away for longer than it need be.
#[test]
fn a_stop_ends_once_nothing_can_begin() {
    for case in ENDS {
        let ended = play(&[case.script], None).unwrap();
        assert!(ended <= case.ends_within, "{}: {ended} ms", case.name);
    }
}
