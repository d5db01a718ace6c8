//! The operator's program: what it prints, its JSON and its exit codes.

use std::process::{Command, Output};

use crate::helper::{Site, Spec, address, folder};

fn firdock(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_firdock"))
        .args(args)
        .output()
        .expect("firdock runs")
}

fn code(output: &Output) -> Option<i32> {
    output.status.code()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn file(name: &str, content: &str) -> String {
    let path = folder().join(name);
    std::fs::write(&path, content).expect("a file can be written");
    path.to_string_lossy().into_owned()
}

#[test]
fn check_shows_every_finding_with_its_place() {
    let good = include_str!("../../crates/firdock-core/tests/core/good-settings.toml");
    let path = file("good-settings.toml", good);
    let output = firdock(&["check", "--settings", &path]);
    assert_eq!(code(&output), Some(0), "{}", text(&output.stderr));
    let bad = good
        .replace("max_held = 500", "max_held = 0")
        .replace("zone = ", "zona = ");
    let path = file("bad-settings.toml", &bad);
    let output = firdock(&["check", "--settings", &path]);
    assert_eq!(code(&output), Some(3));
    let errors = text(&output.stderr);
    assert!(
        errors.contains("line 3: instance.zona: unknown field"),
        "{errors}"
    );
    assert!(
        errors.contains("line 16: limits.max_held: 1 or more"),
        "{errors}"
    );
    let path = file(
        "bad-resources.toml",
        "[[service]]\nname = \"x\"\nmatches = \"m\"\n",
    );
    let output = firdock(&["check", "--resources", &path]);
    assert_eq!(code(&output), Some(3));
    assert!(
        text(&output.stderr).contains("service[0].tier"),
        "{}",
        text(&output.stderr)
    );
}

#[test]
fn wrong_usage_and_missing_files_are_told_apart() {
    assert_eq!(code(&firdock(&["colour"])), Some(2));
    assert_eq!(
        code(&firdock(&["check", "--settings", "no-such-file"])),
        Some(1)
    );
    let nobody = address(50, 200, 1).to_string();
    let output = firdock(&["--server", &nobody, "status"]);
    assert_eq!(code(&output), Some(6), "{}", text(&output.stderr));
    assert!(text(&firdock(&["--help"]).stdout).contains("Exit codes"));
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_get_watch_delete_and_status_work_together() {
    let site = Site::start(Spec::new(50)).await;
    let server = site.instances[0].operators.to_string();
    let run = move |args: &[&str]| {
        let mut all = vec!["--server", server.as_str()];
        all.extend(args);
        tokio::task::block_in_place(|| firdock(&all))
    };
    let path = file("tier.toml", "[[tier]]\nname = \"night\"\nrank = 3\n");
    let output = run(&["apply", "-f", &path]);
    assert_eq!(code(&output), Some(0), "{}", text(&output.stderr));
    assert!(text(&output.stdout).contains("tier/night"));
    assert!(text(&run(&["apply", "-f", &path]).stdout).contains("unchanged"));
    assert!(text(&run(&["get", "tier", "night"]).stdout).contains("rank = 3"));
    let entry = text(&run(&["--json", "get", "tier", "night"]).stdout);
    let entry: serde_json::Value = serde_json::from_str(&entry).expect("JSON");
    let version = entry["version"].as_u64().expect("a version");
    let after = (version - 1).to_string();
    let watched = text(&run(&["watch", "--after", &after, "--count", "1"]).stdout);
    assert!(watched.contains("tier/night"), "{watched}");
    assert_eq!(
        code(&run(&["delete", "tier", "night", "--base", "1"])),
        Some(4)
    );
    assert_eq!(code(&run(&["delete", "tier", "night"])), Some(0));
    assert_eq!(code(&run(&["delete", "tier", "night"])), Some(5));
    assert_eq!(code(&run(&["get", "tier", "night"])), Some(5));
    assert!(text(&run(&["status"]).stdout).contains("in force everywhere"));
    site.log.faults.change(|f| f.outage = true);
    assert_eq!(code(&run(&["apply", "-f", &path])), Some(6));
}
