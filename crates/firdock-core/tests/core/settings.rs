//! Settings: all findings are reported at once with line and field, and arbitrary input never panics.

use firdock_core::settings::Settings;
use proptest::prelude::*;

const GOOD: &str = include_str!("good-settings.toml");

#[test]
fn a_valid_file_is_parsed() {
    let settings = Settings::parse(GOOD).expect("no findings");
    assert_eq!(settings.instance.name, "entry-0");
    assert_eq!(settings.limits.max_held, 500);
    assert_eq!(settings.peers.missed_beats, 5, "a default");
}

#[test]
fn all_findings_are_reported_with_their_location() {
    let text = GOOD
        .replace("max_held = 500", "max_held = \"many\"\nmax_hold = 3")
        .replace("grace_seconds = 5", "grace_seconds = 0")
        .replace(
            "shared_key = \"a key of sixteen or more\"",
            "shared_key = \"short\"",
        )
        + "\n[colours]\nred = 1\n";
    let found = Settings::parse(&text).expect_err("findings");
    let expected = include_str!("findings.txt");
    assert_eq!(format!("{found}\n"), expected);
}

#[test]
fn a_share_over_tiers_needs_shares() {
    let with = |shares: &str| {
        let lines = format!("max_held = 500\n{shares}shares_over_tiers = true");
        Settings::parse(&GOOD.replace("max_held = 500", &lines))
    };
    let settings = with("account_shares = true\n").expect("no findings");
    assert!(settings.limits.shares_over_tiers);
    let found = with("").expect_err("a finding");
    assert_eq!(found.as_slice()[0].path, "limits.shares_over_tiers");
}

/// A budget in which the largest body does not fit beside held ones would shed it whenever it comes.
#[test]
fn a_budget_for_bodies_below_two_of_the_largest_is_refused_with_its_place() {
    let with = |held_bytes: usize| {
        let lines = format!("max_held = 500\nbody_bytes = 1000\nheld_bytes = {held_bytes}");
        Settings::parse(&GOOD.replace("max_held = 500", &lines))
    };
    assert_eq!(with(2_000).expect("no findings").limits.held_bytes, 2_000);
    let found = with(1_999).expect_err("a finding");
    let line = GOOD.lines().position(|line| line == "max_held = 500");
    let [finding] = found.as_slice() else {
        panic!("{found}");
    };
    assert_eq!(finding.path, "limits.held_bytes");
    assert_eq!(finding.message, "at least twice limits.body_bytes");
    assert_eq!(finding.line, line.map(|n| n + 3), "{found}");
}

/// A platform may tell memory as a whole number or a fraction; an instance that does not start on it serves nothing.
#[test]
fn memory_is_a_whole_number_or_a_fraction_or_not_known() {
    let memory = |line: &str| {
        let text = GOOD.replace(
            "zone = \"uppsala\"\n",
            &format!("zone = \"uppsala\"\n{line}\n"),
        );
        let settings = Settings::parse(&text).expect("no findings");
        settings.instance.memory_bytes()
    };
    assert_eq!(memory("memory_mbytes = 110"), Some(110_000_000));
    assert_eq!(memory("memory_mbytes = 87.5"), Some(87_500_000));
    assert_eq!(memory("memory_mbytes = 0"), None);
    assert_eq!(memory(""), None);
}

#[test]
fn an_empty_file_lacks_required_fields() {
    let found = Settings::parse("").expect_err("findings");
    let paths: Vec<&str> = found.as_slice().iter().map(|f| f.path.as_str()).collect();
    for path in [
        "instance.name",
        "instance.callers",
        "platform.log",
        "peers.shared_key",
    ] {
        assert!(paths.contains(&path), "{paths:?}");
    }
}

#[test]
fn a_syntax_error_is_reported_with_its_line() {
    let found = Settings::parse("[instance]\nname = \n").expect_err("findings");
    assert_eq!(found.as_slice()[0].line, Some(2));
}

proptest! {
    #[test]
    fn any_text_is_read_without_a_panic(text in ".{0,200}") {
        let _ = Settings::parse(&text);
    }

    #[test]
    fn any_number_in_any_field_is_read_without_a_panic(n in any::<i64>(), line in 0..40_usize) {
        let mut lines: Vec<String> = GOOD.lines().map(str::to_owned).collect();
        let at = line % lines.len();
        if let Some((name, _)) = lines[at].clone().split_once('=') {
            lines[at] = format!("{name}= {n}");
        }
        let _ = Settings::parse(&lines.join("\n"));
    }
}
