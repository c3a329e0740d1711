//! The platform over HTTP, with faults that are switched on from outside.

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

/// A target as the settings name it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TargetSettings {
    /// Its name.
    pub name: Name,
    /// Its hall.
    pub hall: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Tasks that it runs at once.
    pub slots: u32,
}

/// Settings of the stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PlatformSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The targets that it lists.
    #[serde(default)]
    pub targets: Vec<TargetSettings>,
}

/// What is wrong with the platform at the moment.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Faults {
    /// Nothing is answered and nothing takes place.
    pub outage: bool,
    /// Every answer comes this many ms late.
    pub slow_ms: u64,
    /// This many commits take place without an answer.
    pub lose_answers: u32,
    /// Only commits that write a key with this prefix lose their answer.
    pub lose_answers_of: String,
    /// The list keeps to what it was.
    pub list_stale: bool,
    /// Targets that the list shows as leaving.
    pub leaving: Vec<Name>,
}

impl Faults {
    fn loses_answer_of(&self, op: &TableOp) -> bool {
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
    /// Creates a platform that lists some targets.
    #[must_use]
    pub fn new(targets: Vec<TargetSettings>) -> Self {
        let platform = Self::default();
        platform.state.borrow_mut().targets = targets;
        platform
    }

    /// Handles one request.
    pub async fn handle(self, req: HttpRequest) -> HttpReply {
        if req.path == "/control" {
            return self.control(&req);
        }
        let (outage, slow_ms) = {
            let faults = &self.state.borrow().faults;
            (faults.outage, faults.slow_ms)
        };
        if outage {
            never().await;
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
            return json(&self.state.borrow().faults);
        }
        match serde_json::from_slice(&req.body) {
            Ok(faults) => {
                self.state.borrow_mut().faults = faults;
                HttpReply::json(StatusCode::OK, "{}")
            }
            Err(error) => bad(&error),
        }
    }

    async fn table(&self, req: &HttpRequest) -> HttpReply {
        let op: TableOp = match serde_json::from_slice(&req.body) {
            Ok(op) => op,
            Err(error) => return bad(&error),
        };
        let (result, lost) = {
            let mut state = self.state.borrow_mut();
            let result = state.table.apply(&op);
            let lose = state.faults.lose_answers > 0 && state.faults.loses_answer_of(&op);
            if lose {
                state.faults.lose_answers -= 1;
            }
            (result, lose)
        };
        if lost {
            never().await;
        }
        json(&result)
    }

    /// Answers the list, or with `after` in the query what changed since.
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
        json(&state.list.read(after))
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

/// Keeps a request without an answer for longer than anybody waits.
async fn never() {
    monoio::time::sleep(Duration::from_secs(120)).await;
}

pub(crate) fn json(value: &impl Serialize) -> HttpReply {
    let body = serde_json::to_vec(value).expect("plain data has a JSON form");
    HttpReply::json(StatusCode::OK, body)
}

pub(crate) fn bad(error: &serde_json::Error) -> HttpReply {
    HttpReply::new(StatusCode::BAD_REQUEST, "text/plain", format!("{error}\n"))
}
