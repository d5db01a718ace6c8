//! Dispatches by firdock's own protocol for engines, and by plain HTTP for servers.

use std::time::Duration;

use firdock_core::resource::EndpointKind;
use firdock_core::{InstanceId, RequestId};
use tokio::net::TcpStream;

use super::run::DispatchRun;
use super::{Dispatcher, EngineClient, PlainClient, Target, run_engine, run_plain};
use crate::answer_cache::AnswerCache;
use crate::http::{CallError, TcpConnector, connect_stream};
use crate::peer::{TunnelError, TunnelStream};
use crate::site::EndpointLocation;

/// The adapters for engines and servers, with the answers kept for repeated requests.
#[derive(Debug, Clone)]
pub struct DirectDispatcher<E, P> {
    engine: E,
    plain: P,
    answer_cache: AnswerCache,
    connect_timeout: Duration,
}

impl<E, P> DirectDispatcher<E, P> {
    /// Creates a dispatcher from its adapters, with a time limit for connecting.
    #[must_use]
    pub fn new(engine: E, plain: P, answer_cache: AnswerCache, connect_timeout: Duration) -> Self {
        Self {
            engine,
            plain,
            answer_cache,
            connect_timeout,
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

    async fn connect(&self, location: EndpointLocation) -> Result<TcpStream, CallError> {
        connect_stream(&TcpConnector, location.address, self.connect_timeout).await
    }

    /// Connects nowhere: the own interface sends no requests through peers.
    async fn connect_through(
        &self,
        peer: &InstanceId,
        _target: &Target,
        _id: RequestId,
    ) -> Result<TunnelStream, TunnelError> {
        let peer = peer.clone();
        Err(TunnelError::Peer { peer })
    }

    async fn cancel(&self, location: EndpointLocation, id: RequestId, dispatch: u32) {
        if location.backend == EndpointKind::Engine {
            self.engine.cancel(location.address, id, dispatch).await;
        }
    }
}
