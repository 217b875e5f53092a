//! Logs: one line for each change of state, as text or as JSON.

use anyhow::Result;
use serde_json::json;

use crate::transport::settings::{LogFormat, Settings};

/// Sends log lines to the standard error stream.
///
/// # Errors
/// When a logger was set before.
pub fn init(settings: &Settings) -> Result<()> {
    let name = settings.instance.clone();
    let format = settings.log_format;
    fern::Dispatch::new()
        .level(log::LevelFilter::Off)
        .level_for("tamarackdeck", settings.log_level)
        .level_for("tamarackd", settings.log_level)
        .format(move |out, message, record| match format {
            LogFormat::Text => out.finish(format_args!("{} {name} {message}", record.level())),
            LogFormat::Json => {
                let line = json!({
                    "level": record.level().as_str(), "instance": name, "message": message.to_string(),
                });
                out.finish(format_args!("{line}"));
            }
        })
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}
