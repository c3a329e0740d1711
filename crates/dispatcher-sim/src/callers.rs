//! Callers that wait, leave, and come again.

use gannetridge_dispatcher_core::event::Submit;
use gannetridge_dispatcher_core::spec::{JobSpec, Resources, StepSpec};
use gannetridge_dispatcher_core::Millis;
use gannetridge_wire::Name;
use rand::Rng;
use rand_pcg::Pcg64;

/// How long a probe waits for its answer. Chosen, not measured.
const PROBE_MS: Millis = 1_500;

/// A job and its caller.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The job's id.
    pub id: Name,
    /// How many tasks it has.
    pub tasks: usize,
    /// The job.
    pub spec: JobSpec,
    /// The host that it asks, if that is the same each time.
    pub probes: Option<usize>,
    /// Until when the caller waits.
    pub until: Millis,
    /// The host and token of the try that is under way.
    pub waits_at: Option<(usize, u64)>,
    /// When it last sent the job.
    pub tried: Millis,
    /// Whether it has its answer, or is gone.
    pub over: bool,
    /// Whether its job was completed.
    pub served: bool,
}

impl Caller {
    /// Draws a job.
    #[must_use]
    pub fn draw(rng: &mut Pcg64, number: u64, now: Millis) -> Self {
        let kind = rng.random_range(0..10);
        let (count, estimate_ms) = match kind {
            0..=1 => (rng.random_range(4..=10), 60),
            2 => (rng.random_range(2..=6), 900),
            _ => (rng.random_range(1..=3), 200),
        };
        let step = StepSpec {
            count,
            resources: Resources {
                cpu: rng.random_range(4_600..=10_000),
                memory_mb: 64,
                gpus: 0,
            },
            estimate_ms,
            ..StepSpec::default()
        };
        let mut steps = vec![step.clone()];
        if rng.random_range(0..10) == 0 {
            steps.push(StepSpec {
                count: 1,
                after: vec![0],
                ..step
            });
        }
        Self {
            id: format!("{:016x}", rng.random::<u64>() ^ number).into(),
            tasks: steps.iter().map(|step| step.count as usize).sum(),
            spec: JobSpec {
                specification: "work".into(),
                durable: false,
                steps,
            },
            probes: None,
            until: now + rng.random_range(1_800..4_500),
            waits_at: None,
            tried: 0,
            over: false,
            served: false,
        }
    }

    /// Makes a job of one short task that shows whether a host serves.
    #[must_use]
    pub fn probe(rng: &mut Pcg64, host: usize, number: u64, now: Millis) -> Self {
        let mut probe = Self::draw(rng, number, now);
        probe.probes = Some(host);
        probe.until = now + PROBE_MS;
        probe.tasks = 1;
        probe.spec.steps.truncate(1);
        probe.spec.steps[0].count = 1;
        probe.spec.steps[0].estimate_ms = 60;
        probe
    }

    /// Returns what it sends.
    #[must_use]
    pub fn submit(&self, now: Millis) -> Box<Submit> {
        Box::new(Submit {
            host: "game.example".into(),
            path: format!("/turns/{}", self.id).into(),
            deadline_ms: Some(self.until.saturating_sub(now)),
            spec: self.spec.clone(),
        })
    }
}
