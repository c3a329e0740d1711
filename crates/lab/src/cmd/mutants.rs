//! `gannetridge-lab mutants`: disables safeguards of entry hosts, one at a time.

use anyhow::bail;
use gannetridge_entry_core::Safeguards;
use gannetridge_entry_sim::chaos::run_catching_panics;
use gannetridge_entry_sim::mutants::MUTANTS;
use gannetridge_entry_sim::parallel::map;
use gumdrop::Options;

/// Disables one safeguard of entry hosts at a time and checks that the simulation detects it.
#[derive(Debug, Options)]
pub struct Mutants {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the first seed", default = "1", meta = "N")]
    seed: u64,
    #[options(
        no_short,
        help = "the most seeds for each safeguard, rounded up to a multiple of 16",
        default = "200",
        meta = "N"
    )]
    seeds: u64,
    #[options(
        no_short,
        help = "how long jobs are submitted and faults injected, in ms",
        default = "60000",
        meta = "N"
    )]
    load_ms: u64,
}

/// Runs seeds with each safeguard disabled until a check detects it, and prints the number of
/// events until then.
///
/// # Errors
///
/// Fails if a disabled safeguard stays undetected.
pub fn run(options: &Mutants) -> anyhow::Result<()> {
    let mut undetected = Vec::new();
    println!("| missing | found after events | seed | by |");
    println!("|---|---|---|---|");
    for mutant in MUTANTS {
        let mut safeguards = Safeguards::default();
        (mutant.disable)(&mut safeguards);
        match search(options, safeguards) {
            SearchResult::Detected {
                events,
                seed,
                detected_by,
            } => {
                println!("| {} | {events} | {seed} | {detected_by} |", mutant.name);
            }
            SearchResult::NotDetected { events } => {
                println!("| {} | not in {events} | - | - |", mutant.name);
                undetected.push(mutant.name);
            }
        }
    }
    if !undetected.is_empty() {
        bail!("not detected: {undetected:?}");
    }
    Ok(())
}

/// The result of running seeds with a safeguard disabled.
enum SearchResult {
    Detected {
        events: u64,
        seed: u64,
        detected_by: String,
    },
    NotDetected {
        events: u64,
    },
}

/// Runs seeds in parallel batches until a check detects the disabled safeguard.
fn search(options: &Mutants, safeguards: Safeguards) -> SearchResult {
    const SEEDS_PER_BATCH: u64 = 16;
    let mut events = 0;
    let mut seed = options.seed;
    while seed < options.seed + options.seeds {
        let seeds: Vec<u64> = (seed..seed + SEEDS_PER_BATCH).collect();
        let runs = map(&seeds, |seed| {
            run_catching_panics(*seed, options.load_ms, safeguards)
        });
        for (seed, run) in seeds.iter().zip(runs) {
            let detected_by = match run {
                Err(message) => Some(format!("core: {message}")),
                Ok((report, checks)) => {
                    events += report.events;
                    let kinds = checks.counts().keys();
                    kinds.cloned().reduce(|a, b| format!("{a}, {b}"))
                }
            };
            if let Some(detected_by) = detected_by {
                return SearchResult::Detected {
                    events,
                    seed: *seed,
                    detected_by,
                };
            }
        }
        seed += SEEDS_PER_BATCH;
    }
    SearchResult::NotDetected { events }
}
