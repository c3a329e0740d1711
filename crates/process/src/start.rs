//! The start and the end of a program.

use std::net::SocketAddr;
use std::process::ExitCode;

use anyhow::Context;
use gannetridge_net::bind;
use monoio::net::TcpListener;

/// Returns a program's exit code, and prints why it failed if it did.
#[must_use]
pub fn exit_code(program: &str, outcome: anyhow::Result<ExitCode>) -> ExitCode {
    outcome.unwrap_or_else(|error| {
        eprintln!("{program}: {error:#}");
        ExitCode::FAILURE
    })
}

/// Listens on an address.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    bind(address).with_context(|| format!("can't listen on {address}"))
}
