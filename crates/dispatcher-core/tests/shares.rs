//! Shares of queues and halls in a capacity that is too small for all of them.

mod support;

use gannetridge_dispatcher_core::rules::shares::{Origin, Shares, Weights, MIN_SHARE};
use gannetridge_wire::Name;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use support::case;

/// A sender of tasks to a queue from a hall.
#[derive(Clone, Debug)]
struct Sender {
    queue: Name,
    hall: Name,
    core_ms: u64,
    /// Its largest share of all started work.
    demand: f64,
}

impl Sender {
    fn new(queue: &str, hall: &str, core_ms: u64) -> Self {
        Self {
            queue: queue.into(),
            hall: hall.into(),
            core_ms,
            demand: 1.0,
        }
    }

    fn origin(&self) -> Origin<'_> {
        Origin {
            urgency: 1,
            queue: &self.queue,
            hall: &self.hall,
        }
    }
}

/// Starts tasks until `core_ms` were started, each of the waiting sender with the least virtual
/// time; adds what each got to `got`.
fn start(shares: &mut Shares, senders: &[Sender], got: &mut [f64], core_ms: f64) {
    let mut started = 0.0;
    let mut requested = vec![0.0; senders.len()];
    while started < core_ms {
        let waits =
            |(position, sender): &(usize, &Sender)| requested[*position] <= sender.demand * started;
        let waiting: Vec<(usize, &Sender)> = senders.iter().enumerate().filter(waits).collect();
        shares.advance(0, waiting.iter().map(|(_, sender)| sender.origin()));
        let virtual_start =
            |(_, sender): &&(usize, &Sender)| shares.virtual_start(&sender.origin());
        let first = waiting
            .iter()
            .min_by(|a, b| virtual_start(a).partial_cmp(&virtual_start(b)).unwrap());
        let (position, sender) = *first.expect("demands exceed the capacity");
        shares.record_start(0, &sender.origin(), sender.core_ms);
        started += sender.core_ms as f64;
        requested[position] += sender.core_ms as f64;
        got[position] += sender.core_ms as f64;
    }
}

case!(queues_that_always_wait_differ_by_a_task_of_each_at_most, {
    for seed in 0..100 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let count = rng.random_range(2..8);
        let mut weights = Weights::default();
        let mut senders = Vec::new();
        for number in 0..count {
            let sender = Sender::new(&format!("q{number}"), "north", rng.random_range(100..8_000));
            weights
                .queues
                .insert(sender.queue.clone(), rng.random_range(1..5));
            senders.push(sender);
        }
        let mut got = vec![0.0; count];
        let mut shares = Shares::new(weights.clone());
        start(&mut shares, &senders, &mut got, 500_000.0);
        let per_weight =
            |core_ms: f64, sender: &Sender| core_ms / f64::from(weights.queues[&sender.queue]);
        for (a, got_a) in senders.iter().zip(&got) {
            for (b, got_b) in senders.iter().zip(&got) {
                let apart = per_weight(*got_a, a) - per_weight(*got_b, b);
                let task = per_weight(a.core_ms as f64, a) + per_weight(b.core_ms as f64, b);
                assert!(apart <= task, "seed {seed}: {a:?} {b:?} {apart}");
            }
        }
    }
});

/// Returns the max-min shares of demands in 1: demands below an equal share of the rest are met in
/// full.
fn max_min(demands: &[f64]) -> Vec<f64> {
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..60 {
        let level: f64 = (low + high) / 2.0;
        let sum: f64 = demands.iter().map(|demand| demand.min(level)).sum();
        *(if sum > 1.0 { &mut high } else { &mut low }) = level;
    }
    demands.iter().map(|demand| demand.min(low)).collect()
}

