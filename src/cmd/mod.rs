//! The subcommands, one file each.

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
    /// Checks documents without any host.
    #[options(help = "check document files")]
    Check(check::Check),
    /// Follows a request through logs.
    #[options(help = "print one request's way through log files")]
    Story(story::Story),
    /// Lists documents.
    #[options(help = "list all documents with their versions")]
    List(list::List),
    /// Shows a document.
    #[options(help = "show a document")]
    Show(show::Show),
    /// Compares a document with a file.
    #[options(help = "compare a document in force with a file")]
    Compare(compare::Compare),
    /// Creates or changes a document.
    #[options(help = "create or change a document from a file")]
    Apply(apply::Apply),
    /// Empties or reopens a hall.
    #[options(help = "empty a hall, or reopen it")]
    Drain(drain::Drain),
    /// Waits for a version.
    #[options(help = "wait until a version is in force everywhere")]
    Follow(follow::Follow),
    /// Shows the hosts.
    #[options(help = "show every host's state")]
    Status(status::Status),
}

/// Runs a subcommand that needs hosts.
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
