//! Dispatches by firdock's own protocol for engines, and by plain HTTP for servers.

use firdock_core::RequestId;
use firdock_core::resource::EndpointKind;

use super::run::DispatchRun;
use super::{Dispatcher, EngineClient, PlainClient, run_engine, run_plain};
use crate::answer_cache::AnswerCache;
use crate::site::EndpointLocation;

/// The adapters for engines and servers, with the answers kept for repeated requests.
#[derive(Debug, Clone)]
pub struct DirectDispatcher<E, P> {
    engine: E,
    plain: P,
    answer_cache: AnswerCache,
}

impl<E, P> DirectDispatcher<E, P> {
    /// Creates a dispatcher from its adapters.
    #[must_use]
    pub fn new(engine: E, plain: P, answer_cache: AnswerCache) -> Self {
        Self {
            engine,
            plain,
            answer_cache,
        }
    }
}

impl<E: EngineClient, P: PlainClient> Dispatcher for DirectDispatcher<E, P> {
    async fn run(&self, location: EndpointLocation, run: DispatchRun) -> &'static str {
        match location.backend {
            EndpointKind::Engine => run_engine::run(self.engine.clone(), run).await,
            EndpointKind::Plain => {
                run_plain::run(self.plain.clone(), run, self.answer_cache.clone()).await
            }
        }
    }

    /// Connects nowhere: the own interface sends no requests through peers, and probes no links.
    async fn probe(&self, _location: EndpointLocation) -> bool {
        true
    }

    async fn cancel(&self, location: EndpointLocation, id: RequestId, dispatch: u32) {
        if location.backend == EndpointKind::Engine {
            self.engine.cancel(location.address, id, dispatch).await;
        }
    }
}
