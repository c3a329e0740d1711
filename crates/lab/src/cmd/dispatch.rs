//! `gannetridge-lab dispatch`: randomised runs of the dispatcher with every fault.

use std::collections::BTreeMap;

use anyhow::bail;
use gannetridge_dispatcher_core::settings::{Scheduling, WaitingAt, WaitingOrder};
use gannetridge_dispatcher_sim::checks::Rule;
use gannetridge_dispatcher_sim::{run as simulate, Outcome, Scenario};
use gannetridge_entry_sim::parallel::map;
use gumdrop::Options;

/// Options of `dispatch`.
#[derive(Debug, Options)]
pub struct Dispatch {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the first seed", default = "1", meta = "N")]
    seed: u64,
    #[options(no_short, help = "how many seeds", default = "1", meta = "N")]
    seeds: u64,
    #[options(
        no_short,
        help = "how long jobs and faults come, in ms",
        default = "40000",
        meta = "N"
    )]
    load_ms: u64,
    #[options(
        no_short,
        help = "hosts in each of three halls",
        default = "2",
        meta = "N"
    )]
    hosts: usize,
    #[options(no_short, help = "targets in each hall", default = "4", meta = "N")]
    targets: usize,
    #[options(no_short, help = "jobs a second", default = "30", meta = "N")]
    rate: f64,
    #[options(
        no_short,
        help = "the mean pause between faults in ms, 0 for none",
        default = "1500",
        meta = "N"
    )]
    fault_gap_ms: u64,
    #[options(
        no_short,
        help = "the mean pause in ms between times at which halls are drained, 0 for none",
        default = "4000",
        meta = "N"
    )]
    drain_gap_ms: u64,
    #[options(
        no_short,
        help = "the mean pause in ms between targets that start again under their id, 0 for none",
        default = "0",
        meta = "N"
    )]
    restart_gap_ms: u64,
    #[options(
        no_short,
        help = "let tasks wait at the holders of targets, not at their owners"
    )]
    wait_at_holder: bool,
    #[options(no_short, help = "order waiting tasks by urgency and shares")]
    shares: bool,
    #[options(
        no_short,
        help = "the first task of one of so many jobs crashes its targets, 0 for none",
        default = "0",
        meta = "N"
    )]
    one_bad_of: u64,
    #[options(no_short, help = "print what hosts note and which faults strike")]
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
    let mut sum = Outcome::default();
    let mut rules: BTreeMap<Rule, u64> = BTreeMap::new();
    let mut failed_seeds = Vec::new();
    for (seed, outcome) in seeds.iter().zip(&outcomes) {
        sum.events += outcome.events;
        sum.starts += outcome.starts;
        sum.jobs += outcome.jobs;
        add(&mut sum.answers, &outcome.answers);
        add(&mut sum.faults, &outcome.faults);
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
        sum.events,
        sum.starts,
        sum.jobs
    );
    println!("answers: {:?}", sum.answers);
    println!("faults: {:?}", sum.faults);
    println!("violations: {rules:?}");
    if !failed_seeds.is_empty() {
        bail!("rules broken with seeds {failed_seeds:?}");
    }
    Ok(())
}

fn add(sum: &mut BTreeMap<&'static str, u64>, part: &BTreeMap<&'static str, u64>) {
    for (key, count) in part {
        *sum.entry(key).or_default() += count;
    }
}
