//! Sends a submission until there is a final answer.

use std::net::SocketAddr;
use std::time::Duration;

use gannetridge_entry_wire::Submission;
use gannetridge_net::{CallError, Client, ClientLimits};
use http::{Method, StatusCode};
use rand::Rng;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::job::{attempt_now, now_ms};

/// Shortest pause between two sendings. Hosts rely on it: see the tuning's
/// `min-resend-ms`.
const LEAST_PAUSE_MS: u64 = 1_000;
/// How long after the deadline an answer is still awaited, in ms. Chosen, not
/// measured.
const GRACE_MS: u64 = 3_000;

/// Settings of a caller.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CallerSettings {
    /// The entry hosts, or the balancer before them.
    pub hosts: Vec<SocketAddr>,
}

/// What an entry host answered.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: StatusCode,
    /// The body, JSON.
    pub body: String,
    /// How often the submission was sent.
    pub sent: u32,
}

/// Why there is no answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// The settings name no host.
    #[error("the settings name no entry host")]
    NoHost,
    /// No host answered in time; the job may run or have run.
    #[error("no answer in time after {sent} sendings; the outcome is unknown")]
    NoAnswer {
        /// How often the submission was sent.
        sent: u32,
    },
    /// The submission has no JSON form.
    #[error("the submission has no JSON form")]
    Encode(#[from] serde_json::Error),
}

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

    /// Sends a submission, and again under the same id while its outcome is
    /// unknown, to one host after the other.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer some time after the deadline.
    pub async fn send(&self, mut submission: Submission) -> Result<Reply, SendError> {
        let until_ms = submission.deadline().as_millis() + GRACE_MS;
        let mut turn = rand::rng().random_range(0..self.hosts.len());
        let mut sent = 0;
        loop {
            sent += 1;
            let left_ms = until_ms.saturating_sub(now_ms()).max(LEAST_PAUSE_MS);
            let host = self.hosts[turn % self.hosts.len()];
            let pause_ms = match self.send_once(host, &submission, left_ms).await? {
                Outcome::Final(status, body) => return Ok(Reply { status, body, sent }),
                Outcome::AskAgain(wait_ms) => wait_ms,
                Outcome::NotSent => {
                    // Nothing left this machine: the next host is asked at once.
                    turn += 1;
                    if now_ms() > until_ms {
                        return Err(SendError::NoAnswer { sent });
                    }
                    monoio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                }
            };
            turn += 1;
            let pause_ms = pause_ms.max(LEAST_PAUSE_MS);
            if now_ms() + pause_ms > until_ms {
                return Err(SendError::NoAnswer { sent });
            }
            monoio::time::sleep(Duration::from_millis(pause_ms)).await;
            submission.attempt = attempt_now(&submission.id);
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
            Err(CallError::NotSent(_)) => return Ok(Outcome::NotSent),
            Err(CallError::Unknown(_)) => return Ok(Outcome::AskAgain(0)),
        };
        let body = String::from_utf8_lossy(&reply.body).into_owned();
        let problem: Option<ProblemView> = serde_json::from_str(&body).ok();
        match problem {
            Some(p) if p.kind.ends_with(":outcome-pending") || p.kind.ends_with(":stopping") => {
                Ok(Outcome::AskAgain(p.retry_after_ms.unwrap_or(0)))
            }
            _ => Ok(Outcome::Final(reply.status, body)),
        }
    }
}

/// What one sending led to.
enum Outcome {
    /// An answer that sending again won't change, or a refusal.
    Final(StatusCode, String),
    /// The outcome is unknown; to be asked again after this many ms.
    AskAgain(u64),
    /// Nothing was sent.
    NotSent,
}
