//! Decoding of frames from outside: any bytes are a message or an error, and never cause a panic.

use bytes::{BufMut as _, BytesMut};
use firdock_wire::auth::{NONCE_BYTES, Parties, Side, check, prove};
use firdock_wire::message::{AnswerData, HandOver, Header};
use firdock_wire::{Body, FrameCodec};
use proptest::prelude::*;
use tokio_util::codec::{Decoder as _, Encoder as _};

const MAX_FRAME_BYTES: usize = 1 << 16;

fn parties<'a>(a: &'a [u8], b: &'a [u8]) -> Parties<'a> {
    Parties {
        dialer: "a",
        dialer_nonce: a,
        acceptor: "b",
        acceptor_nonce: b,
    }
}

#[test]
fn a_proof_is_valid_for_its_key_side_and_nonces_only() {
    let (a, b) = ([1; NONCE_BYTES], [2; NONCE_BYTES]);
    let proof = prove(b"key", Side::Dialer, &parties(&a, &b));
    assert!(check(b"key", Side::Dialer, &parties(&a, &b), &proof));
    assert!(!check(b"other", Side::Dialer, &parties(&a, &b), &proof));
    assert!(!check(b"key", Side::Acceptor, &parties(&a, &b), &proof));
    assert!(!check(b"key", Side::Dialer, &parties(&b, &a), &proof));
    assert!(
        !check(b"key", Side::Dialer, &parties(&a, &a), &proof),
        "a reflected nonce"
    );
    assert!(
        !check(b"key", Side::Dialer, &parties(&a[..4], &b), &proof),
        "a short nonce"
    );
}

#[test]
fn a_frame_that_is_too_long_is_rejected_before_it_is_read() {
    let mut codec = FrameCodec::new(MAX_FRAME_BYTES);
    let mut bytes = BytesMut::new();
    bytes.put_u32(u32::MAX);
    let decoded = codec.decode(&mut bytes);
    assert!(matches!(decoded, Err(firdock_wire::WireError::Io { .. })));
    let data = vec![0; MAX_FRAME_BYTES + 1];
    let encoded = codec.encode(Body::AnswerData(AnswerData { data }), &mut BytesMut::new());
    assert!(encoded.is_err());
}

proptest! {
    #[test]
    fn any_bytes_are_decoded_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut codec = FrameCodec::new(MAX_FRAME_BYTES);
        let mut buffer = BytesMut::from(&*bytes);
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
        let mut framed = BytesMut::new();
        framed.put_u32(u32::try_from(bytes.len()).expect("a short frame"));
        framed.extend_from_slice(&bytes);
        let _ = codec.decode(&mut framed);
    }

    #[test]
    fn an_encoded_message_is_decoded_the_same_from_any_chunks(
        body in proptest::collection::vec(any::<u8>(), 0..2_000),
        name in "[a-z-]{1,20}",
        value in proptest::collection::vec(any::<u8>(), 0..40),
        cut in any::<usize>(),
    ) {
        let hand_over = HandOver {
            body,
            headers: vec![Header { name, value }],
            target: "/orders".to_owned(),
            ..HandOver::default()
        };
        let mut codec = FrameCodec::new(MAX_FRAME_BYTES);
        let mut bytes = BytesMut::new();
        codec.encode(Body::HandOver(hand_over.clone()), &mut bytes).expect("it fits");
        let tail = bytes.split_off(cut % bytes.len());
        prop_assert!(codec.decode(&mut bytes).expect("no error").is_none());
        bytes.unsplit(tail);
        prop_assert_eq!(codec.decode(&mut bytes).expect("no error"), Some(Body::HandOver(hand_over)));
    }
}
