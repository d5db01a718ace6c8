//! Type aliases for the ids that are used across crates.
//!
//! Aliases make signatures descriptive without conversions between crates, as the style guide requires
//! (see `docs/design/style.md`).

use uuid::Uuid;

/// Id of one request at one entry instance, generated at the ingress.
pub type RequestId = Uuid;
/// Name of an entry instance, as in the platform's instance list and the settings.
pub type InstanceId = String;
/// Name of an endpoint: a model engine or a plain application server.
pub type EndpointId = String;
/// Name of one start of an endpoint: its id, and the start time if the platform reports it.
pub type StartId = String;
/// Name of a client account.
pub type AccountId = String;
/// Name of a service, to which requests are matched.
pub type ServiceId = String;
/// Name of a pool: a set of endpoints that accept the same work.
pub type PoolId = String;
/// Version of the software that an endpoint runs, as reported by the endpoint; empty if not reported.
pub type SoftwareVersion = String;
/// Id that an account gives a segment of its prompts, such as instructions that many of them begin with.
pub type SegmentId = String;
/// Name of a tier.
pub type TierId = String;
/// Name of an availability zone.
pub type ZoneId = String;
/// Rank of a tier: 0 is served first and shed last.
pub type TierRank = u8;
/// Position of a record in the platform's log, counted from 0.
pub type Offset = u64;
/// Largest offset that messages may name: software that speaks JSON may round larger numbers.
pub const MAX_OFFSET: Offset = (1 << 53) - 1;
/// Version of a resource: the offset of the record that set it, plus one; 0 if the resource is absent.
pub type Version = u64;
