//! Handling of datagrams received from peers.

use std::net::SocketAddr;
use std::time::Duration;

use firdock_policy::event::{GroupDemand, GroupEvidence, GroupWork, PeerUpdate, UseCounts};
use firdock_policy::{Event, Time};
use firdock_wire::PROTOCOL;
use firdock_wire::message::{
    Beacon, ClockAnswer, ClockQuestion, PeerAddress, StateAnswer, datagram,
};
use slog::warn;

use super::{BeaconService, MAX_LISTED_PEERS};
use crate::clock::millis;
use crate::input::Input;
use crate::peer::datagram::{open, read_incarnation, read_reads, read_uses, seal};
use crate::peer::directory::{HeartbeatOutcome, PeerInfo, PeerRecord};
use crate::peer::heartbeat::{peer_news, read_demand, read_work};
use crate::peer::parts::InvalidPart;
use crate::peer::reads::ReadState;
use crate::peer::rollouts::{read_seen, read_words};
use crate::peer::sharing::{PeerProcess, StateQuery, StateReply, read_records};
use crate::placement::{PlacementInput, read_reply, read_report};

impl BeaconService {
    /// Handles a datagram, or drops it if it is not authenticated with the shared key. Returns a
    /// query that needs a reply.
    pub(super) async fn take(&self, sealed: &[u8], from: SocketAddr) -> Option<StateQuery> {
        match open(&self.key, sealed) {
            Some(datagram::Body::Beacon(beacon)) => self.take_beacon(beacon, from).await,
            Some(datagram::Body::ClockQuestion(question)) => {
                let answer = datagram::Body::ClockAnswer(self.clock_answer(question));
                self.send_to(&seal(&self.key, answer), "", from).await;
            }
            Some(datagram::Body::ClockAnswer(answer)) => self.take_clock(&answer),
            Some(datagram::Body::TopicRecords(told)) => match read_records(told) {
                Some((teller, changes)) => self.reads.merge_changes(&teller, changes),
                None => self.drop_malformed("changes", from),
            },
            Some(datagram::Body::StateQuestion(question)) => {
                return Some(StateQuery::read(&question));
            }
            Some(datagram::Body::StateAnswer(answer)) => self.take_part(answer, from),
            Some(datagram::Body::PlacementReport(told)) => {
                let report = Box::new(read_report(told));
                self.pass(Input::Placement(PlacementInput::Report(report, from)))
                    .await;
            }
            Some(datagram::Body::PlacementReply(told)) => {
                let reply = PlacementInput::Reply(read_reply(told));
                self.pass(Input::Placement(reply)).await;
            }
            None => warn!(self.log, "dropped an invalid datagram"; "from" => from.to_string()),
        }
        None
    }

    /// Handles a part of a reply; incomplete replies are kept until the other parts arrive.
    fn take_part(&self, told: StateAnswer, from: SocketAddr) {
        if told.queued {
            self.reads.record_delay(self.clock.now());
            return;
        }
        let taken = self.partial_replies().add(self.clock.now(), from, told);
        let whole = taken.map(|whole| whole.map(StateReply::read));
        match whole {
            Ok(Some(Some(answer))) => self.take_answer(answer),
            Ok(None) => {}
            Ok(Some(None)) | Err(InvalidPart) => self.drop_malformed("an answer", from),
        }
    }

    fn drop_malformed(&self, what: &str, from: SocketAddr) {
        warn!(self.log, "dropped a malformed message of a peer"; "what" => what, "from" => from.to_string());
    }

    /// Applies a complete reply: the list of instances and the content of the store.
    fn take_answer(&self, mut answer: StateReply) {
        let now = self.clock.now();
        let instances = std::mem::take(&mut answer.instances);
        if !instances.is_empty() {
            self.add_reported(instances, now);
            self.directory.mark_listed();
            if answer.site_size > 0 {
                self.directory.set_site_size(answer.site_size, now);
            }
        }
        if answer.topics_omitted {
            self.reads.mark_large();
        }
        self.reads.merge_reply(answer);
    }

