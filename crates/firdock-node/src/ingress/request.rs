//! Conversion of requests for the policy, the same for requests of callers and those handed over by peers.

use std::sync::Arc;

use firdock_core::EndpointId;
use firdock_core::prefix::{block_hashes, estimate_tokens};
use firdock_policy::{NewRequest, Origin};

use crate::exchange::{Exchange, Payload};

/// Converts a request for the policy.
#[must_use]
pub fn new_request(exchange: &Exchange, origin: Origin, tried: Vec<EndpointId>) -> NewRequest {
    let payload = &exchange.payload;
    let model = payload.model.as_ref();
    let terms = &payload.terms;
    NewRequest {
        id: exchange.id,
        service: payload.service.clone(),
        account: payload.account.clone(),
        prompt_tokens: model.map_or(terms.prompt_tokens, |m| estimate_tokens(m.prompt.len())),
        output_tokens: model.map_or(terms.output_tokens, |m| m.max_tokens),
        blocks: model.map_or_else(Vec::new, |m| block_hashes(m.prompt.as_bytes())),
        bytes: occupied_bytes(payload),
        key: exchange.claim,
        origin,
        tried,
        deadline: terms.deadline,
        draw: terms.draw,
        content: Some(Arc::clone(&exchange.content)),
        segments: exchange.segments.clone(),
        stream_origin: terms.stream_origin.clone(),
        ..NewRequest::default()
    }
}

/// Memory of a request besides its body, in bytes.
const ROW_BYTES: usize = 1_024;

/// Returns how often a body is in memory: a parsed model call has its prompt and its fields beside it.
pub(super) fn copies(parsed: bool) -> usize {
    if parsed { 3 } else { 1 }
}

/// Estimates the memory of a request: a fixed overhead and its body.
pub(super) fn memory_bytes(copies: usize, length: usize) -> usize {
    ROW_BYTES.saturating_add(copies.saturating_mul(length))
}

/// Estimates the memory of a request that has been read.
pub(crate) fn occupied_bytes(payload: &Payload) -> usize {
    memory_bytes(copies(payload.model.is_some()), payload.body.len())
}
