//! `tamarackctl`: the command line tool for operators.

#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = std::env::args_os().skip(1);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => {
            runtime.block_on(tamarackdeck::run_command(args, |name| std::env::var(name).ok()))
        }
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::FAILURE;
        }
    };
    if !result.text.is_empty() {
        if result.code == 0 { println!("{}", result.text) } else { eprintln!("{}", result.text) }
    }
    ExitCode::from(result.code)
}
