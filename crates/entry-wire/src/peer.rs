//! What entry hosts say to each other.

use serde::{Deserialize, Serialize};

use crate::platform::TargetList;
use crate::{Answer, Epoch, HostId, Submission, SubmissionId, Time};
use gannetridge_wire::Name;

/// A config document as it stands in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ConfigDoc {
    /// `template/x`, `account/x` or `hall/x`.
    pub key: Name,
    /// The configuration's version with which the document came into force.
    pub version: u64,
    /// The document, TOML.
    pub text: Name,
    /// The latest changes of the document, newest first.
    pub changes: Vec<Name>,
}

/// All documents in force at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ConfigSnapshot {
    /// The version, which grows with each accepted change.
    pub version: u64,
    /// The documents, by key.
    pub docs: Vec<ConfigDoc>,
}

impl ConfigSnapshot {
    /// Returns the snapshot as it is once `doc`, new or changed, is part of
    /// it. Its version is then the document's.
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

/// What a host could lend, told with every reply that leaves it anyway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Spare {
    /// Slots that the host could lend for tasks within their quotas.
    pub free: u32,
    /// Slots that it could lend for any task.
    pub surplus: u32,
    /// True while tasks of its own wait for slots.
    pub waits: bool,
}

/// What hosts tell each other once a heartbeat, in both directions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// The sender.
    pub host: HostId,
    /// The sender's hall.
    pub hall: Name,
    /// Where the sender is reached.
    pub address: Name,
    /// The configuration's version in force at the sender.
    pub config_version: u64,
    /// The shards of the sender's hall that it holds, with their epochs.
    pub shards: Vec<(u16, Epoch)>,
    /// What the sender could lend, and whether it needs slots itself.
    pub spare: Spare,
    /// The slots that each account uses: through the sender, if the receiver
    /// is of its hall, or through all of the sender's hall.
    pub usage: Vec<(Name, u32)>,
    /// Targets that the sender knows to be leaving.
    pub leaving: Vec<Name>,
    /// True once the sender will never again take a shard over.
    pub resigned: bool,
}

/// Asks a peer not to take over a holder's shards for a while.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PromiseRequest {
    /// The holder, as the hall's row names it.
    pub holder: HostId,
    /// The end of the promise, on the clock of the peer that gives it.
    pub until: Time,
}

/// Slots of one target that a peer may fill.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Grant {
    /// The target.
    pub target: Name,
    /// The number of slots.
    pub count: u32,
}

/// What an owner remembers of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LedgerRecord {
    /// The account.
    pub account: Name,
    /// The submission.
    pub submission: SubmissionId,
    /// The digest of its contents.
    pub digest: u128,
    /// The answer, final or a refusal; none while the job runs at the sender.
    pub answer: Option<Answer>,
    /// The greatest count of sendings seen.
    pub attempt: u32,
    /// The job's deadline.
    pub deadline: Time,
}

/// A host that may take over from a holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TakeoverCandidate {
    /// The host.
    pub id: HostId,
    /// Where it was reached. A later run there proves that this one ended.
    pub address: Name,
}

/// A host's promise not to take over before a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CandidatePromise {
    /// The host that promised.
    pub taker: HostId,
    /// The end of the promise.
    pub until: Time,
}

/// The right to start a shard's submissions, on its way to another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Handover {
    /// The host that may accept; another incarnation of it may not.
    pub to: HostId,
    /// The sender.
    pub from: HostId,
    /// Unique among the sender's handovers.
    pub serial: u64,
    /// The shard's index in the sender's and receiver's hall.
    pub shard: u16,
    /// The holder that the hall's row names.
    pub holder: HostId,
    /// Where the holder was reached; empty if the sender doesn't know.
    pub holder_address: Name,
    /// The epoch in force.
    pub epoch: Epoch,
    /// The lowest epoch that may still start tasks.
    pub fence: Epoch,
    /// Ids created up to this time may have been started by a lost owner.
    pub cutoff: Time,
    /// When the sender's right ends. A handover that comes later proves
    /// nothing.
    pub valid_until: Time,
    /// The end of the holder's lease in the table.
    pub table_until: Time,
    /// The latest time to which promises may extend the lease.
    pub promise_limit: Time,
    /// The hosts that may take over from the holder, less the sender.
    pub takers: Vec<TakeoverCandidate>,
    /// What those hosts have promised so far.
    pub promises: Vec<CandidatePromise>,
    /// No later run of the holder takes its shards over before this time.
    pub heir_until: Time,
    /// What the sender remembers.
    pub records: Vec<LedgerRecord>,
}

/// A request from one entry host to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerRequest {
    /// Passes a submission to the holder of its shard.
    Submit {
        /// The sender.
        from: HostId,
        /// Unique among the sender's requests. A copy that comes late must
        /// not start what the first one didn't.
        serial: u64,
        /// True if the sender passed the submission to a holder before and
        /// doesn't know what became of it.
        again: bool,
        /// The submission.
        submission: Submission,
    },
    /// Exchanges status, and asks for promises.
    Heartbeat {
        /// The sender's status.
        status: Status,
        /// The promises asked for.
        promises: Vec<PromiseRequest>,
    },
    /// Asks for free slots. The question waits at the receiver until there
    /// are some to lend.
    Borrow {
        /// Where the sender is reached.
        from: Name,
        /// How many slots would be used.
        count: u32,
        /// True if the tasks are beyond their accounts' quotas.
        over_quota: bool,
        /// When the sender's first waiting job is due; of several questions
        /// that wait, the one that is due first gets the next slots.
        due: Time,
        /// How long the question may wait, in ms.
        wait_ms: u64,
    },
    /// Gives borrowed slots back.
    Return {
        /// The loan, as its lender numbered it.
        loan: u64,
        /// Slots of each target given back so far, in all.
        returned: Vec<Grant>,
    },
    /// Hands a shard over.
    Handover(Box<Handover>),
    /// Tells what became of submissions of a shard that was handed over.
    Update {
        /// What the sender remembers.
        records: Vec<LedgerRecord>,
    },
    /// Asks for a newer configuration.
    ConfigPull {
        /// The version in force at the sender.
        have: u64,
        /// True if the sender knows no targets yet.
        want_list: bool,
    },
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerReply {
    /// The answer to a submission.
    Answer {
        /// The answer.
        answer: Answer,
        /// What the receiver could lend when it answered.
        spare: Spare,
    },
    /// The receiver doesn't hold the shard; nothing was done.
    NotHolder {
        /// Where the shard went, if the receiver knows.
        address: Option<Name>,
    },
    /// The receiver's status, and the promises that it gives.
    Heartbeat {
        /// The receiver's status.
        status: Status,
        /// The promises given.
        promised: Vec<PromiseRequest>,
    },
    /// Slots lent, none if `grants` is empty.
    Lent {
        /// The lender's number of the loan.
        loan: u64,
        /// The slots.
        grants: Vec<Grant>,
        /// No task may be started on a lent slot after this time.
        until: Time,
        /// What the sender could lend beyond these.
        spare: Spare,
    },
    /// The request is done.
    Done,
    /// The request is declined and nothing was done; a shard that was offered
    /// stays with the sender.
    Declined,
    /// What the sender asked for, as far as the receiver has it.
    Config {
        /// A newer configuration.
        snapshot: Option<ConfigSnapshot>,
        /// The platform's list as the receiver last read it.
        list: Option<TargetList>,
    },
    /// The handover was meant for an earlier incarnation of the receiver.
    NotAddressee,
    /// The receiver doesn't speak the sender's protocol, or couldn't read it.
    Unreadable,
}
