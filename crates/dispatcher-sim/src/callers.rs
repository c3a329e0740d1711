//! A model of a caller: its job, its deadline and the request that it waits for.

use gannetridge_dispatcher_core::event::Submit;
use gannetridge_dispatcher_core::spec::{JobSpec, Resources, StepSpec};
use gannetridge_dispatcher_core::Millis;
use gannetridge_wire::Name;
use rand::Rng;
use rand_pcg::Pcg64;

/// How long a probe waits for its answer.
const PROBE_TIMEOUT_MS: Millis = 1_500;

/// A job and its caller.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The job's id.
    pub id: Name,
    /// The number of tasks in all steps.
    pub tasks: usize,
    /// The job that is submitted.
    pub spec: JobSpec,
    /// The host that this probe is sent to; none for jobs of the load, which go to any host.
    pub probed_host: Option<usize>,
    /// When the caller stops waiting, in simulated ms.
    pub deadline: Millis,
    /// The host and request id of the submission that has no answer yet.
    pub pending_request: Option<(usize, u64)>,
    /// When it last submitted the job, in simulated ms.
    pub last_sent: Millis,
    /// The caller has a final answer, has left, or has reached its deadline.
    pub is_finished: bool,
    /// The last answer said that the job was completed.
    pub is_completed: bool,
}

impl Caller {
    /// Creates a caller with a random job and deadline.
    #[must_use]
    pub fn random(rng: &mut Pcg64, number: u64, now: Millis) -> Self {
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
            probed_host: None,
            deadline: now + rng.random_range(1_800..4_500),
            pending_request: None,
            last_sent: 0,
            is_finished: false,
            is_completed: false,
        }
    }

    /// Creates a caller with a job of one short task, which checks that a host serves.
    #[must_use]
    pub fn probe(rng: &mut Pcg64, host: usize, number: u64, now: Millis) -> Self {
        let mut probe = Self::random(rng, number, now);
        probe.probed_host = Some(host);
        probe.deadline = now + PROBE_TIMEOUT_MS;
        probe.tasks = 1;
        probe.spec.steps.truncate(1);
        probe.spec.steps[0].count = 1;
        probe.spec.steps[0].estimate_ms = 60;
        probe
    }

    /// Returns the submission, with the time left until the deadline.
    #[must_use]
    pub fn submit(&self, now: Millis) -> Box<Submit> {
        Box::new(Submit {
            host: "game.example".into(),
            path: format!("/turns/{}", self.id).into(),
            deadline_ms: Some(self.deadline.saturating_sub(now)),
            spec: self.spec.clone(),
        })
    }
}
