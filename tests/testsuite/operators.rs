//! Operators' changes: concurrent, with a lost reply and during an outage; and the command
//! line.

use std::process::{Command, Output, Stdio};

use crate::cluster::{binary, spawn_command, wait_for, Cluster};
use crate::http::call;

const DOCUMENT_PATH: &str = "/v1/config/template/level-check";

fn document_version(cluster: &Cluster, host: usize) -> u64 {
    let reply = call(cluster.hosts[host].listen, "GET", DOCUMENT_PATH, "").expect("a reply");
    let doc: serde_json::Value = serde_json::from_str(&reply.body).expect("JSON");
    doc["version"].as_u64().expect("a version")
}

fn put_document(
    cluster: &Cluster,
    host: usize,
    read_at: u64,
    change_id: &str,
    text: &str,
) -> (u16, String) {
    let path = format!("{DOCUMENT_PATH}?read-at={read_at}&change-id={change_id}");
    let reply = call(cluster.hosts[host].listen, "PUT", &path, text).expect("a reply");
    (reply.status, reply.body)
}

#[test]
fn of_two_concurrent_changes_one_is_accepted_and_the_other_gets_the_conflict() {
    let cluster = Cluster::start("race");
    let read_at = document_version(&cluster, 0);
    let (a, b) = std::thread::scope(|scope| {
        let a = scope.spawn(|| put_document(&cluster, 0, read_at, "a", "expected-ms = 111\n"));
        let b = scope.spawn(|| put_document(&cluster, 3, read_at, "b", "expected-ms = 222\n"));
        (a.join().expect("a thread"), b.join().expect("a thread"))
    });
    let mut statuses = [a.0, b.0];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{a:?} {b:?}");
    let rejected = if a.0 == 409 { &a.1 } else { &b.1 };
    let accepted = if a.0 == 409 { "222" } else { "111" };
    assert!(
        rejected.contains(accepted),
        "the conflict shows the accepted document: {rejected}"
    );
    wait_for("the accepted change in force on all hosts", || {
        (0..4).all(|host| document_version(&cluster, host) > read_at)
    });
}

#[test]
fn a_change_whose_reply_from_the_platform_is_lost_is_accepted_once() {
    let cluster = Cluster::start("lost");
    let read_at = document_version(&cluster, 1);
    // Restricted to writes of documents, since hosts write their leases meanwhile.
    cluster.set_platform_faults("{\"lose-answers\":1,\"lose-answers-of\":\"config/\"}");
    let (status, body) = put_document(&cluster, 1, read_at, "lost-1", "expected-ms = 123\n");
    assert_eq!(status, 200, "{body}");
    let faults = call(cluster.platform, "GET", "/control", "").expect("a reply");
    assert!(faults.body.contains("\"lose-answers\":0"), "{faults:?}");
    let accepted = document_version(&cluster, 1);
    assert!(
        accepted > read_at,
        "the change is in force at the host that accepted it"
    );
    // Sending the change again doesn't make another one.
    let (status, again) = put_document(&cluster, 2, read_at, "lost-1", "expected-ms = 123\n");
    assert_eq!((status, again), (200, body));
    assert_eq!(document_version(&cluster, 1), accepted);
}

#[test]
fn a_change_during_an_outage_is_not_accepted() {
    let cluster = Cluster::start("refuse");
    let read_at = document_version(&cluster, 0);
    cluster.set_platform_faults("{\"outage\":true}");
    let (status, body) = put_document(&cluster, 0, read_at, "late", "expected-ms = 99\n");
    assert!(status == 503 || status == 504, "{status} {body}");
    cluster.set_platform_faults("{}");
}

/// Runs the operators' command line against the cluster's hosts.
fn run_command_line(cluster: &Cluster, arguments: &[&str]) -> Output {
    let hosts: Vec<String> = cluster
        .hosts
        .iter()
        .map(|h| format!("\"{}\"", h.listen))
        .collect();
    let settings = std::env::temp_dir().join(format!("operator-{}.toml", cluster.platform.port()));
    std::fs::write(&settings, format!("hosts = [{}]\n", hosts.join(", "))).expect("a file");
    let mut command = Command::new(binary("gannetridge"));
    command.arg("--settings").arg(&settings).args(arguments);
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    let child = spawn_command(&mut command).expect("the command line starts");
    let output = child.wait_with_output().expect("it ends");
    std::fs::remove_file(settings).expect("just written");
    output
}

#[test]
fn the_command_line_shows_drains_and_follows() {
    let cluster = Cluster::start("cli");
    let shown = run_command_line(&cluster, &["show", "account/sava"]);
    assert!(String::from_utf8_lossy(&shown.stdout).contains("quota-slots = 64"));
    let drained = run_command_line(&cluster, &["drain", "hall-a"]);
    let text = String::from_utf8_lossy(&drained.stdout).into_owned();
    assert!(text.contains("accepted as version 5"), "{text}");
    let followed = run_command_line(&cluster, &["follow", "5", "--seconds", "10"]);
    assert!(followed.status.success());
    // Targets of a drained hall get no tasks: all run in the other hall.
    let id = format!("hall-a.{}.d", crate::cluster::now_ms());
    let body = crate::cluster::submission(&id, 0, 4, 50);
    let reply = crate::cluster::submit(cluster.hosts[0].listen, &body).expect("a reply");
    assert_eq!(reply.status, 200, "{}", reply.body);
    let used_in_drained: u64 = cluster.runners[..4]
        .iter()
        .map(|r| call(*r, "GET", "/counts", "").expect("a reply").body)
        .filter(|counts| !counts.contains("\"begun\":0"))
        .count() as u64;
    assert_eq!(used_in_drained, 0);
}
