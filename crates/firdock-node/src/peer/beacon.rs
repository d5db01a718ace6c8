//! Heartbeats by datagram, between instances that know each other by address alone.
//!
//! A datagram that is lost costs nothing, for the next one tells the same totals; a link that was
//! cut silently cannot hang. Each tells of the other instances that its sender knows, so that one
//! known address is enough to find all (see `docs/design/peers.md`).

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use firdock_policy::event::{AccountUse, Member};
use firdock_policy::{Event, Time};
use firdock_wire::message::{self, Beacon, PeerAddress};
use firdock_wire::{PROTOCOL, auth};
use prost::Message as _;
use slog::{Logger, debug, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};
use uuid::Uuid;

use super::book::PeerBook;
use super::heartbeat::{SelfNews, peer_news};
use crate::clock::Clock;
use crate::driver::Input;

/// Longest datagram that is taken.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;
/// Instances told of in one beacon; over several, chance tells of all.
const MAX_TOLD: usize = 16;
/// Limited accounts told of in one beacon.
const MAX_ACCOUNTS: usize = 256;

/// What sending and taking beacons needs.
#[derive(Debug)]
pub struct Beacons {
    /// Socket for both.
    pub socket: UdpSocket,
    /// This instance and this start of it.
    pub member: Member,
    /// Key that all instances share.
    pub key: Arc<[u8]>,
    /// The other instances.
    pub book: Arc<PeerBook>,
    /// What this instance tells of itself.
    pub news: watch::Receiver<SelfNews>,
    /// Way to the scheduler.
    pub inputs: mpsc::Sender<Input>,
    /// Pause between two beacons.
    pub pause: Duration,
    /// Clock.
    pub clock: Clock,
    /// Logger.
    pub log: Logger,
}

impl Beacons {
    /// Sends and takes beacons until `stop` turns true; a last one tells that this instance ends.
    pub async fn run(self, mut stop: watch::Receiver<bool>) {
        let mut ticks = interval(self.pause);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut known = 0;
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((len, from)) => self.take(&buffer[..len], from).await,
                    Err(e) => debug!(self.log, "heartbeat not taken"; "error" => e.to_string()),
                },
                _ = ticks.tick() => {
                    self.send().await;
                    known = self.count(known).await;
                }
                () = stopped(&mut stop) => break,
            }
        }
        self.send().await;
    }

    /// Tells the scheduler how many instances are known of, when that changed.
    async fn count(&self, before: usize) -> usize {
        let known = self.book.sweep(self.clock.now());
        if known != before {
            info!(self.log, "instances known"; "count" => known, "before" => before);
            self.tell(Event::PeersKnown(known)).await;
        }
        known
    }

    async fn send(&self) {
        let peers = self.book.addresses();
        if peers.is_empty() {
            return;
        }
        let heard = self.book.heard(self.clock.now());
        let content = self.beacon(&heard).encode_to_vec();
        let sealed = auth::seal(&self.key, &content);
        for (name, address) in peers {
            if let Err(e) = self.socket.send_to(&sealed, address).await {
                debug!(self.log, "heartbeat not sent"; "peer" => name, "error" => e.to_string());
            }
        }
    }

    fn beacon(&self, peers: &[(String, SocketAddr)]) -> Beacon {
        let news = self.news.borrow();
        let used = news.used.iter().take(MAX_ACCOUNTS);
        let start = usize::from(rand::random::<u16>()) % peers.len().max(1);
        let told = peers.iter().cycle().skip(start).take(peers.len());
        Beacon {
            protocol: PROTOCOL,
            instance: self.member.name.clone(),
            incarnation: self.member.incarnation.as_bytes().to_vec(),
            heartbeat: Some(news.message(0)),
            used: used
                .map(|u| message::AccountUse {
                    account: u.account.clone(),
                    units: u.units,
                })
                .collect(),
            peers: told
                .take(MAX_TOLD)
                .map(|(name, address)| PeerAddress {
                    instance: name.clone(),
                    address: address.to_string(),
                })
                .collect(),
        }
    }

    async fn take(&self, sealed: &[u8], from: SocketAddr) {
        let Some(beacon) = read(&self.key, sealed) else {
            warn!(self.log, "heartbeat of a stranger"; "from" => from.to_string());
            return;
        };
        if beacon.instance == self.member.name {
            return;
        }
        let now = self.clock.now();
        self.note(&beacon, from, now);
        let heartbeat = beacon.heartbeat.unwrap_or_default();
        let mut news = peer_news(&beacon.instance, heartbeat);
        news.incarnation = Uuid::from_slice(&beacon.incarnation).unwrap_or_default();
        news.used = beacon
            .used
            .into_iter()
            .take(MAX_ACCOUNTS)
            .filter(|u| u.units.is_finite())
            .map(|u| AccountUse {
                account: u.account,
                units: u.units,
            })
            .collect();
        self.tell(Event::Peer(news)).await;
    }

    /// Notes the sender and the instances that it tells of.
    fn note(&self, beacon: &Beacon, from: SocketAddr, now: Time) {
        let stopping = beacon.heartbeat.as_ref().is_some_and(|b| b.draining);
        if stopping {
            self.book.forget(&beacon.instance, now);
        } else {
            self.book.hear(&beacon.instance, from, now);
        }
        for peer in beacon.peers.iter().take(MAX_TOLD) {
            if let Ok(address) = peer.address.parse() {
                self.book.know(peer.instance.clone(), address, now);
            }
        }
    }

    async fn tell(&self, event: Event) {
        // Without a scheduler the instance is stopping, and this task with it.
        let _ = self.inputs.send(Input::Event(event)).await;
    }
}

async fn stopped(stop: &mut watch::Receiver<bool>) {
    // An error means that whoever would stop this is gone, which ends it as well.
    let _ = stop.wait_for(|s| *s).await;
}

/// Reads a beacon; `None` for one of a stranger or another protocol.
fn read(key: &[u8], sealed: &[u8]) -> Option<Beacon> {
    let content = auth::open(key, sealed)?;
    let beacon = Beacon::decode(content).ok()?;
    (beacon.protocol == PROTOCOL).then_some(beacon)
}

/// Opens the socket for beacons.
///
/// # Errors
///
/// Returns the operating system's error, such as an address in use.
pub async fn open(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}
