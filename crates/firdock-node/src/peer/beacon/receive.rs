//! Handling of datagrams received from peers.

use std::net::SocketAddr;
use std::time::Duration;

use firdock_policy::event::{GroupDemand, GroupEvidence, GroupWork, UseCounts};
use firdock_policy::{Event, Time};
use firdock_wire::PROTOCOL;
use firdock_wire::message::{
    Beacon, ClockAnswer, ClockQuestion, PeerAddress, StateAnswer, datagram,
};
use slog::warn;
use tokio::task::yield_now;

use super::{BeaconService, MAX_LISTED_PEERS};
use crate::clock::millis;
use crate::input::Input;
use crate::peer::datagram::{open, read_incarnation, read_reads, read_uses, seal};
use crate::peer::directory::{HeartbeatOutcome, PeerInfo, PeerRecord};
use crate::peer::heartbeat::{read_demand, read_status, read_work};
use crate::peer::parts::InvalidPart;
use crate::peer::reads::{ReadEcho, ReadState};
use crate::peer::rollouts::{read_evidence, read_statuses};
use crate::peer::sharing::{PeerProcess, StateQuery, StateReply, read_records};
use crate::peer::streams::read_stream_records;
use crate::permits::{read_grants, read_requests};
use crate::placement::{PlacementInput, read_reply, read_report};
use crate::telemetry::LogKind;

impl BeaconService {
    /// Handles a datagram, or drops it if it is not authenticated with the shared key. Returns a
    /// query that needs a reply.
    pub(super) async fn handle_datagram(
        &self,
        sealed: &[u8],
        from: SocketAddr,
    ) -> Option<StateQuery> {
        match open(&self.key, sealed) {
            Some(datagram::Body::Beacon(beacon)) => self.handle_beacon(beacon, from).await,
            Some(datagram::Body::ClockQuestion(query)) => {
                let answer = datagram::Body::ClockAnswer(self.answer_clock_query(query));
                self.send_to(&seal(&self.key, answer), "", from).await;
            }
            // No clock is queried by this version.
            Some(datagram::Body::ClockAnswer(_)) => {}
            Some(datagram::Body::TopicRecords(message)) => match read_records(&message) {
                Some(changes) => self.reads.merge_changes(changes),
                None => self.log_malformed("changes", from),
            },
            Some(datagram::Body::StateQuestion(query)) => {
                return Some(StateQuery::read(&query));
            }
            Some(datagram::Body::StateAnswer(answer)) => self.handle_reply_part(answer, from),
            Some(datagram::Body::PlacementReport(message)) => {
                let report = Box::new(read_report(message));
                self.send_input(Input::Placement(PlacementInput::Report(report, from)))
                    .await;
            }
            Some(datagram::Body::PlacementReply(message)) => {
                let reply = PlacementInput::Reply(read_reply(message));
                self.send_input(Input::Placement(reply)).await;
            }
            Some(datagram::Body::PermitRequests(message)) => match read_requests(message, from) {
                Some(requests) => self.send_input(Input::Permits(requests)).await,
                None => self.log_malformed("requests for permits", from),
            },
            Some(datagram::Body::PermitGrants(message)) => {
                self.send_input(Input::Permits(read_grants(message))).await;
            }
            Some(datagram::Body::StreamRecords(message)) => {
                let now = self.clock.now();
                self.streams
                    .add_reported(now, read_stream_records(now, message));
            }
            Some(datagram::Body::StreamQuery(query)) => {
                if let Some(reply) = self.answer_stream_query(&query) {
                    self.send_to(&reply, "", from).await;
                }
            }
            None => {
                if self.may_log(LogKind::InvalidDatagram) {
                    warn!(self.log, "dropped an invalid datagram"; "from" => from.to_string());
                }
                // Anyone may send any number of them.
                yield_now().await;
            }
        }
        None
    }

    /// Handles a part of a reply; incomplete replies are kept until the other parts arrive.
    fn handle_reply_part(&self, message: StateAnswer, from: SocketAddr) {
        if message.queued {
            self.reads.record_delay(self.clock.now());
            return;
        }
        let reply = self.partial_replies().add(self.clock.now(), from, message);
        let reply = reply.map(|reply| reply.map(StateReply::read));
        match reply {
            Ok(Some(Some(reply))) => self.apply_reply(reply),
            Ok(None) => {}
            Ok(Some(None)) | Err(InvalidPart) => self.log_malformed("an answer", from),
        }
    }

