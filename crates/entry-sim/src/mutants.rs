//! Variants of a host that each lack one safeguard, to show that the checks detect it.

use gannetridge_entry_core::Safeguards;

/// A host without one of its safeguards.
pub struct Mutant {
    /// The missing safeguard, as the lab prints it.
    pub name: &'static str,
    /// Switches the safeguard off.
    pub disable: fn(&mut Safeguards),
}

/// All mutants, in the order in which the lab runs them.
pub const MUTANTS: &[Mutant] = &[
    Mutant {
        name: "lapse check",
        disable: |s| s.expiry_check = false,
    },
    Mutant {
        name: "takeover cutoff",
        disable: |s| s.takeover_cutoff = false,
    },
    Mutant {
        name: "promises kept",
        disable: |s| s.keep_promises = false,
    },
    Mutant {
        name: "wait for the lease",
        disable: |s| s.await_lease_expiry = false,
    },
    Mutant {
        name: "version check",
        disable: |s| s.version_check = false,
    },
    Mutant {
        name: "asking after lost starts",
        disable: |s| s.query_after_lost_start = false,
    },
    Mutant {
        name: "ledger",
        disable: |s| s.ledger = false,
    },
    Mutant {
        name: "handover accepted once",
        disable: |s| s.accept_handover_once = false,
    },
    Mutant {
        name: "first sending check",
        disable: |s| s.first_attempt_check = false,
    },
    Mutant {
        name: "whole answers",
        disable: |s| s.require_all_tasks = false,
    },
    Mutant {
        name: "begin limit",
        disable: |s| s.start_time_limit = false,
    },
];
