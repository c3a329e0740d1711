//! `gannetridge drain`: drains a hall, or reopens it.

use anyhow::Context;
use gumdrop::Options;

use super::apply;
use crate::api::Api;

/// Drains a hall: its targets get no new tasks until it is reopened.
#[derive(Debug, Options)]
pub struct Drain {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "reopen the hall")]
    reopen: bool,
    #[options(free, help = "the hall")]
    hall: Option<String>,
}

/// Changes the state in the hall's document.
pub async fn run(options: &Drain, api: &Api) -> anyhow::Result<()> {
    let hall = options.hall.as_ref().context("a hall is needed")?;
    let key = format!("hall/{hall}");
    let doc = api.document(&key).await?;
    let doc = doc.with_context(|| format!("no document {key}"))?;
    let state = if options.reopen { "open" } else { "draining" };
    let text = format!("state = \"{state}\"\n");
    apply::change(api, &key, &text, doc.version, None).await
}
