//! Commands to the engine as a whole, and the export and import of KV caches.

use firdock_node::endpoint::FencedCommand;
use hyper::body::Incoming;
use hyper::{Request, Response};
use uuid::Uuid;

use super::{MAX_KV, Shared};
use crate::web::{self, Reply};

pub(super) fn export_kv(id: &str, shared: &Shared) -> Response<Reply> {
    let state = shared.lock();
    let found = Uuid::parse_str(id)
        .ok()
        .and_then(|id| state.running.get(&id));
    match found {
        Some(r) => Response::new(Reply::whole(r.call.prompt.clone())),
        None => web::status(404, "no such request"),
    }
}

pub(super) async fn import_kv(
    id: &str,
    request: Request<Incoming>,
    shared: &Shared,
) -> Response<Reply> {
    let body = web::read(request.into_body()).await;
    let (Ok(id), Some(body)) = (Uuid::parse_str(id), body) else {
        return web::status(
            400,
            "malformed request id, or incomplete or oversized cache",
        );
    };
    let mut state = shared.lock();
    state.kv.push_back((id, body));
    if state.kv.len() > MAX_KV {
        state.kv.pop_front();
    }
    web::status(200, "imported")
}

pub(super) async fn handle_command(request: Request<Incoming>, shared: &Shared) -> Response<Reply> {
    use firdock_node::endpoint::EngineCommand;
    let Some(command) = web::read_json::<FencedCommand>(request.into_body()).await else {
        return web::status(400, "malformed or unknown command");
    };
    let mut state = shared.lock();
    if command.fence <= state.fence {
        return web::status(409, "a command with the same or a later fence was received");
    }
    state.fence = command.fence;
    match command.order {
        EngineCommand::Leave => state.refuse_work = true,
        EngineCommand::Stay => state.refuse_work = false,
        EngineCommand::LoadModel(_) => {}
    }
    web::status(200, "done")
}
