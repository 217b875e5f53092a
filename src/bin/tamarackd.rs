//! `tamarackd`: the daemon of an entry instance.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use tamarackdeck::{Command, LogOptions, Settings, init_log, run};

fn main() -> ExitCode {
    let command =
        match Settings::parse(std::env::args_os().skip(1), |name| std::env::var(name).ok()) {
            Ok(command) => command,
            Err(findings) => {
                eprintln!("{findings}\nsee tamarackd --help");
                return ExitCode::from(2);
            }
        };
    match command {
        Command::Help => print!("{}", Settings::help()),
        Command::Version => println!("tamarackd {}", env!("CARGO_PKG_VERSION")),
        Command::Check => println!("the settings are valid"),
        Command::Run(settings) => return serve(*settings),
    }
    ExitCode::SUCCESS
}

fn serve(settings: Settings) -> ExitCode {
    let log_options = LogOptions {
        instance: settings.instance.clone(),
        format: settings.log_format,
        level: settings.log_level,
    };
    let result = init_log(log_options).and_then(|()| {
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
        runtime.block_on(run(settings))
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
    }
}
