//! Counters and gauges, in the text form of Prometheus.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Upper ends of the buckets of answer times, in seconds.
const TIMES: &[f64] = &[0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0];

/// All metrics of a process.
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) answers: IntCounter,
    pub(crate) answers_whole: IntCounter,
    pub(crate) refusals: IntCounterVec,
    pub(crate) missing: IntCounterVec,
    pub(crate) answer_seconds: Histogram,
    pub(crate) attempts: IntCounter,
    pub(crate) extra_attempts: IntCounter,
    pub(crate) restarts: IntCounter,
    pub(crate) steward_runs: IntCounter,
    pub(crate) steward_refusals: IntCounterVec,
    pub(crate) platform_calls: IntCounterVec,
    pub(crate) link_bytes: IntGauge,
    pub(crate) control_calls: IntCounterVec,
    pub(crate) config_version: IntGauge,
    pub(crate) flights: IntGauge,
}

struct Maker(Registry);

impl Maker {
    fn counter(&self, name: &str, help: &str) -> IntCounter {
        let c = IntCounter::new(name, help).expect("valid name");
        self.0.register(Box::new(c.clone())).expect("one of each");
        c
    }

    fn counters(&self, name: &str, help: &str, label: &str) -> IntCounterVec {
        let c = IntCounterVec::new(Opts::new(name, help), &[label]).expect("valid name");
        self.0.register(Box::new(c.clone())).expect("one of each");
        c
    }

    fn gauge(&self, name: &str, help: &str) -> IntGauge {
        let g = IntGauge::new(name, help).expect("valid name");
        self.0.register(Box::new(g.clone())).expect("one of each");
        g
    }

    fn seconds(&self, name: &str, help: &str) -> Histogram {
        let opts = HistogramOpts::new(name, help).buckets(TIMES.to_vec());
        let h = Histogram::with_opts(opts).expect("valid name");
        self.0.register(Box::new(h.clone())).expect("one of each");
        h
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let make = Maker(Registry::new());
        Self {
            answers: make.counter("tamarack_answers", "answers to queries"),
            answers_whole: make
                .counter("tamarack_answers_whole", "answers to queries that cover every shard"),
            refusals: make.counters("tamarack_refusals", "refusals to callers", "kind"),
            missing: make.counters(
                "tamarack_missing_shards",
                "shards missing from answers",
                "reason",
            ),
            answer_seconds: make.seconds("tamarack_answer_seconds", "time of an answer"),
            attempts: make.counter("tamarack_attempts", "attempts sent for queries"),
            extra_attempts: make
                .counter("tamarack_extra_attempts", "hedges and retries that took the budget"),
            restarts: make.counter("tamarack_restarts", "queries begun again on a newer snapshot"),
            steward_runs: make.counter("tamarack_steward_runs", "requests sent to upstreams"),
            steward_refusals: make.counters(
                "tamarack_steward_refusals",
                "requests refused at the steward",
                "reason",
            ),
            platform_calls: make.counters(
                "tamarack_platform_calls",
                "calls to the platform",
                "call",
            ),
            link_bytes: make
                .gauge("tamarack_link_bytes", "bytes sent to peers, control and sub-requests"),
            control_calls: make.counters(
                "tamarack_control_calls",
                "control calls to peers",
                "call",
            ),
            config_version: make
                .gauge("tamarack_config_version", "version of the configuration in force"),
            flights: make.gauge("tamarack_flights", "requests of callers in flight"),
            registry: make.0,
        }
    }
}

impl Metrics {
    /// Returns all metrics as text.
    pub(crate) fn text(&self) -> String {
        let mut buf = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        String::from_utf8(buf).unwrap_or_default()
    }
}
