//! Sites of hundreds and thousands of instances: the peers that each instance keeps, and its count of all
//! instances.

use std::time::Duration;

use firdock_node::peer::{
    HeartbeatOutcome, Millicores, PeerDirectory, PeerInfo, PeerRecord, ReadReason, ReadRole,
    ReadTurn, SharedReads,
};

use crate::bootstrap::address;

const START: Duration = Duration::from_secs(100);
const ZONES: usize = 6;

/// Creates instance `n`; ten of each availability zone have eight times the processor of the others.
fn instance(n: usize) -> PeerRecord {
    PeerRecord {
        name: format!("front-{n:04}"),
        address: address(n),
        zone: format!("zone-{}", n % ZONES),
        millicores: millicores(n),
    }
}

fn millicores(n: usize) -> Millicores {
    if n < 10 * ZONES { 1_000 } else { 120 }
}

fn directory_of(n: usize) -> PeerDirectory {
    let me = instance(n);
    PeerDirectory::new(me.name, me.zone).with_millicores(me.millicores)
}

fn receive_heartbeat(directory: &PeerDirectory, n: usize, now: Duration) -> HeartbeatOutcome {
    let peer = instance(n);
    directory.record_heartbeat(peer_info(&peer), peer.address, now)
}

fn peer_info(peer: &PeerRecord) -> PeerInfo<'_> {
    PeerInfo {
        name: &peer.name,
        zone: &peer.zone,
        millicores: peer.millicores,
    }
}

/// Each instance had a table of all others, which grew with the site up to 512 rows. At larger sites each
/// instance knew a different half of the others, and computed its limits from that count.
#[test]
fn an_instance_of_a_large_site_keeps_its_group_and_the_strongest_of_the_others() {
    for size in [985, 2_000] {
        let me = size - 1;
        let directory = directory_of(me);
        directory.set_site_size(size, START);
        for n in (0..size).filter(|n| *n != me) {
            directory.add_reported(instance(n), START);
            receive_heartbeat(&directory, n, START);
        }
        let others = directory.sweep(START + Duration::from_secs(1));
        assert_eq!(others, size - 1, "the count covers all instances");
        let group = size.div_ceil(ZONES);
        let kept = directory.known_peers().len();
        assert!(kept <= group + 4 * (ZONES - 1), "{kept} of {size}");
        let own = (0..size).filter(|n| n % ZONES == me % ZONES).count();
        assert_eq!(directory.group_size(), own);
        let leads = directory.group_leads(START);
        let strongest = (0..2 * ZONES).map(|n| instance(n).name);
        assert!(leads.into_iter().eq(strongest));
    }
}

#[test]
fn a_site_of_some_hundreds_is_known_in_full() {
    let directory = directory_of(300);
    for n in 0..300 {
        directory.add_reported(instance(n), START);
        assert_eq!(
            receive_heartbeat(&directory, n, START),
            HeartbeatOutcome::First
        );
    }
    assert_eq!(directory.sweep(START), 300);
    assert_eq!(directory.known_peers().len(), 300);
}

#[test]
fn heartbeats_of_new_leads_of_another_group_are_recorded() {
    let directory = directory_of(984);
    directory.set_site_size(985, START);
    for n in 0..24 {
        receive_heartbeat(&directory, n, START);
    }
    assert_eq!(
        receive_heartbeat(&directory, 100, START),
        HeartbeatOutcome::Untracked
    );
    // The first four of each group fail; the next ones send heartbeats to all leads that they know.
    let later = START + Duration::from_secs(7);
    for n in 24..36 {
        let peer = instance(n);
        let outcome = directory.record_lead_heartbeat(peer_info(&peer), peer.address, later);
        assert_eq!(outcome, HeartbeatOutcome::First);
    }
    directory.sweep(later);
    let leads = directory.group_leads(later);
    assert!(leads.into_iter().eq((24..36).map(|n| instance(n).name)));
    let kept = directory.known_peers().len();
    assert!(kept <= 8 * ZONES, "{kept}");
}

