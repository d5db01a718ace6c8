//! Hundreds and thousands of instances: what each of them keeps, and how many it knows that there are.

use std::time::Duration;

use firdock_node::peer::{
    HeartbeatOutcome, Millicores, PeerDirectory, PeerInfo, PeerRecord, ReadReason, ReadRole,
    ReadTurn, SharedReads,
};

use crate::bootstrap::address;

const START: Duration = Duration::from_secs(100);
const ZONES: usize = 6;

/// Gives instance `n`; ten of each zone have eight times the processor of the others.
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

fn hear(directory: &PeerDirectory, n: usize, now: Duration) -> HeartbeatOutcome {
    let peer = instance(n);
    directory.record_heartbeat(word(&peer), peer.address, now)
}

fn word(peer: &PeerRecord) -> PeerInfo<'_> {
    PeerInfo {
        name: &peer.name,
        zone: &peer.zone,
        millicores: peer.millicores,
    }
}

/// A table of all others in each instance grew with the fleet, and ended at 512: each of more knew half of
/// the others, each another half, and limits went by that.
#[test]
fn a_member_of_a_fleet_keeps_its_group_and_the_strongest_of_the_others() {
    for size in [985, 2_000] {
        let me = size - 1;
        let directory = directory_of(me);
        directory.set_site_size(size, START);
        for n in (0..size).filter(|n| *n != me) {
            directory.add_reported(instance(n), START);
            hear(&directory, n, START);
        }
        let others = directory.sweep(START + Duration::from_secs(1));
        assert_eq!(others, size - 1, "it knows how many there are");
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
fn up_to_some_hundreds_all_are_known() {
    let directory = directory_of(300);
    for n in 0..300 {
        directory.add_reported(instance(n), START);
        assert_eq!(hear(&directory, n, START), HeartbeatOutcome::First);
    }
    assert_eq!(directory.sweep(START), 300);
    assert_eq!(directory.known_peers().len(), 300);
}

#[test]
fn those_that_lead_another_group_in_place_of_the_fallen_are_heard() {
    let directory = directory_of(984);
    directory.set_site_size(985, START);
    for n in 0..24 {
        hear(&directory, n, START);
    }
    assert_eq!(hear(&directory, 100, START), HeartbeatOutcome::Untracked);
    // The first four of each group fall; the next ones tell all leads that they know of.
    let later = START + Duration::from_secs(7);
    for n in 24..36 {
        let peer = instance(n);
        let outcome = directory.record_lead_heartbeat(word(&peer), peer.address, later);
        assert_eq!(outcome, HeartbeatOutcome::First);
    }
    directory.sweep(later);
    let leads = directory.group_leads(later);
    assert!(leads.into_iter().eq((24..36).map(|n| instance(n).name)));
    let kept = directory.known_peers().len();
    assert!(kept <= 8 * ZONES, "{kept}");
}

#[test]
fn how_many_there_are_is_known_by_the_groups_counts_once_the_list_is_old() {
    // A lead of its group, which nobody but the list told of all.
    let directory = directory_of(0);
    directory.set_site_size(985, START);
    for n in (ZONES..600).step_by(ZONES) {
        hear(&directory, n, START);
    }
    for zone in 1..ZONES {
        directory.record_group(&format!("zone-{zone}"), 95, 100, START);
    }
    assert_eq!(directory.sweep(START), 984);
    let later = START + Duration::from_secs(59);
    for n in (ZONES..600).step_by(ZONES) {
        hear(&directory, n, later);
    }
    for zone in 1..ZONES {
        directory.record_group(&format!("zone-{zone}"), 90, 100, later);
    }
    // 385 were taken away: 100 are known in each group, of which other leads hear 90.
    let now = START + Duration::from_mins(1);
    directory.sweep(now);
    assert_eq!(directory.site_size(now), 600);
    assert_eq!(directory.site_live(now), 100 + 5 * 90);
}

#[test]
fn who_read_the_list_tells_one_that_starts_of_its_group_and_of_the_strongest() {
    let directory = directory_of(0);
    directory.set_site_size(985, START);
    for n in 0..985 {
        directory.add_listed(instance(n), START);
    }
    directory.sweep(START + Duration::from_secs(1));
    let told = directory.peers_for_zone("zone-3");
    let (near, far): (Vec<_>, Vec<_>) = told.into_iter().partition(|p| p.zone == "zone-3");
    assert_eq!(near.len(), 164);
    assert_eq!(far.len(), 4 * (ZONES - 1));
    // Those that asked have their answers by now.
    directory.sweep(START + Duration::from_secs(11));
    assert_eq!(directory.known_peers().len(), 164 + 4 * (ZONES - 1));
}

#[test]
fn a_group_of_few_in_a_fleet_is_no_small_site() {
    let directory = directory_of(1);
    for n in [0, 2, 3, 7, 13] {
        hear(&directory, n, START);
    }
    assert!(directory.is_single_group());
    directory.set_site_size(985, START);
    assert!(!directory.is_single_group());
    assert_eq!(directory.read_turn(START).role, ReadRole::GroupLead);
}

#[test]
fn one_that_waits_behind_many_reads_the_store_later() {
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
