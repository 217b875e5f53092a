//! `tamarackctl`: the command line tool for operators.

#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = std::env::args_os().skip(1);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let output = match runtime {
        Ok(runtime) => {
            runtime.block_on(tamarackdeck::run_command(args, |name| std::env::var(name).ok()))
        }
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::FAILURE;
        }
    };
    if !output.text.is_empty() {
        if output.code == 0 { println!("{}", output.text) } else { eprintln!("{}", output.text) }
    }
    ExitCode::from(output.code)
}
