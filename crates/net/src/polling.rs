//! Helpers that poll futures, or make them wait. They take pinned futures: taken by value, each
//! would take the memory of a connection's task twice.

use std::future::Future;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use monoio::time::timeout;

/// A time limit has passed.
#[derive(Debug)]
pub(crate) struct TimedOut;

/// Polls a future a single time.
pub(crate) async fn poll_once<F: Future>(mut future: Pin<&mut F>) -> Poll<F::Output> {
    std::future::poll_fn(|cx| Poll::Ready(future.as_mut().poll(cx))).await
}

/// Awaits a pinned future for a limited time. The time is only measured if the future isn't ready
/// at once, as most are that continue what was received already.
pub(crate) async fn within<F: Future>(
    limit: Duration,
    mut future: Pin<&mut F>,
) -> Result<F::Output, TimedOut> {
    if let Poll::Ready(output) = poll_once(future.as_mut()).await {
        return Ok(output);
    }
    timeout(limit, future).await.map_err(|_| TimedOut)
}

/// Lets other tasks run.
pub(crate) async fn yield_now() {
    let mut yielded = false;
    std::future::poll_fn(|cx| {
        if yielded {
            return Poll::Ready(());
        }
        yielded = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
