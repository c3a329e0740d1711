//! `gannetridge-lab chaos`: randomised runs of the entry host with every fault.

use std::collections::BTreeMap;

use anyhow::bail;
use gannetridge_entry_core::Safeguards;
use gannetridge_entry_sim::chaos::run_catching_panics;
use gannetridge_entry_sim::parallel::map;
use gumdrop::Options;

/// Options of `chaos`.
#[derive(Debug, Options)]
pub struct Chaos {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the first seed", default = "1", meta = "N")]
    seed: u64,
    #[options(no_short, help = "how many seeds", default = "1", meta = "N")]
    seeds: u64,
    #[options(
        no_short,
        help = "how long jobs and faults come, in ms",
        default = "60000",
        meta = "N"
    )]
    load_ms: u64,
}

/// The totals of all seeds.
#[derive(Default)]
struct Sum {
    events: u64,
    started: u64,
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
    let mut sum = Sum::default();
    for (seed, run) in seeds.iter().zip(runs) {
        let (report, checks) = match run {
            Ok(run) => run,
            Err(message) => {
                println!("seed {seed}: invariant of the core: {message}");
                *sum.violations.entry("panic".to_owned()).or_default() += 1;
                sum.failed_seeds.push(*seed);
                continue;
            }
        };
        if !checks.violations.is_empty() {
            sum.failed_seeds.push(*seed);
            println!("seed {seed}: {}", checks.violations[0]);
        }
        let total = report.total();
        sum.events += report.events;
        sum.started += report.tasks_started;
        sum.jobs += total.jobs;
        sum.complete += total.complete;
        sum.failed += total.failed;
        sum.refused += total.refused;
        sum.differing += report.differing;
        add(&mut sum.faults, &report.faults);
        add(&mut sum.changes, &report.changes);
        add(&mut sum.causes, &report.causes);
        add(&mut sum.violations, checks.counts());
    }
    print(&sum, seeds.len());
    if !sum.failed_seeds.is_empty() {
        bail!("rules broken with seeds {:?}", sum.failed_seeds);
    }
    Ok(())
}

fn add<K: Ord + Clone>(sum: &mut BTreeMap<K, u64>, part: &BTreeMap<K, u64>) {
    for (key, count) in part {
        *sum.entry(key.clone()).or_default() += count;
    }
}

fn print(sum: &Sum, seeds: usize) {
    println!(
        "seeds {seeds}, events {}, tasks started {}",
        sum.events, sum.started
    );
    println!(
        "jobs {}, complete {}, failed {}, requests refused {}, differing final answers {}",
        sum.jobs, sum.complete, sum.failed, sum.refused, sum.differing
    );
    println!("faults: {:?}", sum.faults);
    println!("operators' changes: {:?}", sum.changes);
    println!("failures: {:?}", sum.causes);
    println!("violations: {:?}", sum.violations);
}
