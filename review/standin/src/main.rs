//! The stand-ins of the review's cases: each case is one run of a small deployment.
//!
//! `review-standin CASE RECORD` exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//! With `TROUBLE=0` the same is done without the disruption.

mod cases;
mod http;
mod json;
mod proxy;
mod record;
mod rig;
mod server;
mod store;
mod trials;

use std::path::Path;
use std::time::Duration;

use record::Record;

/// After this time the case is ended; a run takes half of it.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = &args[..] else {
        eprintln!("usage: review-standin CASE RECORD");
        std::process::exit(2);
    };
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        rig::end_processes();
        std::process::exit(2);
    }));
    let record = Record::create(Path::new(path));
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    record.line(format!("# case {case}, trouble: {trouble}"));
    let r = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        r.line("# the case took too long");
        rig::end_processes();
        std::process::exit(2);
    });
    match case.as_str() {
        "entry-number" => cases::entry_number(record, trouble),
        "entry-bytes" => cases::entry_bytes(record, trouble),
        "entry-partial" => cases::entry_partial(record, trouble),
        "silent-lines" => cases::silent_lines(record, trouble),
        "limit" => trials::limit_unheard(record, trouble),
        "forwarded" => trials::forwarded(record, trouble),
        "new-run" => trials::new_run(record, trouble),
        "entry-returns" => cases::entry_returns(record, trouble),
        _ => {
            eprintln!("no such case: {case}");
            std::process::exit(2);
        }
    }
}
