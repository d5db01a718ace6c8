//! Selection of the instance that grants an endpoint's permits, and reports on rate limits that are read
//! late.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use firdock_node::peer::{PeerDirectory, PeerInfo, SendTimes, read_limits, write_limits};
use firdock_policy::permit::LimitReport;
use firdock_policy::rate::RequestRate;
use uuid::Uuid;

const NOW: Duration = Duration::from_secs(100);
const ENDPOINT: &str = "i-68605762bc@8";

fn name(n: usize) -> String {
    format!("node-{n:03}")
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7_600))
}

/// The directory of an instance that hears the `heard` others; instances are spread over `zones`.
fn directory(me: usize, zones: usize, heard: impl Iterator<Item = usize>) -> PeerDirectory {
    let zone = |n: usize| format!("zone-{}", n % zones);
    let directory = PeerDirectory::new(name(me), zone(me));
    for n in heard.filter(|n| *n != me) {
        let (name, zone) = (name(n), zone(n));
        let info = PeerInfo {
            name: &name,
            zone: &zone,
            millicores: 0,
        };
        directory.record_lead_heartbeat(info, address(n), NOW);
    }
    directory
}

fn grantor(directory: &PeerDirectory, me: usize, is_draining: bool) -> String {
    let grantor = directory.permit_grantor(NOW, ENDPOINT, is_draining);
    grantor.map_or_else(|| name(me), |peer| peer.name)
}

#[test]
fn all_instances_of_a_small_site_select_the_same_grantor() {
    let grantors = (0..6).map(|n| grantor(&directory(n, 4, 0..6), n, false));
    assert_eq!(grantors.collect::<BTreeSet<_>>().len(), 1);
}

/// In a large site members ask the lead of their group, and the leads agree on one of them.
#[test]
fn the_groups_of_a_large_site_select_one_of_their_leads() {
    let (zones, instances) = (3, 60);
    let leads: Vec<usize> = (0..zones).collect();
    let of_leads: BTreeSet<String> = leads
        .iter()
        .map(|lead| {
            let own_zone = (0..instances).filter(|n| n % zones == lead % zones);
            let heard = own_zone.chain(leads.iter().copied());
            grantor(&directory(*lead, zones, heard), *lead, false)
        })
        .collect();
    assert_eq!(of_leads.len(), 1, "{of_leads:?}");
    assert!(leads.iter().any(|lead| of_leads.contains(&name(*lead))));
    for member in zones..instances {
        let own_zone = (0..instances).filter(|n| n % zones == member % zones);
        let asked = grantor(&directory(member, zones, own_zone), member, false);
        assert_eq!(asked, name(member % zones));
    }
}

#[test]
fn a_stopping_instance_leaves_permits_to_the_others() {
    let me = (0..6).find(|n| grantor(&directory(*n, 1, 0..6), *n, false) == name(*n));
    let me = me.expect("one grants");
    assert_ne!(grantor(&directory(me, 1, 0..6), me, true), name(me));
    assert_eq!(grantor(&directory(me, 1, 0..0), me, true), name(me));
}

/// A heartbeat that waited while its receiver was suspended must not make an old limit look new.
#[test]
fn a_limit_in_a_heartbeat_that_was_read_late_is_as_old_as_its_answer() {
    let mut times = SendTimes::default();
    let (peer, incarnation) = (name(1), Uuid::from_u64_pair(1, 1));
    let sender = (&peer, incarnation);
    let report = |read: Duration| LimitReport {
        endpoint: ENDPOINT.to_owned(),
        limit: RequestRate::from_per_second(3.1),
        read,
    };
    // The peer's clock is 40 s behind this one, and a datagram takes 2 ms.
    let offset = Duration::from_secs(40);
    let transit = Duration::from_millis(2);
    for tick in 0..50 {
        let sent = Duration::from_secs(10) + Duration::from_millis(200 * tick);
        let sent_at = sent.as_millis() as u64;
        let arrived = sent + offset + transit;
        assert_eq!(times.estimate(arrived, sender, sent_at), arrived);
        // The last one is read five seconds late.
        let late = Duration::from_secs(5);
        if tick == 49 {
            let read_at = times.estimate(arrived + late, sender, sent_at);
            assert_eq!(read_at, arrived);
            let answer = sent.saturating_sub(Duration::from_millis(150));
            let wire = write_limits(&[report(answer)], sent);
            let read = read_limits(wire, read_at);
            assert_eq!(read, vec![report(answer + offset + transit)]);
        }
    }
    // A new process of the peer has a clock of its own.
    let restarted = Uuid::from_u64_pair(1, 2);
    let now = Duration::from_secs(70);
    assert_eq!(times.estimate(now, (&peer, restarted), 5), now);
}

/// All limits have their turn in heartbeats, however many there are.
#[test]
fn many_limits_take_turns_in_heartbeats() {
    let reports: Vec<LimitReport> = (0..200)
        .map(|n| LimitReport {
            endpoint: format!("i-{n}"),
            limit: (n % 2 == 0).then_some(RequestRate::MIN),
            read: NOW,
        })
        .collect();
    let mut told = BTreeSet::new();
    for beat in 0..40 {
        let now = NOW + Duration::from_millis(200 * beat);
        let wire = write_limits(&reports, now);
        assert!(wire.len() <= 64);
        told.extend(wire.into_iter().map(|limit| limit.endpoint));
    }
    assert_eq!(told.len(), reports.len());
}
