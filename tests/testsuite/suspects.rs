//! A request that crashes plain servers, at two real instances: the caller's answers, the operator's list
//! of suspects, and the release from quarantine.

use std::fmt::Write as _;
use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::process::Command;
use std::time::Duration;

use firdock_standin::client::Call;
use hyper::Method;
use socket2::SockRef;

use crate::helper::{self, SHOP, Site, Spec};

/// Number of servers, more than a request may crash.
const SERVERS: u8 = 6;
/// Time within which a liveness check and the report to the other instance are finished.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);

/// Starts a server that answers requests one by one, and stops listening at a request for `/orders/doom`.
fn start_server(address: SocketAddr) {
    let listener = TcpListener::bind(address).expect("the server listens");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut buffer = [0; 4_096];
            let n = stream.read(&mut buffer).unwrap_or(0);
            if String::from_utf8_lossy(&buffer[..n]).contains("/orders/doom") {
                // The listener closes before the connection, as in a process that closes its descriptors in order.
                // Child processes that other tests start hold copies of both until they execute their program.
                let listening = SockRef::from(&listener);
                listening.shutdown(Shutdown::Both).expect("it listens");
                stream.shutdown(Shutdown::Both).expect("it is connected");
                return;
            }
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        }
    });
}

/// Adds the servers to the site's configuration.
async fn add_servers(site: &Site, net: u8) {
    let mut text = String::new();
    for n in 0..SERVERS {
        let address = helper::address(net, 200 + n, 7000);
        start_server(address);
        let _ = write!(
            text,
            "[[endpoint]]\nname = \"mortal-{n}\"\nbackend = \"plain\"\naddress = \"{address}\"\n\
             zone = \"zone-a\"\nservices = [\"orders\"]\nslots = 4\n"
        );
    }
    let (status, answer) = site.apply(&text).await;
    assert_eq!(status, 200, "{answer}");
    site.wait_converged().await;
    tokio::time::sleep(PROPAGATION_TIME).await;
}

fn firdock(site: &Site, args: &[&str]) -> String {
    let server = site.instances[1].operators.to_string();
    let mut all = vec!["--server", server.as_str()];
    all.extend(args);
    let command = || {
        Command::new(env!("CARGO_BIN_EXE_firdock"))
            .args(&all)
            .output()
    };
    let output = tokio::task::block_in_place(command).expect("firdock runs");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ends_servers_is_held_back_until_an_operator_lets_it_go() {
    let net = 71;
    let mut spec = Spec::new(net);
    spec.instances = 2;
    spec.services = 0;
    let site = Site::start(spec).await;
    add_servers(&site, net).await;
    let doom = || Call::plain(SHOP, Method::POST, "/orders/doom?try=1", "the same body");
    for n in 0..3 {
        let got = site.call(n % 2, &doom()).await;
        assert_eq!(
            (got.status, got.outcome.as_str()),
            (502, "unknown"),
            "{got:?}"
        );
        tokio::time::sleep(PROPAGATION_TIME).await;
    }
    for instance in [0, 1] {
        let got = site.call(instance, &doom()).await;
        assert_eq!(
            (got.status, got.outcome.as_str()),
            (503, "not-run"),
            "{got:?}"
        );
        assert_eq!(got.reason, "ends-endpoints");
        assert!(got.retry_after.is_none(), "{got:?}");
    }
    let other = Call::plain(SHOP, Method::POST, "/orders/well", "the same body");
    assert_eq!(site.call(0, &other).await.status, 200);
    let listed = firdock(&site, &["suspects"]);
    assert!(
        listed.contains("in quarantine, shop orders POST /orders/doom\n"),
        "{listed}"
    );
    assert_eq!(listed.matches("ended").count(), 3, "{listed}");
    assert!(!listed.contains("the same body"));
    let content = listed.split(' ').next().expect("a content").to_owned();
    let log = site.instances[0].logged();
    assert!(log.contains("\"request quarantined\"") && log.contains(&content));
    assert!(
        !log.contains("the same body"),
        "request bodies must not be logged"
    );
    // After a release at the second instance, the first one dispatches the request again.
    let released = firdock(&site, &["release", &content]);
    assert!(released.contains("may be sent again"), "{released}");
    tokio::time::sleep(PROPAGATION_TIME).await;
    assert_eq!(site.call(0, &doom()).await.status, 502);
    assert!(!firdock(&site, &["suspects"]).contains("in quarantine"));
    assert!(!firdock(&site, &["release", "no content"]).contains("may be sent"));
}
