//! The end of the process's grace period, whatever it is doing.
//!
//! The dispatcher ends what it has before that, and the process ends with it. Guards against
//! what may hold it up after the decision to end, or before it: a log whose reader stands
//! still, a host without processor time. A process that the platform has to kill looks like
//! one that doesn't heed its signals.

use std::time::Duration;

use gannetridge_clock::Clock;

/// The exit code of a process that was still at work when its grace period was nearly over.
pub const INCOMPLETE_SHUTDOWN: i32 = 3;
/// The process ends this long before its grace period is over: time for the system to clear
/// it away.
const ENDS_BEFORE: Duration = Duration::from_millis(100);
/// The longest time between looks at the clock: timers follow the steady clock, and fire late
/// where the host is suspended.
const LOOK: Duration = Duration::from_millis(100);

/// Ends the process shortly before a grace period is over that began at `since` on its
/// clock, unless it has ended by itself.
///
/// # Errors
///
/// Fails if the system gives no thread.
pub fn enforce(clock: Clock, since: Duration, grace: Duration) -> std::io::Result<()> {
    let end = since + grace.saturating_sub(ENDS_BEFORE);
    let thread = std::thread::Builder::new().name("grace-period".to_owned());
    thread.spawn(move || {
        let left = || end.saturating_sub(clock.now());
        while !left().is_zero() {
            std::thread::sleep(left().min(LOOK));
        }
        std::process::exit(INCOMPLETE_SHUTDOWN);
    })?;
    Ok(())
}
