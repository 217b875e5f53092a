//! Tasks that end although their instance goes on: restarts, and what the instance reports meanwhile.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::{ms, seeds};
use tamarackdeck::{
    RouteTable, SupervisionOptions, Supervisor, Task, Tick, Tier, TierOptions, UpstreamCodec,
};
use tokio_util::sync::CancellationToken;

struct Case {
    name: &'static str,
    /// How long each run lasts before it ends, in milliseconds.
    runs: &'static [u64],
    /// Delay before the last restart, in milliseconds.
    delay: u64,
    /// Whether the task is failing after the last end, and right before the last end.
    is_failing: bool,
    was_failing: bool,
}

const CASES: &[Case] = &[
    Case { name: "the first end", runs: &[0], delay: 50, is_failing: false, was_failing: false },
    Case {
        name: "it ends again at once",
        runs: &[0, 0],
        delay: 100,
        is_failing: false,
        was_failing: false,
    },
    Case {
        name: "it ends a third time",
        runs: &[0, 0, 0],
        delay: 200,
        is_failing: true,
        was_failing: false,
    },
    Case {
        name: "it goes on ending",
        runs: &[0, 0, 9_999, 0],
        delay: 400,
        is_failing: true,
        was_failing: true,
    },
    Case {
        name: "the delay has a maximum",
        runs: &[0; 60],
        delay: 5_000,
        is_failing: true,
        was_failing: true,
    },
    Case {
        name: "a sound run between",
        runs: &[0, 0, 0, 10_000],
        delay: 50,
        is_failing: false,
        was_failing: false,
    },
    Case {
        name: "it ends once a day",
        runs: &[86_400_000, 86_400_000, 86_400_000],
        delay: 50,
        is_failing: false,
        was_failing: false,
    },
];

#[test]
fn a_task_that_has_ended_is_started_again() {
    for case in CASES {
        let mut now = Tick::default();
        let mut running = Task::start(SupervisionOptions::default(), now);
        let (mut delay, mut is_failing, mut was_failing) = Default::default();
        for run in case.runs {
            now = now + Duration::from_millis(*run);
            was_failing = running.is_failing(now);
            let ended = running.end(now);
            delay = ended.restart_at().since(now).as_millis() as u64;
            is_failing = ended.is_failing();
            now = ended.restart_at();
            running = ended.restart(now);
        }
        assert_eq!(delay, case.delay, "{}", case.name);
        assert_eq!((is_failing, was_failing), (case.is_failing, case.was_failing), "{}", case.name);
    }
}

struct ReplayCase {
    name: &'static str,
    instances: usize,
    /// Time for which an input ends the task of every instance, up to 20 ms after each start, in milliseconds.
    input_lasts: u64,
    seeds: u64,
}

const REPLAYS: &[ReplayCase] = &[
    ReplayCase { name: "a moment", instances: 640, input_lasts: 30, seeds: 20 },
    ReplayCase { name: "until the next heartbeat", instances: 640, input_lasts: 1_200, seeds: 20 },
    ReplayCase { name: "a minute", instances: 640, input_lasts: 60_000, seeds: 10 },
];

/// Guards against a loop of restarts that takes the processor, and against tasks that stay ended once their input is gone.
#[test]
fn an_input_that_ends_a_task_everywhere_costs_few_restarts_and_is_over_when_it_is_gone() {
    const MAX_DELAY: u64 = 5_000;
    for case in REPLAYS {
        for seed in seeds(case.seeds) {
            let mut rng = StdRng::seed_from_u64(seed);
            for _ in 0..case.instances {
                let mut now = Tick::default();
                let mut running = Task::start(SupervisionOptions::default(), now);
                let (mut restarts, mut not_ready_at) = (0, None);
                while now < ms(case.input_lasts) {
                    now = now + Duration::from_millis(rng.random_range(0..20));
                    let ended = running.end(now);
                    if ended.is_failing() {
                        not_ready_at.get_or_insert(now);
                    }
                    now = ended.restart_at();
                    running = ended.restart(now);
                    restarts += 1;
                }
                let overdue = now.since(ms(case.input_lasts)).as_millis() as u64;
                assert!(overdue <= MAX_DELAY, "{}, seed {seed}: {overdue} ms", case.name);
                let allowed = 8 + case.input_lasts / MAX_DELAY;
                assert!(restarts <= allowed, "{}, seed {seed}: {restarts} restarts", case.name);
                // a state that is a second old is not acted on for long
                let is_reported = not_ready_at.is_some_and(|at| at <= ms(500));
                assert!(is_reported || case.input_lasts <= 300, "{}, seed {seed}", case.name);
                assert!(!running.is_failing(running.sound_at()), "{}, seed {seed}", case.name);
            }
        }
    }
}

struct TaskCase {
    name: &'static str,
    /// Number of runs that end before one goes on, and whether they do so by a panic.
    ends: u32,
    panics: bool,
    /// Whether the instance is ready while the last run is not yet sound.
    is_ready: bool,
}

const TASKS: &[TaskCase] = &[
    TaskCase { name: "a panic", ends: 1, panics: true, is_ready: true },
    TaskCase { name: "a return", ends: 1, panics: false, is_ready: true },
    TaskCase { name: "panics in a row", ends: 4, panics: true, is_ready: false },
    TaskCase { name: "returns in a row", ends: 4, panics: false, is_ready: false },
];

/// Guards against an instance that goes on, and reports ready, without a task that it needs.
#[tokio::test]
async fn an_instance_starts_ended_tasks_again_and_is_not_ready_while_they_fail() {
    let opts = SupervisionOptions {
        initial_delay: Duration::from_millis(1),
        sound_after: Duration::from_millis(700),
        ..Default::default()
    };
    for case in TASKS {
        let tier = Arc::new(Tier::new(TierOptions::default(), UpstreamCodec));
        tier.update_routes(RouteTable { version: 1, ..Default::default() });
        let stop = CancellationToken::new();
        let runs = Arc::new(AtomicU32::new(0));
        let (task_runs, ends, panics) = (runs.clone(), case.ends, case.panics);
        let supervisor = Supervisor::new(tier.clone(), opts, stop.clone());
        let task = supervisor.spawn("test", move || {
            let run = task_runs.fetch_add(1, Ordering::Relaxed);
            async move {
                assert!(run >= ends || !panics, "run {run} ends");
                if run >= ends {
                    std::future::pending::<()>().await;
                }
            }
        });
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(runs.load(Ordering::Relaxed), case.ends + 1, "{}", case.name);
        assert_eq!(tier.is_ready(), case.is_ready, "{}", case.name);
        let count = format!("tamarackdeck_task_ends_total{{task=\"test\"}} {}", case.ends);
        assert!(tier.metrics().contains(&count), "{}: {}", case.name, tier.metrics());
        tokio::time::sleep(Duration::from_millis(700)).await;
        assert!(tier.is_ready(), "{}: ready once the task is sound", case.name);
        task.abort();
    }
}

/// Guards against tasks that are started again while the instance stops.
#[tokio::test]
async fn a_task_that_ends_in_a_planned_stop_is_not_started_again() {
    let tier = Arc::new(Tier::new(TierOptions::default(), UpstreamCodec));
    let stop = CancellationToken::new();
    let supervisor = Supervisor::new(tier, SupervisionOptions::default(), stop.clone());
    let stopped = stop.clone();
    let task = supervisor.spawn("test", move || stopped.clone().cancelled_owned());
    stop.cancel();
    tokio::time::timeout(Duration::from_secs(1), task).await.unwrap().unwrap();
}
