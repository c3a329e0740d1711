//! Reading the list of targets by changes: they must add up to the complete
//! list.

use gannetridge_entry_standins::list::VersionedTargetList;
use gannetridge_entry_wire::platform::{ListedTarget, TargetList};

fn target(name: &str, busy: u32, leaving: bool) -> ListedTarget {
    ListedTarget {
        name: name.into(),
        address: format!("{name}:80").as_str().into(),
        hall: "hall".into(),
        slots: 8,
        busy,
        leaving,
    }
}

/// The targets at one time, as (name, busy, leaving).
type Step<'a> = &'a [(&'a str, u32, bool)];

/// Declares tests, each from a name, the successive states of the targets, and
/// the number of entries in the reply after the last one.
macro_rules! entries_in_last_reply {
    ($($name:ident: $steps:expr => $entries:expr;)+) => {
        $(#[test]
        fn $name() {
            let steps: &[Step<'_>] = $steps;
            assert_eq!(follow(steps), $entries);
        })+
    };
}

/// Follows a list by its changes, checks after each step that they add up to
/// the complete list, and returns the number of entries in the last reply.
fn follow(steps: &[Step<'_>]) -> usize {
    let mut list = VersionedTargetList::default();
    let mut known = TargetList::default();
    let mut entries = 0;
    for step in steps {
        list.refresh(step.iter().map(|(n, b, l)| target(n, *b, *l)).collect());
        let reply = list.read(known.version);
        entries = reply.targets.len() + reply.gone.len();
        known.merge(reply);
        let mut names: Vec<_> = known
            .targets
            .iter()
            .map(|t| (&*t.name, t.leaving))
            .collect();
        names.sort_unstable();
        let mut expected: Vec<_> = step.iter().map(|(n, _, l)| (*n, *l)).collect();
        expected.sort_unstable();
        assert_eq!(names, expected);
    }
    entries
}

entries_in_last_reply! {
    the_first_reply_is_complete: &[&[("a", 0, false), ("b", 0, false)]] => 2;
    without_a_change_the_reply_is_empty: &[&[("a", 0, false)], &[("a", 0, false)]] => 0;
    usage_alone_is_no_change: &[&[("a", 0, false)], &[("a", 5, false)]] => 0;
    a_leaving_target_is_a_change: &[&[("a", 0, false), ("b", 0, false)], &[("a", 0, true), ("b", 0, false)]] => 1;
    a_removed_target_is_a_change: &[&[("a", 0, false), ("b", 0, false)], &[("b", 0, false)]] => 1;
    a_target_listed_again_is_one_change: &[&[("a", 0, false), ("b", 0, false)], &[("b", 0, false)], &[("a", 0, false), ("b", 0, false)]] => 1;
}

#[test]
fn an_unknown_version_gets_the_complete_list() {
    let mut list = VersionedTargetList::default();
    list.refresh(vec![target("a", 0, false)]);
    let reply = list.read(99);
    assert!(reply.whole);
    let mut known = TargetList::whole(99, vec![target("old", 0, false)]);
    known.merge(reply);
    assert_eq!(known.version, 1);
    assert_eq!(known.targets.len(), 1);
}

#[test]
fn a_delayed_reply_doesnt_revert_newer_changes() {
    let mut list = VersionedTargetList::default();
    list.refresh(vec![target("a", 0, false)]);
    let first = list.read(0);
    list.refresh(vec![target("a", 0, true)]);
    let late = list.read(1);
    list.refresh(vec![target("a", 0, false)]);
    let mut known = first;
    known.merge(list.read(1));
    let before = known.clone();
    known.merge(late);
    assert_eq!(known, before);
}
