//! The choice of the next read of a table, and the pauses between reads.

use gannetridge_dispatcher::platform_client::{StoreError, Table};
use std::time::Duration;

use gannetridge_dispatcher::store_pace::{pause_after_read, pause_between_reads};
use gannetridge_dispatcher::store_task::{TableProgress, TableRead};

macro_rules! case {
    ($name:ident, $body:block) => {
        #[test]
        fn $name() $body
    };
}

/// Returns the progress after a first read that returned version 7.
fn following() -> TableProgress {
    let mut progress = TableProgress::default();
    assert_eq!(progress.next_read(), TableRead::Whole);
    progress.read_succeeded(7);
    progress
}

fn is_long_poll(read: TableRead) -> bool {
    matches!(read, TableRead::Changes { wait_ms, .. } if wait_ms > 0)
}

case!(a_table_that_was_read_is_followed_with_long_polls, {
    assert!(is_long_poll(following().next_read()));
});

case!(a_read_after_a_failed_one_does_not_wait_for_changes, {
    for error in [StoreError::Unreachable("reset".into()), StoreError::Busy] {
        let mut progress = following();
        progress.read_failed(&error);
        let next = TableRead::Changes {
            after: 7,
            wait_ms: 0,
        };
        assert_eq!(
            progress.next_read(),
            next,
            "the store's recovery is noticed at once"
        );
        progress.read_succeeded(8);
        assert!(is_long_poll(progress.next_read()));
    }
});

case!(a_table_whose_changes_cannot_be_read_is_read_whole, {
    for error in [
        StoreError::HistoryExpired,
        StoreError::Unreadable("no JSON".into()),
    ] {
        let mut progress = following();
        progress.read_failed(&error);
        assert_eq!(progress.next_read(), TableRead::Whole);
    }
});

case!(targets_are_read_four_times_within_the_drain_time, {
    for drain_ms in [400, 2_000, 3_000, 60_000] {
        let pause = pause_between_reads(Table::Targets, drain_ms);
        assert!(pause.as_millis() as u64 * 4 <= drain_ms);
    }
    assert!(pause_between_reads(Table::Configuration, 2_000).is_zero());
});

/// The rate of changes of 126 targets whose rows of 450 bytes change every 1.5 s.
const CHANGED_BYTES_PER_MS: u64 = 126 * 450 / 1_500;
const MAX_PAUSE: Duration = Duration::from_millis(750);

/// Returns the pause after some reads at a constant rate of changes.
fn settled_pause(bytes_per_s: u64) -> Duration {
    let mut pause = MAX_PAUSE;
    for _ in 0..5 {
        let bytes = CHANGED_BYTES_PER_MS * pause.as_millis() as u64;
        pause = pause_after_read(MAX_PAUSE, bytes, pause, bytes_per_s);
    }
    pause
}

case!(answers_occupy_a_slow_link_only_briefly, {
    // A link of 2 Mbit/s: replies of targets must not time out behind an answer of the store.
    let pause = settled_pause(250_000);
    let link_ms = CHANGED_BYTES_PER_MS * pause.as_millis() as u64 / 250;
    assert!(link_ms <= 23, "{link_ms} ms after {pause:?}");
});

case!(reads_on_a_fast_link_keep_the_longest_pause, {
    assert_eq!(settled_pause(3_125_000), MAX_PAUSE);
    let without_changes = pause_after_read(MAX_PAUSE, 0, Duration::ZERO, 250_000);
    assert_eq!(without_changes, MAX_PAUSE);
});
