//! Identity of a request: it does not depend on the pieces in which a body is hashed.

use firdock_core::rendezvous::{KeyHasher, hash_key};
use firdock_core::{Content, ContentHasher};
use proptest::prelude::*;

proptest! {
    /// Instances of the version before hash a body at once: another identity of the same request would let it run on
    /// beside them after it ended endpoints.
    #[test]
    fn pieces_of_a_body_hash_as_the_whole(
        body in prop::collection::vec(any::<u8>(), 0..2_000),
        piece in 1..700_usize,
    ) {
        let whole = Content::new("shop", "POST", "/once?a=1", &body);
        let mut content = ContentHasher::new("shop", "POST", "/once?a=1");
        let mut key = KeyHasher::default();
        for piece in body.chunks(piece) {
            content.update(piece);
            key.update(piece);
        }
        prop_assert_eq!(content.finish(), whole);
        prop_assert_eq!(key.finish(), hash_key(&body));
    }
}
