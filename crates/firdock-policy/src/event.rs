//! Events: the inputs of the policy.

mod endpoint;
mod totals;

use std::sync::Arc;
use std::time::Duration;

use firdock_core::resource::Catalog;
use firdock_core::{ContentId, EndpointId, InstanceId, RequestId, StartId, ZoneId};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::action::is_false;
use crate::bodies::WantedRoom;
use crate::load::PaceReport;
use crate::notice::NoticeReport;
use crate::permit::{LimitReport, PermitGrant, PermitHolder, PermitRequest};
use crate::request::{NewRequest, Verdict};
use crate::rollout::{Evidence, RolloutRecord, RolloutStatus};
use crate::suspect::SuspectReport;
use crate::table::build_history::ServedBuild;
use crate::time::{LogTime, Time};

pub use endpoint::{
    BreakCause, ConnectFailure, DispatchUpdate, EndEvidence, EndVerdict, EndpointEvent, HeadFault,
    LinkProbe, Liveness, LivenessResult, LoadReport,
};
pub use totals::{
    AccountUse, AccountWork, FragilePoolReport, GroupDemand, GroupEvidence, GroupWork, PeerUse,
    PoolDemand, PoolLinks, UseCounts, UseTotals,
};

/// An event that the policy reacts to.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A request arrived.
    Arrived(NewRequest),
    /// The configuration in force does not admit a request as it was admitted.
    AccessChanged(RequestId),
    /// The caller disconnected.
    CallerLeft(RequestId),
    /// An endpoint reported the progress of a dispatch.
    Endpoint(EndpointEvent),
    /// The result of a liveness check of an endpoint.
    #[serde(rename = "looked")]
    LivenessChecked(LivenessResult),
    /// The result of a liveness check by way of a peer.
    LivenessCheckedThrough(LivenessResult),
    /// The connections by which an endpoint is watched were opened or closed.
    Watched(WatchUpdate),
    /// A link to an endpoint was probed.
    LinkProbed(LinkProbe),
    /// An endpoint reported its current pace.
    #[serde(rename = "paced")]
    PaceReported(PaceReport),
    /// An endpoint announced with an answer that it is leaving, or asked for a back-off.
    #[serde(rename = "noticed")]
    NoticeReported(NoticeReport),
    /// The rate limits of endpoints that this instance's own scheduler knows, for its coordinator.
    LimitsReported(Vec<LimitReport>),
    /// The fragile pools that this instance's own scheduler knows, for its coordinator.
    FragilePoolsReported(Vec<FragilePoolReport>),
    /// A scheduler requests permits for endpoints that this instance grants them for.
    PermitsRequested(PermitHolder, Vec<PermitRequest>),
    /// Permits were granted.
    PermitsGranted(Vec<PermitGrant>),
    /// An endpoint reported its load and cache.
    Report(LoadReport),
    /// An endpoint's report could not be read.
    ReportMissed(EndpointId),
    /// The configuration in force changed.
    Config(Arc<Catalog>),
    /// The membership view changed.
    View(MemberView),
    /// Another member transferred keys that it used to own and this instance now owns.
    KeyTransfer(KeyTransfer),
    /// The log was read up to its end.
    LogRead(LogReading),
    /// The instance list was read.
    Listed(Vec<ListedInstance>),
    /// Suspects reported by a source other than a peer: the platform's store, or an instance's own
    /// tables on behalf of those it coordinates with.
    #[serde(rename = "suspected")]
    SuspectsReported(Vec<SuspectReport>),
    /// An operator released a request from exits up to a time.
    Released(ContentId, Time),
    /// A peer's heartbeat arrived.
    Peer(PeerUpdate),
    /// A lead reported its counts of what all instances, including this one, admitted under account
    /// limits.
    #[serde(rename = "site-used")]
    SiteUseReported(UseCounts),
    /// The link to a peer broke.
    PeerLost(InstanceId),
    /// The number of other instances known, whether or not they have sent heartbeats.
    PeersKnown(usize),
    /// The lead of another group reported its demand.
    GroupDemand(GroupDemand),
    /// The lead of another group reported the work of its endpoints for accounts.
    GroupWork(GroupWork),
    /// The number of instances, including this one, that the leads of all groups receive heartbeats
    /// from.
    Reach(usize),
    /// The configuration in force was the newest at this time.
    #[serde(rename = "fresh")]
    ConfigConfirmed(Time),
    /// Whether an instance responds that places this instance's requests on engines.
    Coordinated(bool),
    /// The coordinator placed a request on an engine.
    Granted(Grant),
    /// The coordinator gave a request up; it ran nowhere.
    NotGranted(RequestId, Verdict),
    /// For a coordinator: a member already runs this request, which another coordinator had placed.
    Adopted(NewRequest, StartId),
    /// A peer reported the progress of a hand-over.
    HandOver(HandOverEvent),
    /// A peer reported the status of a roll-out.
    Rollout(RolloutStatus),
    /// The lead of another group reported its group's evidence on roll-outs.
    GroupEvidence(GroupEvidence),
    /// The state of a roll-out as recorded in the platform's store.
    Recorded(RolloutRecord),
    /// The builds that served before this instance started, as recorded in the platform's store.
    BuildsRecorded(Vec<ServedBuild>),
    /// Entries of endpoints were renewed.
    EntriesRenewed(Vec<RenewedEntry>),
    /// Whether this instance leads the site and decides on roll-outs.
    Decides(bool),
    /// A body that waits unread lacks room, which requests held of lower tiers may free.
    RoomWanted(WantedRoom),
    /// The instance should stop.
    Drain,
    /// Unix time at zero of this process's clock, as read now. It grows when the clock stood still while the time of day
    /// went on, and differs while that is stepped.
    UnixZeroRead(Duration),
    /// The time for the planned stop is over: all requests get their final answers.
    DrainExpired,
    /// Periodic timer.
    Timer,
}

