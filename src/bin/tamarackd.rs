//! `tamarackd`: an entry instance.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use tamarackdeck::{Command, Settings, init_logging, run};

fn main() -> ExitCode {
    let command = match Settings::read(std::env::args_os().skip(1), |name| std::env::var(name).ok())
    {
        Ok(command) => command,
        Err(findings) => {
            eprintln!("{findings}\nsee tamarackd --help");
            return ExitCode::from(2);
        }
    };
    match command {
        Command::Help => print!("{}", Settings::help()),
        Command::Version => println!("tamarackd {}", env!("CARGO_PKG_VERSION")),
        Command::Check => println!("the settings are good"),
        Command::Run(settings) => return serve(*settings),
    }
    ExitCode::SUCCESS
}

fn serve(settings: Settings) -> ExitCode {
    let started = init_logging(&settings).and_then(|()| {
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
        runtime.block_on(run(settings))
    });
    match started {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
    }
}
