//! Queue of the parts of an answer that its caller has not read, and the bytes that they count for.

use std::collections::VecDeque;

use bytes::BytesMut;

use super::AnswerPart;

/// Size in bytes up to which queued parts are joined into one.
///
/// A small part may keep a whole read buffer of its connection alive. Once joined, parts take about the memory
/// that they count for. Larger joined parts would be copied repeatedly as they grow.
const JOINED_BYTES: usize = 16 << 10;
/// Bytes counted for the head of an answer, whose headers are short.
const HEAD_BYTES: usize = 512;

/// Returns the bytes that a queued part counts for.
pub(super) fn cost(part: &AnswerPart) -> usize {
    match part {
        AnswerPart::Head(_) => HEAD_BYTES,
        AnswerPart::Data(bytes) => bytes.len(),
        _ => 0,
    }
}

/// A queued part.
#[derive(Debug)]
enum Waiting {
    Single(AnswerPart),
    /// Joined data of several parts.
    Joined(BytesMut),
}

/// Queued parts, in order.
#[derive(Debug, Default)]
pub(super) struct WaitingParts(VecDeque<Waiting>);

impl WaitingParts {
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Appends a part.
    pub(super) fn push(&mut self, part: AnswerPart) {
        self.0.push_back(Waiting::Single(part));
    }

    /// Appends a part; joins it with the data at the end of the queue if possible.
    pub(super) fn join(&mut self, part: AnswerPart) {
        let bytes = match part {
            AnswerPart::Data(bytes) if bytes.len() <= JOINED_BYTES => bytes,
            other => return self.push(other),
        };
        match self.0.back_mut() {
            Some(Waiting::Joined(joined)) if joined.len() + bytes.len() <= JOINED_BYTES => {
                joined.extend_from_slice(&bytes);
            }
            Some(Waiting::Single(AnswerPart::Data(_)) | Waiting::Joined(_)) => {
                self.0.push_back(Waiting::Joined(BytesMut::from(&*bytes)));
            }
            _ => self.push(AnswerPart::Data(bytes)),
        }
    }

    pub(super) fn pop(&mut self) -> Option<AnswerPart> {
        self.0.pop_front().map(|waiting| match waiting {
            Waiting::Single(part) => part,
            Waiting::Joined(joined) => AnswerPart::Data(joined.freeze()),
        })
    }
}
