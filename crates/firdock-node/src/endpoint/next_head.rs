//! Recognizes the head of another answer in a body that ends with its connection.
//!
//! An endpoint in trouble may send a second answer after a whole one. Where neither a length nor chunks delimit the first one,
//! its reader would take the second for a part of it. The first one ends where the head of the second begins, as if the
//! connection had been closed there.

use bytes::{Bytes, BytesMut};
use hyper::header::HeaderName;

use crate::http::{ANSWER_START, is_prefix};

/// Length of a status line up to its reason: `HTTP/1.1 200`.
const STATUS_BYTES: usize = 12;
/// Longest part of a body that is held back while it may be a head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// What bytes that begin like a status line are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HeadMatch {
    Head,
    Incomplete,
    Plain,
}

/// Looks for a head that names a request, in a field that each answer has.
#[derive(Debug)]
pub(super) struct NextHead {
    id_field: HeaderName,
    held: BytesMut,
    found: bool,
}

impl NextHead {
    pub(super) fn new(id_field: HeaderName) -> Self {
        Self {
            id_field,
            held: BytesMut::new(),
            found: false,
        }
    }

    /// Adds bytes of the body, and returns those that are certainly a part of it.
    pub(super) fn push(&mut self, bytes: Bytes) -> Bytes {
        if self.held.is_empty() && find_start(&bytes).is_none() {
            return bytes;
        }
        self.held.extend_from_slice(&bytes);
        let mut from = 0;
        while let Some(at) = find_start(&self.held[from..]).map(|at| from + at) {
            match match_head(&self.held[at..], &self.id_field) {
                HeadMatch::Plain => from = at + 1,
                HeadMatch::Incomplete => return self.held.split_to(at).freeze(),
                HeadMatch::Head => {
                    self.found = true;
                    return self.held.split_to(at).freeze();
                }
            }
        }
        self.held.split().freeze()
    }

    /// Whether another head has begun.
    pub(super) fn is_found(&self) -> bool {
        self.found
    }

    /// Returns the bytes that are held back when the connection closes; `None` if there are none. A status line begins
    /// another answer also if its head is not whole.
    pub(super) fn finish(&mut self) -> Option<Bytes> {
        let held = self.held.split().freeze();
        let has_status_line = held.windows(2).any(|pair| pair == b"\r\n");
        (!held.is_empty() && !has_status_line).then_some(held)
    }
}

/// Returns where bytes begin like a status line, as far as they go.
fn find_start(bytes: &[u8]) -> Option<usize> {
    let starts = bytes
        .iter()
        .enumerate()
        .filter(|(_, b)| **b == ANSWER_START[0]);
    let mut starts = starts.map(|(at, _)| at);
    starts.find(|at| is_prefix(&bytes[*at..], ANSWER_START))
}

fn match_head(bytes: &[u8], id_field: &HeaderName) -> HeadMatch {
    if !is_status(bytes) || bytes.len() > MAX_HEAD_BYTES {
        return HeadMatch::Plain;
    }
    let mut rest = bytes;
    let mut has_status = false;
    while let Some(end) = rest.iter().position(|b| *b == b'\n') {
        let Some(line) = rest[..end].strip_suffix(b"\r") else {
            return HeadMatch::Plain;
        };
        if has_status {
            match line.iter().position(|b| *b == b':') {
                Some(at) if line[..at].eq_ignore_ascii_case(id_field.as_str().as_bytes()) => {
                    return HeadMatch::Head;
                }
                Some(_) => {}
                None => return HeadMatch::Plain,
            }
        }
        has_status = true;
        rest = &rest[end + 1..];
    }
    HeadMatch::Incomplete
}

/// Returns whether bytes begin like a status line, as far as they go.
fn is_status(bytes: &[u8]) -> bool {
    let is_valid = |(at, byte): (usize, &u8)| match at {
        0..7 => *byte == ANSWER_START[at],
        7 | 9..STATUS_BYTES => byte.is_ascii_digit(),
        8 => *byte == b' ',
        _ => true,
    };
    let after = bytes.get(STATUS_BYTES);
    let is_ended = after.is_none_or(|b| matches!(b, b' ' | b'\r'));
    is_ended && bytes.iter().take(STATUS_BYTES).enumerate().all(is_valid)
}
