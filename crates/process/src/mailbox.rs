//! Questions to the task that owns a program's state.
//!
//! Other tasks send it messages; a message that wants an answer carries the sender
//! of a channel for it. The owning task ends when all senders are gone.

use local_sync::mpsc::unbounded;
use local_sync::oneshot;
use thiserror::Error;

/// Why a question has no answer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum MailboxError {
    /// The owning task had ended before: the question was not taken.
    #[error("the owning task has ended")]
    NotAccepted,
    /// The owning task took the question and dropped it.
    #[error("the question was dropped")]
    Dropped,
}

/// Sends a message with a channel for its answer, and waits for that.
///
/// # Errors
///
/// Fails if the owning task has ended, or drops the question.
pub async fn ask<M, A>(
    tx: &unbounded::Tx<M>,
    message: impl FnOnce(oneshot::Sender<A>) -> M,
) -> Result<A, MailboxError> {
    let (answer_tx, answer_rx) = oneshot::channel();
    tx.send(message(answer_tx))
        .map_err(|_| MailboxError::NotAccepted)?;
    answer_rx.await.map_err(|_| MailboxError::Dropped)
}
