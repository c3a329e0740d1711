//! The list of targets: what changed since a version, and what it adds up to.

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

/// A state of the targets, as (name, busy, leaving).
type Step<'a> = &'a [(&'a str, u32, bool)];

/// Declares tests, each a name, the states that follow each other, and the
/// number of entries told after the last step.
macro_rules! followed {
    ($($name:ident: $steps:expr => $told:expr;)+) => {
        $(#[test]
        fn $name() {
            let steps: &[Step<'_>] = $steps;
            assert_eq!(follow(steps), $told);
        })+
    };
}

/// Follows a list by its changes, checks that they add up to the whole list,
/// and returns how many entries the last reading had.
fn follow(steps: &[Step<'_>]) -> usize {
    let mut list = VersionedTargetList::default();
    let mut known = TargetList::default();
    let mut told = 0;
    for step in steps {
        list.refresh(step.iter().map(|(n, b, l)| target(n, *b, *l)).collect());
        let news = list.read(known.version);
        told = news.targets.len() + news.gone.len();
        known.merge(news);
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
    told
}

followed! {
    the_first_reading_is_whole: &[&[("a", 0, false), ("b", 0, false)]] => 2;
    nothing_changed: &[&[("a", 0, false)], &[("a", 0, false)]] => 0;
    usage_is_no_change: &[&[("a", 0, false)], &[("a", 5, false)]] => 0;
    one_leaves: &[&[("a", 0, false), ("b", 0, false)], &[("a", 0, true), ("b", 0, false)]] => 1;
    one_is_gone: &[&[("a", 0, false), ("b", 0, false)], &[("b", 0, false)]] => 1;
    one_comes_back: &[&[("a", 0, false), ("b", 0, false)], &[("b", 0, false)], &[("a", 0, false), ("b", 0, false)]] => 1;
}

#[test]
fn a_version_that_is_not_known_gets_the_whole_list() {
    let mut list = VersionedTargetList::default();
    list.refresh(vec![target("a", 0, false)]);
    let news = list.read(99);
    assert!(news.whole);
    let mut known = TargetList::whole(99, vec![target("old", 0, false)]);
    known.merge(news);
    assert_eq!(known.version, 1);
    assert_eq!(known.targets.len(), 1);
}

#[test]
fn a_reply_that_comes_late_takes_nothing_back() {
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
