//! A site on loopback: stand-ins in this process, instances as separate processes.
//!
//! Each run of the tests has its own block of loopback addresses, and each test its own part of the block, so that
//! neither tests nor runs interfere with each other.

use std::fmt::Write as _;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use firdock_core::credential::{hash_bearer, to_hex};
use firdock_node::http::connect;
use firdock_node::platform::ListedRow;
use firdock_standin::client::{self, Call, Got, operator_call};
use firdock_standin::engine::EngineSpec;
use firdock_standin::log::LogSettings;
use firdock_standin::{StandinEngine, StandinInstances, StandinLog, StandinService};
use hyper::Method;
use serde_json::Value;

/// Time limit for any condition that a test waits for.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Factor by which slowed engines generate more slowly: an answer of 200 tokens takes more than [`WAIT_LIMIT`], while a
/// token comes several times within the shortest silence after which a test's instances give up an engine.
const SLOWDOWN: f64 = 25.0;
/// Number of an instance's last log lines that are printed when a test fails.
const LOG_LINES: usize = 200;
/// Bearer key of the account `shop`.
pub const SHOP: &str = "shop-key";
/// Bearer key of the account `hall`.
pub const HALL: &str = "hall-key";

/// Block of loopback addresses that this run holds, claimed by a listener until the process ends.
static BLOCK: LazyLock<(u8, TcpListener)> = LazyLock::new(|| {
    let claim = |block| {
        let claimed = SocketAddr::from(([127, block, 0, 1], 7000));
        Some((block, TcpListener::bind(claimed).ok()?))
    };
    (77..=254).find_map(claim).expect("a free block")
});

/// Configuration of a site.
#[derive(Debug, Clone)]
pub struct Spec {
    pub net: u8,
    pub instances: u8,
    pub engines: u8,
    pub services: u8,
    pub engine: EngineSpec,
    pub work: Duration,
    pub retention: Duration,
    pub list_lag: Duration,
    pub settings: String,
    pub max_wait_millis: u64,
    pub slots: u32,
}

impl Spec {
    pub fn new(net: u8) -> Self {
        Self {
            net,
            instances: 1,
            engines: 1,
            services: 1,
            engine: EngineSpec {
                slots: 4,
                prefill_rate: 20_000.0,
                token_secs: 0.005,
                cache_blocks: 1_000,
            },
            work: Duration::from_millis(2),
            retention: Duration::from_hours(1),
            list_lag: Duration::from_millis(100),
            settings: String::new(),
            max_wait_millis: 10_000,
            slots: 4,
        }
    }
}

/// A running site.
pub struct Site {
    pub spec: Spec,
    pub log: StandinLog,
    pub list: StandinInstances,
    pub engines: Vec<StandinEngine>,
    pub services: Vec<StandinService>,
    pub instances: Vec<InstanceProcess>,
}

/// An instance in a separate process.
pub struct InstanceProcess {
    pub name: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    pub output: PathBuf,
    child: Child,
}

impl InstanceProcess {
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status()
            .expect("kill can be run");
        assert!(status.success(), "kill -{name} failed");
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits by itself.
    pub async fn ended(&mut self) -> ExitStatus {
        let end = Instant::now() + WAIT_LIMIT;
        loop {
            if let Some(status) = self.child.try_wait().expect("a child can be waited for") {
                return status;
            }
            assert!(Instant::now() < end, "{} did not exit", self.name);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub async fn get(&self, path: &str) -> (u16, Value) {
        http(Method::GET, self.operators, path, "").await
    }

    pub async fn metric(&self, name: &str) -> f64 {
        let (_, text) = operator_call(Method::GET, self.operators, "/metrics", "").await;
        let line = text
            .lines()
            .find(|l| l.starts_with(name))
            .unwrap_or_default()
            .to_owned();
        line.rsplit(' ')
            .next()
            .and_then(|v| v.parse().ok())
            .unwrap_or(0.0)
    }

    /// Prints the end of the log, as files of a run are overwritten by later ones.
    fn print_log(&self) {
        let text = std::fs::read_to_string(&self.output).unwrap_or_else(|e| e.to_string());
        let lines: Vec<&str> = text.lines().collect();
        let start = lines.len().saturating_sub(LOG_LINES);
        let output = self.output.display();
        eprintln!("log of {}, from line {} of {output}:", self.name, start + 1);
        for line in &lines[start..] {
            eprintln!("{line}");
        }
    }

    pub fn logged(&self) -> String {
        std::fs::read_to_string(&self.output).expect("the log file can be read")
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            self.print_log();
        }
    }
}

impl Site {
    pub async fn start(spec: Spec) -> Self {
        let net = spec.net;
        let settings = LogSettings {
            retention: spec.retention,
            rate: 300.0,
        };
        let log = StandinLog::start(address(net, 1, 7000), settings).expect("log starts");
        let list = StandinInstances::start(address(net, 2, 7000), spec.list_lag);
        let mut site = Self {
            log,
            list: list.expect("list starts"),
            engines: Vec::new(),
            services: Vec::new(),
            instances: Vec::new(),
            spec,
        };
        for i in 0..site.spec.engines {
            let engine = StandinEngine::start(address(net, 20 + i, 7000), site.spec.engine);
            site.engines.push(engine.expect("engine starts"));
        }
        for i in 0..site.spec.services {
            let service = StandinService::start(address(net, 60 + i, 7000), site.spec.work);
            site.services.push(service.expect("service starts"));
        }
        for i in 0..site.spec.instances {
            site.add_instance(i);
        }
        site.wait_ready().await;
        let (status, answer) = site.apply(&site.resources()).await;
        assert_eq!(status, 200, "{answer}");
        site.wait_converged().await;
        site
    }

