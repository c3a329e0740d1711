//! The table of placement and waiting times, by the command `placement`.

use std::path::PathBuf;
use std::process::Command;

/// Three hosts of two halls. `t1` runs `bb` 30 ms after the end of `aa`, for which `bb` waited
/// throughout, and `cc` 300 ms after the end of `bb`, which was accepted only then. `h1` restarts,
/// so that its counts begin again at 0.
const LOG: &str = r#"
   0.0000 h1 {"event":"started","name":"h1","hall":"north"}
   0.0000 h2 {"event":"started","name":"h2","hall":"north"}
   0.0000 h3 {"event":"started","name":"h3","hall":"south"}
   0.1000 h1 {"event":"job-taken","job":"aa","queue":"turns","tasks":1,"aim_ms":220,"chain_ms":100,"extension":1.6}
   0.1010 h1 {"event":"started","task":"aa.0.0.0","run":1,"target":"t1","owner":"h1"}
   0.1100 h2 {"event":"job-taken","job":"bb","queue":"turns","tasks":1,"aim_ms":220,"chain_ms":100,"extension":1.6}
   0.1150 h2 {"event":"peer-asked","task":"bb.0.0.0","run":1,"peer":"h1","tasks":2,"age_ms":4}
   0.2010 h1 {"event":"run-ended","task":"aa.0.0.0","run":1,"target":"t1","end":"done","took_ms":100}
   0.2020 h1 {"event":"job-ended","job":"aa","cause":"done","took_ms":102}
   0.2310 h1 {"event":"started","task":"bb.0.0.0","run":1,"target":"t1","owner":"h2"}
   0.3310 h1 {"event":"run-ended","task":"bb.0.0.0","run":1,"target":"t1","end":"done","took_ms":100}
   0.3320 h2 {"event":"job-ended","job":"bb","cause":"done","took_ms":222}
   0.4000 h3 {"event":"job-taken","job":"dd","queue":"moves","tasks":1,"aim_ms":220,"chain_ms":100,"extension":1.6}
   0.5000 h3 {"event":"job-ended","job":"dd","cause":"passed over","took_ms":100}
   0.5100 h1 {"event":"traffic","messages":"to-peer place 3, to-target start 2"}
   0.5200 h1 {"event":"started","name":"h1","hall":"north"}
   0.6300 h3 {"event":"job-taken","job":"cc","queue":"turns","tasks":1,"aim_ms":220,"chain_ms":100,"extension":1.6}
   0.6310 h1 {"event":"started","task":"cc.0.0.0","run":1,"target":"t1","owner":"h3"}
   0.7000 h1 {"event":"traffic","messages":"to-target start 1"}
   1.1310 h1 {"event":"run-ended","task":"cc.0.0.0","run":1,"target":"t1","end":"done","took_ms":500}
   1.1320 h3 {"event":"job-ended","job":"cc","cause":"done","took_ms":502}
"#;

#[test]
fn placement_and_waiting_times_are_printed() {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("placement");
    std::fs::create_dir_all(&dir).expect("a directory");
    std::fs::write(dir.join("day.log"), LOG).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_gannetridge-lab"));
    let command = command.args(["placement", "day.log"]).current_dir(&dir);
    let output = command.output().expect("the program runs");
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stdout));
}
