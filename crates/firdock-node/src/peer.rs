//! Communication between instances: authentication, heartbeats, request hand-over and state
//! transfer.
//!
//! Each hand-over uses its own connection, so that a slow reader blocks no other request and
//! closing the connection cancels the request (see `docs/design/peers.md`).

mod beacon;
mod datagram;
mod dial;
mod directory;
mod hand_over;
mod heartbeat;
mod keys;
mod limits;
mod link;
mod parts;
mod reads;
mod rollouts;
mod send_times;
mod serve;
mod sharing;
mod state;
mod streams;
mod suspects;
mod topic;
mod tunnel;

pub use beacon::{AppliedRecords, BeaconService, BeaconTargets, bind_socket as bind_beacon_socket};
pub use datagram::{read_incarnation, seal};
pub use dial::{DialError, Dialer};
pub use directory::{
    HeartbeatOutcome, Millicores, PeerDirectory, PeerInfo, PeerRecord, PeerRelation, ReadRole,
    ReadTurn,
};
pub use hand_over::{HandOverOrder, hand_over, read_reason};
pub use heartbeat::{SelfStatus, run_heartbeats};
pub use keys::transfer_keys;
pub use limits::{read_limits, write_limits};
pub use link::{Link, LinkError};
pub use parts::{
    InvalidPart, MissingParts, PART_BYTES, PartialReplies, StateId, count_parts, state_part,
};
pub use reads::{
    DueReads, EchoedRead, MergeOutcome, ReadEcho, ReadReason, ReadState, SharedReads, TopicStatus,
};
pub use send_times::SendTimes;
pub use serve::{PeerServer, serve_peers};
pub use sharing::{PeerProcess, StateQuery, StateReply, StoreSnapshot};
pub use state::fetch_state;
pub use topic::{KeyedRecord, Topic, TopicRecords, TopicSnapshot};
pub use tunnel::{
    OpenTunnels, TunnelBroken, TunnelClient, TunnelError, TunnelServer, TunnelStream,
};

use std::time::Duration;

/// Maximum size of a frame between peers; a frame may carry a request with its body.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// Timeout for connecting to a peer and completing the handshake.
pub const HANDSHAKE_TIME: Duration = Duration::from_secs(1);
