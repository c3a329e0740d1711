//! HTTP replies to callers and operators: results as JSON, failures as problem details
//! (RFC 9457).

use gannetridge_entry_core::ChangeAnswer;
use gannetridge_entry_wire::peer::ConfigDoc;
use gannetridge_entry_wire::{Answer, FailureCause, Rejection, RunStatus};
use gannetridge_net::message::PROBLEM_JSON;
use gannetridge_net::HttpReply;
use http::StatusCode;
use serde::Serialize;

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Problem<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'a str,
    status: u16,
    #[serde(skip_serializing_if = "Option::is_none")]
    ran: Option<RunStatus>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<serde_json::Value>,
    #[serde(skip_serializing_if = "Option::is_none")]
    theirs: Option<&'a ConfigDoc>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    faults: Vec<String>,
}

impl<'a> Problem<'a> {
    fn new(status: StatusCode, kind: &str, title: &'a str) -> Self {
        Self {
            kind: format!("urn:gannetridge:{kind}"),
            title,
            status: status.as_u16(),
            ran: None,
            retry_after_ms: None,
            reason: None,
            theirs: None,
            faults: Vec::new(),
        }
    }

    fn reply(self) -> HttpReply {
        let status = StatusCode::from_u16(self.status).expect("made from a status");
        let retry_after_s = self.retry_after_ms.map(|ms| ms.div_ceil(1_000));
        let body = serde_json::to_vec(&self).expect("plain data has a JSON form");
        let mut reply = HttpReply::new(status, PROBLEM_JSON, body);
        reply.retry_after_s = retry_after_s;
        reply
    }
}

fn to_json_value(value: &impl Serialize) -> Option<serde_json::Value> {
    serde_json::to_value(value).ok()
}

/// Returns the HTTP reply for the answer to a submission.
#[must_use]
pub fn answer_reply(answer: &Answer) -> HttpReply {
    match answer {
        Answer::Complete { .. } => {
            let body = serde_json::to_vec(answer).expect("plain data has a JSON form");
            HttpReply::json(StatusCode::OK, body)
        }
        Answer::Failed { cause, ran } => {
            let status = match cause {
                FailureCause::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
                _ => StatusCode::BAD_GATEWAY,
            };
            let mut problem = Problem::new(status, "job-failed", "The job has failed for good");
            problem.reason = to_json_value(cause);
            problem.ran = Some(*ran);
            problem.reply()
        }
        Answer::Refused {
            reason,
            retry_after_ms,
        } => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let mut problem = Problem::new(status, "not-run", "The request was not run");
            problem.reason = to_json_value(reason);
            problem.ran = Some(RunStatus::NotRun);
            problem.retry_after_ms = Some(*retry_after_ms);
            problem.reply()
        }
        Answer::Pending { retry_after_ms } => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let title = "The outcome isn't known here yet; send the same id again";
            let mut problem = Problem::new(status, "outcome-pending", title);
            problem.ran = Some(RunStatus::Unknown);
            problem.retry_after_ms = Some(*retry_after_ms);
            problem.reply()
        }
        Answer::Rejected { reason } => {
            let status = match reason {
                Rejection::ContentsDiffer => StatusCode::CONFLICT,
                _ => StatusCode::UNPROCESSABLE_ENTITY,
            };
            let mut problem = Problem::new(status, "rejected", "The request can't be accepted");
            problem.reason = to_json_value(reason);
            problem.reply()
        }
    }
}

#[derive(Serialize)]
struct Accepted {
    version: u64,
}

/// Returns the HTTP reply for the answer to an operator's change.
#[must_use]
pub fn change_reply(answer: &ChangeAnswer) -> HttpReply {
    match answer {
        ChangeAnswer::Accepted { version } => {
            let accepted = Accepted { version: *version };
            let body = serde_json::to_vec(&accepted).expect("plain data has a JSON form");
            HttpReply::json(StatusCode::OK, body)
        }
        ChangeAnswer::Faulty(faults) => {
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            let mut problem = Problem::new(status, "faulty-document", "The document has faults");
            problem.faults = faults.0.iter().map(ToString::to_string).collect();
            problem.reply()
        }
        ChangeAnswer::Conflict { theirs } => {
            let title = "The document was changed since it was read";
            let mut problem = Problem::new(StatusCode::CONFLICT, "conflict", title);
            problem.theirs = theirs.as_ref();
            problem.reply()
        }
        ChangeAnswer::Unavailable => {
            let title = "The platform's table can't be reached; nothing was written";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Problem::new(status, "table-unavailable", title).reply()
        }
        ChangeAnswer::Unresolved => {
            let title = "The write may have taken place; send the same change again";
            Problem::new(StatusCode::GATEWAY_TIMEOUT, "unresolved", title).reply()
        }
    }
}

/// Returns a problem with only a kind and a title.
#[must_use]
pub fn simple(status: StatusCode, kind: &str, title: &str) -> HttpReply {
    Problem::new(status, kind, title).reply()
}

/// Returns a problem with status 400 and a reason.
#[must_use]
pub fn bad_request(kind: &str, title: &str, reason: &str) -> HttpReply {
    let mut problem = Problem::new(StatusCode::BAD_REQUEST, kind, title);
    problem.reason = Some(reason.into());
    problem.reply()
}