    /// Starts the instance `i`, or restarts it.
    pub fn add_instance(&mut self, i: u8) {
        let instance = start_instance(&self.spec, i);
        self.list.set(ListedRow {
            name: instance.name.clone(),
            zone: "zone-a".to_owned(),
            peers: Some(instance.peers),
            leaving: false,
        });
        match self.instances.iter_mut().find(|n| n.name == instance.name) {
            Some(slot) => *slot = instance,
            None => self.instances.push(instance),
        }
    }

    /// Restarts an instance with a planned stop and waits until all instances know it.
    pub async fn restart(&mut self, i: u8) {
        let instance = &mut self.instances[usize::from(i)];
        instance.signal("TERM");
        assert!(instance.ended().await.success());
        self.add_instance(i);
        self.wait_ready().await;
        self.wait_converged().await;
    }

    pub async fn wait_ready(&self) {
        for instance in &self.instances {
            let end = Instant::now() + WAIT_LIMIT;
            loop {
                let ready = connect(instance.operators, Duration::from_millis(100))
                    .await
                    .is_ok();
                if ready && self.log.faults.get().outage {
                    break;
                }
                if ready && instance.get("/v1/status").await.1["log_lag_millis"].is_u64() {
                    break;
                }
                assert!(
                    Instant::now() < end,
                    "{} is not ready: {}",
                    instance.name,
                    instance.logged()
                );
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    pub async fn wait_converged(&self) {
        let all = self.instances.len();
        self.wait("converged", async |site: &Self| {
            for instance in &site.instances {
                let status = instance.get("/v1/status").await.1;
                let seen = status["instances"]
                    .as_object()
                    .map_or(0, serde_json::Map::len);
                let members = status["members"].as_array().map_or(0, Vec::len);
                if status["converged"] != true || seen != all || members != all {
                    return false;
                }
            }
            true
        })
        .await;
    }

    pub async fn wait(&self, what: &str, ready: impl AsyncFn(&Self) -> bool) {
        let end = Instant::now() + WAIT_LIMIT;
        while !ready(self).await {
            assert!(Instant::now() < end, "timed out waiting for: {what}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Slows all engines, so that long answers run on until [`Self::hurry_engines`] however busy the machine is.
    pub fn slow_engines(&self) {
        self.set_slowdown(SLOWDOWN);
    }

    /// Ends what [`Self::slow_engines`] began.
    pub fn hurry_engines(&self) {
        self.set_slowdown(1.0);
    }

    fn set_slowdown(&self, factor: f64) {
        for engine in &self.engines {
            engine.faults.change(|f| f.slowdown = factor);
        }
    }

    pub async fn apply(&self, text: &str) -> (u16, Value) {
        http(Method::POST, self.instances[0].operators, "/v1/apply", text).await
    }

    pub async fn call(&self, instance: usize, call: &Call) -> Got {
        client::call(self.instances[instance].callers, call).await
    }

    /// Returns the site's resources: the tiers `instant` (0), `guide` (1) and `draft` (2), with services for
    /// each, and accounts and endpoints.
    pub fn resources(&self) -> String {
        let (shop, hall) = (to_hex(&hash_bearer(SHOP)), to_hex(&hash_bearer(HALL)));
        let wait = self.spec.max_wait_millis;
        let mut text = String::new();
        for (rank, name) in ["instant", "guide", "draft"].iter().enumerate() {
            let _ = write!(
                text,
                "[[tier]]\nname = \"{name}\"\nrank = {rank}\nwait_millis = {wait}\n\
                 target_millis = 2000\n"
            );
        }
        let _ = write!(
            text,
            "[[account]]\nname = \"shop\"\nkey_sha256 = \"{shop}\"\n\
             [[account]]\nname = \"hall\"\nkey_sha256 = \"{hall}\"\n\
             [[service]]\nname = \"tiles\"\nprotocol = \"plain\"\nmatches = \"/tiles\"\n\
             tier = \"instant\"\nrepeatable = true\n\
             [[service]]\nname = \"orders\"\nprotocol = \"plain\"\nmatches = \"/orders\"\n\
             tier = \"instant\"\nrepeatable = false\n\
             [[service]]\nname = \"guide\"\nmatches = \"guide\"\ntier = \"guide\"\n\
             repeatable = true\n\
             [[service]]\nname = \"draft\"\nmatches = \"draft\"\ntier = \"draft\"\n\
             repeatable = true\n"
        );
        for (i, engine) in self.engines.iter().enumerate() {
            let _ = write!(
                text,
                "[[endpoint]]\nname = \"engine-{i}\"\naddress = \"{}\"\nzone = \"zone-a\"\n\
                 services = [\"guide\", \"draft\"]\nslots = {}\nprefill_rate = {:.1}\n\
                 token_millis = {:.3}\n",
                engine.served.address,
                self.spec.slots,
                self.spec.engine.prefill_rate,
                self.spec.engine.token_secs * 1000.0,
            );
        }
        for (i, service) in self.services.iter().enumerate() {
            let _ = write!(
                text,
                "[[endpoint]]\nname = \"service-{i}\"\nbackend = \"plain\"\naddress = \"{}\"\n\
                 zone = \"zone-a\"\nservices = [\"tiles\", \"orders\"]\nslots = {}\n",
                service.served.address, self.spec.slots,
            );
        }
        text
    }
}

/// Returns the folder of this run's files, which no run beside it writes to.
pub fn folder() -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("block-{}", BLOCK.0));
    std::fs::create_dir_all(&folder).expect("a folder can be made");
    folder
}

/// Returns an address of the test `net`, which no other test and no other run uses.
pub fn address(net: u8, host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, BLOCK.0, net, host], port))
}

fn start_instance(spec: &Spec, i: u8) -> InstanceProcess {
    let name = format!("node-{i}");
    let host = 100 + i;
    let at = |port| address(spec.net, host, port);
    let (callers, operators, peers) = (at(7001), at(7080), at(7002));
    let base = format!(
        "[instance]\nname = \"{name}\"\nzone = \"zone-a\"\ncallers = \"{callers}\"\n\
         operators = \"{operators}\"\npeers = \"{peers}\"\n\
         [platform]\nlog = \"{}\"\ninstances = \"{}\"\nread_millis = 100\nlist_millis = 100\n\
         call_millis = 500\nretention_seconds = {}\n\
         [peers]\nshared_key = \"a key for tests only\"\nheartbeat_millis = 50\n",
        address(spec.net, 1, 7000),
        address(spec.net, 2, 7000),
        spec.retention.as_secs(),
    );
    let folder = folder();
    let file = folder.join(format!("settings-{}-{i}.toml", spec.net));
    std::fs::write(&file, base + &spec.settings).expect("settings can be written");
    let output = folder.join(format!("log-{}-{i}.jsonl", spec.net));
    let stdout = File::create(&output).expect("a log file can be made");
    let stderr = stdout.try_clone().expect("a file can be shared");
    let child = Command::new(env!("CARGO_BIN_EXE_firdockd"))
        .arg("serve")
        .arg("--settings")
        .arg(&file)
        .stdout(Stdio::from(stdout))
        .stderr(Stdio::from(stderr))
        .spawn()
        .expect("firdockd starts");
    InstanceProcess {
        name,
        callers,
        operators,
        peers,
        output,
        child,
    }
}

pub async fn http(method: Method, at: SocketAddr, path: &str, body: &str) -> (u16, Value) {
    let (status, text) = operator_call(method, at, path, body).await;
    (
        status,
        serde_json::from_str(&text).unwrap_or(Value::String(text)),
    )
}
