//! Variants of a host that each lack one safeguard, to show that the checks detect it.

use gannetridge_entry_core::Safeguards;

/// A host without one of its safeguards.
pub struct Mutant {
    /// The missing safeguard, as the lab prints it.
    pub name: &'static str,
    /// Switches the safeguard off.
    pub remove: fn(&mut Safeguards),
}

/// All mutants, in the order in which the lab runs them.
pub const ALL: &[Mutant] = &[
    Mutant {
        name: "lapse check",
        remove: |s| s.lapse_check = false,
    },
    Mutant {
        name: "takeover cutoff",
        remove: |s| s.takeover_cutoff = false,
    },
    Mutant {
        name: "promises kept",
        remove: |s| s.keep_promises = false,
    },
    Mutant {
        name: "wait for the lease",
        remove: |s| s.await_lease_expiry = false,
    },
    Mutant {
        name: "version check",
        remove: |s| s.version_check = false,
    },
    Mutant {
        name: "asking after lost starts",
        remove: |s| s.query_after_lost_start = false,
    },
    Mutant {
        name: "ledger",
        remove: |s| s.ledger = false,
    },
    Mutant {
        name: "handover accepted once",
        remove: |s| s.handover_once = false,
    },
    Mutant {
        name: "first sending check",
        remove: |s| s.first_sending_check = false,
    },
    Mutant {
        name: "whole answers",
        remove: |s| s.require_all_tasks = false,
    },
    Mutant {
        name: "begin limit",
        remove: |s| s.limit_start_time = false,
    },
];
