//! `gannetridge list`: lists all documents with their versions.

use gumdrop::Options;

use crate::api::Api;

/// Lists all documents with their versions.
#[derive(Debug, Options)]
pub struct List {
    #[options(help = "print this help")]
    help: bool,
}

/// Prints the version of the configuration, and each document's version and key.
pub async fn run(api: &Api) -> anyhow::Result<()> {
    let snapshot = api.snapshot().await?;
    println!("version {}", snapshot.version);
    for doc in snapshot.docs {
        println!("{:>8}  {}", doc.version, doc.key);
    }
    Ok(())
}
