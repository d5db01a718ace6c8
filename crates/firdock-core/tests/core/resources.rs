//! Resource files: all findings are reported at once, and arbitrary input never panics.

use firdock_core::Findings;
use firdock_core::credential::{from_hex, hash_bearer, matches, to_hex};
use firdock_core::resource::{Catalog, Kind, parse_object, parse_resources};
use proptest::prelude::*;
use serde_json::json;

const GOOD: &str = r#"
[[tier]]
name = "instant"

[[service]]
name = "tiles"
protocol = "plain"
matches = "/tiles"
tier = "instant"

[[endpoint]]
name = "shop-1"
backend = "plain"
address = "127.0.0.1:80"
services = ["tiles"]
"#;

#[test]
fn resources_of_a_valid_file_are_sorted_by_kind() {
    let kinds: Vec<Kind> = parse_resources(GOOD)
        .expect("no findings")
        .iter()
        .map(|r| r.key().kind)
        .collect();
    assert_eq!(kinds, [Kind::Tier, Kind::Service, Kind::Endpoint]);
}

#[test]
fn each_invalid_field_is_reported_with_its_line() {
    let text = GOOD
        .replace(
            "address = \"127.0.0.1:80\"",
            "address = \"somewhere\"\nslots = -1",
        )
        .replace("matches = \"/tiles\"", "matches = \"tiles\"")
        + "\n[[colour]]\nname = \"red\"\n[[tier]]\nname = \"instant\"\n";
    let found = parse_resources(&text).expect_err("findings");
    let places: Vec<(Option<usize>, &str)> = found
        .as_slice()
        .iter()
        .map(|f| (f.line, f.path.as_str()))
        .collect();
    for place in [
        (Some(14), "endpoint[0].address"),
        (Some(15), "endpoint[0].slots"),
        (Some(5), "service[0].matches"),
    ] {
        assert!(places.contains(&place), "{places:?}");
    }
    assert!(places.iter().any(|p| p.1 == "colour"), "{places:?}");
}

#[test]
fn references_to_undeclared_resources_are_reported() {
    let text = GOOD.replace("tier = \"instant\"", "tier = \"nowhere\"");
    let resources = parse_resources(&text).expect("good by themselves");
    let mut found = Findings::new();
    Catalog::new(0)
        .with_resources(resources)
        .check_references(&mut found);
    assert_eq!(found.as_slice()[0].path, "service/tiles.tier");
}

#[test]
fn keys_are_compared_by_their_hashes() {
    let hash = hash_bearer("a key");
    assert_eq!(from_hex(&to_hex(&hash)), Some(hash));
    assert!(matches(&hash, &hash) && !matches(&hash, &hash_bearer("another")));
    assert_eq!(from_hex("12"), None);
}

proptest! {
    #[test]
    fn any_text_is_read_without_a_panic(text in ".{0,200}") {
        let _ = parse_resources(&text);
        let _ = from_hex(&text);
    }

    #[test]
    fn any_json_is_read_without_a_panic(
        kind in 0..4_usize, field in "[a-z_]{1,12}", n in any::<f64>(), text in ".{0,20}",
    ) {
        let kind = Kind::ALL[kind];
        let _ = parse_object(kind, json!({"name": text, &field: n}));
        let _ = parse_object(kind, json!({"name": "x", &field: text}));
        let _ = parse_object(kind, json!([field]));
    }
}
