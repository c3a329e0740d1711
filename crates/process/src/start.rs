//! Listening on addresses at the start of a program, and its exit code.

use std::net::SocketAddr;
use std::process::{ExitCode, Termination};

use anyhow::Context;
use gannetridge_net::{bind, bind_for_clients};
use monoio::net::TcpListener;

/// Returns a program's exit code. Prints the error if the program failed.
pub fn exit_code(program: &str, outcome: anyhow::Result<impl Termination>) -> ExitCode {
    match outcome {
        Ok(outcome) => outcome.report(),
        Err(error) => {
            eprintln!("{program}: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Listens on an address that no other process may use at the same time.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    bind(address).with_context(|| format!("can't listen on {address}"))
}

/// Listens as [`listen`] does, for clients that may send or leave unread what they like.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn listen_for_clients(address: SocketAddr) -> anyhow::Result<TcpListener> {
    bind_for_clients(address).with_context(|| format!("can't listen on {address}"))
}
