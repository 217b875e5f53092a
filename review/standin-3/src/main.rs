//! Cases of the third review: `standin-3 CASE FOLDER`, run in the repository's folder.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod http;
mod instance;
mod json;
mod record;
mod server;
mod store;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standin-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::run(case, Path::new(folder), has_trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
