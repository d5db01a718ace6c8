//! What leads pass on of others' use of account limits.

use firdock_node::peer::{HeardUse, UseRelay};
use firdock_policy::event::{AccountUse, PeerUse};
use uuid::Uuid;

fn word(name: &str, incarnation: u128, units: f64) -> PeerUse {
    PeerUse {
        name: name.to_owned(),
        incarnation: Uuid::from_u128(incarnation),
        used: vec![AccountUse {
            account: "account".to_owned(),
            units,
            asked: units,
        }],
    }
}

#[test]
fn a_members_use_is_passed_on_to_its_group_and_to_other_leads_once() {
    let relay = UseRelay::default();
    relay.hear(&word("a", 1, 10.0), HeardUse::FromMember);
    relay.hear(&word("a", 1, 30.0), HeardUse::FromMember);
    relay.hear(&word("b", 1, 5.0), HeardUse::FromMember);
    let expected = vec![word("a", 1, 30.0), word("b", 1, 5.0)];
    assert_eq!(relay.take_for_group(), expected);
    assert_eq!(relay.take_for_leads(), expected);
    relay.hear(&word("a", 1, 30.0), HeardUse::FromMember);
    assert!(relay.take_for_group().is_empty(), "nothing changed");
}

#[test]
fn another_groups_use_is_passed_on_to_the_own_group_alone() {
    let relay = UseRelay::default();
    relay.hear(&word("far", 1, 10.0), HeardUse::FromLead);
    assert_eq!(relay.take_for_group(), vec![word("far", 1, 10.0)]);
    assert!(relay.take_for_leads().is_empty());
}

#[test]
fn instances_that_come_and_go_for_days_leave_room_for_new_ones() {
    let relay = UseRelay::default();
    for n in 0..2_000 {
        relay.hear(&word(&format!("front-{n}"), 1, 1.0), HeardUse::FromMember);
        let told = relay.take_for_group();
        assert_eq!(told.len(), 1, "front-{n} is passed on");
    }
}

#[test]
fn a_restarted_instances_totals_replace_those_before() {
    let relay = UseRelay::default();
    relay.hear(&word("a", 1, 10.0), HeardUse::FromMember);
    relay.hear(&word("a", 2, 10.0), HeardUse::FromMember);
    assert_eq!(relay.take_for_leads(), vec![word("a", 2, 10.0)]);
}