    /// Adds instances that a peer listed to the directory.
    fn add_reported(&self, peers: Vec<PeerAddress>, now: Time) {
        for peer in peers {
            let Ok(address) = peer.address.parse() else {
                warn!(self.log, "ignored an instance with an invalid address"; "instance" => peer.instance);
                continue;
            };
            let known = PeerRecord {
                name: peer.instance,
                address,
                zone: peer.zone,
                millicores: peer.power,
            };
            self.directory.add_reported(known, now);
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
        let outcome = self.note(&beacon, from, now);
        if outcome == Some(HeartbeatOutcome::First) {
            // The peer may not know this instance yet, and in a large site its next regular beacon
            // would come late.
            let known = PeerRecord {
                name: beacon.instance.clone(),
                address: from,
                zone: String::new(),
                millicores: beacon.power,
            };
            self.send_first(&known).await;
        }
        let zone = beacon.heartbeat.as_ref().map_or("", |b| &b.zone);
        self.take_group(&beacon, zone, now).await;
        let heartbeat = beacon.heartbeat.unwrap_or_default();
        let mut news = peer_news(&beacon.instance, heartbeat);
        news.incarnation = read_incarnation(&beacon.incarnation);
        if let Some(reads) = beacon.reads {
            self.take_reads(&news, read_reads(reads), from).await;
        }
        self.directory
            .record_demand(&news.name, news.demand.clone());
        news.used = read_uses(beacon.used);
        for word in read_words(beacon.rollouts) {
            self.tell(Event::Rollout(word)).await;
        }
        news.seen = read_seen(beacon.rollout_seen);
        let near = self.directory.is_own_zone(&news.zone);
        if near {
            self.sums().add_member_report(now, &news.own_use());
        }
        if !beacon.use_began.is_empty() {
            let told = if near {
                beacon.site_used
            } else {
                beacon.group_used
            };
            let counts = UseCounts {
                lead: news.name.clone(),
                began: read_incarnation(&beacon.use_began),
                fresh: beacon.use_fresh,
                counts: read_uses(told),
            };
            if near {
                self.tell(Event::SiteUseReported(counts)).await;
            } else {
                self.sums().add_group_report(now, &news.zone, &counts);
            }
        }
        if outcome != Some(HeartbeatOutcome::Untracked) {
            self.tell(Event::Peer(news)).await;
        }
    }

    /// Forwards the work for client accounts that another group's lead reports to the scheduler, if
    /// there is any.
    async fn take_work(&self, beacon: &Beacon, zone: &str) {
        let work = read_work(beacon.group_work.clone());
        if !work.is_empty() {
            let zone = zone.to_owned();
            self.tell(Event::GroupWork(GroupWork { zone, work })).await;
        }
    }

    /// Handles the totals in a lead's beacon: from another group, its demand and number of live
    /// instances, to be forwarded to the own group; from the own group, the number of live
    /// instances of the whole site.
    async fn take_group(&self, beacon: &Beacon, zone: &str, now: Time) {
        // A draining instance no longer receives beacons, so its counts are too low.
        let draining = beacon.heartbeat.as_ref().is_some_and(|b| b.draining);
        if beacon.group_heard == 0 || draining {
            return;
        }
        if self.directory.is_own_zone(zone) {
            self.tell(Event::Reach(beacon.site_heard as usize)).await;
            // Two leads that adopted each other's count would keep an outdated one alive.
            if beacon.site_known > 0 && !self.directory.is_reporter(now) {
                self.directory
                    .set_site_size(beacon.site_known as usize, now);
            }
        } else {
            let known = beacon.group_known.max(beacon.group_heard);
            self.directory
                .record_group(zone, beacon.group_heard as usize, known as usize, now);
            let group = GroupDemand {
                zone: zone.to_owned(),
                demand: read_demand(beacon.group_demand.clone()),
            };
            self.tell(Event::GroupDemand(group)).await;
            self.take_work(beacon, zone).await;
            let seen = read_seen(beacon.group_rollout_seen.clone());
            if !seen.is_empty() {
                let zone = zone.to_owned();
                self.tell(Event::GroupEvidence(GroupEvidence { zone, seen }))
                    .await;
            }
        }
        if self.directory.is_reporter(now) {
            let count = self.directory.site_live(now);
            self.tell(Event::Reach(count)).await;
        }
    }

    /// Merges a peer's read state. Queries the peer for newer content, or for its clock if its
    /// reports are used here.
    async fn take_reads(&self, news: &PeerUpdate, told: ReadState, from: SocketAddr) {
        let now = self.clock.now();
        let teller = PeerProcess {
            name: news.name.clone(),
            incarnation: news.incarnation,
        };
        let merged = self.reads.merge_report(now, &teller, told);
        if let Some(at) = merged.fresh {
            self.tell(Event::ConfigConfirmed(at)).await;
        }
        let starts = self.reads.is_large() && !self.reads.is_complete();
        let question = if merged.ask_state && !starts {
            let question = StateQuery {
                sent_at: now,
                topics: true,
                instances: !self.directory.is_listed(),
                any_size: false,
                missing: self.partial_replies().missing(from),
                zone: self.directory.zone().to_owned(),
            };
            question.body()
        } else if merged.ask_clock && self.counts(&news.name, now) {
            let asked = millis(now);
            datagram::Body::ClockQuestion(ClockQuestion { asked })
        } else {
            return;
        };
        self.send_to(&seal(&self.key, question), &news.name, from)
            .await;
    }

    /// Returns whether a peer's reports on the store are used here: those of leads always, all
    /// others only while the own state is out of date.
    ///
    /// Otherwise each of hundreds of instances would query the clocks of all others after a start.
    fn counts(&self, name: &str, now: Time) -> bool {
        self.directory.is_single_group()
            || self.reads.is_outdated(now)
            || self.directory.group_leads(now).contains(name)
    }

    /// Updates the directory from the sender and the instances it lists. Returns the outcome for
    /// the sender, or `None` if it is draining.
    fn note(&self, beacon: &Beacon, from: SocketAddr, now: Time) -> Option<HeartbeatOutcome> {
        let heartbeat = beacon.heartbeat.as_ref();
        let outcome = if heartbeat.is_some_and(|b| b.draining) {
            self.directory.forget(&beacon.instance, now);
            None
        } else {
            let word = PeerInfo {
                name: &beacon.instance,
                zone: heartbeat.map_or("", |b| &b.zone),
                millicores: beacon.power,
            };
            let outcome = if beacon.group_heard > 0 {
                self.directory.record_lead_heartbeat(word, from, now)
            } else {
                self.directory.record_heartbeat(word, from, now)
            };
            Some(outcome)
        };
        self.add_reported(
            beacon
                .peers
                .iter()
                .take(MAX_LISTED_PEERS)
                .cloned()
                .collect(),
            now,
        );
        outcome
    }
}