    fn log_malformed(&self, what: &str, from: SocketAddr) {
        if self.may_log(LogKind::MalformedMessage) {
            warn!(self.log, "dropped a malformed message of a peer"; "what" => what, "from" => from.to_string());
        }
    }

    /// Applies a complete reply: the list of instances and the content of the store.
    fn apply_reply(&self, mut reply: StateReply) {
        let now = self.clock.now();
        let instances = std::mem::take(&mut reply.instances);
        if !instances.is_empty() {
            self.add_reported(instances, now);
            self.directory.mark_listed();
            if reply.site_size > 0 {
                self.directory.set_site_size(reply.site_size, now);
            }
        }
        if reply.topics_omitted {
            self.reads.mark_large();
        }
        self.reads.merge_reply(now, reply);
    }

    /// Adds instances that a peer listed to the directory.
    fn add_reported(&self, peers: Vec<PeerAddress>, now: Time) {
        for peer in peers {
            let Ok(address) = peer.address.parse() else {
                if self.may_log(LogKind::MalformedMessage) {
                    warn!(self.log, "ignored an instance with an invalid address"; "instance" => peer.instance);
                }
                continue;
            };
            let record = PeerRecord {
                name: peer.instance,
                address,
                zone: peer.zone,
                millicores: peer.power,
            };
            self.directory.add_reported(record, now);
        }
    }

    /// Answers an instance of an earlier version, which converts reported times by this clock.
    fn answer_clock_query(&self, query: ClockQuestion) -> ClockAnswer {
        ClockAnswer {
            instance: self.member.name.clone(),
            incarnation: self.member.incarnation.as_bytes().to_vec(),
            asked: query.asked,
            clock: millis(self.clock.now()),
        }
    }

    async fn handle_beacon(&self, beacon: Beacon, from: SocketAddr) {
        if beacon.protocol != PROTOCOL || beacon.instance == self.member.name {
            return;
        }
        let now = self.clock.now();
        let outcome = self.update_directory(&beacon, from, now);
        let incarnation = read_incarnation(&beacon.incarnation);
        let restarted = self
            .send_times()
            .has_restarted(&beacon.instance, incarnation);
        let first = outcome == Some(HeartbeatOutcome::First);
        if first || (restarted && outcome == Some(HeartbeatOutcome::Repeated)) {
            // The peer may not know this instance yet, and in a large site its next regular beacon
            // would come late.
            let peer = PeerRecord {
                name: beacon.instance.clone(),
                address: from,
                zone: String::new(),
                millicores: beacon.power,
            };
            self.send_first_beacon(&peer).await;
        }
        let zone = beacon.heartbeat.as_ref().map_or("", |b| &b.zone);
        self.handle_group_totals(&beacon, zone, now).await;
        let heartbeat = beacon.heartbeat.unwrap_or_default();
        let sender = (&beacon.instance, incarnation);
        let sent = self.send_times().estimate(now, sender, beacon.sent_at);
        let mut update = read_status(&beacon.instance, heartbeat, sent);
        update.incarnation = incarnation;
        if let Some(reads) = beacon.reads.map(read_reads) {
            let process = PeerProcess {
                name: update.name.clone(),
                incarnation,
            };
            if beacon.sent_at > 0 {
                let sent_at = Duration::from_millis(beacon.sent_at);
                self.read_log
                    .check_report(now, &process.name, reads, sent_at);
                self.reads.record_clock(now, &process, sent_at);
            }
            let echo = beacon.read_echo.as_ref();
            let echo = echo.and_then(|echo| ReadEcho::read(echo, self.member.incarnation));
            self.handle_read_state(&process, reads, echo, from).await;
        }
        self.directory
            .record_demand(&update.name, update.demand.clone());
        update.used = read_uses(beacon.used);
        for status in read_statuses(beacon.rollouts) {
            self.send_event(Event::Rollout(status)).await;
        }
        update.seen = read_evidence(beacon.rollout_seen);
        let same_zone = self.directory.is_own_zone(&update.zone);
        if same_zone {
            self.sums().add_member_report(now, &update.own_use());
        }
        if !beacon.use_began.is_empty() {
            let totals = if same_zone {
                beacon.site_used
            } else {
                beacon.group_used
            };
            let counts = UseCounts {
                lead: update.name.clone(),
                began: read_incarnation(&beacon.use_began),
                fresh: beacon.use_fresh,
                counts: read_uses(totals),
            };
            if same_zone {
                self.send_event(Event::SiteUseReported(counts)).await;
            } else {
                self.sums().add_group_report(now, &update.zone, &counts);
            }
        }
        if outcome != Some(HeartbeatOutcome::Untracked) {
            self.send_event(Event::Peer(update)).await;
        }
    }

