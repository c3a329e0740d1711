//! Tests of the command that prints the log lines about one request.

use std::path::PathBuf;
use std::process::{Command, Stdio};

use crate::cluster::{binary, spawn_command};

const OWNER_LOG: &str = r#"{"timestamp":"2026-01-20T22:07:31.000000Z","level":"INFO","event":"started","name":"north-1"}
{"timestamp":"2026-01-20T22:07:40.100000Z","level":"INFO","event":"job-taken","job":"aa","queue":"turns","tasks":1}
{"timestamp":"2026-01-20T22:07:40.200000Z","level":"INFO","event":"job-taken","job":"bb","queue":"turns","tasks":1}
{"timestamp":"2026-01-20T22:07:40.300000Z","level":"INFO","event":"peer","peer":"north-2","state":"silent"}
no JSON at all
{"timestamp":"2026-01-20T22:07:40.400000Z","level":"INFO","event":"job-ended","job":"aa","cause":"deadline"}
{"timestamp":"2026-01-20T22:07:59.000000Z","level":"INFO","event":"peer","peer":"north-2","state":"lives"}
"#;
const HOLDER_LOG: &str = r#"   9.0910 north-2 {"timestamp":"x","event":"started","task":"aa.0.0.0","run":1,"target":"t1","owner":"north-1"}
   9.0920 north-2 {"timestamp":"x","event":"target","target":"t1","state":"silent"}
   9.0930 north-2 {"timestamp":"x","event":"target","target":"t2","state":"silent"}
"#;

/// Runs the command on log files. Returns true if it succeeded, and what it printed.
fn run_story(name: &str, id: &str, files: &[&str]) -> (bool, String) {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&dir).expect("a folder");
    let mut command = Command::new(binary("gannetridge"));
    command.args(["story", "--id", id]);
    for (number, text) in files.iter().enumerate() {
        let path = dir.join(format!("{number}.log"));
        std::fs::write(&path, text).expect("a file");
        command.arg(path);
    }
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    let child = spawn_command(&mut command).expect("the program starts");
    let output = child.wait_with_output().expect("its output");
    let text = String::from_utf8_lossy(&output.stdout).into_owned()
        + &String::from_utf8_lossy(&output.stderr);
    (output.status.success(), text)
}

#[test]
fn the_lines_of_a_request_are_printed_with_their_context() {
    let (found, text) = run_story("followed", "aa", &[OWNER_LOG]);
    assert!(found, "{text}");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains("0 ms  north-1  job-taken"), "{text}");
    assert!(lines[1].starts_with("|     200 ms") && lines[1].contains("silent"));
    assert!(lines[2].contains("300 ms  north-1  job-ended"));
}

#[test]
fn prefixed_lines_are_read_and_clock_differences_are_reported() {
    let accepted = r#"   9.1000 north-1 {"event":"job-taken","job":"aa"}"#;
    let (found, text) = run_story("prefixed", "aa", &[accepted, HOLDER_LOG]);
    assert!(found, "{text}");
    assert!(text.contains("t1") && !text.contains("t2"), "{text}");
    assert!(
        text.contains("clock: north-2 is 9 ms or more behind"),
        "{text}"
    );
}

#[test]
fn a_request_without_lines_is_reported() {
    let (found, text) = run_story("unknown", "cc", &[OWNER_LOG]);
    assert!(!found);
    assert!(text.contains("no line about cc"), "{text}");
}