/// Placement of a request on an engine by a coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Request.
    pub id: RequestId,
    /// Start of the engine.
    pub endpoint: StartId,
    /// Time to the first token that the coordinator expects; it knows more about the engine than
    /// the instance that asked. Zero if it was not reported.
    #[serde(default, skip_serializing_if = "Time::is_zero")]
    pub predicted: Time,
    /// Whether the coordinator used a permit for it, because the engine has a rate limit.
    #[serde(default, skip_serializing_if = "is_false")]
    pub permitted: bool,
}

/// One start of an instance, distinct from earlier starts under the same name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub name: InstanceId,
    /// Generated at the start of the process; state of an earlier process is lost.
    pub incarnation: Uuid,
}

/// Members according to the log, in force since the time of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Time of the record that created the view, by the log's clock.
    pub since: LogTime,
    /// Number of the view; it increases.
    pub number: u64,
    /// Whether no view was in force before this one.
    pub first: bool,
    /// Members.
    pub members: Vec<Member>,
}

/// A read of the log that reached its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogReading {
    /// The log's clock at the response.
    pub log_time: LogTime,
    /// This process's clock when the read was sent.
    pub sent: Time,
}

/// Entry of the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name.
    pub name: String,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Change of the connections without requests by which an endpoint is watched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchUpdate {
    /// Endpoint, whichever of its starts has the address.
    pub endpoint: EndpointId,
    /// What happened.
    pub change: WatchChange,
}

/// What happened to connections without requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WatchChange {
    /// The first one was opened at this time. From then on the same process has the address until they close.
    Opened(Time),
    /// None could be opened, or this instance gave them up.
    Ended,
    /// The endpoint closed all that were open.
    Closed,
}

/// Entry that a start of an endpoint wrote after the entries had been read before: its first one or another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewedEntry {
    /// The start.
    pub start: StartId,
    /// It wrote the entry later than this.
    pub after: Time,
}

/// Start of an endpoint that another one may have replaced, as its entry is older than a broken connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnconfirmedStart {
    /// The start.
    pub start: StartId,
    /// When it last showed that it was alive.
    pub since: Time,
    /// When a connection to it was last seen to break.
    pub last_break: Time,
}

/// Contents of a peer's heartbeat.
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
    /// Rate limits of endpoints that it knows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitReport>,
    /// Whether it passes connections to endpoints on.
    #[serde(default, skip_serializing_if = "is_false")]
    pub passes_on: bool,
    /// Its own links to endpoints.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub links: Vec<PoolLinks>,
    /// Pools that it knows to be fragile.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub fragile: Vec<FragilePoolReport>,
    /// Starts of endpoints that it cannot confirm.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unconfirmed: Vec<UnconfirmedStart>,
    /// Start of the peer's process; totals do not continue across starts.
    #[serde(default, skip_serializing_if = "Uuid::is_nil")]
    pub incarnation: Uuid,
    /// What it has admitted for accounts with limits since its start.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub used: Vec<AccountUse>,
    /// Its evidence on roll-outs since their orders.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub seen: Vec<Evidence>,
    /// Suspects that changed recently, and others in rotation.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectReport>,
}

impl PeerUpdate {
    /// Returns what the peer admitted under account limits.
    #[must_use]
    pub fn own_use(&self) -> PeerUse {
        PeerUse {
            name: self.name.clone(),
            incarnation: self.incarnation,
            used: self.used.clone(),
        }
    }
}

/// Progress of a hand-over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HandOverEvent {
    /// The peer refused the request or could not be reached; it ran nowhere there.
    Refused(HandOverRefusal),
    /// The head of the answer arrived through the peer.
    Started(RequestId),
    /// The complete answer arrived through the peer.
    Ended(RequestId),
    /// The peer's final answer was `unknown`.
    Unknown(RequestId, Verdict),
    /// The link broke after the request was sent.
    Broke(RequestId),
}

/// Refusal of a request by a peer, or failure to reach it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOverRefusal {
    /// Request.
    pub id: RequestId,
    /// The peer's verdict; `None` if it could not be reached.
    pub verdict: Option<Verdict>,
    /// Starts of endpoints to which the peer dispatched the request and which refused it.
    pub tried: Vec<StartId>,
}

/// Keys of a member that another member now owns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyTransfer {
    /// Start of the member that transfers them.
    pub incarnation: Uuid,
    /// Number of the newest view that it has applied.
    pub view: u64,
    /// Keys that it ran or is running, or that were transferred to it, and that the receiver owns
    /// in that view.
    pub keys: Vec<u64>,
    /// Transfers that it knows of.
    pub known: Vec<KnownTransfer>,
}

/// Record of a transfer of keys between two members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownTransfer {
    /// Start of the member that transferred them.
    pub from: Uuid,
    /// Start of the member that received them.
    pub to: Uuid,
    /// Number of the newest view that the sender had applied.
    pub view: u64,
}
