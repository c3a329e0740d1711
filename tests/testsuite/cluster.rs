//! A cluster of entry hosts and stand-ins of the platform and workers, each a process.

use std::fs::OpenOptions;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{call, Reply};

/// Short times, so that takeovers are quick.
const TUNING: &str = "[tuning]\nlease-ms = 2000\nrenew-ms = 400\nheartbeat-ms = 300\nconfig-poll-ms = 300\nlist-poll-ms = 500\nlist-lag-ms = 1000\n";
const HALLS: [&str; 2] = ["hall-a", "hall-b"];
const HOSTS_PER_HALL: usize = 2;
const RUNNERS_PER_HALL: usize = 4;

/// An entry host and its process.
pub struct Host {
    pub listen: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// The processes of one test. Dropping it kills them.
pub struct Cluster {
    dir: PathBuf,
    stand_ins: Vec<Child>,
    pub platform: SocketAddr,
    pub runners: Vec<SocketAddr>,
    pub hosts: Vec<Host>,
}

/// Held while an address is tested and while a process is spawned. Between fork and exec a
/// process has copies of all sockets, so an address tested at that moment would stay bound.
static FORK_LOCK: Mutex<()> = Mutex::new(());

fn lock_forks() -> MutexGuard<'static, ()> {
    FORK_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Spawns a process while no address is being tested.
pub fn spawn_command(command: &mut Command) -> std::io::Result<Child> {
    let _guard = lock_forks();
    command.spawn()
}

/// Returns an address that no other test of this process gets. Its port is below the
/// system's ephemeral range, so that no outgoing connection uses it.
fn free_address() -> SocketAddr {
    const FIRST_PORT: u32 = 10_000;
    const PORT_COUNT: u32 = 20_000;
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    loop {
        let process_offset = std::process::id().wrapping_mul(997);
        let offset = process_offset.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed));
        let port = (FIRST_PORT + offset % PORT_COUNT) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let _guard = lock_forks();
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns the path of a program of this workspace.
pub fn binary(name: &str) -> PathBuf {
    let mut path = std::env::current_exe().expect("this test's path");
    path.pop();
    if path.ends_with("deps") {
        path.pop();
    }
    path.join(name)
}

/// Spawns a program with a log file beside its settings.
fn spawn_program(name: &str, settings: &Path) -> Child {
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))
        .expect("a writable folder");
    let mut command = Command::new(binary(name));
    command.arg("--settings").arg(settings);
    command.stderr(log).stdout(Stdio::null());
    spawn_command(&mut command).unwrap_or_else(|e| panic!("{name}: {e}; run scripts/test.sh"))
}

impl Cluster {
    /// Starts all processes and waits until all hosts serve.
    pub fn start(name: &str) -> Self {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a sane clock");
        let unique = format!("gannetridge-{name}-{}", now.as_nanos());
        let dir = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let mut cluster = Self {
            dir,
            stand_ins: Vec::new(),
            platform: free_address(),
            runners: Vec::new(),
            hosts: Vec::new(),
        };
        cluster.start_stand_ins();
        cluster.start_hosts();
        cluster.write_documents();
        cluster.wait_until_serving();
        cluster
    }

    fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.join(name);
        std::fs::write(&path, text).expect("a writable folder");
        path
    }

    fn start_stand_ins(&mut self) {
        let mut workers = String::new();
        let mut platform = format!("listen = \"{}\"\n", self.platform);
        for hall in HALLS {
            for n in 0..RUNNERS_PER_HALL {
                let address = free_address();
                let name = format!("{hall}-runner-{n}");
                self.runners.push(address);
                workers +=
                    &format!("[[runners]]\nname = \"{name}\"\nlisten = \"{address}\"\nslots = 8\n");
                platform += &format!(
                    "[[targets]]\nname = \"{name}\"\nhall = \"{hall}\"\naddress = \"{address}\"\nslots = 8\n"
                );
            }
        }
        let platform = self.write_file("platform.toml", &platform);
        let workers = self.write_file("workers.toml", &workers);
        self.stand_ins
            .push(spawn_program("standin-platform", &platform));
        self.stand_ins
            .push(spawn_program("standin-workers", &workers));
    }

    fn start_hosts(&mut self) {
        let mut hosts = Vec::new();
        for hall in HALLS {
            for n in 0..HOSTS_PER_HALL {
                hosts.push((hall, n, free_address(), free_address()));
            }
        }
        let peers: Vec<String> = hosts
            .iter()
            .map(|(.., peer)| format!("\"{peer}\""))
            .collect();
        for (hall, n, listen, peer) in &hosts {
            let text = format!(
                "name = \"{hall}-{n}\"\nhall = \"{hall}\"\nlisten = \"{listen}\"\npeer-listen = \"{peer}\"\nplatform = \"{}\"\npeers = [{}]\n{TUNING}",
                self.platform,
                peers.join(", ")
            );
            let settings = self.write_file(&format!("{hall}-{n}.toml"), &text);
            let child = Some(spawn_program("gannetridge-entry", &settings));
            self.hosts.push(Host {
                listen: *listen,
                settings,
                child,
            });
        }
    }

    fn write_documents(&self) {
        let documents = [
            ("hall/hall-a", "state = \"open\"\n"),
            ("hall/hall-b", "state = \"open\"\n"),
            ("template/level-check", "expected-ms = 100\n"),
            (
                "account/sava",
                "halls = [\"hall-a\", \"hall-b\"]\nquota-slots = 64\n[templates.level-check]\n",
            ),
        ];
        for (key, text) in documents {
            let path = format!("/v1/config/{key}?read-at=0&change-id=first-{key}");
            let accepted = || {
                let reply = call(self.hosts[0].listen, "PUT", &path, text);
                reply.is_ok_and(|r| r.status == 200)
            };
            wait_for("acceptance of a document", accepted);
        }
    }

    fn wait_until_serving(&self) {
        for host in &self.hosts {
            wait_for("a ready host", || {
                call(host.listen, "GET", "/readyz", "").is_ok_and(|r| r.status == 200)
            });
            wait_for("the first configuration", || {
                let status = call(host.listen, "GET", "/v1/status", "");
                status.is_ok_and(|r| r.body.contains("\"config-version\":4"))
            });
        }
        wait_for("shards divided evenly", || self.is_balanced());
    }

    /// Returns true if each host holds half of its hall's shards.
    pub fn is_balanced(&self) -> bool {
        (0..self.hosts.len()).all(|host| self.shards_of(host) == 12)
    }

    /// Returns the number of shards that a host reports to hold.
    pub fn shards_of(&self, host: usize) -> usize {
        let reply = call(self.hosts[host].listen, "GET", "/v1/status", "");
        let body = reply.map(|r| r.body).unwrap_or_default();
        let value: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
        value["shards"].as_array().map_or(0, Vec::len)
    }

    /// Returns the number of shards that all hosts report to hold.
    pub fn shards_held(&self) -> usize {
        (0..self.hosts.len()).map(|host| self.shards_of(host)).sum()
    }

    /// Returns the numbers of tasks that runners started, and that they started more than once.
    pub fn started_tasks(&self) -> (u64, u64) {
        let mut sum = (0, 0);
        for runner in &self.runners {
            let reply = call(*runner, "GET", "/counts", "").expect("a running stand-in");
            let counts: serde_json::Value = serde_json::from_str(&reply.body).expect("JSON");
            sum.0 += counts["begun"].as_u64().unwrap_or(0);
            sum.1 += counts["begun-twice"].as_u64().unwrap_or(0);
        }
        sum
    }

    /// Sets the faults of the platform's stand-in.
    pub fn set_platform_faults(&self, faults: &str) {
        call(self.platform, "POST", "/control", faults).expect("a running stand-in");
    }

    /// Sends a signal to a host's process.
    pub fn signal(&self, host: usize, signal: &str) {
        let child = self.hosts[host].child.as_ref().expect("a running host");
        let id = child.id().to_string();
        let kill = spawn_command(Command::new("kill").args([signal, &id]));
        let status = kill.and_then(|mut child| child.wait());
        assert!(status.expect("kill runs").success());
    }

    /// Waits for a host's process to exit. Returns true if its exit code is zero.
    pub fn exits_successfully(&mut self, host: usize) -> bool {
        let mut child = self.hosts[host].child.take().expect("a running host");
        child.wait().expect("a child").success()
    }

    /// Starts a new process of a host that has exited.
    pub fn restart(&mut self, host: usize) {
        let settings = self.hosts[host].settings.clone();
        self.hosts[host].child = Some(spawn_program("gannetridge-entry", &settings));
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let hosts = self.hosts.iter_mut().filter_map(|h| h.child.as_mut());
        for child in hosts.chain(self.stand_ins.iter_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::thread::panicking() {
            return eprintln!("the programs' logs are kept in {}", self.dir.display());
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Waits until a condition holds. Panics after half a minute.
pub fn wait_for(condition: &str, mut is_met: impl FnMut() -> bool) {
    let started = Instant::now();
    while !is_met() {
        assert!(
            started.elapsed() < Duration::from_secs(30),
            "timed out waiting for {condition}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Returns the system time in ms since the Unix epoch.
pub fn now_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a sane clock");
    now.as_millis() as u64
}

/// Returns the body of a submission of `tasks` tasks that run for `run_ms` each.
pub fn submission(id: &str, attempt: u32, tasks: usize, run_ms: u64) -> String {
    let task = |n| format!("{{\"input\":\"run-ms={run_ms} {n}\"}}");
    let tasks: Vec<String> = (0..tasks).map(task).collect();
    format!(
        "{{\"id\":\"{id}\",\"account\":\"sava\",\"template\":\"level-check\",\"tasks\":[{}],\"deadline-ms\":20000,\"attempt\":{attempt}}}",
        tasks.join(",")
    )
}

/// Sends a submission to a host.
pub fn submit(host: SocketAddr, body: &str) -> std::io::Result<Reply> {
    call(host, "POST", "/v1/submissions", body)
}

/// Sends a submission to the hosts in turn until there is a final reply.
pub fn submit_until_final(cluster: &Cluster, id: &str, tasks: usize, run_ms: u64) -> Reply {
    let mut last_reply = None;
    for attempt in 0..30 {
        let host = &cluster.hosts[attempt % cluster.hosts.len()];
        let body = submission(id, attempt as u32, tasks, run_ms);
        match submit(host.listen, &body) {
            Ok(reply) if reply.status != 503 => return reply,
            other => {
                last_reply = Some(other);
                std::thread::sleep(Duration::from_millis(1_000));
            }
        }
    }
    panic!("no final reply for {id}; last: {last_reply:?}");
}
