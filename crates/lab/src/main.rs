//! `gannetridge-lab`: the command line of both simulators, for runs by hand, and the
//! accounts of what hosts' logs tell.

mod account;
mod cmd;
mod placement;

use std::process::ExitCode;

use gannetridge_process::start::exit_code;
use gumdrop::Options;

/// Runs randomised runs around the real decision core.
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
    /// What became of jobs, from hosts' logs.
    #[options(help = "what became of jobs, from the logs of their hosts")]
    Account(cmd::account::Account),
    /// Randomised runs with every fault.
    #[options(help = "randomised runs with every fault")]
    Chaos(cmd::chaos::Chaos),
    /// Randomised runs of the dispatcher.
    #[options(help = "randomised runs of the dispatcher with every fault")]
    Dispatch(cmd::dispatch::Dispatch),
    /// Puts known faults back in.
    #[options(help = "show that the checks find mechanisms that are missing")]
    Mutants(cmd::mutants::Mutants),
    /// Where work went, from hosts' logs.
    #[options(help = "where work went and what waited, from the logs of the hosts")]
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
