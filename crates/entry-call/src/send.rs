//! Sends a submission to entry hosts until there is a final answer.

use std::net::SocketAddr;
use std::time::Duration;

use gannetridge_entry_wire::Submission;
use gannetridge_net::{CallError, Client, ClientLimits};
use http::{Method, StatusCode};
use rand::Rng;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::job::{current_attempt, now_ms};

/// The shortest pause between two sends of an id. Must not be below the hosts'
/// `min-resend-ms`: within that time they assume that a first send is the only
/// one.
const MIN_RESEND_PAUSE_MS: u64 = 1_000;
/// How long after the job's deadline an answer is still awaited.
const ANSWER_GRACE_MS: u64 = 3_000;

/// The caller's settings.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CallerSettings {
    /// The addresses of the entry hosts, or of a load balancer before them.
    pub hosts: Vec<SocketAddr>,
}

/// The final reply of an entry host.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Success only for a complete job.
    pub status: StatusCode,
    /// The JSON body.
    pub body: String,
    /// The number of attempts to send the submission, including failed ones.
    pub sent: u32,
}

/// Why there is no final reply.
#[derive(Debug, Error)]
pub enum SendError {
    /// The settings name no host.
    #[error("the settings name no entry host")]
    NoHost,
    /// No host gave a final answer in time. The job may be running or have run.
    #[error("no answer in time after {sent} attempts; the outcome is unknown")]
    NoAnswer {
        /// The number of attempts to send the submission, including failed
        /// ones.
        sent: u32,
    },
    /// The submission can't be encoded as JSON.
    #[error("can't encode the submission as JSON")]
    Encode(#[from] serde_json::Error),
}

/// The fields of an HTTP problem that decide about a further send.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ProblemView {
    #[serde(rename = "type")]
    kind: String,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

/// Sends submissions to entry hosts.
pub struct Sender {
    client: Client,
    hosts: Vec<SocketAddr>,
}

impl Sender {
    /// Creates a sender.
    ///
    /// # Errors
    ///
    /// Fails if the settings name no host.
    pub fn new(settings: CallerSettings) -> Result<Self, SendError> {
        if settings.hosts.is_empty() {
            return Err(SendError::NoHost);
        }
        Ok(Self {
            client: Client::new(ClientLimits::default()),
            hosts: settings.hosts,
        })
    }

    /// Sends a submission, and resends it under the same id while its outcome is
    /// unknown, to one host after the other.
    ///
    /// # Errors
    ///
    /// Fails if there is no final answer within a few seconds after the
    /// deadline, or if the submission can't be encoded.
    pub async fn send(&self, mut submission: Submission) -> Result<Reply, SendError> {
        let give_up_at_ms = submission.deadline().as_millis() + ANSWER_GRACE_MS;
        let mut host_index = rand::rng().random_range(0..self.hosts.len());
        let mut sent = 0;
        loop {
            sent += 1;
            let remaining_ms = give_up_at_ms
                .saturating_sub(now_ms())
                .max(MIN_RESEND_PAUSE_MS);
            let host = self.hosts[host_index % self.hosts.len()];
            let pause_ms = match self.send_once(host, &submission, remaining_ms).await? {
                Outcome::Final(status, body) => return Ok(Reply { status, body, sent }),
                Outcome::Resend(wait_ms) => wait_ms,
                Outcome::NotSent => {
                    // The request didn't leave this machine, so that the minimum
                    // pause doesn't apply.
                    host_index += 1;
                    if now_ms() > give_up_at_ms {
                        return Err(SendError::NoAnswer { sent });
                    }
                    monoio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                }
            };
            host_index += 1;
            let pause_ms = pause_ms.max(MIN_RESEND_PAUSE_MS);
            if now_ms() + pause_ms > give_up_at_ms {
                return Err(SendError::NoAnswer { sent });
            }
            monoio::time::sleep(Duration::from_millis(pause_ms)).await;
            submission.attempt = current_attempt(&submission.id);
        }
    }

    async fn send_once(
        &self,
        host: SocketAddr,
        submission: &Submission,
        wait_ms: u64,
    ) -> Result<Outcome, SendError> {
        let body = serde_json::to_vec(submission)?;
        let wait = Duration::from_millis(wait_ms);
        let path = "/v1/submissions";
        let call = self.client.call(
            host,
            Method::POST,
            path,
            "application/json",
            body.into(),
            wait,
        );
        let reply = match call.await {
            Ok(reply) => reply,
            Err(CallError::NotSent(_) | CallError::InvalidRequest(_)) => {
                return Ok(Outcome::NotSent)
            }
            Err(CallError::OutcomeUnknown(_)) => return Ok(Outcome::Resend(0)),
        };
        let body = String::from_utf8_lossy(&reply.body).into_owned();
        let problem: Option<ProblemView> = serde_json::from_str(&body).ok();
        match problem {
            Some(p) if p.kind.ends_with(":outcome-pending") || p.kind.ends_with(":stopping") => {
                Ok(Outcome::Resend(p.retry_after_ms.unwrap_or(0)))
            }
            _ => Ok(Outcome::Final(reply.status, body)),
        }
    }
}

/// The outcome of one send.
enum Outcome {
    /// A reply after which the submission isn't sent again.
    Final(StatusCode, String),
    /// The job's outcome is unknown; the submission is resent after at least
    /// this many ms.
    Resend(u64),
    /// The request wasn't sent.
    NotSent,
}
