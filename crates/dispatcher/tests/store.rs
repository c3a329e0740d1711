//! How the platform's tables are read.

use gannetridge_dispatcher::platform_client::{StoreError, Table};
use gannetridge_dispatcher::store_task::{pause_between_reads, Progress, Read};

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
        StoreError::HistoryGone,
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
