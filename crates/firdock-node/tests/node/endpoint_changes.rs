//! What a dispatch is told of changes of its endpoint that follow each other.

use firdock_node::endpoint::run::EndpointChange::{
    self, Closed, EndAccepted, EndRejected, Restarted, Unchanged,
};

const FINAL: [EndpointChange; 3] = [Restarted, EndAccepted, EndRejected];

/// Guards against a part of an answer that ends like a complete one, since the endpoint closed to new requests right after the
/// verdict that its answer is broken, and the dispatch read the later change alone.
#[test]
fn a_verdict_is_not_hidden_by_a_later_change() {
    for told in FINAL {
        for next in [Closed, Restarted, EndAccepted, EndRejected] {
            assert_eq!(told.followed_by(next), told, "{told:?}, then {next:?}");
        }
    }
    for earlier in [Unchanged, Closed] {
        for next in FINAL {
            assert_eq!(
                earlier.followed_by(next),
                next,
                "{earlier:?}, then {next:?}"
            );
        }
    }
    assert_eq!(Unchanged.followed_by(Closed), Closed);
}
