//! A minimal blocking HTTP client.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A reply, its head as text.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// Sends a request and returns the reply.
pub fn call(addr: SocketAddr, method: &str, path: &str, body: &str) -> std::io::Result<Reply> {
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    raw(addr, request.as_bytes())
}

/// Sends bytes, reads until the server closes the connection, and returns the reply.
pub fn raw(addr: SocketAddr, bytes: &[u8]) -> std::io::Result<Reply> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(Duration::from_secs(60)))?;
    stream.write_all(bytes)?;
    let mut text = Vec::new();
    stream.read_to_end(&mut text)?;
    let text = String::from_utf8_lossy(&text).into_owned();
    let incomplete = || std::io::Error::new(std::io::ErrorKind::UnexpectedEof, "incomplete reply");
    let (head, body) = text.split_once("\r\n\r\n").ok_or_else(incomplete)?;
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    Ok(Reply {
        status: status.ok_or_else(incomplete)?,
        head: head.to_owned(),
        body: body.to_owned(),
    })
}
