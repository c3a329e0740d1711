//! Latency objectives of queues whose configuration has numbers of any size.

use gannetridge_dispatcher_core::configuration::{Queue, MAX_LATENCY_OBJECTIVE_MS};
use gannetridge_dispatcher_core::Millis;

fn objective(extension: f64, slack_ms: Millis) -> Millis {
    let queue = Queue {
        name: "q".into(),
        host: "h".into(),
        prefix: "/q/".into(),
        pool: "s".into(),
        urgency: 0,
        max_attempts: 1,
        extension,
        slack_ms,
    };
    queue.latency_objective(100)
}

/// Declares tests, each with a name, an extension, a slack in ms and the objective of a job whose
/// longest chain takes 100 ms.
macro_rules! objectives {
    ($($name:ident: $extension:expr, $slack_ms:expr => $expected:expr;)+) => {
        $(#[test]
        fn $name() {
            assert_eq!(objective($extension, $slack_ms), $expected);
        })+
    };
}

// Guards against an overflow, which would give a job an objective in the past or end the process.
objectives! {
    ordinary_numbers: 1.5, 60 => 210;
    the_default_extension: 0.0, 60 => 260;
    a_negative_extension: f64::MIN, 60 => 260;
    the_largest_slack: 1.5, u64::MAX => MAX_LATENCY_OBJECTIVE_MS;
    the_largest_extension: f64::MAX, 60 => MAX_LATENCY_OBJECTIVE_MS;
    both: f64::MAX, u64::MAX => MAX_LATENCY_OBJECTIVE_MS;
}
