//! The common command line of the stand-ins.

use std::path::PathBuf;

use anyhow::Context;
use gumdrop::Options;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Runs a stand-in for a part of the deployment, for tests and trials.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the settings file, TOML", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(no_short, help = "print the checked settings and exit")]
    print_settings: bool,
}

/// Parses the command line and reads the settings file. Returns `None` after
/// printing the settings if `--print-settings` is given.
///
/// # Errors
///
/// Fails if no file is given, or if it can't be read or parsed as `T`.
pub fn read_settings<T: DeserializeOwned + Serialize>() -> anyhow::Result<Option<T>> {
    let arguments = Arguments::parse_args_default_or_exit();
    let path = arguments.settings.context("--settings FILE is needed")?;
    let settings: T = gannetridge_process::settings::read(&path)?;
    if !arguments.print_settings {
        return Ok(Some(settings));
    }
    println!("{}", serde_json::to_string_pretty(&settings)?);
    Ok(None)
}
