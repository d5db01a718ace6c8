//! What the policy is told.

mod endpoint;
mod totals;

use std::sync::Arc;

use firdock_core::resource::Catalog;
use firdock_core::{ContentId, EndpointId, InstanceId, RequestId, StartId, ZoneId};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::load::PaceReport;
use crate::notice::NoticeReport;
use crate::request::{NewRequest, Verdict};
use crate::rollout::{Evidence, RolloutRecord, RolloutStatus};
use crate::suspect::SuspectReport;
use crate::time::{LogTime, Time};

pub use endpoint::{
    BreakCause, DispatchUpdate, EndpointEvent, Liveness, LivenessResult, LoadReport,
};
pub use totals::{
    AccountUse, AccountWork, GroupDemand, GroupEvidence, GroupWork, PeerUse, PoolDemand, UseCounts,
    UseTotals,
};

/// One thing that happened.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A request arrived.
    Arrived(NewRequest),
    /// The caller went away.
    CallerLeft(RequestId),
    /// An endpoint told something about a dispatch.
    Endpoint(EndpointEvent),
    /// It was looked whether an endpoint is still there.
    #[serde(rename = "looked")]
    LivenessChecked(LivenessResult),
    /// An endpoint told how long work takes there now.
    #[serde(rename = "paced")]
    PaceReported(PaceReport),
    /// An endpoint said with an answer that it leaves, or wants nothing for a while.
    #[serde(rename = "noticed")]
    NoticeReported(NoticeReport),
    /// An endpoint reported its load and cache.
    Report(LoadReport),
    /// An endpoint's report could not be had.
    ReportMissed(EndpointId),
    /// The configuration in force changed.
    Config(Arc<Catalog>),
    /// The member view changed.
    View(MemberView),
    /// Another member transferred keys that it owned and this instance owns now.
    KeyTransfer(KeyTransfer),
    /// The log was read up to its end.
    LogRead(LogReading),
    /// The instance list was read.
    Listed(Vec<ListedInstance>),
    /// Someone else than a peer tells of requests under which endpoints ended: the platform's store, or an
    /// instance's own tables to those with which it coordinates.
    #[serde(rename = "suspected")]
    SuspectsReported(Vec<SuspectReport>),
    /// An operator lets a request go again, for what ended up to a time.
    Released(ContentId, Time),
    /// A peer's heartbeat came.
    Peer(PeerUpdate),
    /// A lead told its counts of what all instances let pass of account limits, this one among them.
    #[serde(rename = "site-used")]
    SiteUseReported(UseCounts),
    /// The link to a peer broke.
    PeerLost(InstanceId),
    /// So many other instances are known of, whether heard from or not.
    PeersKnown(usize),
    /// The lead of another group told of its demand.
    GroupDemand(GroupDemand),
    /// The lead of another group told what its endpoints did for accounts.
    GroupWork(GroupWork),
    /// The leads of all groups hear so many instances, this one among them.
    Reach(usize),
    /// The configuration in force was the newest at this time.
    #[serde(rename = "fresh")]
    ConfigConfirmed(Time),
    /// Whether an instance answers that places this instance's requests on engines.
    Coordinated(bool),
    /// The coordinator gave a request a place on an engine.
    Granted(Grant),
    /// The coordinator gave a request up, which ran nowhere.
    NotGranted(RequestId, Verdict),
    /// To a coordinator: a member already runs this request, which another one had placed.
    Adopted(NewRequest, StartId),
    /// A peer told something about a hand-over.
    HandOver(HandOverEvent),
    /// A peer told how far a roll-out is.
    Rollout(RolloutStatus),
    /// The lead of another group told what its group saw of roll-outs.
    GroupEvidence(GroupEvidence),
    /// The platform's store has this of a roll-out.
    Recorded(RolloutRecord),
    /// Whether this instance leads the site, and decides on roll-outs.
    Decides(bool),
    /// The instance is to stop.
    Drain,
    /// Time passed.
    Timer,
}

/// A place on an engine that a coordinator gave to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Request.
    pub id: RequestId,
    /// Start of the engine.
    pub endpoint: StartId,
    /// Time to the first token that the coordinator expects, which knows more of the engine than the
    /// instance that asked; zero where it told none.
    #[serde(default, skip_serializing_if = "Time::is_zero")]
    pub predicted: Time,
}

/// One start of an instance, told apart from earlier starts under the same name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub name: InstanceId,
    /// Minted at the start of the process: what an earlier process knew is lost.
    pub incarnation: Uuid,
}

/// Members by the log, in force since a record's time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Time of the record that made the view, by the log's clock.
    pub since: LogTime,
    /// Number of the view, greater for each later one.
    pub number: u64,
    /// Whether no view was in force before this one.
    pub first: bool,
    /// Members.
    pub members: Vec<Member>,
}

/// A read of the log that reached its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogReading {
    /// The log's clock when it answered.
    pub log_time: LogTime,
    /// This process's clock when the read was sent.
    pub sent: Time,
}

/// One row of the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name.
    pub name: String,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What a peer tells of itself.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// Peer.
    pub name: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests that it holds, by rank of tier.
    pub held: Vec<u32>,
    /// Its demand for each pool.
    pub demand: Vec<PoolDemand>,
    /// Whether it is stopping.
    pub draining: bool,
    /// Starts of endpoints that it knows to be leaving.
    pub leaving: Vec<StartId>,
    /// Start of the peer's process: totals of an earlier one do not go on.
    #[serde(default, skip_serializing_if = "Uuid::is_nil")]
    pub incarnation: Uuid,
    /// What it has let pass of limited accounts since its start.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub used: Vec<AccountUse>,
    /// What it saw of roll-outs since their orders.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub seen: Vec<Evidence>,
    /// Requests under which endpoints ended, those of which something is new or whose turn it is.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectReport>,
}

impl PeerUpdate {
    /// Gives what the peer let pass of account limits.
    #[must_use]
    pub fn own_use(&self) -> PeerUse {
        PeerUse {
            name: self.name.clone(),
            incarnation: self.incarnation,
            used: self.used.clone(),
        }
    }
}

/// What became of a hand-over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HandOverEvent {
    /// The peer did not take the request, or was not reached; it ran nowhere there.
    Refused(HandOverRefusal),
    /// The head of the answer came through the peer.
    Started(RequestId),
    /// The whole answer came through the peer.
    Ended(RequestId),
    /// The peer gave `unknown` as its final answer.
    Unknown(RequestId, Verdict),
    /// The link broke after the request was sent.
    Broke(RequestId),
}

/// A peer did not take a request, or was not reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOverRefusal {
    /// Request.
    pub id: RequestId,
    /// What the peer said; `None` where it was not reached.
    pub verdict: Option<Verdict>,
    /// Starts of endpoints that the peer dispatched it to and that refused it.
    pub tried: Vec<StartId>,
}

/// The keys of a member that another owns now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyTransfer {
    /// Start of the member that transfers them.
    pub incarnation: Uuid,
    /// Number of the newest view that it has folded.
    pub view: u64,
    /// Keys that it ran or is running, or that others transferred to it, and that the receiver
    /// owns in that view.
    pub keys: Vec<u64>,
    /// Transfers that it knows of.
    pub known: Vec<KnownTransfer>,
}

/// That a member transferred its keys to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownTransfer {
    /// Start of the member that transferred them.
    pub from: Uuid,
    /// Start of the member that received them.
    pub to: Uuid,
    /// Number of the newest view that the sender had folded.
    pub view: u64,
}
