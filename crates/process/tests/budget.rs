//! The division of a machine's memory and descriptors.

use gannetridge_process::budget::{Budget, MachineLimits};

/// The longest body that the users' configurations allow, in bytes.
const BODY_BYTES: usize = 262_144;

fn budget(memory_mb: f64, max_file_descriptors: usize) -> Budget {
    Budget::new(&MachineLimits {
        memory_mb,
        max_file_descriptors,
    })
}

/// Declares tests, each with a name and the memory and descriptors of a machine.
macro_rules! machines {
    ($($name:ident: $memory_mb:expr, $descriptors:expr;)+) => {
        $(#[test]
        fn $name() {
            let budget = budget($memory_mb, $descriptors);
            let servers = [budget.callers, budget.peers, budget.probes, budget.probes];
            let connections: usize = servers.iter().map(|server| server.connections).sum();
            assert!(connections < $descriptors * 3 / 4, "{connections} connections");
            let bodies: usize = servers.iter().map(|server| server.memory_bytes).sum();
            let memory = ($memory_mb * 1e6) as usize;
            assert!(bodies + budget.job_bytes < memory / 2, "{budget:?}");
            assert!(budget.callers.connections > 500, "{budget:?}");
            assert!(budget.callers.memory_bytes > 20 * BODY_BYTES, "{budget:?}");
        })+
    };
}

machines! {
    the_smallest_machine: 120.0, 3_075;
    an_ordinary_machine: 260.0, 4_100;
    a_large_machine: 512.0, 8_192;
}

#[test]
fn each_server_serves_on_a_machine_without_limits_to_speak_of() {
    let budget = budget(0.0, 0);
    for server in [budget.callers, budget.peers, budget.probes] {
        assert_eq!(server.connections, 1);
        assert!(server.memory_bytes >= BODY_BYTES);
    }
}
