//! The rules by which the runner's stand-in starts tasks and answers queries.

use gannetridge_entry_standins::runner::Runner;
use gannetridge_entry_wire::target::{StartRefusal, StartTask, TaskQuery, TaskReport};
use gannetridge_entry_wire::{Epoch, ShardId, TaskId, Time};

const NOW: Time = Time::from_millis(1_000_000);

fn task(index: u32) -> TaskId {
    TaskId {
        account: "a".into(),
        submission: "hall.1.x".parse().expect("an id"),
        index,
        run: 0,
    }
}

fn start(index: u32, epoch: u64, fence: u64) -> StartTask {
    StartTask {
        task: task(index),
        shard: ShardId {
            hall: "hall".into(),
            index: 0,
        },
        epoch: Epoch(epoch),
        fence: Epoch(fence),
        latest_begin: NOW.plus_millis(10),
        lease_ms: 100,
        template: "t".into(),
        parameters: Default::default(),
        input: String::new(),
    }
}

fn query(index: u32, sent: Time) -> TaskQuery {
    TaskQuery {
        task: task(index),
        sent,
        stop: false,
    }
}

fn refused(reason: StartRefusal) -> Result<(), TaskReport> {
    Err(TaskReport::Refused { reason })
}

#[test]
fn starts_are_refused_with_their_reason() {
    let mut runner = Runner::new(1);
    assert_eq!(runner.start(&start(0, 3, 3), NOW), Ok(()));
    assert_eq!(runner.start(&start(0, 3, 3), NOW), Err(TaskReport::Running));
    assert_eq!(
        runner.start(&start(1, 3, 3), NOW),
        refused(StartRefusal::Full)
    );
    assert_eq!(
        runner.start(&start(1, 2, 1), NOW),
        refused(StartRefusal::StaleEpoch)
    );
    let late = NOW.plus_millis(11);
    assert_eq!(
        runner.start(&start(1, 3, 3), late),
        refused(StartRefusal::TooLate)
    );
    runner.leaving = true;
    assert_eq!(
        runner.start(&start(1, 3, 3), NOW),
        refused(StartRefusal::Leaving)
    );
}

#[test]
fn a_task_is_not_started_after_a_query_for_it() {
    let mut runner = Runner::new(8);
    assert_eq!(runner.query(&query(0, NOW)), TaskReport::NeverStarted);
    assert_eq!(
        runner.start(&start(0, 1, 0), NOW),
        Err(TaskReport::NeverStarted)
    );
}

/// A repeated query answered with `NeverStarted` would lead to a second start of a
/// task that may have run before the restart.
#[test]
fn a_restarted_runner_reports_over_for_every_query() {
    let mut runner = Runner::new(8);
    assert_eq!(runner.start(&start(0, 1, 0), NOW), Ok(()));
    runner.restart(NOW.plus_millis(5));
    for _ in 0..3 {
        assert_eq!(runner.query(&query(0, NOW)), TaskReport::Over);
    }
}