/// Returns the directory of a lead that hears its group of 150 and the counts of the leads of the others.
fn lead_of_known_groups() -> PeerDirectory {
    let directory = directory_of(0);
    directory.set_site_size(985, START);
    for n in (ZONES..600).step_by(ZONES) {
        receive_heartbeat(&directory, n, START);
    }
    for zone in 1..ZONES {
        directory.record_group(&format!("zone-{zone}"), 95, 100, START);
    }
    directory
}

#[test]
fn the_site_size_comes_from_the_counts_of_groups_once_the_list_is_old() {
    // A lead of its group, which knows the size of the site from the list alone.
    let directory = lead_of_known_groups();
    assert_eq!(directory.sweep(START), 984);
    let later = START + Duration::from_secs(59);
    for n in (ZONES..600).step_by(ZONES) {
        receive_heartbeat(&directory, n, later);
    }
    for zone in 1..ZONES {
        directory.record_group(&format!("zone-{zone}"), 90, 100, later);
    }
    // 385 instances were removed: each group has 100, of which the leads of other groups count 90 as live.
    let now = START + Duration::from_mins(1);
    directory.sweep(now);
    assert_eq!(directory.site_size(now), 600);
    assert_eq!(directory.site_live(now), 100 + 5 * 90);
}

/// Guards against an instance that forgets all others, and takes whole limits for itself, since it did not run for
/// longer than a silent instance is remembered.
#[test]
fn nobody_is_forgotten_while_the_instance_itself_did_not_run() {
    let directory = lead_of_known_groups();
    directory.record_activity(START);
    assert_eq!(directory.sweep(START), 984);
    let back = START + Duration::from_mins(10);
    directory.record_activity(back);
    assert_eq!(directory.sweep(back), 984);
    assert!(!directory.any_live(back), "it has heard nobody yet");
    // From then on it runs, and hears nobody.
    let mut now = back;
    while now < back + Duration::from_mins(1) {
        now += Duration::from_millis(200);
        directory.record_activity(now);
    }
    assert_eq!(directory.sweep(now), 0);
}

#[test]
fn a_starting_instance_gets_its_group_and_the_strongest_peers_from_the_reader_of_the_list() {
    let directory = directory_of(0);
    directory.set_site_size(985, START);
    for n in 0..985 {
        directory.add_listed(instance(n), START);
    }
    directory.sweep(START + Duration::from_secs(1));
    let sent = directory.peers_for_zone("zone-3");
    let (near, far): (Vec<_>, Vec<_>) = sent.into_iter().partition(|p| p.zone == "zone-3");
    assert_eq!(near.len(), 164);
    assert_eq!(far.len(), 4 * (ZONES - 1));
    // By now all starting instances have their answers, so the other peers are dropped.
    directory.sweep(START + Duration::from_secs(11));
    assert_eq!(directory.known_peers().len(), 164 + 4 * (ZONES - 1));
}

#[test]
fn a_small_group_of_a_large_site_is_no_single_group() {
    let directory = directory_of(1);
    for n in [0, 2, 3, 7, 13] {
        receive_heartbeat(&directory, n, START);
    }
    assert!(directory.is_single_group());
    directory.set_site_size(985, START);
    assert!(!directory.is_single_group());
    assert_eq!(directory.read_turn(START).role, ReadRole::GroupLead);
}

#[test]
fn an_instance_whose_reply_is_delayed_reads_the_store_later() {
    let reads = SharedReads::default().with_asks_peers_first(true);
    let pause = Duration::from_millis(600);
    let (due, _) = reads.due_at(START, pause, ReadTurn::alone());
    assert_eq!(due.config, None);
    reads.record_delay(START + Duration::from_millis(700));
    let due = |millis: u64| {
        let (due, _) = reads.due_at(
            START + Duration::from_millis(millis),
            pause,
            ReadTurn::alone(),
        );
        due.config
    };
    assert_eq!(due(900), None);
    assert_eq!(due(3_100), None);
    assert_eq!(due(3_300), Some(ReadReason::Start));
}
