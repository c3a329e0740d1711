//! `gannetridge-lab dispatch`: randomised runs of the dispatcher with every fault.

use std::collections::BTreeMap;

use anyhow::bail;
use gannetridge_dispatcher_core::settings::{Scheduling, WaitingAt, WaitingOrder};
use gannetridge_dispatcher_sim::checks::Rule;
use gannetridge_dispatcher_sim::{run as simulate, Outcome, Scenario};
use gannetridge_entry_sim::parallel::map;
use gumdrop::Options;

/// Simulates dispatcher hosts with random faults and checks their guarantees.
#[derive(Debug, Options)]
pub struct Dispatch {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the first seed", default = "1", meta = "N")]
    seed: u64,
    #[options(no_short, help = "the number of seeds", default = "1", meta = "N")]
    seeds: u64,
    #[options(
        no_short,
        help = "how long jobs are submitted and faults injected, in ms",
        default = "40000",
        meta = "N"
    )]
    load_ms: u64,
    #[options(
        no_short,
        help = "the number of hosts in each of the three halls",
        default = "2",
        meta = "N"
    )]
    hosts: usize,
    #[options(
        no_short,
        help = "the number of targets in each hall",
        default = "4",
        meta = "N"
    )]
    targets: usize,
    #[options(
        no_short,
        help = "the mean number of jobs submitted per second",
        default = "30",
        meta = "N"
    )]
    rate: f64,
    #[options(
        no_short,
        help = "the mean interval between faults, in ms; 0 for none",
        default = "1500",
        meta = "N"
    )]
    fault_gap_ms: u64,
    #[options(
        no_short,
        help = "the mean interval between drains of halls, in ms; 0 for none",
        default = "4000",
        meta = "N"
    )]
    drain_gap_ms: u64,
    #[options(
        no_short,
        help = "the mean interval between crashes of targets that restart under their id, in ms; 0 for none",
        default = "0",
        meta = "N"
    )]
    restart_gap_ms: u64,
    #[options(
        no_short,
        help = "queue tasks at the holders of targets instead of at the owners of jobs"
    )]
    wait_at_holder: bool,
    #[options(no_short, help = "order waiting tasks by urgency and shares")]
    shares: bool,
    #[options(
        no_short,
        help = "in one of N jobs, the first task crashes each target that starts it; 0 for none",
        default = "0",
        meta = "N"
    )]
    one_bad_of: u64,
    #[options(no_short, help = "print hosts' decisions, calls to targets and faults")]
    verbose: bool,
}

/// Runs the seeds and prints their totals.
///
/// # Errors
///
/// Fails if any seed has a violation.
pub fn run(options: &Dispatch) -> anyhow::Result<()> {
    let seeds: Vec<u64> = (options.seed..options.seed + options.seeds).collect();
    let scheduling = Scheduling {
        waiting_at: if options.wait_at_holder {
            WaitingAt::Holder
        } else {
            WaitingAt::Owner
        },
        order: if options.shares {
            WaitingOrder::Shares
        } else {
            WaitingOrder::Class
        },
        ..Scheduling::default()
    };
    let outcomes = map(&seeds, |seed| {
        simulate(&Scenario {
            load_ms: options.load_ms,
            fault_gap_ms: options.fault_gap_ms,
            drain_gap_ms: options.drain_gap_ms,
            restart_gap_ms: options.restart_gap_ms,
            one_crashing_job_in: options.one_bad_of,
            verbose: options.verbose,
            hosts_per_hall: options.hosts,
            targets_per_hall: options.targets,
            jobs_per_s: options.rate,
            scheduling,
            ..Scenario::new(*seed)
        })
    });
    let mut totals = Outcome::default();
    let mut rules: BTreeMap<Rule, u64> = BTreeMap::new();
    let mut failed_seeds = Vec::new();
    for (seed, outcome) in seeds.iter().zip(&outcomes) {
        totals.events += outcome.events;
        totals.starts += outcome.starts;
        totals.jobs += outcome.jobs;
        add_counts(&mut totals.answers, &outcome.answers);
        add_counts(&mut totals.faults, &outcome.faults);
        for violation in &outcome.violations {
            *rules.entry(violation.rule).or_default() += 1;
        }
        if let Some(first) = outcome.violations.first() {
            println!("seed {seed}: {first:?}");
            failed_seeds.push(*seed);
        }
    }
    println!(
        "seeds {}, events {}, starts {}, jobs {}",
        seeds.len(),
        totals.events,
        totals.starts,
        totals.jobs
    );
    println!("answers: {:?}", totals.answers);
    println!("faults: {:?}", totals.faults);
    println!("violations: {rules:?}");
    if !failed_seeds.is_empty() {
        bail!("violations with seeds {failed_seeds:?}");
    }
    Ok(())
}

/// Adds the counts of one seed to the totals.
fn add_counts(totals: &mut BTreeMap<&'static str, u64>, counts: &BTreeMap<&'static str, u64>) {
    for (key, count) in counts {
        *totals.entry(key).or_default() += count;
    }
}
