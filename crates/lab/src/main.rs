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
    /// Outcomes of jobs, from hosts' logs.
    #[options(help = "outcomes of jobs, from the logs of their hosts")]
    Account(cmd::account::Account),
    /// Randomised runs of the entry host.
    #[options(help = "randomised runs of the entry host with every fault")]
    Chaos(cmd::chaos::Chaos),
    /// Randomised runs of the dispatcher.
    #[options(help = "randomised runs of the dispatcher with every fault")]
    Dispatch(cmd::dispatch::Dispatch),
    /// Disables one safety mechanism at a time, and checks that the checks detect it.
    #[options(help = "show that the checks detect disabled mechanisms of the entry host")]
    Mutants(cmd::mutants::Mutants),
    /// Placement of tasks and waiting times, from hosts' logs.
    #[options(help = "placement of tasks and waiting times, from the logs of the hosts")]
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
