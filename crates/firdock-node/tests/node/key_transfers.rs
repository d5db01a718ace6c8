//! Transfers of idempotency keys between two instances, over sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use firdock_node::clock::Clock;
use firdock_node::config::Hub;
use firdock_node::ingress::BodyHasher;
use firdock_node::peer::{Dialer, Link, PeerServer, serve_peers, transfer_keys};
use firdock_node::platform::ListedRow;
use firdock_node::telemetry::discard_logger;
use firdock_node::{AnswerBudget, BodyBudget, Input};
use firdock_policy::Event;
use firdock_policy::event::KeyTransfer;
use firdock_state::{MemberEntry, State};
use firdock_wire::Body;
use firdock_wire::message::KeysAccepted;
use tokio::net::TcpListener;
use tokio::sync::mpsc::error::TryRecvError;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use uuid::Uuid;

const KEY: &str = "a key that both share";
const OLD_OWNER: &str = "node-1";
const NEW_OWNER: &str = "node-0";
const LIMIT: Duration = Duration::from_secs(20);

fn transfer() -> KeyTransfer {
    KeyTransfer {
        incarnation: Uuid::from_u128(1),
        view: 3,
        keys: vec![7],
        known: Vec::new(),
    }
}

/// Returns the dialer of the old owner, which knows the new one by the instance list.
fn dialer(new_owner: SocketAddr) -> Dialer {
    let hub = Arc::new(Hub::default());
    let row = ListedRow {
        name: NEW_OWNER.to_owned(),
        zone: "zone-a".to_owned(),
        peers: Some(new_owner),
        leaving: false,
    };
    hub.update(|h| h.listed = Some(vec![row]));
    Dialer::new(OLD_OWNER.to_owned(), KEY, hub)
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Accepts a connection and receives a transfer on it.
async fn receive(listener: &TcpListener) -> Link {
    let (stream, _) = listener.accept().await.expect("a connection");
    let accepted = Link::accept(stream, NEW_OWNER, KEY.as_bytes(), |_| true).await;
    let mut link = accepted.expect("a link");
    let received = link.receive().await.expect("a frame");
    assert!(matches!(received, Some(Body::KeyTransfer(_))));
    link
}

// Guards against keys that nobody holds: a receiver that cut the sender off, or that ended, was taken to have
// accepted them, and answered requests with any key of that owner as `key-uncertain` from then on.
#[tokio::test]
async fn a_transfer_that_is_cut_off_is_sent_again() {
    let (listener, address) = listener().await;
    let sending = tokio::spawn(transfer_keys(
        dialer(address),
        NEW_OWNER.to_owned(),
        transfer(),
    ));
    drop(receive(&listener).await);
    let again = timeout(LIMIT, receive(&listener)).await;
    let mut link = again.expect("the transfer is sent again");
    let accepted = Body::KeysAccepted(KeysAccepted {});
    link.send(accepted).await.expect("the sender waits");
    assert!(sending.await.expect("no panic"));
}

/// Starts the new owner's server; it has read the log, in which the old owner is a member.
async fn start_new_owner(listed: Option<Vec<ListedRow>>) -> (SocketAddr, mpsc::Receiver<Input>) {
    let (listener, address) = listener().await;
    let member = MemberEntry {
        name: OLD_OWNER.to_owned(),
        incarnation: Uuid::from_u128(1),
    };
    let hub = Arc::new(Hub::default());
    hub.update(|h| {
        h.listed = listed;
        h.state = Arc::new(State {
            members: vec![member],
            ..State::new()
        });
    });
    let (inputs, received) = mpsc::channel(1);
    let server = PeerServer {
        dialer: Dialer::new(NEW_OWNER.to_owned(), KEY, hub),
        inputs,
        clock: Clock::new(),
        log: discard_logger(),
        answer_budget: AnswerBudget::default(),
        body_budget: BodyBudget::default(),
        hasher: BodyHasher::default(),
    };
    let (stop, stops) = watch::channel(false);
    tokio::spawn(async move {
        serve_peers(listener, server, stops).await;
        drop(stop);
    });
    (address, received)
}

// Guards against an instance that cuts its peers off while it has not read the instance list yet, and answers
// requests with a key as `key-uncertain` although their owners are known and reach it.
#[tokio::test]
async fn an_instance_that_has_not_read_the_list_accepts_keys_of_members() {
    let (address, mut received) = start_new_owner(None).await;
    let sent = transfer_keys(dialer(address), NEW_OWNER.to_owned(), transfer()).await;
    assert!(sent);
    let input = received.try_recv().expect("the keys were received");
    assert!(matches!(input, Input::Event(Event::KeyTransfer(t)) if t == transfer()));
}

#[tokio::test]
async fn a_member_that_the_list_does_not_show_is_cut_off() {
    let (address, mut received) = start_new_owner(Some(Vec::new())).await;
    let dialed = dialer(address).dial(NEW_OWNER, address).await;
    let mut link = dialed.expect("the key is the same");
    let received_back = timeout(LIMIT, link.receive()).await;
    assert!(!matches!(received_back, Ok(Ok(Some(_))) | Err(_)));
    assert_eq!(received.try_recv().err(), Some(TryRecvError::Empty));
}
