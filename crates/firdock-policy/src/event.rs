//! What the policy is told.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::prefix::BlockHash;
use firdock_core::resource::Catalog;
use firdock_core::{
    AccountId, ContentId, EndpointId, InstanceId, PoolId, RequestId, StartId, TierRank, ZoneId,
};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::load::PaceTold;
use crate::notice::NoticeTold;
use crate::request::{NewRequest, Verdict};
use crate::rollout::{Evidence, RolloutRecord, RolloutWord};
use crate::suspect::ToldSuspect;
use crate::time::{LogTime, Time};

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
    Looked(Look),
    /// An endpoint told how long work takes there now.
    Paced(PaceTold),
    /// An endpoint said with an answer that it leaves, or wants nothing for a while.
    Noticed(NoticeTold),
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
    Suspected(Vec<ToldSuspect>),
    /// An operator lets a request go again, for what ended up to a time.
    Released(ContentId, Time),
    /// A peer's heartbeat came.
    Peer(PeerNews),
    /// A lead told its counts of what all instances let pass of account limits, this one among them.
    SiteUsed(UseCounts),
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
    Fresh(Time),
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
    Rollout(RolloutWord),
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

/// What an endpoint told about a dispatch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEvent {
    /// Request.
    pub id: RequestId,
    /// Number of the dispatch, so that late news of an earlier one is told apart.
    pub dispatch: u32,
    /// The news.
    pub news: DispatchNews,
}

/// The course of a dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DispatchNews {
    /// The connect failed or the endpoint itself refused: the request did not run there.
    Refused {
        /// Whether the endpoint could not even be reached.
        unreachable: bool,
    },
    /// The key's confirmation or the configuration's freshness lapsed before the write; the
    /// request was not sent.
    Lapsed,
    /// The endpoint said meanwhile that it wants nothing new; the request was not sent.
    Withheld,
    /// The answer began.
    Started {
        /// Whether its head was passed on, so that no other answer can be given any more.
        head_sent: bool,
    },
    /// Tokens came, and have been passed on.
    Tokens {
        /// Tokens of the whole answer that have been passed on so far.
        delivered: u32,
        /// Prompt tokens that the engine took from its cache.
        cached: u32,
    },
    /// The whole answer has been passed on.
    Ended {
        /// Prompt tokens as the endpoint counted them.
        prompt: u32,
        /// Prompt tokens that the engine took from its cache.
        cached: u32,
        /// Tokens of the whole answer.
        output: u32,
    },
    /// The endpoint answered that it failed; how the dispatch ends by that is told next.
    Failed,
    /// The answer ended with its connection, so that nothing proves it whole; its end is told next.
    Unproven,
    /// The caller has a part of the answer after which no other endpoint can go on.
    Unresumable,
    /// How the dispatch comes to break, which is told next.
    Breaking(BreakCause),
    /// The connection broke or fell silent after the request was sent.
    Broke {
        /// Tokens of the whole answer that have been passed on.
        delivered: u32,
    },
}

/// How a dispatch came to break.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BreakCause {
    /// The connection ended before the answer was whole.
    Closed,
    /// Nothing came for too long.
    Silent,
    /// What came is no answer to the request.
    Foreign,
    /// The endpoint answered that it failed.
    Failed,
    /// The endpoint started again meanwhile.
    Restarted,
}

impl BreakCause {
    /// Gives the word for it in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Silent => "silent",
            Self::Foreign => "foreign",
            Self::Failed => "failed",
            Self::Restarted => "restarted",
        }
    }
}

/// What a look at an endpoint found whose connection ended early.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Look {
    /// Start of the endpoint.
    pub start: StartId,
    /// What was found.
    pub found: Found,
}

/// Whether an endpoint is still there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Found {
    /// Its address takes connections.
    Open,
    /// Its address refuses them: its process has ended.
    Ended,
    /// Its address does not answer, which says nothing of the process.
    Silent,
}

impl Found {
    /// Gives the word for it in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Ended => "ended",
            Self::Silent => "silent",
        }
    }
}

