//! Requests to the task that owns a program's state.
//!
//! Other tasks send it messages over a channel. A message that expects an answer carries the
//! sender of a one-shot channel for it. The owning task ends when all senders were dropped.

use local_sync::mpsc::unbounded;
use local_sync::oneshot;
use thiserror::Error;

/// The reason why a request has no answer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum MailboxError {
    /// The owning task had already ended: the request wasn't queued.
    #[error("the owning task has ended")]
    NotAccepted,
    /// The request was queued, but dropped without an answer.
    #[error("the request was dropped")]
    Dropped,
}

/// Sends a message with a channel for its answer, and returns the answer.
///
/// # Errors
///
/// Fails if the owning task has ended or drops the request.
pub async fn ask<M, A>(
    tx: &unbounded::Tx<M>,
    message: impl FnOnce(oneshot::Sender<A>) -> M,
) -> Result<A, MailboxError> {
    let (answer_tx, answer_rx) = oneshot::channel();
    tx.send(message(answer_tx))
        .map_err(|_| MailboxError::NotAccepted)?;
    answer_rx.await.map_err(|_| MailboxError::Dropped)
}
