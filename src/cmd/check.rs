//! `gannetridge check`: checks document files without contacting a host.

use std::path::{Path, PathBuf};

use anyhow::Context;
use gannetridge_entry_config::{Document, DocumentKind, Faults};
use gumdrop::Options;

/// Checks document files.
#[derive(Debug, Options)]
pub struct Check {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "the kind of the documents: template, account or hall",
        meta = "KIND"
    )]
    kind: Option<String>,
    #[options(free, help = "the document files")]
    files: Vec<PathBuf>,
}

/// Checks all files and fails with the faults of all of them.
pub fn run(options: &Check) -> anyhow::Result<()> {
    let kind = match options.kind.as_deref() {
        Some("template") => DocumentKind::Template,
        Some("account") => DocumentKind::Account,
        Some("hall") => DocumentKind::Hall,
        _ => anyhow::bail!("--kind takes template, account or hall"),
    };
    let mut faults = Vec::new();
    for path in &options.files {
        if let Err(found) = read_document(kind, path)? {
            faults.extend(found.0);
        }
    }
    if faults.is_empty() {
        println!("{} files without faults", options.files.len());
        return Ok(());
    }
    Err(Faults(faults).into())
}

/// Reads and checks a document file. Returns its text or its faults.
///
/// # Errors
///
/// Fails if the file can't be read.
pub fn read_document(kind: DocumentKind, path: &Path) -> anyhow::Result<Result<String, Faults>> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).with_context(|| format!("can't read {file}"))?;
    Ok(Document::read(kind, &file, &text).map(|_| text))
}
