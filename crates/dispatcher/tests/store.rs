//! How the platform's tables are read.

use gannetridge_dispatcher::platform_client::{StoreError, Table};
use std::time::Duration;

use gannetridge_dispatcher::store_pace::{pause_after, pause_between_reads};
use gannetridge_dispatcher::store_task::{Progress, Read};

macro_rules! case {
    ($name:ident, $body:block) => {
        #[test]
        fn $name() $body
    };
}

fn following() -> Progress {
    let mut progress = Progress::default();
    assert_eq!(progress.next(), Read::Whole);
    progress.answered(7);
    progress
}

fn waits(read: Read) -> bool {
    matches!(read, Read::Changes { wait_ms, .. } if wait_ms > 0)
}

case!(what_is_known_is_followed_with_patience, {
    assert!(waits(following().next()));
});

case!(a_store_that_gave_no_answer_is_not_waited_for, {
    for error in [StoreError::Unreachable("reset".into()), StoreError::Busy] {
        let mut progress = following();
        progress.failed(&error);
        let next = Read::Changes {
            after: 7,
            wait_ms: 0,
        };
        assert_eq!(progress.next(), next, "its return is to show at once");
        progress.answered(8);
        assert!(waits(progress.next()));
    }
});

case!(what_was_missed_is_read_whole, {
    for error in [
        StoreError::HistoryExpired,
        StoreError::Unreadable("no JSON".into()),
    ] {
        let mut progress = following();
        progress.failed(&error);
        assert_eq!(progress.next(), Read::Whole);
    }
});

case!(leaving_targets_are_read_of_well_within_their_bound, {
    for drain_ms in [400, 2_000, 3_000, 60_000] {
        let pause = pause_between_reads(Table::Targets, drain_ms);
        assert!(pause.as_millis() as u64 * 4 <= drain_ms);
    }
    assert!(pause_between_reads(Table::Configuration, 2_000).is_zero());
});

/// 126 targets whose rows of 450 bytes change each 1.5 s.
const BYTES_PER_MS: u64 = 126 * 450 / 1_500;
const LONGEST: Duration = Duration::from_millis(750);

fn settled_pause(bytes_per_s: u64) -> Duration {
    let mut pause = LONGEST;
    for _ in 0..5 {
        let bytes = BYTES_PER_MS * pause.as_millis() as u64;
        pause = pause_after(LONGEST, bytes, pause, bytes_per_s);
    }
    pause
}

case!(on_a_narrow_link_little_is_read_at_a_time, {
    // 2 Mbit/s: before, an answer took the link for 111 ms, now for 22.
    let pause = settled_pause(250_000);
    let link_ms = BYTES_PER_MS * pause.as_millis() as u64 / 250;
    assert!(link_ms <= 23, "{link_ms} ms after {pause:?}");
});

case!(on_a_wide_link_reads_stay_as_rare, {
    assert_eq!(settled_pause(3_125_000), LONGEST);
    let nothing = pause_after(LONGEST, 0, Duration::ZERO, 250_000);
    assert_eq!(nothing, LONGEST);
});
