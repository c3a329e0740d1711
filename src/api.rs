//! Calls the operators' interface of entry hosts.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use gannetridge_entry_wire::peer::{ConfigDoc, ConfigSnapshot};
use gannetridge_net::{Client, ClientLimits};
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// How long an answer of a host is awaited. Chosen, not measured.
const WAIT: Duration = Duration::from_secs(10);
/// Times that a change whose outcome is unknown is sent again. Chosen, not
/// measured.
const CHANGE_TRIES: u32 = 5;

/// Settings of the operators' command line.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct OperatorSettings {
    /// All entry hosts.
    pub hosts: Vec<SocketAddr>,
}

/// What an entry host says of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostStatus {
    /// Its name.
    pub name: String,
    /// Its hall.
    pub hall: String,
    /// Whether it serves.
    pub ready: bool,
    /// The version in force there.
    pub config_version: u64,
    /// The shards that it holds.
    pub shards: Vec<u16>,
    /// The jobs that it runs.
    pub jobs: u64,
    /// The targets that it knows.
    pub targets: u64,
}

/// Why a change wasn't accepted.
#[derive(Debug, Error)]
pub enum ChangeError {
    /// The document was changed since it was read.
    #[error("the document was changed since version {read_at}; nothing was written")]
    Conflict {
        /// The version at which the operator read it.
        read_at: u64,
        /// The document as it stands.
        theirs: Option<ConfigDoc>,
    },
    /// The host refused the change.
    #[error("refused: {0}")]
    Refused(String),
    /// Nobody can tell yet whether the change took place.
    #[error("the outcome is unknown; send it again with --change-id {0}")]
    Unresolved(String),
    /// No host could be reached.
    #[error("no entry host can be reached")]
    NoHost,
}

#[derive(Deserialize)]
struct Accepted {
    version: u64,
}

#[derive(Deserialize)]
struct ProblemView {
    title: String,
    #[serde(default)]
    faults: Vec<String>,
    #[serde(default)]
    theirs: Option<ConfigDoc>,
}

/// Calls entry hosts.
pub struct Api {
    client: Client,
    hosts: Vec<SocketAddr>,
}

impl Api {
    /// Creates a caller of the settings' hosts.
    pub fn new(settings: OperatorSettings) -> Self {
        Self {
            client: Client::new(ClientLimits::default()),
            hosts: settings.hosts,
        }
    }

    /// Returns the hosts that are asked.
    pub fn hosts(&self) -> &[SocketAddr] {
        &self.hosts
    }

    async fn get(&self, host: SocketAddr, path: &str) -> anyhow::Result<Bytes> {
        let body = Bytes::new();
        let call = self
            .client
            .call(host, Method::GET, path, "application/json", body, WAIT);
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

    /// Returns the configuration in force at the first host that answers.
    pub async fn snapshot(&self) -> anyhow::Result<ConfigSnapshot> {
        let mut last = None;
        for host in &self.hosts {
            match self.get(*host, "/v1/config").await {
                Ok(body) => return Ok(serde_json::from_slice(&body)?),
                Err(error) => last = Some(error),
            }
        }
        Err(last.context("the settings name no host")?)
    }

    /// Returns a document, if there is one.
    pub async fn document(&self, key: &str) -> anyhow::Result<Option<ConfigDoc>> {
        let snapshot = self.snapshot().await?;
        Ok(snapshot.docs.into_iter().find(|doc| *doc.key == *key))
    }

    /// Changes a document. The same `change_id` is used for every try, so
    /// that a change whose answer was lost isn't made twice.
    pub async fn change(
        &self,
        key: &str,
        text: &str,
        read_at: u64,
        change_id: &str,
    ) -> Result<u64, ChangeError> {
        let path = format!("/v1/config/{key}?read-at={read_at}&change-id={change_id}");
        let mut unresolved = false;
        for turn in 0..CHANGE_TRIES as usize {
            let Some(host) = self.hosts.get(turn % self.hosts.len().max(1)) else {
                return Err(ChangeError::NoHost);
            };
            let body = Bytes::copy_from_slice(text.as_bytes());
            let call = self
                .client
                .call(*host, Method::PUT, &path, "application/toml", body, WAIT);
            let reply = match call.await {
                Ok(reply) => reply,
                Err(gannetridge_net::CallError::NotSent(_)) => continue,
                Err(gannetridge_net::CallError::OutcomeUnknown(_)) => {
                    unresolved = true;
                    continue;
                }
            };
            if let Ok(accepted) = serde_json::from_slice::<Accepted>(&reply.body) {
                return Ok(accepted.version);
            }
            if reply.status == StatusCode::GATEWAY_TIMEOUT {
                unresolved = true;
                continue;
            }
            if reply.status == StatusCode::SERVICE_UNAVAILABLE {
                continue;
            }
            return Err(refusal(reply.status, &reply.body, read_at));
        }
        if unresolved {
            Err(ChangeError::Unresolved(change_id.to_owned()))
        } else {
            Err(ChangeError::NoHost)
        }
    }
}

fn refusal(status: StatusCode, body: &[u8], read_at: u64) -> ChangeError {
    let Ok(problem) = serde_json::from_slice::<ProblemView>(body) else {
        return ChangeError::Refused(status.to_string());
    };
    if status == StatusCode::CONFLICT {
        let theirs = problem.theirs;
        return ChangeError::Conflict { read_at, theirs };
    }
    let mut text = problem.title;
    for fault in problem.faults {
        text.push_str("\n  ");
        text.push_str(&fault);
    }
    ChangeError::Refused(text)
}
