//! Assignment of targets to hosts.

use std::collections::HashMap;

use gannetridge_dispatcher_core::message::HostInfo;
use gannetridge_dispatcher_core::rules::assignment::holder;

fn hosts(weights: &[u32]) -> Vec<HostInfo> {
    let hosts = weights.iter().enumerate();
    let hosts = hosts.map(|(index, processor_weight)| HostInfo {
        name: format!("host-{index}").into(),
        address: ([127, 0, 0, 1], index as u16 + 1).into(),
        hall: "north".into(),
        incarnation: 1,
        processor_weight: *processor_weight,
    });
    hosts.collect()
}

fn share(hosts: &[HostInfo]) -> HashMap<String, usize> {
    let mut share = HashMap::new();
    for target in 0..2_000 {
        let host = holder(&format!("target-{target}"), "north", hosts).expect("there are hosts");
        *share.entry(host.name.to_string()).or_default() += 1;
    }
    share
}

#[test]
fn hosts_get_targets_in_proportion_to_their_weight() {
    let share = share(&hosts(&[100, 100, 400]));
    let large = share["host-2"];
    assert!((1_200..1_460).contains(&large), "{share:?}");
}

#[test]
fn a_host_that_leaves_moves_only_its_own_targets() {
    let all = hosts(&[100, 250, 400, 100]);
    for target in 0..500 {
        let target = format!("target-{target}");
        let before = holder(&target, "north", &all).expect("there are hosts");
        let after = holder(&target, "north", &all[..3]).expect("there are hosts");
        assert!(before.name == all[3].name || before == after);
    }
}

#[test]
fn targets_of_a_hall_without_hosts_are_held_by_others() {
    let all = hosts(&[0, 100]);
    assert!(holder("target", "south", &all).is_some());
    assert!(holder("target", "north", &[]).is_none());
}
