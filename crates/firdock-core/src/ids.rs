//! Type aliases for the ids that cross crate borders.
//!
//! Aliases keep signatures telling without conversions at each border, as the house style asks
//! (see `docs/design/style.md`).

use uuid::Uuid;

/// Id of one request at one entry instance, generated at the ingress.
pub type RequestId = Uuid;
/// Name of an entry instance, as the platform's instance list and the settings give it.
pub type InstanceId = String;
/// Name of an endpoint: a model engine or a plain application server.
pub type EndpointId = String;
/// Name of one start of an endpoint: its id, and the time of the start where the platform tells it.
pub type StartId = String;
/// Name of a client account.
pub type AccountId = String;
/// Name of a service, which requests are matched to.
pub type ServiceId = String;
/// Name of a pool: endpoints that take the same work.
pub type PoolId = String;
/// Version of the software that an endpoint runs, as the endpoint tells it; empty where it does not.
pub type SoftwareVersion = String;
/// Name of a tier.
pub type TierId = String;
/// Name of an availability zone.
pub type ZoneId = String;
/// Rank of a tier: 0 is served first and shed last.
pub type TierRank = u8;
/// Position of a record in the platform's log, counted from 0.
pub type Offset = u64;
/// Version of a resource: the offset of the record that set it, plus one; 0 means "absent".
pub type Version = u64;
