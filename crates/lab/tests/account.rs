//! The outcomes of jobs in hosts' logs, by the command `account`.

use std::path::PathBuf;
use std::process::Command;

/// The log of two hosts. Targets run one task each.
const LOG: &str = r#"
   0.0000 h1 {"event":"started","name":"h1","hall":"north"}
   0.0000 h2 {"event":"started","name":"h2","hall":"south"}
   0.1000 h1 {"event":"job-taken","job":"aa","queue":"turns","tasks":1,"aim_ms":220,"chain_ms":100,"extension":1.6}
   0.1010 h2 {"event":"started","task":"aa.0.0.0","run":1,"target":"t1","owner":"h1"}
   0.2010 h2 {"event":"run-ended","task":"aa.0.0.0","run":1,"target":"t1","end":"done","took_ms":100}
   0.2020 h1 {"event":"job-ended","job":"aa","cause":"done","took_ms":102}
   0.1000 h1 {"event":"job-taken","job":"bb","queue":"turns","tasks":1,"aim_ms":220,"chain_ms":100,"extension":1.6}
   0.3000 h2 {"event":"started","task":"bb.0.0.0","run":1,"target":"t1","owner":"h1"}
   0.4000 h2 {"event":"run-ended","task":"bb.0.0.0","run":1,"target":"t1","end":"done","took_ms":100}
   0.4010 h1 {"event":"job-ended","job":"bb","cause":"done","took_ms":301}
   0.1000 h1 {"event":"job-taken","job":"cc","queue":"moves","tasks":2,"aim_ms":220,"chain_ms":100,"extension":1.6}
   0.2400 h1 {"event":"job-ended","job":"cc","cause":"passed over","took_ms":140}
   2.1000 h2 {"event":"job-taken","job":"dd","queue":"turns","tasks":1,"aim_ms":220,"chain_ms":100,"extension":1.6}
   2.1010 h2 {"event":"started","task":"dd.0.0.0","run":1,"target":"t2","owner":"h2"}
   2.3000 h1 {"event":"target","target":"t2","state":"silent"}
   3.1000 h2 {"event":"job-ended","job":"dd","cause":"deadline","took_ms":1000}
   2.2000 h2 {"event":"job-taken","job":"ee","queue":"turns","tasks":1,"aim_ms":220,"chain_ms":100,"extension":1.6}
   2.2010 h2 {"event":"started","task":"ee.0.0.0","run":1,"target":"t1","owner":"h2"}
   2.6010 h2 {"event":"run-ended","task":"ee.0.0.0","run":1,"target":"t1","end":"done","took_ms":400}
   2.6020 h2 {"event":"job-ended","job":"ee","cause":"done","took_ms":402}
   2.3000 h2 {"event":"job-taken","job":"ff","queue":"turns","tasks":1,"aim_ms":220,"chain_ms":100,"extension":1.6}
no line of a host
"#;

/// Writes the log into a directory of the test, and returns the directory.
fn log_dir(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&dir).expect("a directory");
    std::fs::write(dir.join("day.log"), LOG).expect("a file");
    dir
}

fn account(dir: &PathBuf, arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gannetridge-lab"));
    let command = command.arg("account").args(arguments).arg("day.log");
    let output = command.current_dir(dir).output().expect("the program runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    text + &String::from_utf8_lossy(&output.stderr)
}

#[test]
fn each_job_has_one_outcome_and_one_reason() {
    insta::assert_snapshot!(account(&log_dir("account"), &[]));
}

#[test]
fn windows_are_drawn() {
    let dir = log_dir("account-drawn");
    account(&dir, &["--svg", "day.svg"]);
    let svg = std::fs::read_to_string(dir.join("day.svg")).expect("a picture");
    assert!(
        svg.starts_with("<svg") && svg.contains("<polyline"),
        "{svg}"
    );
}
