//! HTTP stand-in for the platform. Faults are injected through `/control`.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gannetridge_entry_wire::platform::{ListedTarget, TableOp};
use gannetridge_net::{HttpReply, HttpRequest};
use gannetridge_wire::Name;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::list::VersionedTargetList;
use crate::table::Table;

/// A target in the settings.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TargetSettings {
    /// Its name in the list.
    pub name: Name,
    /// The hall in which it is listed.
    pub hall: Name,
    /// The address of its task interface.
    pub address: SocketAddr,
    /// The number of tasks that it can run at the same time.
    pub slots: u32,
}

/// Settings of the platform's stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PlatformSettings {
    /// The address on which it listens.
    pub listen: SocketAddr,
    /// The targets in its list.
    #[serde(default)]
    pub targets: Vec<TargetSettings>,
}

/// The faults that are injected.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Faults {
    /// Requests are held back until their clients give up.
    pub outage: bool,
    /// Requests are delayed by this many ms before they are carried out.
    pub slow_ms: u64,
    /// The number of further commit requests that are handled without an
    /// answer.
    pub lose_answers: u32,
    /// Restricts `lose_answers` to commits that write a key with this prefix.
    pub lose_answers_of: String,
    /// The list isn't updated.
    pub list_stale: bool,
    /// The names of targets listed as leaving.
    pub leaving: Vec<Name>,
}

impl Faults {
    fn can_lose_answer_to(&self, op: &TableOp) -> bool {
        let TableOp::Commit { writes, .. } = op else {
            return false;
        };
        let prefix = self.lose_answers_of.as_str();
        writes.iter().any(|write| write.key.starts_with(prefix))
    }
}

#[derive(Default)]
struct State {
    table: Table,
    objects: BTreeMap<String, Vec<u8>>,
    targets: Vec<TargetSettings>,
    faults: Faults,
    list: VersionedTargetList,
}

/// The platform's stand-in. Clones share its state.
#[derive(Clone, Default)]
pub struct Platform {
    state: Rc<RefCell<State>>,
}

impl Platform {
    /// Creates a platform with an empty table that lists the given targets.
    #[must_use]
    pub fn new(targets: Vec<TargetSettings>) -> Self {
        let platform = Self::default();
        platform.state.borrow_mut().targets = targets;
        platform
    }

    /// Handles one request, subject to the injected faults.
    pub async fn handle(self, req: HttpRequest) -> HttpReply {
        if req.path == "/control" {
            return self.control(&req);
        }
        let (outage, slow_ms) = {
            let faults = &self.state.borrow().faults;
            (faults.outage, faults.slow_ms)
        };
        if outage {
            withhold_answer().await;
        }
        if slow_ms > 0 {
            monoio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
        match (&req.method, req.path.as_str()) {
            (&Method::POST, "/v1/table") => self.table(&req).await,
            (&Method::GET, "/v1/hosts") => self.hosts(&req),
            (_, path) if path.starts_with("/v1/objects/") => self.object(&req),
            _ => HttpReply::new(StatusCode::NOT_FOUND, "text/plain", "no such path\n"),
        }
    }

    fn control(&self, req: &HttpRequest) -> HttpReply {
        if req.method == Method::GET {
            return json_reply(&self.state.borrow().faults);
        }
        match serde_json::from_slice(&req.body) {
            Ok(faults) => {
                self.state.borrow_mut().faults = faults;
                HttpReply::json(StatusCode::OK, "{}")
            }
            Err(error) => bad_request(&error),
        }
    }

    async fn table(&self, req: &HttpRequest) -> HttpReply {
        let op: TableOp = match serde_json::from_slice(&req.body) {
            Ok(op) => op,
            Err(error) => return bad_request(&error),
        };
        let (result, lose_answer) = {
            let mut state = self.state.borrow_mut();
            let result = state.table.apply(&op);
            let lose_answer = state.faults.lose_answers > 0 && state.faults.can_lose_answer_to(&op);
            if lose_answer {
                state.faults.lose_answers -= 1;
            }
            (result, lose_answer)
        };
        if lose_answer {
            withhold_answer().await;
        }
        json_reply(&result)
    }

    /// Returns the list of targets, or the changes since version `after` if the
    /// query has it.
    fn hosts(&self, req: &HttpRequest) -> HttpReply {
        let after = req.query.strip_prefix("after=");
        let after = after.and_then(|v| v.parse().ok()).unwrap_or(0);
        let mut state = self.state.borrow_mut();
        if !state.faults.list_stale {
            let leaving = &state.faults.leaving;
            let listed = |t: &TargetSettings| ListedTarget {
                name: t.name.clone(),
                address: t.address.to_string().into(),
                hall: t.hall.clone(),
                slots: t.slots,
                busy: 0,
                leaving: leaving.contains(&t.name),
            };
            let targets = state.targets.iter().map(listed).collect();
            state.list.refresh(targets);
        }
        json_reply(&state.list.read(after))
    }

    fn object(&self, req: &HttpRequest) -> HttpReply {
        let mut state = self.state.borrow_mut();
        if req.method == Method::PUT {
            state.objects.insert(req.path.clone(), req.body.to_vec());
            return HttpReply::json(StatusCode::OK, "{}");
        }
        match state.objects.get(&req.path) {
            Some(body) => HttpReply::json(StatusCode::OK, body.clone()),
            None => HttpReply::new(StatusCode::NOT_FOUND, "text/plain", "no such object\n"),
        }
    }
}

/// Delays a request for longer than any client waits.
async fn withhold_answer() {
    monoio::time::sleep(Duration::from_secs(120)).await;
}

pub(crate) fn json_reply(value: &impl Serialize) -> HttpReply {
    let body = serde_json::to_vec(value).expect("plain data is always encodable");
    HttpReply::json(StatusCode::OK, body)
}

pub(crate) fn bad_request(error: &serde_json::Error) -> HttpReply {
    HttpReply::new(StatusCode::BAD_REQUEST, "text/plain", format!("{error}\n"))
}
