//! The format of log lines, which operators search for.

use log::Level;
use tamarackdeck::{LogFormat, LogOptions, render_log};

struct Case {
    name: &'static str,
    format: LogFormat,
    level: Level,
    message: &'static str,
    fields: &'static [(&'static str, &'static str)],
    counts: &'static [(&'static str, u32)],
}

const CASES: &[Case] = &[
    Case {
        name: "an answer without some shards",
        format: LogFormat::Json,
        level: Level::Info,
        message: "answered without some shards",
        fields: &[("request", "9c41"), ("why", "s1:deadline:i-1+i-2")],
        counts: &[("left_out", 0), ("dropped", 0)],
    },
    Case {
        name: "lines were left out",
        format: LogFormat::Json,
        level: Level::Warn,
        message: "request declined",
        fields: &[("request", "9c41"), ("outcome", "not_run")],
        counts: &[("left_out", 7), ("dropped", 2)],
    },
    Case {
        name: "text",
        format: LogFormat::Text,
        level: Level::Info,
        message: "routes in force",
        fields: &[("version", "7")],
        counts: &[],
    },
    Case {
        name: "quotes and line ends",
        format: LogFormat::Json,
        level: Level::Error,
        message: "a \"quoted\"\nmessage",
        fields: &[],
        counts: &[],
    },
];

#[test]
fn log_line_format_is_stable() {
    let mut lines = String::new();
    for case in CASES {
        let opts = LogOptions { instance: "i1".into(), format: case.format, ..Default::default() };
        let args = format_args!("{}", case.message);
        let fields = case.fields.to_vec();
        let record =
            log::Record::builder().level(case.level).args(args).key_values(&fields).build();
        lines += &format!("{}:\n{}\n", case.name, render_log(&opts, 1_500, case.counts, &record));
    }
    insta::assert_snapshot!(lines);
}
