//! A client of the operators' HTTP interface of entry hosts.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use gannetridge_entry_wire::peer::{ConfigDoc, ConfigSnapshot};
use gannetridge_net::{CallError, Client, ClientLimits};
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest time to wait for a host's reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Attempts to send a change, the first one included.
const MAX_CHANGE_ATTEMPTS: u32 = 5;

/// The settings of the operators' command line.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct OperatorSettings {
    /// The addresses of all entry hosts.
    pub hosts: Vec<SocketAddr>,
}

/// The status that an entry host reports.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostStatus {
    /// The host's name.
    pub name: String,
    /// The host's data hall.
    pub hall: String,
    /// True if the host serves callers.
    pub ready: bool,
    /// The version of the configuration in force at the host.
    pub config_version: u64,
    /// The shards that the host holds.
    pub shards: Vec<u16>,
    /// The number of jobs that the host runs.
    pub jobs: u64,
    /// The number of targets that the host knows.
    pub targets: u64,
}

/// The reason why a change wasn't accepted.
#[derive(Debug, Error)]
pub enum ChangeError {
    /// The document was changed since it was read.
    #[error("the document was changed since version {read_at}; nothing was written")]
    Conflict {
        /// The document's version on which the change was based.
        read_at: u64,
        /// The document in force, if there is one.
        current: Option<ConfigDoc>,
    },
    /// A host refused the change; the text gives its reasons.
    #[error("refused: {0}")]
    Refused(String),
    /// The change may have been made; holds the id of the change.
    #[error("the outcome is unknown; send it again with --change-id {0}")]
    OutcomeUnknown(String),
    /// No attempt to send the change reached a host that could accept it.
    #[error("no entry host can be reached")]
    NoHostReachable,
}

#[derive(Deserialize)]
struct Accepted {
    version: u64,
}

#[derive(Deserialize)]
struct ProblemReply {
    title: String,
    #[serde(default)]
    faults: Vec<String>,
    #[serde(default)]
    theirs: Option<ConfigDoc>,
}

/// A client of all entry hosts in the settings.
pub struct Api {
    client: Client,
    hosts: Vec<SocketAddr>,
}

impl Api {
    /// Creates a client of the hosts in the settings.
    pub fn new(settings: OperatorSettings) -> Self {
        Self {
            client: Client::new(ClientLimits::default()),
            hosts: settings.hosts,
        }
    }

    /// Returns the addresses of all entry hosts.
    pub fn hosts(&self) -> &[SocketAddr] {
        &self.hosts
    }

    async fn get(&self, host: SocketAddr, path: &str) -> anyhow::Result<Bytes> {
        let body = Bytes::new();
        let call = self.client.call(
            host,
            Method::GET,
            path,
            "application/json",
            body,
            REPLY_TIMEOUT,
        );
        let reply = call.await?;
        anyhow::ensure!(
            reply.status == StatusCode::OK,
            "{host} answered {}",
            reply.status
        );
        Ok(reply.body)
    }

    /// Returns one host's status.
    pub async fn status(&self, host: SocketAddr) -> anyhow::Result<HostStatus> {
        let body = self.get(host, "/v1/status").await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Returns the configuration in force at the first host that replies.
    pub async fn snapshot(&self) -> anyhow::Result<ConfigSnapshot> {
        let mut last_error = None;
        for host in &self.hosts {
            match self.get(*host, "/v1/config").await {
                Ok(body) => return Ok(serde_json::from_slice(&body)?),
                Err(error) => last_error = Some(error),
            }
        }
        Err(last_error.context("the settings name no host")?)
    }

    /// Returns the document in force under a key, if there is one.
    pub async fn document(&self, key: &str) -> anyhow::Result<Option<ConfigDoc>> {
        let snapshot = self.snapshot().await?;
        Ok(snapshot.docs.into_iter().find(|doc| *doc.key == *key))
    }

    /// Changes a document and returns its new version. Every attempt uses the same
    /// `change_id`, so that a change whose reply was lost isn't made twice.
    pub async fn change(
        &self,
        key: &str,
        text: &str,
        read_at: u64,
        change_id: &str,
    ) -> Result<u64, ChangeError> {
        let path = format!("/v1/config/{key}?read-at={read_at}&change-id={change_id}");
        let mut may_have_changed = false;
        for attempt in 0..MAX_CHANGE_ATTEMPTS as usize {
            let Some(host) = self.hosts.get(attempt % self.hosts.len().max(1)) else {
                return Err(ChangeError::NoHostReachable);
            };
            let body = Bytes::copy_from_slice(text.as_bytes());
            let call = self.client.call(
                *host,
                Method::PUT,
                &path,
                "application/toml",
                body,
                REPLY_TIMEOUT,
            );
            let reply = match call.await {
                Ok(reply) => reply,
                Err(error @ CallError::InvalidRequest(_)) => {
                    return Err(ChangeError::Refused(error.to_string()));
                }
                Err(CallError::NotSent(_)) => continue,
                Err(CallError::OutcomeUnknown(_)) => {
                    may_have_changed = true;
                    continue;
                }
            };
            if let Ok(accepted) = serde_json::from_slice::<Accepted>(&reply.body) {
                return Ok(accepted.version);
            }
            if reply.status == StatusCode::GATEWAY_TIMEOUT {
                may_have_changed = true;
                continue;
            }
            if reply.status == StatusCode::SERVICE_UNAVAILABLE {
                continue;
            }
            return Err(refusal_error(reply.status, &reply.body, read_at));
        }
        if may_have_changed {
            Err(ChangeError::OutcomeUnknown(change_id.to_owned()))
        } else {
            Err(ChangeError::NoHostReachable)
        }
    }
}

/// Converts a reply that refuses a change to an error.
fn refusal_error(status: StatusCode, body: &[u8], read_at: u64) -> ChangeError {
    let Ok(problem) = serde_json::from_slice::<ProblemReply>(body) else {
        return ChangeError::Refused(status.to_string());
    };
    if status == StatusCode::CONFLICT {
        let current = problem.theirs;
        return ChangeError::Conflict { read_at, current };
    }
    let mut text = problem.title;
    for fault in problem.faults {
        text.push_str("\n  ");
        text.push_str(&fault);
    }
    ChangeError::Refused(text)
}
