//! Counters and histograms of the tier.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry, TextEncoder,
};

/// Bounds of the answer histogram, in seconds.
const SECONDS: &[f64] = &[0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.12, 0.2, 0.4, 1.0, 2.0, 4.0];

/// Counters and histograms of the tier.
pub(crate) struct Meters {
    registry: Registry,
    pub(crate) requests: IntCounterVec,
    pub(crate) sends: IntCounterVec,
    pub(crate) extras: IntCounterVec,
    pub(crate) missing: IntCounter,
    pub(crate) connects: IntCounterVec,
    pub(crate) seconds: Histogram,
}

impl Default for Meters {
    fn default() -> Self {
        let registry = Registry::new();
        let vec = |name: &str, help: &str, label: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label]).expect("a valid name");
            registry.register(Box::new(counter.clone())).expect("a name used once");
            counter
        };
        let missing =
            IntCounter::new("tamarackdeck_parts_missing_total", "parts left out of answers")
                .expect("a valid name");
        let opts = HistogramOpts::new("tamarackdeck_answer_seconds", "time to the caller's answer")
            .buckets(SECONDS.to_vec());
        let seconds = Histogram::with_opts(opts).expect("a valid name");
        registry.register(Box::new(missing.clone())).expect("a name used once");
        registry.register(Box::new(seconds.clone())).expect("a name used once");
        Self {
            requests: vec("tamarackdeck_requests_total", "requests by outcome", "outcome"),
            sends: vec("tamarackdeck_sends_total", "requests sent to servers, by end", "end"),
            extras: vec("tamarackdeck_extra_arrivals_total", "hedges and retries", "allowed"),
            connects: vec("tamarackdeck_connections_total", "connections to servers", "result"),
            missing,
            seconds,
            registry,
        }
    }
}

impl Meters {
    /// Returns all of them as text.
    pub(crate) fn text(&self) -> String {
        let mut buf = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            log::warn!("metrics: {e}");
        }
        String::from_utf8_lossy(&buf).into_owned()
    }
}
