//! `gannetridge apply`: creates or changes a document.

use std::path::PathBuf;

use anyhow::Context;
use gannetridge_entry_config::DocumentKey;
use gumdrop::Options;
use rand::Rng;

use super::check;
use crate::api::{Api, ChangeError};

/// Creates or changes a document from a file.
#[derive(Debug, Options)]
pub struct Apply {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "the document's version on which the change is based; 0 for a new document",
        meta = "N"
    )]
    read_at: Option<u64>,
    #[options(
        help = "the id of an earlier attempt whose outcome is unknown",
        meta = "ID"
    )]
    change_id: Option<String>,
    #[options(free, help = "the document, KIND/NAME")]
    key: Option<String>,
    #[options(free, help = "the file with the document")]
    file: Option<PathBuf>,
}

/// Checks the file and writes its text as the document.
pub async fn run(options: &Apply, api: &Api) -> anyhow::Result<()> {
    let key = options
        .key
        .as_ref()
        .context("a document, KIND/NAME, is needed")?;
    let path = options.file.as_ref().context("a file is needed")?;
    let parsed: DocumentKey = key.parse()?;
    let text = check::read_document(parsed.kind, path)??;
    let read_at = match options.read_at {
        Some(read_at) => read_at,
        None => api.document(key).await?.map_or(0, |doc| doc.version),
    };
    change(api, key, &text, read_at, options.change_id.as_deref()).await
}

/// Makes a change and prints the result. Without `change_id` a random id is used.
pub async fn change(
    api: &Api,
    key: &str,
    text: &str,
    read_at: u64,
    change_id: Option<&str>,
) -> anyhow::Result<()> {
    let random_id = || format!("{:016x}", rand::rng().random::<u64>());
    let change_id = change_id.map_or_else(random_id, str::to_owned);
    match api.change(key, text, read_at, &change_id).await {
        Ok(version) => {
            println!("{key} accepted as version {version}");
            Ok(())
        }
        Err(ChangeError::Conflict { read_at, current }) => {
            if let Some(doc) = &current {
                eprintln!("document in force, version {}:\n{}", doc.version, doc.text);
                eprintln!("your document, based on version {read_at}:\n{text}");
            }
            Err(ChangeError::Conflict { read_at, current }.into())
        }
        Err(error) => Err(error.into()),
    }
}
