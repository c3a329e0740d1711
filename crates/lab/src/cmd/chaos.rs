//! `gannetridge-lab chaos`: randomised runs of the entry host with every fault.

use std::collections::BTreeMap;

use anyhow::bail;
use gannetridge_entry_core::Safeguards;
use gannetridge_entry_sim::chaos::run_catching_panics;
use gannetridge_entry_sim::parallel::map;
use gumdrop::Options;

/// Simulates entry hosts with random faults and checks their guarantees.
#[derive(Debug, Options)]
pub struct Chaos {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the first seed", default = "1", meta = "N")]
    seed: u64,
    #[options(no_short, help = "the number of seeds", default = "1", meta = "N")]
    seeds: u64,
    #[options(
        no_short,
        help = "how long jobs are submitted and faults injected, in ms",
        default = "60000",
        meta = "N"
    )]
    load_ms: u64,
}

/// The totals of all seeds.
#[derive(Default)]
struct Totals {
    events: u64,
    tasks_started: u64,
    jobs: u64,
    complete: u64,
    failed: u64,
    refused: u64,
    differing: u64,
    faults: BTreeMap<&'static str, u64>,
    changes: BTreeMap<&'static str, u64>,
    causes: BTreeMap<String, u64>,
    violations: BTreeMap<String, u64>,
    failed_seeds: Vec<u64>,
}

/// Runs the seeds and prints their totals.
///
/// # Errors
///
/// Fails if any seed has a violation.
pub fn run(options: &Chaos) -> anyhow::Result<()> {
    let seeds: Vec<u64> = (options.seed..options.seed + options.seeds).collect();
    let load_ms = options.load_ms;
    let runs = map(&seeds, |seed| {
        run_catching_panics(*seed, load_ms, Safeguards::default())
    });
    let mut totals = Totals::default();
    for (seed, run) in seeds.iter().zip(runs) {
        let (report, checks) = match run {
            Ok(run) => run,
            Err(message) => {
                println!("seed {seed}: panicked: {message}");
                *totals.violations.entry("panic".to_owned()).or_default() += 1;
                totals.failed_seeds.push(*seed);
                continue;
            }
        };
        if !checks.violations.is_empty() {
            totals.failed_seeds.push(*seed);
            println!("seed {seed}: {}", checks.violations[0]);
        }
        let total = report.total();
        totals.events += report.events;
        totals.tasks_started += report.tasks_started;
        totals.jobs += total.jobs;
        totals.complete += total.complete;
        totals.failed += total.failed;
        totals.refused += total.refused;
        totals.differing += report.differing;
        add_counts(&mut totals.faults, &report.faults);
        add_counts(&mut totals.changes, &report.changes);
        add_counts(&mut totals.causes, &report.causes);
        add_counts(&mut totals.violations, checks.counts());
    }
    print_totals(&totals, seeds.len());
    if !totals.failed_seeds.is_empty() {
        bail!("violations with seeds {:?}", totals.failed_seeds);
    }
    Ok(())
}

/// Adds the counts of one seed to the totals.
fn add_counts<K: Ord + Clone>(totals: &mut BTreeMap<K, u64>, counts: &BTreeMap<K, u64>) {
    for (key, count) in counts {
        *totals.entry(key.clone()).or_default() += count;
    }
}

fn print_totals(totals: &Totals, seeds: usize) {
    println!(
        "seeds {seeds}, events {}, tasks started {}",
        totals.events, totals.tasks_started
    );
    println!(
        "jobs {}, complete {}, failed {}, requests refused {}, differing final answers {}",
        totals.jobs, totals.complete, totals.failed, totals.refused, totals.differing
    );
    println!("faults: {:?}", totals.faults);
    println!("operators' changes: {:?}", totals.changes);
    println!("failures: {:?}", totals.causes);
    println!("violations: {:?}", totals.violations);
}
