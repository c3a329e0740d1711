//! `gannetridge compare`: compares a document in force with a file.

use std::path::PathBuf;

use anyhow::Context;
use gumdrop::Options;

use crate::api::Api;

/// Compares a document in force with a file.
#[derive(Debug, Options)]
pub struct Compare {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the document, KIND/NAME")]
    key: Option<String>,
    #[options(free, help = "the file with the document")]
    file: Option<PathBuf>,
}

/// Prints the lines that only one of the two contains.
pub async fn run(options: &Compare, api: &Api) -> anyhow::Result<()> {
    let key = options
        .key
        .as_ref()
        .context("a document, KIND/NAME, is needed")?;
    let path = options.file.as_ref().context("a file is needed")?;
    let file =
        std::fs::read_to_string(path).with_context(|| format!("can't read {}", path.display()))?;
    let doc = api.document(key).await?;
    let in_force = doc.as_ref().map_or("", |d| &d.text);
    let version = doc.as_ref().map_or(0, |d| d.version);
    let lines = differences(in_force, &file);
    if lines.is_empty() {
        println!("{key} at version {version}: no difference");
        return Ok(());
    }
    println!("{key} at version {version}, - in force, + in the file:");
    for line in lines {
        println!("{line}");
    }
    Ok(())
}

/// Returns the lines that only one text contains: first those of `old`, then those of `new`.
/// Order and repetition of lines are ignored.
fn differences(old: &str, new: &str) -> Vec<String> {
    let removed = old.lines().filter(|line| !new.lines().any(|l| l == *line));
    let added = new.lines().filter(|line| !old.lines().any(|l| l == *line));
    let removed = removed.map(|line| format!("- {line}"));
    let added = added.map(|line| format!("+ {line}"));
    removed.chain(added).collect()
}