case!(random_demands_get_their_max_min_shares, {
    for seed in 0..100 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let count = rng.random_range(2..8);
        let mut senders: Vec<Sender> = (0..count)
            .map(|number| Sender::new(&format!("q{number}"), "north", 1_000))
            .collect();
        for sender in &mut senders {
            sender.demand = rng.random_range(0.02..0.6);
        }
        senders[0].demand = 1.0;
        let mut got = vec![0.0; count];
        start(&mut Shares::default(), &senders, &mut got, 2_000_000.0);
        let demands: Vec<f64> = senders.iter().map(|sender| sender.demand).collect();
        for (share, got) in max_min(&demands).into_iter().zip(got) {
            let got = got / 2_000_000.0;
            assert!((got - share).abs() < 0.01, "seed {seed}: {got} of {share}");
        }
    }
});

case!(halls_divide_the_share_of_their_queue, {
    let from = |queue, hall| Sender::new(queue, hall, 480);
    let senders = [from("a", "north"), from("b", "north"), from("b", "south")];
    let mut got = [0.0; 3];
    start(&mut Shares::default(), &senders, &mut got, 480_000.0);
    assert_eq!(got, [240_000.0, 120_000.0, 120_000.0]);
});

case!(using_idle_shares_of_others_is_not_charged, {
    let senders = [
        Sender::new("a", "north", 500),
        Sender::new("b", "north", 500),
    ];
    let (mut shares, mut got) = (Shares::default(), [0.0; 2]);
    start(&mut shares, &senders[..1], &mut got, 1_000_000.0);
    got = [0.0; 2];
    start(&mut shares, &senders, &mut got, 10_000.0);
    assert!(
        got[0] >= 4_500.0,
        "the first is charged for idle shares: {got:?}"
    );
});

case!(a_returning_hall_gets_no_credit_for_unused_shares, {
    let senders = [
        Sender::new("a", "north", 500),
        Sender::new("a", "south", 500),
    ];
    let (mut shares, mut got) = (Shares::default(), [0.0; 2]);
    start(&mut shares, &senders, &mut got, 10_000.0);
    start(&mut shares, &senders[1..], &mut got[1..], 1_000_000.0);
    got = [0.0; 2];
    start(&mut shares, &senders, &mut got, 10_000.0);
    assert!((got[0] - got[1]).abs() <= 1_000.0, "{got:?}");
});

case!(the_largest_user_is_tracked_among_many_names, {
    let flood = Sender::new("flood", "north", 1_000_000);
    let mut shares = Shares::default();
    shares.record_start(0, &flood.origin(), flood.core_ms);
    for number in 0..1_000 {
        let other = Sender::new(&format!("q{number}"), "north", 100);
        shares.record_start(0, &other.origin(), other.core_ms);
    }
    assert_eq!(shares.virtual_start(&flood.origin()).queue, 1_000_000.0);
    assert_eq!(
        shares
            .virtual_start(&Sender::new("q0", "north", 1).origin())
            .queue,
        0.0
    );
});

case!(an_urgency_below_its_minimum_share_is_detected, {
    let (queue, hall) = ("a".into(), "north".into());
    let origin = |urgency| Origin {
        urgency,
        queue: &queue,
        hall: &hall,
    };
    let mut shares = Shares::default();
    assert!(!shares.is_below_min_share(2), "nothing was started");
    shares.record_start(0, &origin(0), 10_000);
    assert!(shares.is_below_min_share(2));
    let share = 10_000.0 * MIN_SHARE / (1.0 - MIN_SHARE);
    shares.record_start(0, &origin(2), share as u64 + 1);
    assert!(!shares.is_below_min_share(2));
    shares.record_start(1_000, &origin(0), 10_000);
    assert!(shares.is_below_min_share(2));
});

case!(queues_without_tasks_are_removed, {
    let mut shares = Shares::default();
    let active = Sender::new("stays", "north", 1_000);
    let size_after = |shares: &mut Shares, queues: u32| {
        for number in 0..queues {
            let idle = Sender::new(&format!("q{number}"), "north", 100);
            shares.record_start(0, &idle.origin(), idle.core_ms);
            shares.record_start(0, &active.origin(), active.core_ms);
            shares.advance(0, [active.origin()].into_iter());
        }
        format!("{shares:?}").len()
    };
    let few = size_after(&mut shares, 10);
    assert!(size_after(&mut shares, 1_000) < 2 * few);
});
