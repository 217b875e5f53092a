//! Counters, gauges and histograms of a process, in the text form of Prometheus.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Bounds of the answer histogram, in seconds.
const SECONDS: &[f64] = &[0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.12, 0.2, 0.4, 1.0, 2.0, 4.0];

/// All metrics of a process.
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: IntCounterVec,
    pub(crate) seconds: Histogram,
    pub(crate) missing: IntCounter,
    pub(crate) restarts: IntCounter,
    pub(crate) handed: IntCounterVec,
    pub(crate) sends: IntCounterVec,
    pub(crate) extras: IntCounterVec,
    pub(crate) connects: IntCounterVec,
    pub(crate) platform_calls: IntCounterVec,
    pub(crate) link_bytes: IntGauge,
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
        let opts = HistogramOpts::new(name, help).buckets(SECONDS.to_vec());
        let h = Histogram::with_opts(opts).expect("valid name");
        self.0.register(Box::new(h.clone())).expect("one of each");
        h
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let make = Maker(Registry::new());
        let of = |name: &str| format!("tamarackdeck_{name}");
        Self {
            requests: make.counters(&of("requests_total"), "requests by outcome", "outcome"),
            seconds: make.seconds(&of("answer_seconds"), "time to the caller's answer"),
            missing: make.counter(&of("parts_missing_total"), "shards left out of answers"),
            restarts: make
                .counter(&of("restarts_total"), "queries begun again on a newer snapshot"),
            handed: make.counters(
                &of("handed_total"),
                "requests over shards handed to a gatherer, by end",
                "end",
            ),
            sends: make.counters(&of("sends_total"), "requests to servers, by end", "end"),
            extras: make.counters(
                &of("extra_arrivals_total"),
                "hedges and retries that asked for the budget",
                "allowed",
            ),
            connects: make.counters(&of("connections_total"), "connections to servers", "result"),
            platform_calls: make.counters(
                &of("platform_calls_total"),
                "calls to the platform",
                "call",
            ),
            link_bytes: make.gauge(&of("link_bytes"), "bytes sent to peers since the start"),
            config_version: make.gauge(&of("config_version"), "version of the routes in force"),
            flights: make.gauge(&of("requests_under_way"), "callers' requests under way"),
            registry: make.0,
        }
    }
}

impl Metrics {
    /// Returns all of them as text.
    pub(crate) fn text(&self) -> String {
        let mut buf = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            log::warn!("metrics: {e}");
        }
        String::from_utf8_lossy(&buf).into_owned()
    }
}
