//! Actions that answer callers.

use std::sync::Arc;

use firdock_core::{Outcome, Reason, RequestId};
use firdock_policy::Verdict;

use super::Driver;
use crate::endpoint::Dispatcher;
use crate::exchange::{AnswerPart, SendResult};

impl<B: Dispatcher> Driver<B> {
    pub(super) fn answer(&self, id: RequestId, verdict: Verdict) {
        if let Some(request) = self.active.get(&id) {
            let (now, t) = (self.parts.clock.now(), self.scheduler.tables());
            self.decisions
                .verdict(now, t, request.log_context(), verdict);
        }
        self.reply(id, AnswerPart::Verdict(verdict));
    }

    pub(super) fn cut(&self, id: RequestId, reason: Reason) {
        if let Some(request) = self.active.get(&id) {
            let now = self.parts.clock.now();
            self.decisions.cut(now, request.log_context(), reason);
        }
        self.reply(id, AnswerPart::Cut);
    }

    /// Sends the caller the failed answer that was kept from the last endpoint.
    pub(super) fn forward_failure(&self, id: RequestId) {
        let Some(request) = self.active.get(&id) else {
            return;
        };
        let failure = request.exchange.delivered().failure.take();
        let Some(failure) = failure else {
            return;
        };
        let now = self.parts.clock.now();
        self.decisions
            .failure_forwarded(now, request.log_context(), failure.head.status);
        self.reply(id, AnswerPart::Head(failure.head));
        self.reply(id, AnswerPart::Data(failure.body));
        self.reply(id, AnswerPart::End);
    }

    pub(super) fn replay(&self, id: RequestId, earlier: RequestId) {
        let Some(answer) = self.parts.answer_cache.get(earlier) else {
            let verdict = Verdict {
                outcome: Outcome::Unknown,
                reason: Reason::KeyUncertain,
                retry_after: None,
            };
            self.reply(id, AnswerPart::Verdict(verdict));
            return;
        };
        self.reply(id, AnswerPart::Head(answer.head.clone()));
        self.reply(id, AnswerPart::Data(answer.body()));
        self.reply(id, AnswerPart::End);
    }

    pub(super) fn reply(&self, id: RequestId, part: AnswerPart) {
        let Some(request) = self.active.get(&id) else {
            return;
        };
        if let SendResult::Full(part) = request.exchange.reply.try_send(part) {
            let exchange = Arc::clone(&request.exchange);
            self.parts
                .runtime
                .spawn(async move { exchange.reply.send(part).await });
        }
    }
}
