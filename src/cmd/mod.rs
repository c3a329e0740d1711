//! The subcommands, one module each.

pub mod apply;
pub mod check;
pub mod compare;
pub mod drain;
pub mod follow;
pub mod list;
pub mod show;
pub mod status;
pub mod story;

use gumdrop::Options;

use crate::api::Api;

/// A subcommand.
#[derive(Debug, Options)]
pub enum Command {
    /// Needs no host.
    #[options(help = "check document files")]
    Check(check::Check),
    /// Needs no host.
    #[options(help = "print the log lines about one request")]
    Story(story::Story),
    #[options(help = "list all documents with their versions")]
    List(list::List),
    #[options(help = "show a document")]
    Show(show::Show),
    #[options(help = "compare a document in force with a file")]
    Compare(compare::Compare),
    #[options(help = "create or change a document from a file")]
    Apply(apply::Apply),
    #[options(help = "drain a hall, or reopen it")]
    Drain(drain::Drain),
    #[options(help = "wait until a version is in force on all hosts")]
    Follow(follow::Follow),
    #[options(help = "show the status of all hosts")]
    Status(status::Status),
}

/// Runs a subcommand.
pub async fn run(command: Command, api: Api) -> anyhow::Result<()> {
    match command {
        Command::Check(check) => check::run(&check),
        Command::Story(story) => story::run(&story),
        Command::List(_) => list::run(&api).await,
        Command::Show(show) => show::run(&show, &api).await,
        Command::Compare(compare) => compare::run(&compare, &api).await,
        Command::Apply(apply) => apply::run(&apply, &api).await,
        Command::Drain(drain) => drain::run(&drain, &api).await,
        Command::Follow(follow) => follow::run(&follow, &api).await,
        Command::Status(_) => status::run(&api).await,
    }
}
