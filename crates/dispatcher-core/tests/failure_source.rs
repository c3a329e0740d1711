//! Whether failures are a queue's or a target's.

mod support;

use gannetridge_dispatcher_core::event::ListedOutcome;
use gannetridge_dispatcher_core::message::AttemptId;
use gannetridge_dispatcher_core::rules::failure_source::RecentOutcomes;
use gannetridge_dispatcher_core::settings::RunningTimes;
use gannetridge_dispatcher_core::{Scheduling, TargetCall, TargetReply};
use gannetridge_wire::Name;
use support::{case, ended, settings, step, target, Rig};

/// How the kind's last attempts ended on targets, `f` for failed; the first one's failed now.
fn blames_first(ends: &str) -> bool {
    let name = |place: usize| Name::from(format!("t{place}"));
    let mut recent = RecentOutcomes::default();
    for (place, end) in ends.bytes().enumerate() {
        recent.record(100, &name(place), end == b'f');
    }
    recent.counts_against(200, &name(0))
}

macro_rules! blamed {
    ($($name:ident: $ends:expr => $blamed:expr;)+) => {
        $(case!($name, { assert_eq!(blames_first($ends), $blamed); });)+
    };
}
blamed! {
    one_target_alone_is_blamed: "f" => true;
    two_others_say_nothing: "fff" => true;
    a_kind_that_fails_on_most_is_its_queues: "fffd" => false;
    a_target_among_well_ones_is_blamed: "fddddddd" => true;
    several_faulty_targets_are_blamed: "fffddddd" => true;
    the_latest_targets_count: "fffffddddddddd" => true;
}

case!(what_was_long_ago_says_nothing, {
    let mut recent = RecentOutcomes::default();
    for place in 0..6 {
        recent.record(100, &Name::from(format!("t{place}")), true);
    }
    assert!(recent.counts_against(6_000, &"t0".into()));
});

/// How many of six targets take a task of another kind after a queue's tasks failed on all.
fn left_after_failures(way: RunningTimes) -> usize {
    let entries: Vec<_> = (0..6)
        .map(|place| target(&format!("t{place}"), 8))
        .collect();
    let mut host = settings();
    host.scheduling = Scheduling {
        running_times: way,
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
        rig.pass(10);
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

/// Has all that is started fail at once.
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

case!(a_queue_that_fails_anywhere_leaves_targets_to_others, {
    assert_eq!(
        left_after_failures(RunningTimes::Estimated),
        0,
        "the case is one"
    );
    let left = left_after_failures(RunningTimes::Learned);
    assert!(left >= 3, "{left}");
});
