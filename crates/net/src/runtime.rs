//! Builds the asynchronous runtime; no other module does.

use std::future::Future;

use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs a future to completion on this thread.
///
/// The runtime uses the `epoll` driver, since the hosts forbid `io_uring`.
///
/// # Errors
///
/// Fails if the operating system can't create the event queue.
pub fn run<F: Future>(future: F) -> std::io::Result<F::Output> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()?;
    Ok(runtime.block_on(future))
}
