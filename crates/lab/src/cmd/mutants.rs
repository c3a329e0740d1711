//! `gannetridge-lab mutants`: puts known faults back in, one at a time.

use anyhow::bail;
use gannetridge_entry_core::Safeguards;
use gannetridge_entry_sim::chaos::run_caught;
use gannetridge_entry_sim::mutants::ALL;
use gannetridge_entry_sim::parallel::map;
use gumdrop::Options;

/// Options of `mutants`.
#[derive(Debug, Options)]
pub struct Mutants {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the first seed", default = "1", meta = "N")]
    seed: u64,
    #[options(no_short, help = "most seeds to try", default = "200", meta = "N")]
    seeds: u64,
    #[options(
        no_short,
        help = "how long jobs and faults come, in ms",
        default = "60000",
        meta = "N"
    )]
    load_ms: u64,
}

/// Runs each mutant until it is found, and prints how many events it survived.
pub fn run(options: &Mutants) -> anyhow::Result<()> {
    let mut survivors = Vec::new();
    println!("| missing | found after events | seed | by |");
    println!("|---|---|---|---|");
    for mutant in ALL {
        let mut safeguards = Safeguards::default();
        (mutant.remove)(&mut safeguards);
        match find(options, safeguards) {
            Found::After { events, seed, by } => {
                println!("| {} | {events} | {seed} | {by} |", mutant.name);
            }
            Found::Never { events } => {
                println!("| {} | not in {events} | - | - |", mutant.name);
                survivors.push(mutant.name);
            }
        }
    }
    if !survivors.is_empty() {
        bail!("not found: {survivors:?}");
    }
    Ok(())
}

enum Found {
    After { events: u64, seed: u64, by: String },
    Never { events: u64 },
}

fn find(options: &Mutants, safeguards: Safeguards) -> Found {
    const AT_ONCE: u64 = 16;
    let mut events = 0;
    let mut seed = options.seed;
    while seed < options.seed + options.seeds {
        let seeds: Vec<u64> = (seed..seed + AT_ONCE).collect();
        let runs = map(&seeds, |seed| {
            run_caught(*seed, options.load_ms, safeguards)
        });
        for (seed, run) in seeds.iter().zip(runs) {
            let by = match run {
                Err(message) => Some(format!("core: {message}")),
                Ok((report, checks)) => {
                    events += report.events;
                    let kinds = checks.counts().keys();
                    kinds.cloned().reduce(|a, b| format!("{a}, {b}"))
                }
            };
            if let Some(by) = by {
                return Found::After {
                    events,
                    seed: *seed,
                    by,
                };
            }
        }
        seed += AT_ONCE;
    }
    Found::Never { events }
}
