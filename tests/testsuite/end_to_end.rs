//! Submissions from the caller to the workers and back, without failures.

use crate::cluster::{now_ms, submission, submit, Cluster};
use crate::http::{call, raw};

#[test]
fn a_job_of_200_tasks_in_two_halls_returns_all_results_and_runs_each_task_once() {
    let cluster = Cluster::start("whole");
    let id = format!("hall-a.{}.big", now_ms());
    let reply = submit(cluster.hosts[0].listen, &submission(&id, 0, 200, 100)).expect("a reply");
    assert_eq!(reply.status, 200, "{}", reply.body);
    let answer: serde_json::Value = serde_json::from_str(&reply.body).expect("JSON");
    let results = answer["results"].as_array().expect("results");
    assert_eq!(results.len(), 200);
    for (n, result) in results.iter().enumerate() {
        assert_eq!(result["index"], n);
        assert_eq!(result["output"], format!("run-ms=100 {n}"));
    }
    assert_eq!(cluster.started_tasks(), (200, 0));

    // Sent again to a host of the other hall: the same reply, and no task starts.
    let again = submission(&id, 1, 200, 100);
    let other = submit(cluster.hosts[3].listen, &again).expect("a reply");
    assert_eq!(other.body, reply.body);
    assert_eq!(cluster.started_tasks(), (200, 0));

    // Different contents under the same id are refused, with the reason.
    let different = submission(&id, 2, 3, 100);
    let refused = submit(cluster.hosts[1].listen, &different).expect("a reply");
    assert_eq!(refused.status, 409);
    assert!(refused.body.contains("contents-differ"), "{}", refused.body);
    assert_eq!(cluster.started_tasks(), (200, 0));
}

#[test]
fn bad_requests_get_typed_errors_and_start_no_task() {
    let cluster = Cluster::start("bad");
    let host = cluster.hosts[0].listen;
    let id = |hall: &str| format!("{hall}.{}.x", now_ms());
    let good = submission(&id("hall-a"), 0, 1, 50);
    let cases = [
        ("not json", "{".to_owned(), 400, "bad-submission"),
        (
            "unknown key",
            good.replace("\"attempt\"", "\"atempt\""),
            400,
            "atempt",
        ),
        (
            "bad id",
            good.replace("hall-a.", "hall-a"),
            400,
            "submission id",
        ),
        (
            "unknown account",
            good.replace("sava", "drava"),
            422,
            "unknown-account",
        ),
        (
            "unknown template",
            good.replace("level-check", "level"),
            422,
            "unknown-template",
        ),
        (
            "no task",
            submission(&id("hall-a"), 0, 0, 50),
            422,
            "task-count",
        ),
        (
            "future",
            submission("hall-a.99999999999999.x", 0, 1, 50),
            422,
            "created-in-future",
        ),
    ];
    for (name, body, status, expected) in cases {
        let reply = submit(host, &body).expect("a reply");
        assert_eq!(reply.status, status, "{name}: {}", reply.body);
        assert!(reply.body.contains(expected), "{name}: {}", reply.body);
    }
    let raw_cases: [(&str, &[u8], u16); 4] = [
        (
            "two lengths",
            b"POST /v1/submissions HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nxx",
            411,
        ),
        (
            "chunked",
            b"POST /v1/submissions HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            411,
        ),
        (
            "too long",
            b"POST /v1/submissions HTTP/1.1\r\ncontent-length: 99999999999\r\n\r\n",
            413,
        ),
        ("no head", b"nonsense\r\n\r\n", 400),
    ];
    for (name, bytes, status) in raw_cases {
        let reply = raw(host, bytes).expect("a reply");
        assert_eq!(reply.status, status, "{name}");
        assert!(reply.head.contains("application/problem+json"), "{name}");
    }
    assert_eq!(cluster.started_tasks(), (0, 0));
    let reply = submit(host, &good).expect("a reply");
    assert_eq!(reply.status, 200, "{}", reply.body);
    let metrics = call(host, "GET", "/metrics", "").expect("a reply");
    assert!(metrics.body.contains("config_version"), "{}", metrics.body);
}
