//! Standstills of the machine, which excuse a query from the time limits of a test.

use std::time::{Duration, Instant};

use standins::standstills::total;

struct Case {
    name: &'static str,
    /// Start and end of each standstill, in milliseconds.
    spans: &'static [(u64, u64)],
    from: u64,
    until: u64,
    total: u64,
}

const CASES: &[Case] = &[
    Case { name: "none", spans: &[], from: 0, until: 100, total: 0 },
    Case { name: "within", spans: &[(10, 30), (50, 75)], from: 0, until: 100, total: 45 },
    Case { name: "over both ends", spans: &[(10, 30), (50, 75)], from: 20, until: 60, total: 20 },
    Case { name: "before and after", spans: &[(10, 30), (50, 75)], from: 30, until: 50, total: 0 },
    Case { name: "all of it", spans: &[(10, 90)], from: 20, until: 60, total: 40 },
];

#[test]
fn standstills_count_where_they_overlap() {
    let start = Instant::now();
    let at = |ms: &u64| start + Duration::from_millis(*ms);
    for case in CASES {
        let spans: Vec<_> = case.spans.iter().map(|(s, e)| (at(s), at(e))).collect();
        let sum = total(&spans, at(&case.from), at(&case.until));
        assert_eq!(sum, Duration::from_millis(case.total), "{}", case.name);
    }
}
