//! `tamarackctl`: the operators' command line.

#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = std::env::args_os().skip(1);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = match runtime {
        Ok(runtime) => {
            runtime.block_on(tamarackdeck::run_command(args, |name| std::env::var(name).ok()))
        }
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::FAILURE;
        }
    };
    if !ended.text.is_empty() {
        if ended.code == 0 { println!("{}", ended.text) } else { eprintln!("{}", ended.text) }
    }
    ExitCode::from(ended.code)
}