    /// Forwards the work for client accounts that another group's lead reports to the scheduler, if
    /// there is any.
    async fn report_group_work(&self, beacon: &Beacon, zone: &str) {
        let work = read_work(beacon.group_work.clone());
        if !work.is_empty() {
            let zone = zone.to_owned();
            self.send_event(Event::GroupWork(GroupWork { zone, work }))
                .await;
        }
    }

    /// Handles the totals in a lead's beacon: from another group, its demand and number of live
    /// instances, to be forwarded to the own group; from the own group, the number of live
    /// instances of the whole site.
    async fn handle_group_totals(&self, beacon: &Beacon, zone: &str, now: Time) {
        // A draining instance no longer receives beacons, so its counts are too low.
        let draining = beacon.heartbeat.as_ref().is_some_and(|b| b.draining);
        if beacon.group_heard == 0 || draining {
            return;
        }
        if self.directory.is_own_zone(zone) {
            self.send_event(Event::Reach(beacon.site_heard as usize))
                .await;
            // Two leads that adopted each other's count would keep an outdated one alive.
            if beacon.site_known > 0 && !self.directory.is_reporter(now) {
                self.directory
                    .set_site_size(beacon.site_known as usize, now);
            }
        } else {
            let size = beacon.group_known.max(beacon.group_heard);
            self.directory
                .record_group(zone, beacon.group_heard as usize, size as usize, now);
            let group = GroupDemand {
                zone: zone.to_owned(),
                demand: read_demand(beacon.group_demand.clone()),
            };
            self.send_event(Event::GroupDemand(group)).await;
            self.report_group_work(beacon, zone).await;
            let evidence = read_evidence(beacon.group_rollout_seen.clone());
            if !evidence.is_empty() {
                let zone = zone.to_owned();
                self.send_event(Event::GroupEvidence(GroupEvidence {
                    zone,
                    seen: evidence,
                }))
                .await;
            }
        }
        if self.directory.is_reporter(now) {
            let count = self.directory.site_live(now);
            self.send_event(Event::Reach(count)).await;
        }
    }

    /// Merges a peer's read state, and queries the peer for newer content.
    async fn handle_read_state(
        &self,
        sender: &PeerProcess,
        reported: ReadState,
        echo: Option<ReadEcho>,
        from: SocketAddr,
    ) {
        let now = self.clock.now();
        let merged = self.reads.merge_report(now, sender, reported, echo);
        if let Some(at) = merged.fresh {
            self.send_event(Event::ConfigConfirmed(at)).await;
        }
        let is_starting = self.reads.is_large() && !self.reads.is_complete();
        if !merged.ask_state || is_starting {
            return;
        }
        let query = StateQuery {
            sent_at: now,
            topics: true,
            instances: !self.directory.is_listed(),
            any_size: false,
            missing: self.partial_replies().missing(from),
            zone: self.directory.zone().to_owned(),
        };
        let sealed = seal(&self.key, query.body());
        self.send_to(&sealed, &sender.name, from).await;
    }

    /// Updates the directory from the sender and the instances it lists. Returns the outcome for
    /// the sender, or `None` if it is draining.
    fn update_directory(
        &self,
        beacon: &Beacon,
        from: SocketAddr,
        now: Time,
    ) -> Option<HeartbeatOutcome> {
        let heartbeat = beacon.heartbeat.as_ref();
        let outcome = if heartbeat.is_some_and(|b| b.draining) {
            self.directory.forget(&beacon.instance, now);
            None
        } else {
            let info = PeerInfo {
                name: &beacon.instance,
                zone: heartbeat.map_or("", |b| &b.zone),
                millicores: beacon.power,
            };
            let outcome = if beacon.group_heard > 0 {
                self.directory.record_lead_heartbeat(info, from, now)
            } else {
                self.directory.record_heartbeat(info, from, now)
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
