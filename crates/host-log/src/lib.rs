//! Parses the log files of hosts, for tools that analyse them.
//!
//! Owns the format of a line: a JSON object, optionally after a prefix of a time in seconds
//! and the host's name. The meaning of the fields is left to the caller;
//! `docs/OPERATIONS.md` lists them.

use std::path::{Path, PathBuf};

use serde_json::{Map, Value};
use thiserror::Error;

/// The error that a log file can't be read.
#[derive(Debug, Error)]
#[error("can't read {}", path.display())]
pub struct UnreadableLog {
    path: PathBuf,
    source: std::io::Error,
}

/// A parsed log line.
#[derive(Clone, Debug)]
pub struct Line {
    /// Time in ms: from the prefix if the line has one, else from the host's timestamp. Comparable
    /// only among lines of the same kind, and timestamps only within a month.
    pub time_ms: i64,
    /// The name of the host that wrote the line.
    pub host: String,
    /// All fields of the JSON object.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Returns a field's string, or an empty one if the field is absent or no string.
    #[must_use]
    pub fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }

    /// Returns a field's number, if the field is present and a number.
    #[must_use]
    pub fn number(&self, field: &str) -> Option<f64> {
        self.fields.get(field).and_then(Value::as_f64)
    }

    /// Returns the name of the event, or an empty string if there is none.
    #[must_use]
    pub fn event(&self) -> &str {
        self.text("event")
    }
}

/// Reads a log file. Lines without a JSON object or a time are skipped. Until a line names
/// the host, the file's stem is taken as its name.
///
/// # Errors
///
/// Fails if the file can't be read.
pub fn read(path: &Path) -> Result<Vec<Line>, UnreadableLog> {
    let bytes = std::fs::read(path).map_err(|source| UnreadableLog {
        path: path.to_owned(),
        source,
    })?;
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    Ok(parse(&String::from_utf8_lossy(&bytes), &name))
}

/// Parses lines of one or several hosts. `name` is the host's name until a line has a `name`
/// field; a line's prefix takes precedence over both.
#[must_use]
pub fn parse(text: &str, name: &str) -> Vec<Line> {
    let mut host = name.to_owned();
    let mut lines = Vec::new();
    for line in text.lines() {
        let Some(start) = line.find('{') else {
            continue;
        };
        let Ok(fields) = serde_json::from_str::<Map<String, Value>>(&line[start..]) else {
            continue;
        };
        if let Some(name) = fields.get("name").and_then(Value::as_str) {
            host = name.to_owned();
        }
        let prefix = parse_prefix(&line[..start]);
        let timestamp = fields.get("timestamp").and_then(Value::as_str);
        let (time_ms, host) = match (prefix, timestamp.and_then(parse_timestamp_ms)) {
            (Some(prefix), _) => prefix,
            (None, Some(time_ms)) => (time_ms, host.clone()),
            (None, None) => continue,
        };
        lines.push(Line {
            time_ms,
            host,
            fields,
        });
    }
    lines
}

/// Parses a prefix of a time in seconds and a host's name; returns the time in ms.
fn parse_prefix(text: &str) -> Option<(i64, String)> {
    let mut words = text.split_whitespace();
    let seconds: f64 = words.next()?.parse().ok()?;
    let host = words.next()?.to_owned();
    Some(((seconds * 1_000.0) as i64, host))
}

/// Returns the time in ms since the start of the last day of the previous month, for a
/// timestamp such as `2026-01-20T22:07:31.551343Z`. Year and month are ignored.
fn parse_timestamp_ms(timestamp: &str) -> Option<i64> {
    let (date, time) = timestamp.trim_end_matches('Z').split_once('T')?;
    let day: i64 = date.rsplit('-').next()?.parse().ok()?;
    let mut parts = time.split(':');
    let hours: i64 = parts.next()?.parse().ok()?;
    let minutes: i64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some(((day * 24 + hours) * 60 + minutes) * 60_000 + (seconds * 1_000.0) as i64)
}
