//! Settings: flags override environment variables, and all errors are reported together.

use tamarackdeck::{Command, Settings};

struct Case {
    name: &'static str,
    args: &'static [&'static str],
    env: &'static [(&'static str, &'static str)],
    expected: fn(&Command) -> bool,
}

const VALID: &[Case] = &[
    Case {
        name: "flags",
        args: &["--instance", "a", "--domain", "d", "--platform", "memory:"],
        env: &[],
        expected: |c| matches!(c, Command::Run(s) if s.instance == "a" && s.platform_addr.is_none()),
    },
    Case {
        name: "variables",
        args: &[],
        env: &[("TAMARACK_INSTANCE", "b"), ("TAMARACK_DOMAIN", "d"), ("TAMARACK_FLIGHTS", "9")],
        expected: |c| matches!(c, Command::Run(s) if s.instance == "b" && s.max_requests == 9),
    },
    Case {
        name: "a flag overrides its variable",
        args: &["--instance", "a", "--domain", "d"],
        env: &[("TAMARACK_INSTANCE", "b")],
        expected: |c| matches!(c, Command::Run(s) if s.instance == "a"),
    },
    Case { name: "help", args: &["--help"], env: &[], expected: |c| *c == Command::Help },
    Case { name: "version", args: &["--version"], env: &[], expected: |c| *c == Command::Version },
    Case {
        name: "check",
        args: &["--check", "--instance", "a", "--domain", "d"],
        env: &[],
        expected: |c| *c == Command::Check,
    },
];

fn parse(args: &[&str], env: &[(&str, &str)]) -> Result<Command, String> {
    let find = |name: &str| env.iter().find(|(n, _)| *n == name).map(|(_, v)| v.to_string());
    Settings::parse(args.iter().map(Into::into), find).map_err(|f| f.to_string())
}

#[test]
fn valid_settings_are_parsed() {
    for case in VALID {
        let command = parse(case.args, case.env).unwrap_or_else(|e| panic!("{}: {e}", case.name));
        assert!((case.expected)(&command), "{}: {command:?}", case.name);
    }
}

#[test]
fn every_error_is_reported_with_its_setting() {
    let args = [
        "--callers",
        "nowhere",
        "--peers",
        "127.0.0.1:1",
        "--operators",
        "127.0.0.1:1",
        "--stop-notice-ms",
        "30000",
    ];
    let env =
        [("TAMARACK_FLIGHTS", "many"), ("TAMARACK_LOG_FORMAT", "xml"), ("TAMARACK_DOMAIN", "a b")];
    insta::assert_snapshot!(parse(&args, &env).unwrap_err());
}

#[test]
fn the_help_text_names_every_flag_with_its_variable() {
    insta::assert_snapshot!(Settings::help());
}
