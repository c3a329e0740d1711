//! `gannetridge show`: shows one document.

use anyhow::Context;
use gumdrop::Options;

use crate::api::Api;

/// Shows a document.
#[derive(Debug, Options)]
pub struct Show {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the document, KIND/NAME")]
    key: Option<String>,
}

/// Prints a document after a TOML comment with its version.
pub async fn run(options: &Show, api: &Api) -> anyhow::Result<()> {
    let key = options
        .key
        .as_ref()
        .context("a document, KIND/NAME, is needed")?;
    let doc = api.document(key).await?;
    let doc = doc.with_context(|| format!("no document {key}"))?;
    println!("# {} at version {}", doc.key, doc.version);
    print!("{}", doc.text);
    Ok(())
}
