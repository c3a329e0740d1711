//! Snapshots of each program's help and of its default settings, on which service files and
//! operators' scripts depend.

use std::process::Command;

use crate::cluster::binary;

/// Declares tests, each with a name, a program and optionally a subcommand.
macro_rules! help_tests {
    ($($name:ident: $program:expr $(, $subcommand:expr)?;)+) => {
        $(#[test]
        fn $name() {
            let arguments: &[&str] = &[$($subcommand,)? "--help"];
            insta::assert_snapshot!(stringify!($name), printed($program, arguments));
        })+
    };
}

/// Returns what a program prints.
fn printed(program: &str, arguments: &[&str]) -> String {
    let out = Command::new(binary(program)).args(arguments).output();
    let out = out.unwrap_or_else(|e| panic!("{program}: {e}; run scripts/test.sh"));
    assert!(out.status.success(), "{program} {arguments:?}: {out:?}");
    // Help may go to either stream; settings go to the standard output.
    let text = [out.stdout, out.stderr].concat();
    let text = String::from_utf8(text).expect("text");
    assert!(!text.is_empty(), "{program} {arguments:?} prints something");
    // The help contains the path by which the program was started.
    text.replace(&binary(program).display().to_string(), program)
}

help_tests! {
    help_operators: "gannetridge";
    help_operators_status: "gannetridge", "status";
    help_operators_list: "gannetridge", "list";
    help_operators_show: "gannetridge", "show";
    help_operators_compare: "gannetridge", "compare";
    help_operators_apply: "gannetridge", "apply";
    help_operators_follow: "gannetridge", "follow";
    help_operators_drain: "gannetridge", "drain";
    help_operators_check: "gannetridge", "check";
    help_operators_story: "gannetridge", "story";
    help_dispatcher: "gannetridge-dispatcher";
    help_entry: "gannetridge-entry";
    help_call: "gannetridge-call";
    help_standin_platform: "standin-platform";
    help_standin_workers: "standin-workers";
    help_simulator_chaos: "gannetridge-lab", "chaos";
    help_simulator_dispatch: "gannetridge-lab", "dispatch";
    help_simulator_mutants: "gannetridge-lab", "mutants";
}

/// Declares tests, each with a name, a program and its required settings.
macro_rules! settings_tests {
    ($($name:ident: $program:expr, $settings:expr;)+) => {
        $(#[test]
        fn $name() {
            let name = format!("gannetridge-{}-{}.toml", stringify!($name), std::process::id());
            let path = std::env::temp_dir().join(name);
            std::fs::write(&path, $settings).expect("a writable folder");
            let file = path.display().to_string();
            let text = printed($program, &["--settings", &file, "--print-settings"]);
            std::fs::remove_file(&path).expect("the file was written");
            insta::assert_snapshot!(stringify!($name), text);
        })+
    };
}

settings_tests! {
    settings_dispatcher: "gannetridge-dispatcher",
        r#"
        name = "host-a"
        hall = "hall-a"
        callers = "127.0.0.1:1"
        readiness = "127.0.0.1:2"
        peers = "127.0.0.1:3"
        metrics = "127.0.0.1:4"
        store = "127.0.0.1:5"
        "#;
    settings_entry: "gannetridge-entry",
        r#"
        name = "host-a"
        hall = "hall-a"
        listen = "127.0.0.1:1"
        peer-listen = "127.0.0.1:2"
        platform = "127.0.0.1:3"
        "#;
}
