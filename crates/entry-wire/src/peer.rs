//! Messages between entry hosts.

use serde::{Deserialize, Serialize};

use crate::platform::TargetList;
use crate::{Answer, Epoch, HostId, Submission, SubmissionId, Time};
use gannetridge_wire::Name;

/// A configuration document as stored in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ConfigDoc {
    /// `template/NAME`, `account/NAME` or `hall/NAME`.
    pub key: Name,
    /// The version of the configuration at which this text came into force.
    pub version: u64,
    /// The document's TOML text.
    pub text: Name,
    /// The ids of the document's latest changes, newest first. They make a
    /// repeated change recognisable.
    pub changes: Vec<Name>,
}

/// All documents in force at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ConfigSnapshot {
    /// Grows with each accepted change.
    pub version: u64,
    /// The documents, in the order of their keys.
    pub docs: Vec<ConfigDoc>,
}

impl ConfigSnapshot {
    /// Returns a copy in which `doc` is added or replaces the document with its
    /// key. The copy has the version of `doc`.
    #[must_use]
    pub fn with_doc(&self, doc: ConfigDoc) -> Self {
        let others = self.docs.iter().filter(|d| d.key != doc.key);
        let mut docs: Vec<ConfigDoc> = others.cloned().collect();
        let version = doc.version;
        docs.push(doc);
        docs.sort_by(|a, b| a.key.cmp(&b.key));
        Self { version, docs }
    }
}

/// The free slots that a host can lend, sent along with other messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LendableSlots {
    /// Slots that it can lend for tasks within their accounts' quotas.
    pub free: u32,
    /// Slots that it can lend for tasks beyond their accounts' quotas.
    pub surplus: u32,
    /// True while the host needs slots itself.
    pub waits: bool,
}

/// The status that hosts exchange with each heartbeat, in both directions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// The sending incarnation.
    pub host: HostId,
    /// The sender's hall.
    pub hall: Name,
    /// The sender's address for peers.
    pub address: Name,
    /// The version of the configuration in force at the sender.
    pub config_version: u64,
    /// The shards of its hall that the sender holds, with their epochs.
    pub shards: Vec<(u16, Epoch)>,
    /// The slots that the sender can lend or needs.
    pub spare: LendableSlots,
    /// The slots in use by each account: through the sender alone if the
    /// receiver is in the same hall, else through the sender's whole hall.
    pub usage: Vec<(Name, u32)>,
    /// The targets that the sender knows to be leaving.
    pub leaving: Vec<Name>,
    /// True once the sender will never take over a shard again.
    pub resigned: bool,
}

/// Asks a peer not to take over a holder's shards until a given time. As a
/// reply, it confirms the promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PromiseRequest {
    /// The holder named in the hall's row.
    pub holder: HostId,
    /// The end of the promise, on the clock of the peer that gives it.
    pub until: Time,
}

/// Slots of one target that a borrower may use or gives back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Grant {
    /// The target's name in the platform's list.
    pub target: Name,
    /// The number of slots.
    pub count: u32,
}

/// The ledger's entry of a submission, as sent to another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LedgerRecord {
    /// Part of the entry's key, since accounts may choose the same id.
    pub account: Name,
    /// The id that the caller chose.
    pub submission: SubmissionId,
    /// The digest of the contents, which detects a reuse of the id.
    pub digest: u128,
    /// The final answer or a refusal; none while the job runs at the sender or
    /// at another host.
    pub answer: Option<Answer>,
    /// The greatest attempt number received.
    pub attempt: u32,
    /// The time after which the caller has no use for an answer.
    pub deadline: Time,
}

/// A host that may take over a holder's shards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TakeoverCandidate {
    /// One incarnation of the host.
    pub id: HostId,
    /// Its last known address, or empty. A later incarnation at this address
    /// proves that this one has ended.
    pub address: Name,
}

/// A candidate's promise not to take over before a given time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CandidatePromise {
    /// The host that promised.
    pub taker: HostId,
    /// The end of the promise.
    pub until: Time,
}

