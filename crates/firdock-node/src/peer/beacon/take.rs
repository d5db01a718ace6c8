//! What an instance does with the datagrams that come from its peers.

use std::net::SocketAddr;
use std::time::Duration;

use firdock_policy::event::{GroupDemand, PeerNews};
use firdock_policy::{Event, Time};
use firdock_wire::PROTOCOL;
use firdock_wire::message::{Beacon, ClockAnswer, ClockQuestion, datagram};
use slog::warn;

use super::{Beacons, MAX_TOLD};
use crate::clock::millis;
use crate::input::Input;
use crate::peer::changes::EntryChanges;
use crate::peer::datagram::{open, read_incarnation, read_reads, read_relayed, read_uses, seal};
use crate::peer::heartbeat::{peer_news, read_demand};
use crate::peer::reads::Reads;
use crate::peer::relay::HeardUse;
use crate::placement::{PlacementInput, read_reply, read_report};

impl Beacons {
    /// Takes a datagram; one that is not sealed with the shared key is dropped.
    pub(super) async fn take(&self, sealed: &[u8], from: SocketAddr) {
        match open(&self.key, sealed) {
            Some(datagram::Body::Beacon(beacon)) => self.take_beacon(beacon, from).await,
            Some(datagram::Body::ClockQuestion(question)) => {
                let answer = datagram::Body::ClockAnswer(self.clock_answer(question));
                self.send_to(&seal(&self.key, answer), "", from).await;
            }
            Some(datagram::Body::ClockAnswer(answer)) => self.take_clock(&answer),
            Some(datagram::Body::EntryChanges(told)) => {
                let (peer, incarnation, changes) = EntryChanges::read(told);
                self.reads.hear_changes(&peer, incarnation, changes);
            }
            Some(datagram::Body::PlacementReport(told)) => {
                let report = Box::new(read_report(told));
                self.pass(Input::Placement(PlacementInput::Report(report, from)))
                    .await;
            }
            Some(datagram::Body::PlacementReply(told)) => {
                let reply = PlacementInput::Reply(read_reply(told));
                self.pass(Input::Placement(reply)).await;
            }
            None => warn!(self.log, "heartbeat of a stranger"; "from" => from.to_string()),
        }
    }

    fn take_clock(&self, answer: &ClockAnswer) {
        let incarnation = read_incarnation(&answer.incarnation);
        let asked = Duration::from_millis(answer.asked);
        let clock = Duration::from_millis(answer.clock);
        self.reads
            .take_clock(&answer.instance, incarnation, asked, clock);
    }

    fn clock_answer(&self, question: ClockQuestion) -> ClockAnswer {
        ClockAnswer {
            instance: self.member.name.clone(),
            incarnation: self.member.incarnation.as_bytes().to_vec(),
            asked: question.asked,
            clock: millis(self.clock.now()),
        }
    }

    async fn take_beacon(&self, beacon: Beacon, from: SocketAddr) {
        if beacon.protocol != PROTOCOL || beacon.instance == self.member.name {
            return;
        }
        let now = self.clock.now();
        if self.note(&beacon, from, now) {
            // It may not know of this one, and its turn among many would come late.
            let known = vec![(beacon.instance.clone(), from)];
            self.send_all(&known, &[], &[]).await;
        }
        let zone = beacon.heartbeat.as_ref().map_or("", |b| &b.zone);
        self.take_group(&beacon, zone, now).await;
        let heartbeat = beacon.heartbeat.unwrap_or_default();
        let mut news = peer_news(&beacon.instance, heartbeat);
        news.incarnation = read_incarnation(&beacon.incarnation);
        if let Some(reads) = beacon.reads {
            self.take_reads(&news, read_reads(reads), from).await;
        }
        self.book.note_demand(&news.name, news.demand.clone());
        news.used = read_uses(beacon.used);
        if self.book.is_own_zone(&news.zone) {
            self.relay.hear(&news.own_use(), HeardUse::FromMember);
        }
        self.tell(Event::Peer(news)).await;
        for word in read_relayed(beacon.relayed) {
            self.relay.hear(&word, HeardUse::FromLead);
            self.tell(Event::PeerUsed(word)).await;
        }
    }

    /// Takes what a lead tells of its group: of another one, its demand and how many it hears, to tell
    /// the own group; of the own one, how many are heard on the whole site.
    async fn take_group(&self, beacon: &Beacon, zone: &str, now: Time) {
        // One that stops is sent nothing any more, so that it hears hardly anyone.
        let draining = beacon.heartbeat.as_ref().is_some_and(|b| b.draining);
        if beacon.group_heard == 0 || draining {
            return;
        }
        if self.book.is_own_zone(zone) {
            self.tell(Event::Reach(beacon.site_heard as usize)).await;
        } else {
            self.book.note_group(zone, beacon.group_heard as usize, now);
            let group = GroupDemand {
                zone: zone.to_owned(),
                demand: read_demand(beacon.group_demand.clone()),
            };
            self.tell(Event::GroupDemand(group)).await;
        }
        if self.book.tells(now) {
            let count = self.book.site_heard(now);
            self.tell(Event::Reach(count)).await;
        }
    }

    /// Takes what a peer read; its clock is asked for where that is not known yet.
    async fn take_reads(&self, news: &PeerNews, told: Reads, from: SocketAddr) {
        let heard = self.reads.hear(&news.name, news.incarnation, told);
        if let Some(at) = heard.fresh {
            self.tell(Event::Fresh(at)).await;
        }
        if heard.ask_clock {
            let asked = millis(self.clock.now());
            let question = datagram::Body::ClockQuestion(ClockQuestion { asked });
            self.send_to(&seal(&self.key, question), &news.name, from)
                .await;
        }
    }

    /// Notes the sender and the instances that it tells of; tells whether the sender is new.
    fn note(&self, beacon: &Beacon, from: SocketAddr, now: Time) -> bool {
        let heartbeat = beacon.heartbeat.as_ref();
        let new = if heartbeat.is_some_and(|b| b.draining) {
            self.book.forget(&beacon.instance, now);
            false
        } else {
            let zone = heartbeat.map_or("", |b| &b.zone);
            self.book.hear(&beacon.instance, zone, from, now)
        };
        for peer in beacon.peers.iter().take(MAX_TOLD) {
            if let Ok(address) = peer.address.parse() {
                self.book.know(peer.instance.clone(), address, now);
            }
        }
        new
    }
}
