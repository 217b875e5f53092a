//! Counters, gauges and histograms of the process, in the Prometheus text format.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Bucket bounds of the answer time histogram, in seconds.
const ANSWER_BUCKETS_S: &[f64] =
    &[0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.12, 0.2, 0.4, 1.0, 2.0, 4.0];

/// The metrics of a process.
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: IntCounterVec,
    pub(crate) answer_seconds: Histogram,
    pub(crate) parts_missing: IntCounter,
    pub(crate) restarts: IntCounter,
    pub(crate) gatherer_requests: IntCounterVec,
    pub(crate) sends: IntCounterVec,
    pub(crate) extra_sends: IntCounterVec,
    pub(crate) connections: IntCounterVec,
    pub(crate) notices: IntCounterVec,
    pub(crate) platform_calls: IntCounterVec,
    pub(crate) store_lists: IntCounterVec,
    pub(crate) task_ends: IntCounterVec,
    pub(crate) callers_given_up: IntCounterVec,
    pub(crate) caller_bytes: IntGauge,
    pub(crate) caller_connections: IntGauge,
    pub(crate) link_bytes: IntGauge,
    pub(crate) config_version: IntGauge,
    pub(crate) requests_in_flight: IntGauge,
}

struct MetricBuilder(Registry);

impl MetricBuilder {
    fn counter(&self, name: &str, help: &str) -> IntCounter {
        let c = IntCounter::new(name, help).expect("valid name");
        self.0.register(Box::new(c.clone())).expect("names are unique");
        c
    }

    fn counters(&self, name: &str, help: &str, label: &str) -> IntCounterVec {
        let c = IntCounterVec::new(Opts::new(name, help), &[label]).expect("valid name");
        self.0.register(Box::new(c.clone())).expect("names are unique");
        c
    }

    fn gauge(&self, name: &str, help: &str) -> IntGauge {
        let g = IntGauge::new(name, help).expect("valid name");
        self.0.register(Box::new(g.clone())).expect("names are unique");
        g
    }

    fn histogram(&self, name: &str, help: &str) -> Histogram {
        let opts = HistogramOpts::new(name, help).buckets(ANSWER_BUCKETS_S.to_vec());
        let h = Histogram::with_opts(opts).expect("valid name");
        self.0.register(Box::new(h.clone())).expect("names are unique");
        h
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let builder = MetricBuilder(Registry::new());
        let prefixed = |name: &str| format!("tamarackdeck_{name}");
        Self {
            requests: builder.counters(
                &prefixed("requests_total"),
                "requests by outcome",
                "outcome",
            ),
            answer_seconds: builder
                .histogram(&prefixed("answer_seconds"), "time to the caller's answer"),
            parts_missing: builder
                .counter(&prefixed("parts_missing_total"), "shards left out of answers"),
            restarts: builder
                .counter(&prefixed("restarts_total"), "queries begun again on a newer snapshot"),
            gatherer_requests: builder.counters(
                &prefixed("handed_total"),
                "requests over shards handed to a gatherer, by end",
                "end",
            ),
            sends: builder.counters(&prefixed("sends_total"), "requests to servers, by end", "end"),
            extra_sends: builder.counters(
                &prefixed("extra_arrivals_total"),
                "hedges and retries that asked for the budget",
                "allowed",
            ),
            connections: builder.counters(
                &prefixed("connections_total"),
                "connections to servers",
                "result",
            ),
            notices: builder.counters(
                &prefixed("server_notices_total"),
                "replies by which servers asked for no more requests, or for none for some time",
                "notice",
            ),
            platform_calls: builder.counters(
                &prefixed("platform_calls_total"),
                "calls to the platform",
                "call",
            ),
            store_lists: builder.counters(
                &prefixed("store_lists_total"),
                "lists of the platform's store, by the part of the objects that could be read",
                "extent",
            ),
            task_ends: builder.counters(
                &prefixed("task_ends_total"),
                "tasks of the instance that ended and were started again",
                "task",
            ),
            callers_given_up: builder.counters(
                &prefixed("callers_given_up_total"),
                "what was given up of callers: bodies and connections for others, newcomers, those that took too long",
                "what",
            ),
            caller_bytes: builder
                .gauge(&prefixed("caller_bytes"), "bytes held for callers"),
            caller_connections: builder
                .gauge(&prefixed("caller_connections"), "open connections of callers"),
            link_bytes: builder
                .gauge(&prefixed("link_bytes"), "bytes sent to peers since the start"),
            config_version: builder
                .gauge(&prefixed("config_version"), "version of the routes in force"),
            requests_in_flight: builder
                .gauge(&prefixed("requests_under_way"), "callers' requests under way"),
            registry: builder.0,
        }
    }
}

impl Metrics {
    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        let mut buf = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            log::warn!("cannot encode the metrics: {e}");
        }
        String::from_utf8_lossy(&buf).into_owned()
    }
}