/// Transfers the right to start a shard's submissions to another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Handover {
    /// The only incarnation that may accept.
    pub to: HostId,
    /// The sending incarnation.
    pub from: HostId,
    /// Unique among the sender's handovers.
    pub serial: u64,
    /// The shard's index in the hall of both hosts.
    pub shard: u16,
    /// The holder named in the hall's row.
    pub holder: HostId,
    /// The holder's last known address, or empty.
    pub holder_address: Name,
    /// The shard's current epoch.
    pub epoch: Epoch,
    /// The lowest epoch that may still start tasks.
    pub fence: Epoch,
    /// Submissions whose ids were created up to this time may have been started
    /// by a lost owner.
    pub cutoff: Time,
    /// When the sender's right to start tasks ends; zero if it has expired. A
    /// handover that arrives later doesn't transfer that right.
    pub valid_until: Time,
    /// The end of the holder's lease in the platform's table.
    pub table_until: Time,
    /// The latest time to which promises may extend the lease.
    pub promise_limit: Time,
    /// The hosts that may take over from the holder, except the sender.
    pub takers: Vec<TakeoverCandidate>,
    /// The promises received from those hosts so far.
    pub promises: Vec<CandidatePromise>,
    /// No later incarnation of the holder takes over its shards before this
    /// time.
    pub heir_until: Time,
    /// The sender's ledger entries for the shard.
    pub records: Vec<LedgerRecord>,
}

/// A request from one entry host to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerRequest {
    /// Forwards a submission to the holder of its shard.
    Submit {
        /// The forwarding host.
        from: HostId,
        /// Unique among the sender's forwarded submissions. A delayed
        /// duplicate of the message must not start the job.
        serial: u64,
        /// True if the sender forwarded the submission before and doesn't know
        /// the outcome.
        again: bool,
        /// The submission as the caller sent it.
        submission: Submission,
    },
    /// Exchanges statuses and asks for promises.
    Heartbeat {
        /// The sender's current status.
        status: Status,
        /// The requested promises.
        promises: Vec<PromiseRequest>,
    },
    /// Asks for free slots. The request queues at the receiver until it can
    /// lend some.
    Borrow {
        /// The sender's address for peers.
        from: Name,
        /// The number of slots that the sender can use.
        count: u32,
        /// True if the tasks exceed their accounts' quotas.
        over_quota: bool,
        /// When the sender's first waiting job is due. Queued requests are
        /// served in this order, those over quota last.
        due: Time,
        /// How long the request may queue, in ms.
        wait_ms: u64,
    },
    /// Returns borrowed slots.
    Return {
        /// The lender's number of the loan.
        loan: u64,
        /// The total slots of each target returned so far, so that a repeated
        /// message counts once.
        returned: Vec<Grant>,
    },
    /// Hands over a shard.
    Handover(Box<Handover>),
    /// Reports the outcomes of submissions of a shard that was handed over.
    Update {
        /// The sender's ledger entries.
        records: Vec<LedgerRecord>,
    },
    /// Asks for a newer configuration, and for the list of targets if needed.
    ConfigPull {
        /// The version in force at the sender.
        have: u64,
        /// True if the sender has no list of targets yet.
        want_list: bool,
    },
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerReply {
    /// Answers a forwarded submission.
    Answer {
        /// The answer for the caller.
        answer: Answer,
        /// The slots that the replying host could lend at that time.
        spare: LendableSlots,
    },
    /// The replying host did nothing: it doesn't hold the shard, or has received
    /// the request before.
    NotHolder {
        /// The address of another host that may hold the shard, if known.
        address: Option<Name>,
    },
    /// Answers a heartbeat.
    Heartbeat {
        /// The status of the replying host.
        status: Status,
        /// The promises that it gives.
        promised: Vec<PromiseRequest>,
    },
    /// Answers a request for slots.
    Lent {
        /// The lender's number of the loan.
        loan: u64,
        /// The lent slots; empty if there are none to lend.
        grants: Vec<Grant>,
        /// No task may be started on a lent slot after this time.
        until: Time,
        /// The slots that the lender can lend beyond these.
        spare: LendableSlots,
    },
    /// The request was carried out.
    Done,
    /// The request was declined and nothing was done; an offered shard stays
    /// with the sender.
    Declined,
    /// Answers a request for configuration.
    Config {
        /// The configuration, if a newer one is in force.
        snapshot: Option<ConfigSnapshot>,
        /// The list of targets as last read from the platform, if requested and
        /// known.
        list: Option<TargetList>,
    },
    /// The handover is addressed to another incarnation of the host.
    NotAddressee,
    /// The request has an unsupported protocol version or couldn't be decoded.
    Unreadable,
}
