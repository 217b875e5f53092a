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

struct TextCase {
    name: &'static str,
    format: LogFormat,
    text: fn() -> String,
    /// What the line has of the text.
    shown: &'static str,
    is_whole: bool,
}

const TEXTS: &[TextCase] = &[
    TextCase {
        name: "a line end in JSON",
        format: LogFormat::Json,
        text: || "i-1\n{\"level\":\"ERROR\"}".into(),
        shown: r#"i-1\n{\"level\":\"ERROR\"}"#,
        is_whole: true,
    },
    TextCase {
        name: "a line end in text",
        format: LogFormat::Text,
        text: || "i-1\nERROR f1 stopped".into(),
        shown: r"i-1\nERROR f1 stopped",
        is_whole: true,
    },
    TextCase {
        name: "a terminal's sequence in text",
        format: LogFormat::Text,
        text: || "i-1\u{1b}[2J".into(),
        shown: r"i-1\u{1b}[2J",
        is_whole: true,
    },
    TextCase {
        name: "a megabyte",
        format: LogFormat::Json,
        text: || "\u{e7}".repeat(500_000),
        shown: "\u{e7}\u{e7}",
        is_whole: false,
    },
    TextCase {
        name: "a megabyte in text",
        format: LogFormat::Text,
        text: || "x".repeat(1_000_000),
        shown: "xx",
        is_whole: false,
    },
];

/// Longest line of a message and a field that another writer fills, in bytes.
const MAX_LINE_BYTES: usize = 40 << 10;

/// Guards against text of another writer that begins a line of its own, or makes lines of any length.
#[test]
fn text_of_another_writer_stays_within_its_line() {
    for case in TEXTS {
        let text = (case.text)();
        let opts = LogOptions { instance: "i1".into(), format: case.format, ..Default::default() };
        let fields = [("name", text.as_str())];
        let line = render_log(
            &opts,
            1_500,
            &[],
            &log::Record::builder()
                .level(Level::Warn)
                .args(format_args!("ignored an invalid entry: servers/{text}"))
                .key_values(&fields)
                .build(),
        );
        assert!(!line.contains(|c: char| c.is_control()), "{}: {line:?}", case.name);
        assert!(line.len() <= MAX_LINE_BYTES, "{}: {} bytes", case.name, line.len());
        let times = line.matches(case.shown).count();
        assert!(times >= 2, "{}: {times} times in the line", case.name);
        let names_left_out = line.contains("bytes left out");
        assert_eq!(names_left_out, !case.is_whole, "{}", case.name);
    }
}
