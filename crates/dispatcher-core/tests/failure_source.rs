//! Whether failures count against a queue or a target.

mod support;

use gannetridge_dispatcher_core::event::ListedOutcome;
use gannetridge_dispatcher_core::message::AttemptId;
use gannetridge_dispatcher_core::rules::failure_source::RecentOutcomes;
use gannetridge_dispatcher_core::settings::RunningTimes;
use gannetridge_dispatcher_core::{Scheduling, TargetCall, TargetReply};
use gannetridge_wire::Name;
use support::{case, ended, settings, step, target, Rig};

/// Returns whether a failure on the first target counts against it, given how the kind's last
/// attempts ended on each target: `f` for failed, `d` for done.
fn counts_against_first(ends: &str) -> bool {
    let name = |place: usize| Name::from(format!("t{place}"));
    let mut recent = RecentOutcomes::default();
    for (place, end) in ends.bytes().enumerate() {
        recent.record(100, &name(place), end == b'f');
    }
    recent.counts_against(200, &name(0))
}

macro_rules! failure_counts {
    ($($name:ident: $ends:expr => $counts:expr;)+) => {
        $(case!($name, { assert_eq!(counts_against_first($ends), $counts); });)+
    };
}
failure_counts! {
    a_failure_on_a_single_target_counts_against_it: "f" => true;
    two_other_targets_are_too_few_to_compare: "fff" => true;
    failures_on_most_targets_count_against_the_queue: "fffd" => false;
    a_failure_counts_if_other_targets_succeed: "fddddddd" => true;
    failures_on_a_minority_of_targets_count: "fffddddd" => true;
    only_the_latest_targets_are_considered: "fffffddddddddd" => true;
}

case!(old_outcomes_are_ignored, {
    let mut recent = RecentOutcomes::default();
    for place in 0..6 {
        recent.record(100, &Name::from(format!("t{place}")), true);
    }
    assert!(recent.counts_against(6_000, &"t0".into()));
});

/// Returns how many of six targets get a task of another kind after a queue's tasks failed on all.
fn usable_targets_after_failures(running_times: RunningTimes) -> usize {
    let entries: Vec<_> = (0..6)
        .map(|place| target(&format!("t{place}"), 8))
        .collect();
    let mut host = settings();
    host.scheduling = Scheduling {
        running_times,
        ..Scheduling::default()
    };
    let mut rig = Rig::holding_targets_with(host, &entries);
    let mut ended_so_far = 0;
    for number in 0..30 {
        rig.submit(
            number,
            &format!("{number:016x}"),
            vec![step(1, 7_000, 60)],
            9_000,
        );
        rig.idle_targets_answer();
        rig.advance(10);
        fail_all(&mut rig, &mut ended_so_far);
    }
    (100..106).for_each(|number| {
        rig.submit(
            number,
            &format!("{number:016x}"),
            vec![step(1, 7_000, 900)],
            9_000,
        );
    });
    rig.idle_targets_answer();
    let others = rig.starts();
    others.iter().filter(|(_, _, id)| is_other(id)).count()
}

fn is_other(id: &AttemptId) -> bool {
    id.task.starts_with("000000000000006")
}

/// Lets all started attempts fail at once.
fn fail_all(rig: &mut Rig, ended_so_far: &mut u64) {
    let calls = std::mem::take(&mut rig.calls);
    let (starts, renewals): (Vec<_>, Vec<_>) = calls
        .into_iter()
        .partition(|called| matches!(called.order, TargetCall::Start(_)));
    let clock = rig.now + 500_000;
    for called in &starts {
        rig.target_reply(called.call, TargetReply::Accepted { clock });
    }
    rig.now += 1;
    for called in renewals {
        let failed = starts.iter().filter(|start| start.target == called.target);
        let ends = failed.filter_map(|start| match &start.order {
            TargetCall::Start(order) => {
                *ended_so_far += 1;
                Some(ended(*ended_so_far, &order.id, ListedOutcome::Failed))
            }
            TargetCall::Stop(_) | TargetCall::Renew { .. } => None,
        });
        let ends: Vec<_> = ends.collect();
        rig.listing(called.call, &[], &ends);
    }
}

case!(
    a_queue_that_fails_everywhere_does_not_suspend_all_targets,
    {
        assert_eq!(
            usable_targets_after_failures(RunningTimes::Estimated),
            0,
            "all targets are suspended without learning"
        );
        let usable = usable_targets_after_failures(RunningTimes::Learned);
        assert!(usable >= 3, "{usable}");
    }
);
