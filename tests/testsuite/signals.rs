//! Signals that ask `firdockd` for nothing end nothing, and those that ask for an end stop it gracefully.

use crate::helper::{Site, Spec};

/// Guards against an end without a line by a signal whose default it is.
#[tokio::test(flavor = "multi_thread")]
async fn signals_that_ask_for_nothing_are_logged_and_end_nothing() {
    let mut site = Site::start(Spec {
        instances: 1,
        ..Spec::new(60)
    })
    .await;
    for name in [
        "HUP", "USR1", "USR2", "ALRM", "VTALRM", "PROF", "XFSZ", "XCPU",
    ] {
        site.instances[0].signal(name);
        let line = format!("\"signal\":\"SIG{name}\"");
        site.wait("logged", async |s| {
            let text = std::fs::read_to_string(&s.instances[0].output).expect("a log");
            let mut lines = text.lines().filter(|l| l.contains("signal ignored"));
            lines.any(|l| l.contains(&line))
        })
        .await;
    }
    assert_eq!(site.instances[0].get("/readyz").await.0, 200);
    site.instances[0].signal("QUIT");
    assert!(site.instances[0].ended().await.success());
}