/// Load and cache changes that an endpoint published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Age of the report when it was read.
    pub age: Duration,
    /// Requests that the endpoint works on.
    pub running: u32,
    /// Requests that wait in the endpoint's own queue.
    pub waiting: u32,
    /// Prompt tokens that the endpoint has yet to compute.
    pub backlog: u32,
    /// Whether the endpoint says that it is leaving.
    pub leaving: bool,
    /// Whether cache events before these were missed.
    pub gap: bool,
    /// Blocks that came into the cache.
    pub added: Vec<BlockHash>,
    /// Blocks that were dropped from the cache.
    pub removed: Vec<BlockHash>,
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
pub struct PeerNews {
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
    pub suspects: Vec<ToldSuspect>,
}

impl PeerNews {
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

/// What one instance has let pass of account limits since its start.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerUse {
    /// The instance.
    pub name: InstanceId,
    /// Start of its process.
    pub incarnation: Uuid,
    /// Totals by account, those that changed at least.
    pub used: Vec<AccountUse>,
}

/// What the lead of a group counted of what instances let pass of account limits.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct UseCounts {
    /// The lead.
    pub lead: InstanceId,
    /// When it began to count, which tells these counts from earlier ones.
    pub began: Uuid,
    /// Whether nothing rose yet: whoever hears that knows all counts from their beginning.
    pub fresh: bool,
    /// Counts by account, those that rose at least.
    pub counts: Vec<AccountUse>,
}

/// What one instance has let pass of one account's limit since its start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountUse {
    /// Account.
    pub account: AccountId,
    /// Units of the limit.
    pub units: f64,
    /// Units that its callers asked for, with those refused for the limit.
    #[serde(default)]
    pub asked: f64,
    /// The same before callers last came after a while in which none did: what rose since then is recent,
    /// also for who did not follow the account before.
    #[serde(default, skip_serializing_if = "UseTotals::is_zero")]
    pub before: UseTotals,
}

impl AccountUse {
    /// Gives the totals without the account's name.
    #[must_use]
    pub fn totals(&self) -> UseTotals {
        UseTotals {
            units: self.units,
            asked: self.asked,
        }
    }
}

/// Totals of one account at one instance since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct UseTotals {
    /// Units of the limit that were let pass.
    pub units: f64,
    /// Units that callers asked for.
    pub asked: f64,
}

impl UseTotals {
    /// Gives the totals with the account's name.
    #[must_use]
    pub fn named(self, account: AccountId) -> AccountUse {
        AccountUse {
            account,
            units: self.units,
            asked: self.asked,
            before: UseTotals::default(),
        }
    }
}

/// Demand of one instance for the endpoints of one pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolDemand {
    /// Pool, or a service without a split, which stands for the endpoints that name it.
    #[serde(rename = "service")] // As recorded sessions name it.
    pub pool: PoolId,
    /// Requests a second, with those held.
    pub rate: f64,
}

/// Demand of the instances of one availability zone.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupDemand {
    /// Availability zone.
    pub zone: ZoneId,
    /// Demand by pool.
    pub demand: Vec<PoolDemand>,
}

/// What the endpoints of one group did lately for accounts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupWork {
    /// Availability zone.
    pub zone: ZoneId,
    /// Work by pool and account.
    pub work: Vec<AccountWork>,
}

/// What one account asked for and had of one pool lately, in requests of one rank.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AccountWork {
    /// Account.
    pub account: AccountId,
    /// Pool.
    pub pool: PoolId,
    /// Declared rank of the requests.
    pub rank: TierRank,
    /// Work that was asked for, in seconds that it takes on an endpoint as declared.
    pub asked: f64,
    /// Work that is done, likewise.
    pub done: f64,
}

/// What the instances of one availability zone saw of roll-outs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupEvidence {
    /// Availability zone.
    pub zone: ZoneId,
    /// What they saw, by roll-out.
    pub seen: Vec<Evidence>,
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
