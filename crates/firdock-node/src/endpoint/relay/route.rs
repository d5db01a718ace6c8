//! Opens the connection of a dispatch, over the instance's own link or through a peer.

use std::time::Duration;

use firdock_core::InstanceId;
use firdock_policy::action::Route;
use firdock_policy::event::{ConnectFailure, DispatchUpdate};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::either::Either;

use super::{Dialect, Relay};
use crate::endpoint::run::DispatchRun;
use crate::http::{CallError, Connection, Connector, connect_stream};
use crate::peer::{TunnelError, TunnelStream};

/// Time after which a connection over the own link is tried through a peer as well. Within a region a
/// connection takes some milliseconds; one whose first packet was lost takes a second.
const DIRECT_PATIENCE: Duration = Duration::from_millis(150);

/// A connection over the own link, or through a peer.
type EndpointStream = Either<TcpStream, TunnelStream>;

/// Why a dispatch has no connection. Nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OpenFailure {
    /// The endpoint could not be reached.
    Unreachable,
    /// The route's peer did not pass the connection on.
    Peer,
}

impl OpenFailure {
    /// Reports the failure to the scheduler. Returns the result for the trace.
    pub(super) async fn report(self, run: &DispatchRun) -> &'static str {
        match self {
            Self::Unreachable => run.report_not_run(true).await,
            Self::Peer => {
                run.report(DispatchUpdate::NotPassedOn).await;
                "not-passed-on"
            }
        }
    }
}

impl<D: Dialect, C: Connector> Relay<D, C> {
    /// Opens a connection to the endpoint of a dispatch.
    pub(super) async fn open(&self, run: &DispatchRun) -> Result<Connection, OpenFailure> {
        let stream = match &run.dispatch.route {
            Route::Direct => match self.connect(run).await {
                Ok(stream) => Either::Left(stream),
                Err(e) => {
                    report_failure(run, &e).await;
                    return Err(OpenFailure::Unreachable);
                }
            },
            Route::DirectOr(peer) => self.connect_or_tunnel(run, peer).await?,
            Route::Through(peer) => self.tunnel(run, peer).await?,
        };
        let opened = Connection::open(stream).await;
        opened.map_err(|_lost| OpenFailure::Unreachable)
    }

    async fn connect(&self, run: &DispatchRun) -> Result<TcpStream, CallError> {
        connect_stream(&self.connector, run.target.address, self.connect_timeout).await
    }

    /// Connects over the own link, and through a peer if that fails or takes long. The connection that
    /// is established first is used.
    async fn connect_or_tunnel(
        &self,
        run: &DispatchRun,
        peer: &InstanceId,
    ) -> Result<EndpointStream, OpenFailure> {
        let mut connecting = Box::pin(self.connect(run));
        match timeout(DIRECT_PATIENCE, &mut connecting).await {
            Ok(Ok(stream)) => return Ok(Either::Left(stream)),
            Ok(Err(e)) => {
                report_failure(run, &e).await;
                return self.tunnel(run, peer).await;
            }
            Err(_) => {}
        }
        let mut opening = Box::pin(self.open_tunnel(run, peer));
        tokio::select! {
            biased;
            direct = &mut connecting => match direct {
                Ok(stream) => Ok(Either::Left(stream)),
                Err(e) => {
                    report_failure(run, &e).await;
                    report_passed_on(run, opening.await).await
                }
            },
            opened = &mut opening => match opened {
                Ok(stream) => {
                    let slow = DispatchUpdate::ConnectFailed(ConnectFailure::TimedOut);
                    run.report(slow).await;
                    report_passed_on(run, Ok(stream)).await
                }
                Err(failure) => {
                    let direct = connecting.await;
                    if let Err(e) = &direct {
                        report_failure(run, e).await;
                    }
                    direct.map(Either::Left).map_err(|_reported| failure)
                }
            },
        }
    }

    async fn tunnel(
        &self,
        run: &DispatchRun,
        peer: &InstanceId,
    ) -> Result<EndpointStream, OpenFailure> {
        report_passed_on(run, self.open_tunnel(run, peer).await).await
    }

    async fn open_tunnel(
        &self,
        run: &DispatchRun,
        peer: &InstanceId,
    ) -> Result<TunnelStream, OpenFailure> {
        let opened = self.tunnels.open(peer, &run.target, run.id()).await;
        opened.map_err(|e| match e {
            TunnelError::Unreachable { .. } => OpenFailure::Unreachable,
            TunnelError::Peer { .. } => OpenFailure::Peer,
        })
    }
}

/// Reports that the connection goes through the route's peer, if it was opened.
async fn report_passed_on(
    run: &DispatchRun,
    opened: Result<TunnelStream, OpenFailure>,
) -> Result<EndpointStream, OpenFailure> {
    if opened.is_ok() {
        run.report(DispatchUpdate::PassedOn).await;
    }
    opened.map(Either::Right)
}

/// Reports why the own link gave no connection.
async fn report_failure(run: &DispatchRun, error: &CallError) {
    if let Some(cause) = error.connect_failure() {
        run.report(DispatchUpdate::ConnectFailed(cause)).await;
    }
}
