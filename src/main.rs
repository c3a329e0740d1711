//! The operators' command line: shows and changes the configuration of entry hosts, and
//! searches log files.

mod api;
mod cmd;

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use gannetridge_process::start::exit_code;
use gumdrop::Options;

use crate::api::{Api, OperatorSettings};

/// Shows and changes templates, accounts and halls.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the settings file, TOML", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(no_short, help = "print the checked settings and exit")]
    print_settings: bool,
    #[options(command)]
    command: Option<cmd::Command>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    exit_code("gannetridge", run(arguments))
}

fn run(arguments: Arguments) -> anyhow::Result<()> {
    if arguments.print_settings {
        let path = arguments.settings.context("--settings FILE is needed")?;
        let settings: OperatorSettings = gannetridge_process::settings::read(&path)?;
        println!("{}", serde_json::to_string_pretty(&settings)?);
        return Ok(());
    }
    let Some(command) = arguments.command else {
        println!("{}", Arguments::usage());
        if let Some(list) = Arguments::command_list() {
            println!("\nCommands:\n{list}");
        }
        return Ok(());
    };
    // These commands read local files only and need no settings.
    match &command {
        cmd::Command::Check(check) => return cmd::check::run(check),
        cmd::Command::Story(story) => return cmd::story::run(story),
        _ => {}
    }
    let path = arguments.settings.context("--settings FILE is needed")?;
    let settings: OperatorSettings = gannetridge_process::settings::read(&path)?;
    gannetridge_net::runtime::run(cmd::run(command, Api::new(settings)))?
}
