//! Runs the program under crowds of clients that don't behave, one crowd at a time. The platform
//! can't be reached: what is checked is that the process lives within its limits and answers.

#[path = "../../../platform/tests/misbehaving_clients/crowd.rs"]
mod crowd;
#[path = "../../../platform/tests/misbehaving_clients/usage.rs"]
mod usage;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crowd::{Crowd, Form};
use usage::Sampler;

/// A limit for any step of these tests, also on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);
/// After this time without an answer an ordinary caller tries again.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest body of a submission by default, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Held by the running test: crowds don't share the machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A running host.
struct Host {
    child: Child,
    listen: SocketAddr,
    peer_listen: SocketAddr,
    settings: PathBuf,
}

/// Returns an address that nothing listens on.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    listener.local_addr().expect("a bound address")
}

impl Host {
    /// Starts a host; the system enforces its limit on descriptors.
    fn start(name: &str, memory_mb: usize, descriptors: usize) -> Self {
        let [listen, peer_listen, platform] = [(); 3].map(|()| free_address());
        let text = format!(
            "name = \"{name}\"\nhall = \"north\"\nlisten = \"{listen}\"\n\
             peer-listen = \"{peer_listen}\"\nplatform = \"{platform}\"\n\
             [limits]\nmemory-mb = {memory_mb}\nmax-file-descriptors = {descriptors}\n"
        );
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let settings = dir.join(format!("{name}-{}.toml", listen.port()));
        std::fs::write(&settings, text).expect("a file");
        let child = Command::new("sh")
            .args([
                "-c",
                "ulimit -n \"$1\" && exec \"$2\" --settings \"$3\"",
                "sh",
            ])
            .arg(descriptors.to_string())
            .arg(env!("CARGO_BIN_EXE_gannetridge-entry"))
            .arg(&settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        Self {
            child,
            listen,
            peer_listen,
            settings,
        }
    }

    /// Asserts that an ordinary submission is answered: without the platform it is refused.
    fn assert_answers_a_submission(&self) {
        let body = r#"{"id":"north.1700000000000.x","account":"a","template":"t","tasks":[{"input":"x"}],"deadline-ms":1000}"#;
        self.request_until("POST /v1/submissions", body, "HTTP/1.1 ");
    }

    fn assert_answers_a_query(&self) {
        self.request_until("GET /v1/status", "", "HTTP/1.1 200");
    }

    /// Repeats a request until the response starts with `prefix`.
    fn request_until(&self, head: &str, body: &str, prefix: &str) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let text = request(self.listen, head, body);
            if text.starts_with(prefix) {
                return;
            }
            assert!(Instant::now() < deadline, "{head}: {text:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Sends a request that closes its connection; returns the whole response, or what came of it.
fn request(address: SocketAddr, head: &str, body: &str) -> String {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT) else {
        return String::new();
    };
    stream
        .set_read_timeout(Some(ANSWER_TIMEOUT))
        .expect("a time");
    let length = body.len();
    let message = format!(
        "{head} HTTP/1.1\r\nHost: north\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    let mut text = String::new();
    if stream.write_all(message.as_bytes()).is_ok() {
        // A response that is cut off isn't accepted.
        let _ = stream.read_to_string(&mut text);
    }
    text
}

/// Which of the host's addresses a crowd connects to.
#[derive(Clone, Copy, Debug)]
enum Address {
    Callers,
    Peers,
}

/// Runs a crowd against a host with these limits.
fn survives(
    name: &str,
    (memory_mb, descriptors): (usize, usize),
    connections: usize,
    address: Address,
    form: Form,
) {
    let _one = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut host = Host::start(name, memory_mb, descriptors);
    host.assert_answers_a_query();
    let ports = [host.listen.port(), host.peer_listen.port()];
    let sampler = Sampler::start(host.child.id(), ports.to_vec());
    let address = match address {
        Address::Callers => host.listen,
        Address::Peers => host.peer_listen,
    };
    let crowd = Crowd {
        connections,
        address,
        form,
    };
    let mut crowd = crowd.connect();
    crowd.send();
    host.assert_answers_a_query();
    host.assert_answers_a_submission();
    drop(crowd);
    host.assert_answers_a_submission();
    let has_ended = host.child.try_wait().expect("a child").is_some();
    assert!(!has_ended, "the process ended");
    let peak = sampler.stop();
    println!("{name}: {peak:?} of {memory_mb} MB, {descriptors} descriptors");
    assert!(peak.memory_bytes <= memory_mb * 1_000_000, "{peak:?}");
    assert!(peak.descriptors <= descriptors, "{peak:?}");
}

/// Returns a client that submits a body.
fn submission(body: Vec<u8>) -> Form {
    let head = format!(
        "POST /v1/submissions HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    Form::new(move |_| [head.as_bytes(), &body[..]].concat())
}

/// Returns a client that submits a body of this length.
fn body(length: usize) -> Form {
    let start = r#"{"id":""#;
    let filler = "x".repeat(length - start.len() - 2);
    submission(format!("{start}{filler}\"}}").into_bytes())
}

/// Returns a client that submits many tasks without an input.
fn empty_tasks(count: usize) -> Form {
    let tasks = vec![r#"{"input":""}"#; count].join(",");
    submission(format!(r#"{{"tasks":[{tasks}]}}"#).into_bytes())
}

/// Returns a client that submits many parameters.
fn parameters(count: usize) -> Form {
    let entries: Vec<String> = (0..count).map(|n| format!("\"{n}\":1")).collect();
    submission(format!(r#"{{"parameters":{{{}}}}}"#, entries.join(",")).into_bytes())
}

/// Returns a client that sends a peer's message but for its last byte.
fn peer_message(length: usize) -> Form {
    let head = format!("POST /peer HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
    Form::new(move |_| [head.as_bytes(), &vec![0; length - 1]].concat())
}

/// Returns a client that connects and sends nothing.
fn idle() -> Form {
    Form::new(|_| Vec::new())
}

/// Limits of memory and descriptors for crowds that take memory.
const MEMORY: (usize, usize) = (48, 4_100);
/// Limits of memory and descriptors for crowds that take descriptors.
const DESCRIPTORS: (usize, usize) = (260, 400);

/// Declares tests, each with a name, the host's limits and the crowd.
macro_rules! crowds {
    ($($name:ident: $limits:expr, $connections:expr, $address:ident, $form:expr;)+) => {
        $(#[test]
        fn $name() {
            survives(stringify!($name), $limits, $connections, Address::$address, $form);
        })+
    };
}

crowds! {
    bodies_that_stop_a_byte_short:
        MEMORY, 60, Callers, body(MAX_BODY_BYTES).stopping_short();
    bodies_in_pieces_that_stop_a_byte_short:
        MEMORY, 60, Callers, body(MAX_BODY_BYTES).stopping_short().in_pieces(16_384);
    whole_bodies:
        MEMORY, 60, Callers, body(MAX_BODY_BYTES);
    bodies_of_many_tasks:
        MEMORY, 60, Callers, empty_tasks(300_000);
    bodies_of_many_parameters:
        MEMORY, 60, Callers, parameters(350_000);
    messages_at_the_address_of_peers:
        MEMORY, 60, Peers, peer_message(MAX_BODY_BYTES);
    idle_connections:
        DESCRIPTORS, 500, Callers, idle();
    idle_connections_to_the_address_of_peers:
        DESCRIPTORS, 500, Peers, idle();
    started_bodies:
        DESCRIPTORS, 500, Callers, body(200).stopping_short();
}
