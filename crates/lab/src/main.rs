//! `gannetridge-lab`: the command line of both simulators, and analyses of hosts' logs.

mod account;
mod cmd;
mod placement;

use std::process::ExitCode;

use gannetridge_process::start::exit_code;
use gumdrop::Options;

/// Simulates hosts with faults, and analyses hosts' logs.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

/// A subcommand.
#[derive(Debug, Options)]
enum Command {
    /// Reports the outcomes of jobs.
    #[options(help = "report the outcomes of jobs from hosts' logs")]
    Account(cmd::account::Account),
    /// Simulates entry hosts.
    #[options(help = "simulate entry hosts with random faults")]
    Chaos(cmd::chaos::Chaos),
    /// Simulates dispatcher hosts.
    #[options(help = "simulate dispatcher hosts with random faults")]
    Dispatch(cmd::dispatch::Dispatch),
    /// Disables one safeguard at a time and runs the simulation until it detects that.
    #[options(help = "check that the simulation detects disabled safeguards of entry hosts")]
    Mutants(cmd::mutants::Mutants),
    /// Reports the placement of tasks.
    #[options(
        help = "report the placement of tasks and the idle times of targets from hosts' logs"
    )]
    Placement(cmd::placement::Placement),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let outcome = match arguments.command {
        None => {
            println!("{}", Arguments::usage());
            if let Some(list) = Arguments::command_list() {
                println!("\nCommands:\n{list}");
            }
            Ok(())
        }
        Some(Command::Account(options)) => cmd::account::run(&options),
        Some(Command::Chaos(options)) => cmd::chaos::run(&options),
        Some(Command::Dispatch(options)) => cmd::dispatch::run(&options),
        Some(Command::Mutants(options)) => cmd::mutants::run(&options),
        Some(Command::Placement(options)) => cmd::placement::run(&options),
    };
    exit_code("gannetridge-lab", outcome)
}
