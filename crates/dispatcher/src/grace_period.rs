//! Ends the process before its grace period expires, from a thread of its own.
//!
//! Normally the dispatcher shuts down earlier and the process ends with it. This guards
//! against a shutdown that is held up, for instance by a log whose reader has stalled or by
//! a lack of processor time: a process that the platform has to kill appears to ignore its
//! signals.

use std::time::Duration;

use gannetridge_clock::Clock;

/// The exit code of a process whose shutdown didn't finish within its grace period.
pub const INCOMPLETE_SHUTDOWN: i32 = 3;
/// How long before the end of the grace period the process exits: the time that the system
/// needs to remove it.
const EXIT_MARGIN: Duration = Duration::from_millis(100);
/// The longest sleep between checks of the clock: a sleep doesn't count time in which the
/// host is suspended.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Starts a thread that ends the process with [`INCOMPLETE_SHUTDOWN`] shortly before the end of
/// a grace period that started at `since` on `clock`.
///
/// # Errors
///
/// Fails if the thread can't be started.
pub fn enforce(clock: Clock, since: Duration, grace: Duration) -> std::io::Result<()> {
    let end = since + grace.saturating_sub(EXIT_MARGIN);
    let thread = std::thread::Builder::new().name("grace-period".to_owned());
    thread.spawn(move || {
        let remaining = || end.saturating_sub(clock.now());
        while !remaining().is_zero() {
            std::thread::sleep(remaining().min(CHECK_INTERVAL));
        }
        std::process::exit(INCOMPLETE_SHUTDOWN);
    })?;
    Ok(())
}
