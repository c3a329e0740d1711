//! Reads the log lines of hosts, for the tools that explain what hosts did.
//!
//! Owns the form of a line: JSON, alone or behind a prefix of a time in seconds and the
//! host's name. What the fields mean is the reader's; `docs/OPERATIONS.md` lists them.

use std::path::{Path, PathBuf};

use serde_json::{Map, Value};
use thiserror::Error;

/// A log file that can't be read.
#[derive(Debug, Error)]
#[error("can't read {}", path.display())]
pub struct UnreadableLog {
    path: PathBuf,
    source: std::io::Error,
}

/// A log line.
#[derive(Clone, Debug)]
pub struct Line {
    /// In ms; of the host's clock, or as the line's own prefix says.
    pub time_ms: i64,
    /// The host's name.
    pub host: String,
    /// The fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Returns a field's text, empty if it has none.
    #[must_use]
    pub fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }

    /// Returns a field's number, if it is one.
    #[must_use]
    pub fn number(&self, field: &str) -> Option<f64> {
        self.fields.get(field).and_then(Value::as_f64)
    }

    /// Returns the event's name.
    #[must_use]
    pub fn event(&self) -> &str {
        self.text("event")
    }
}

/// Reads a file's lines. What is no line of a host, or has no time, is passed over.
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

/// Reads lines of one or several hosts; `name` is the host's as long as no line tells it.
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
        let prefixed = prefix(&line[..start]);
        let timestamp = fields.get("timestamp").and_then(Value::as_str);
        let (time_ms, host) = match (prefixed, timestamp.and_then(millis)) {
            (Some(prefixed), _) => prefixed,
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

/// Reads a prefix of a time in seconds and a host's name.
fn prefix(text: &str) -> Option<(i64, String)> {
    let mut words = text.split_whitespace();
    let seconds: f64 = words.next()?.parse().ok()?;
    let host = words.next()?.to_owned();
    Some(((seconds * 1_000.0) as i64, host))
}

/// Reads the time of day of a timestamp such as `2026-01-20T22:07:31.551343Z`,
/// with the day of the month, in ms.
fn millis(timestamp: &str) -> Option<i64> {
    let (date, time) = timestamp.trim_end_matches('Z').split_once('T')?;
    let day: i64 = date.rsplit('-').next()?.parse().ok()?;
    let mut parts = time.split(':');
    let hours: i64 = parts.next()?.parse().ok()?;
    let minutes: i64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some(((day * 24 + hours) * 60 + minutes) * 60_000 + (seconds * 1_000.0) as i64)
}
