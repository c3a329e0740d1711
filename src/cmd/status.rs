//! `gannetridge status`: shows the status of all hosts.

use gumdrop::Options;

use crate::api::Api;

/// Shows the status of all hosts.
#[derive(Debug, Options)]
pub struct Status {
    #[options(help = "print this help")]
    help: bool,
}

/// Prints a table with a line for each host. Hosts that don't reply are shown with the error.
pub async fn run(api: &Api) -> anyhow::Result<()> {
    println!(
        "{:<20} {:<14} {:<6} {:>8} {:>7} {:>6} {:>8}",
        "host", "hall", "ready", "version", "shards", "jobs", "targets"
    );
    for host in api.hosts() {
        match api.status(*host).await {
            Ok(s) => println!(
                "{:<20} {:<14} {:<6} {:>8} {:>7} {:>6} {:>8}",
                s.name,
                s.hall,
                s.ready,
                s.config_version,
                s.shards.len(),
                s.jobs,
                s.targets
            ),
            Err(error) => println!("{host:<20} not reached: {error}"),
        }
    }
    Ok(())
}
