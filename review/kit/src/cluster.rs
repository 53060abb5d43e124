//! Node processes on loopback addresses, started with the command and the settings file of a small deployment.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicU16, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    json::{Value, obj},
};

const READY_LIMIT: Duration = Duration::from_secs(15);

/// An entry host.
pub struct Host {
    pub name: String,
    pub entry: SocketAddr,
    pub ready: SocketAddr,
    /// Addresses for relayed calls of the store and for requests of other hosts.
    pub internal: [SocketAddr; 2],
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

/// Ids of the hosts' processes, with the names of the hosts.
static PROCESSES: Mutex<Vec<(u32, String)>> = Mutex::new(Vec::new());

/// Host at the other end of a channel. A server knows it by the machine's address; on loopback all have the same, so it is
/// found by the process that has the other socket. Empty for any other peer.
pub fn peer_host(stream: &TcpStream) -> String {
    let (Ok(peer), Ok(own)) = (stream.peer_addr(), stream.local_addr()) else {
        return String::new();
    };
    let ports = format!(":{:04X} 0100007F:{:04X} ", peer.port(), own.port());
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let line = table.lines().find(|line| line.contains(&ports));
    let Some(inode) = line.and_then(|line| line.split_whitespace().nth(9)) else {
        return String::new();
    };
    let link = format!("socket:[{inode}]");
    let has_socket = |id: &u32| {
        let files = fs::read_dir(format!("/proc/{id}/fd")).into_iter().flatten().flatten();
        files
            .into_iter()
            .any(|file| fs::read_link(file.path()).is_ok_and(|it| it.to_string_lossy() == link))
    };
    let processes = PROCESSES.lock().unwrap().clone();
    let found = processes.into_iter().find(|(id, _)| has_socket(id));
    found.map(|(_, name)| name).unwrap_or_default()
}

/// Directory of a case's files, removed when it ends unless `KEEP` is set.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// First of `count` consecutive ports on which nothing listens, below the kernel's ephemeral ports. Cases that run side by
/// side begin at different ports.
fn free_ports(count: u16) -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let offset = u32::from(NEXT.fetch_add(count, Ordering::Relaxed));
        let first = 10_000 + ((std::process::id() * 211 + offset) % 20_000) as u16;
        let is_free = |port| TcpListener::bind(("127.0.0.1", port)).is_ok();
        if (first..first + count).all(is_free) {
            return first;
        }
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Host {
    /// Writes the settings of a host that reaches the store at an address.
    pub fn prepare(scratch: &Scratch, name: &str, zone: &str, store: SocketAddr) -> Self {
        let (entry, ready, control) = (free_ports(1), free_ports(1), free_ports(1));
        let first = free_ports(16);
        let listen = obj([
            ("front", address(entry).to_string().into()),
            ("ready", address(ready).to_string().into()),
            ("control", address(control).to_string().into()),
        ]);
        let settings = obj([
            ("node_name", name.into()),
            ("role", "entry".into()),
            ("machine_class", "front".into()),
            ("serves", vec!["front".into()].into()),
            ("ip", "127.0.0.1".into()),
            ("zone", zone.into()),
            ("region", "huon".into()),
            ("listen", listen),
            ("internal_ports", vec![u64::from(first).into(), u64::from(first + 15).into()].into()),
            ("seeds", Vec::new().into()),
            ("first_start", true.into()),
            ("in_tolerance", false.into()),
            (
                "limits",
                obj([
                    ("cpu_share", 0.25.into()),
                    ("cores", 1u64.into()),
                    ("memory_mb", 260u64.into()),
                    ("max_fds", 4100u64.into()),
                    ("link_mbps", 1000.0.into()),
                    ("disk_mb", 0u64.into()),
                ]),
            ),
            ("data_dir", Value::Null),
            ("discovery", "platform".into()),
            ("entry", "vip".into()),
            ("heartbeat_ms", 1200u64.into()),
            (
                "bounds",
                obj([
                    ("contact_ms", 3000u64.into()),
                    ("drain_ms", 2000u64.into()),
                    ("grace_s", 8u64.into()),
                    ("config_apply_ms", 2000u64.into()),
                    ("revert_slack_ms", 250u64.into()),
                    ("status_s", 120u64.into()),
                    ("cancel_ms", 3000u64.into()),
                    ("settle_ms", 1000u64.into()),
                    ("lease_ms", 3000u64.into()),
                ]),
            ),
            (
                "platform",
                obj([
                    ("address", store.to_string().into()),
                    ("form", "kv".into()),
                    ("writes_per_s", 400u64.into()),
                    ("reads_per_s", 2000u64.into()),
                    ("history_s", 20u64.into()),
                    ("value_bytes", 1_048_576u64.into()),
                    ("ttl_min_ms", 1000u64.into()),
                ]),
            ),
        ]);
        let path = scratch.0.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).expect("settings are written");
        Self {
            name: name.into(),
            entry: address(entry),
            ready: address(ready),
            internal: [address(first + 1), address(first + 2)],
            settings: path,
            log: scratch.0.join(format!("{name}.log")),
            process: None,
        }
    }

    /// The same, and starts its process.
    pub fn start(scratch: &Scratch, name: &str, zone: &str, store: SocketAddr) -> Self {
        let mut host = Self::prepare(scratch, name, zone, store);
        host.spawn();
        host
    }

    /// Starts the process with the command of the deploy file.
    pub fn spawn(&mut self) {
        let log = File::options().append(true).create(true).open(&self.log).expect("a log file");
        let process = Command::new("target/release/lagoonyard-node")
            .arg("entry")
            .env("LAGOONYARD_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        let process = process.unwrap_or_else(|error| unable(&format!("no node: {error}")));
        PROCESSES.lock().unwrap().push((process.id(), self.name.clone()));
        self.process = Some(process);
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let headers = [("Host", "ready")];
        let answer = http::call(self.ready, "GET", "/lagoonyard/ready", &headers, b"", limit);
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until the host is ready. Panics if its process has ended, as it does when another one has taken a port.
    pub fn wait_ready(&mut self) {
        let name = self.name.clone();
        wait_until(&format!("{name} is ready"), READY_LIMIT, || {
            assert!(!self.has_ended(), "{name} has ended");
            self.is_ready()
        });
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let process = self.process.as_mut();
        process.is_some_and(|process| process.try_wait().is_ok_and(|status| status.is_some()))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ends the case as one that could not run. Panics, so that the hosts are ended.
pub fn unable(reason: &str) -> ! {
    panic!("could not run: {reason}");
}

/// Panics, so that the hosts are ended, if a condition does not come true in time.
pub fn wait_until(what: &str, limit: Duration, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + limit;
    while !condition() {
        assert!(Instant::now() < end, "not in time: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}
