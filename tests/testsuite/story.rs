//! One request's way through logs.

use std::path::PathBuf;
use std::process::{Command, Stdio};

use crate::cluster::{binary, start};

const OWNER: &str = r#"{"timestamp":"2026-01-20T22:07:31.000000Z","level":"INFO","event":"started","name":"north-1"}
{"timestamp":"2026-01-20T22:07:40.100000Z","level":"INFO","event":"job-taken","job":"aa","queue":"turns","tasks":1}
{"timestamp":"2026-01-20T22:07:40.200000Z","level":"INFO","event":"job-taken","job":"bb","queue":"turns","tasks":1}
{"timestamp":"2026-01-20T22:07:40.300000Z","level":"INFO","event":"peer","peer":"north-2","state":"silent"}
no JSON at all
{"timestamp":"2026-01-20T22:07:40.400000Z","level":"INFO","event":"job-ended","job":"aa","cause":"deadline"}
{"timestamp":"2026-01-20T22:07:59.000000Z","level":"INFO","event":"peer","peer":"north-2","state":"lives"}
"#;
const KEEPER: &str = r#"   9.0910 north-2 {"timestamp":"x","event":"started","task":"aa.0.0.0","run":1,"target":"t1","owner":"north-1"}
   9.0920 north-2 {"timestamp":"x","event":"target","target":"t1","state":"silent"}
   9.0930 north-2 {"timestamp":"x","event":"target","target":"t2","state":"silent"}
"#;

fn story(name: &str, id: &str, files: &[&str]) -> (bool, String) {
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
    let child = start(&mut command).expect("the program starts");
    let output = child.wait_with_output().expect("its output");
    let text = String::from_utf8_lossy(&output.stdout).into_owned()
        + &String::from_utf8_lossy(&output.stderr);
    (output.status.success(), text)
}

#[test]
fn a_request_is_followed_with_what_happened_beside_it() {
    let (found, text) = story("followed", "aa", &[OWNER]);
    assert!(found, "{text}");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains("0 ms  north-1  job-taken"), "{text}");
    assert!(lines[1].starts_with("|     200 ms") && lines[1].contains("silent"));
    assert!(lines[2].contains("300 ms  north-1  job-ended"));
}

#[test]
fn lines_of_the_bench_and_clocks_that_differ_are_read() {
    let taken = r#"   9.1000 north-1 {"event":"job-taken","job":"aa"}"#;
    let (found, text) = story("bench", "aa", &[taken, KEEPER]);
    assert!(found, "{text}");
    assert!(text.contains("t1") && !text.contains("t2"), "{text}");
    assert!(
        text.contains("clock: north-2 is 9 ms or more behind"),
        "{text}"
    );
}

#[test]
fn a_request_that_no_log_knows_is_said_so() {
    let (found, text) = story("unknown", "cc", &[OWNER]);
    assert!(!found);
    assert!(text.contains("no line about cc"), "{text}");
}
