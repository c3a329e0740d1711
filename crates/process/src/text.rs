//! Shortens texts from clients for log lines and replies, which wait in memory for their readers.

/// The longest text of a client in a log line or a reply, in bytes.
const MAX_TEXT_BYTES: usize = 2_048;

/// Returns the start of a text, without splitting a character.
#[must_use]
pub fn shorten(text: &str) -> &str {
    let ends = (0..=MAX_TEXT_BYTES.min(text.len())).rev();
    let end = ends.into_iter().find(|end| text.is_char_boundary(*end));
    &text[..end.unwrap_or(0)]
}
