//! The state charts match the declared states and events, and invalid charts are refused.

use gannetridge_entry_core::charts::{
    ShardEvent, ShardState, TaskEvent, TaskState, CHANGE, SHARD, TARGET, TASK,
};
use gannetridge_state_chart::{Chart, ChartError, ChartNames};

#[test]
fn all_charts_parse() {
    assert_eq!(TASK.initial(), TaskState::Queued);
    assert_eq!(SHARD.initial(), ShardState::Absent);
    let _ = (CHANGE.initial(), TARGET.initial());
}

#[test]
fn a_task_is_requeued_only_once_its_run_cannot_be_active() {
    let events_to_queued = |state| {
        let events = TaskEvent::NAMES.iter().map(|(_, event)| *event);
        let to_queued = |e: &TaskEvent| TASK.next(state, *e) == Ok(TaskState::Queued);
        events.filter(to_queued).collect::<Vec<_>>()
    };
    assert_eq!(
        events_to_queued(TaskState::Sent),
        [TaskEvent::Refused, TaskEvent::NotSent]
    );
    assert_eq!(
        events_to_queued(TaskState::Asking),
        [TaskEvent::Refused, TaskEvent::LeasePast]
    );
    assert_eq!(events_to_queued(TaskState::Failed), [TaskEvent::Repeated]);
    for state in [TaskState::Done, TaskState::Unknown, TaskState::Dropped] {
        assert_eq!(events_to_queued(state), []);
    }
}

#[test]
fn a_shard_being_handed_over_cannot_be_acquired() {
    let state = SHARD.next(ShardState::Held, ShardEvent::Offered);
    assert_eq!(state, Ok(ShardState::HandingOver));
    assert!(SHARD
        .next(ShardState::HandingOver, ShardEvent::Acquired)
        .is_err());
}

fn parse(text: &str) -> Result<Chart<TaskState, TaskEvent>, ChartError> {
    Chart::parse(text)
}

#[test]
fn charts_with_unknown_or_missing_names_are_refused() {
    let states = parse("name = \"x\"\ninitial = \"queued\"\n[transitions.asleep]\n");
    assert!(matches!(states, Err(ChartError::UnknownState(name)) if name == "asleep"));
    let events =
        parse("name = \"x\"\ninitial = \"queued\"\n[transitions.queued]\nrung = \"sent\"\n");
    assert!(matches!(events, Err(ChartError::UnknownEvent(name)) if name == "rung"));
    let missing =
        parse("name = \"x\"\ninitial = \"queued\"\n[transitions.queued]\nsent = \"sent\"\n");
    assert!(matches!(missing, Err(ChartError::MissingState(_))));
}
