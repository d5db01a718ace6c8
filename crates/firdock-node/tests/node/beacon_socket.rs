//! The socket of heartbeats when it fails, or receives what is no heartbeat.

use std::fmt::Arguments;
use std::fs;
use std::net::UdpSocket as StdSocket;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use firdock_node::clock::Clock;
use slog::{Drain, KV as _, Key, Logger, OwnedKVList, Record, Serializer, o};
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::test_instance::TestInstance;

/// Time for which an instance is watched.
const WATCHED: Duration = Duration::from_millis(900);
/// Pause between causes of failures.
const SEND_PAUSE: Duration = Duration::from_micros(100);
/// Shortest pause after a failure.
const RECEIVE_PAUSE: Duration = Duration::from_millis(100);
/// Part of a core that an instance may use while nothing happens.
const CORE_SHARE: f64 = 0.25;
/// Most lines of a kind in that time, which two periods of the limit may share.
const MOST_LINES: usize = 2;

/// The messages that were logged.
#[derive(Clone, Default)]
struct Messages {
    messages: Arc<Mutex<Vec<String>>>,
    left_out: Arc<AtomicU32>,
}

/// Adds up the counts of lines that were left out.
struct Counts<'a>(&'a AtomicU32);

impl Serializer for Counts<'_> {
    fn emit_arguments(&mut self, _: Key, _: &Arguments<'_>) -> slog::Result {
        Ok(())
    }

    fn emit_u32(&mut self, _: Key, val: u32) -> slog::Result {
        self.0.fetch_add(val, Ordering::Relaxed);
        Ok(())
    }
}

impl Drain for Messages {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        let message = record.msg().to_string();
        if message == "lines left out" {
            let counted = record.kv().serialize(record, &mut Counts(&self.left_out));
            counted.expect("a count");
        }
        self.messages.lock().expect("no panic").push(message);
        Ok(())
    }
}

impl Messages {
    fn logger(&self) -> Logger {
        Logger::root(self.clone().ignore_res(), o!())
    }

    fn count(&self, message: &str) -> usize {
        let messages = self.messages.lock().expect("no panic");
        messages.iter().filter(|m| *m == message).count()
    }
}

/// Returns the time that this thread was on a processor.
fn processor_time() -> Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").expect("figures of the thread");
    let nanos = text.split(' ').next().and_then(|n| n.parse().ok());
    Duration::from_nanos(nanos.expect("a number"))
}

/// Runs an instance on a socket for [`WATCHED`].
async fn run(socket: UdpSocket) -> (Messages, Duration) {
    let messages = Messages::default();
    let mut instance = TestInstance::new("a", socket, Clock::new(), Vec::new());
    instance.beacons.log = messages.logger();
    let limiter = Arc::clone(&instance.beacons.log_limiter);
    let (_stop, stopped) = watch::channel(false);
    let before = processor_time();
    let running = instance.beacons.run(stopped);
    let ended = tokio::time::timeout(WATCHED, running).await;
    ended.expect_err("it runs on");
    let used = processor_time().checked_sub(before);
    limiter.finish(&messages.logger());
    (messages, used.expect("a time that only grows"))
}

/// Guards against a socket that fails and is read again without a pause.
#[tokio::test]
async fn a_socket_that_fails_is_read_with_pauses() {
    let closed = StdSocket::bind("127.0.0.1:0").expect("a socket");
    let address = closed.local_addr().expect("an address");
    drop(closed);
    let socket = StdSocket::bind("127.0.0.1:0").expect("a socket");
    socket.connect(address).expect("a connected socket");
    socket.set_nonblocking(true).expect("a mode");
    let sending = socket.try_clone().expect("the same socket");
    // Nobody receives at the address, so each send makes a receive fail.
    let failing = thread::spawn(move || {
        let began = Instant::now();
        while began.elapsed() < WATCHED {
            // The socket tells the same errors to its senders.
            let _ = sending.send(b"x");
            thread::sleep(SEND_PAUSE);
        }
    });
    let socket = UdpSocket::from_std(socket).expect("the socket");
    let (messages, used) = run(socket).await;
    failing.join().expect("no panic");
    assert!(used < WATCHED.mul_f64(CORE_SHARE), "{used:?}");
    let lines = messages.count("could not receive a datagram");
    assert!((1..=MOST_LINES).contains(&lines), "{lines} lines");
    let failures = lines + messages.left_out.load(Ordering::Relaxed) as usize;
    let most = WATCHED.as_millis() / RECEIVE_PAUSE.as_millis() + 1;
    assert!(failures as u128 <= most, "{failures} failures");
}

/// Guards against lines without number on datagrams that anyone may send.
#[tokio::test]
async fn lines_on_invalid_datagrams_are_limited() {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let address = socket.local_addr().expect("an address");
    let stranger = StdSocket::bind("127.0.0.1:0").expect("a socket");
    let sending = thread::spawn(move || {
        let began = Instant::now();
        while began.elapsed() < WATCHED {
            stranger.send_to(b"x", address).expect("it is sent");
            thread::sleep(SEND_PAUSE);
        }
    });
    let (messages, _) = run(socket).await;
    sending.join().expect("no panic");
    let lines = messages.count("dropped an invalid datagram");
    assert!((1..=MOST_LINES).contains(&lines), "{lines} lines");
    assert!(
        messages.left_out.load(Ordering::Relaxed) > 0,
        "they are told"
    );
}
