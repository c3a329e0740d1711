//! Cost of membership updates when hosts restart in a large deployment.

mod support;

use std::collections::{HashMap, VecDeque};

use gannetridge_dispatcher_core::message::{HostInfo, Reply, ReplyBody};
use gannetridge_dispatcher_core::{Action, CallId, Dispatcher, Event, Millis, RequestId, Settings};
use gannetridge_wire::codec;
use support::{case, queues, BOUNDS};

const HALLS: usize = 5;
/// Interval between restarts, in ms.
const RESTART_INTERVAL_MS: Millis = 250;
const STEP_MS: Millis = 100;

/// A network of hosts without delay.
struct Network {
    now: Millis,
    hosts: Vec<Dispatcher>,
    /// Actions to be carried out, each with the host from which it comes.
    actions: VecDeque<(usize, Action)>,
    /// The host and call that wait for the reply to a request.
    calls: HashMap<RequestId, (usize, CallId)>,
    last_request: u64,
    /// Number of the replies that list hosts.
    lists: usize,
    /// Encoded size of these lists, in bytes.
    list_bytes: usize,
}

fn settings(index: usize, now: Millis) -> Settings {
    Settings {
        name: format!("host-{index}").into(),
        address: ([127, 0, 0, 1], index as u16 + 1).into(),
        hall: format!("hall-{}", index % HALLS).into(),
        incarnation: 1 + now,
        processor_weight: 120,
        seeds: vec![([127, 0, 0, 1], 1).into()],
        bounds: BOUNDS,
        epoch_ms: 1_760_000_000_000,
        far_slowdown: 1.5,
        scheduling: gannetridge_dispatcher_core::Scheduling::default(),
        safeguards: gannetridge_dispatcher_core::Safeguards::default(),
    }
}

impl Network {
    fn start(count: usize) -> Self {
        let hosts = (0..count).map(|index| Dispatcher::new(settings(index, 0)).unwrap());
        let mut network = Self {
            now: 1,
            hosts: hosts.collect(),
            actions: VecDeque::new(),
            calls: HashMap::new(),
            last_request: 0,
            lists: 0,
            list_bytes: 0,
        };
        let known: Vec<HostInfo> = network.hosts.iter().map(|h| h.info().clone()).collect();
        for index in 0..count {
            network.deliver(index, Event::ConfigurationRead(queues(1)));
            network.deliver(index, Event::HostsRead(known.clone()));
        }
        network
    }

    fn deliver(&mut self, host: usize, event: Event) {
        let actions = self.hosts[host].handle(self.now, event);
        let actions = actions.into_iter().map(|action| (host, action));
        self.actions.extend(actions);
    }

    fn advance(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            for host in 0..self.hosts.len() {
                self.deliver(host, Event::Tick);
            }
            while let Some((from, action)) = self.actions.pop_front() {
                self.carry_out(from, action);
            }
        }
    }

    fn carry_out(&mut self, from: usize, action: Action) {
        match action {
            Action::Call {
                call,
                address,
                envelope,
                ..
            } => {
                let to = usize::from(address.port()) - 1;
                self.last_request += 1;
                let request_id = RequestId(self.last_request);
                self.calls.insert(request_id, (from, call));
                let event = Event::Peer {
                    request_id,
                    envelope,
                };
                self.deliver(to, event);
            }
            Action::Reply { request_id, reply } => {
                self.count_list(&reply);
                // Requests from before a restart are unknown here; their replies are dropped.
                if let Some((host, call)) = self.calls.remove(&request_id) {
                    let reply = Ok(reply);
                    self.deliver(host, Event::PeerReply { call, reply });
                }
            }
            _ => {}
        }
    }

    fn count_list(&mut self, reply: &Reply) {
        if let ReplyBody::Heartbeat(heartbeat) = &reply.body {
            if !heartbeat.hosts.is_empty() {
                self.lists += 1;
                self.list_bytes += codec::encode(&heartbeat.hosts).unwrap().len();
            }
        }
    }

    /// Restarts a host, which learns of the others from its seed, not from the store.
    fn restart(&mut self, host: usize) {
        self.calls.retain(|_, (from, _)| *from != host);
        self.hosts[host] = Dispatcher::new(settings(host, self.now)).unwrap();
        self.deliver(host, Event::ConfigurationRead(queues(1)));
    }

    /// Returns how many hosts know all others as alive.
    fn hosts_with_all_peers_alive(&self) -> usize {
        let all = self.hosts.len() - 1;
        let hosts = self.hosts.iter();
        let now = self.now;
        hosts
            .filter(|host| host.counts(now).peers_alive == all)
            .count()
    }
}

/// Restarts some hosts in turn; returns the bytes of host lists per restart and host.
fn list_bytes_per_restart(count: usize, restarts: usize) -> usize {
    let mut network = Network::start(count);
    network.advance(8_200);
    (network.lists, network.list_bytes) = (0, 0);
    for host in 0..restarts {
        network.restart(1 + host);
        network.advance(RESTART_INTERVAL_MS);
    }
    network.advance(5_000);
    assert_eq!(
        network.hosts_with_all_peers_alive(),
        count,
        "all hosts know all others again"
    );
    network.list_bytes / restarts / count
}

// Guards against sending the full list of hosts wherever hashes differ, which exceeds the
// bound.
case!(
    a_restart_costs_each_of_150_hosts_a_bounded_number_of_bytes,
    {
        let bytes = list_bytes_per_restart(150, 4);
        println!("{bytes} bytes");
        assert!(bytes < 1_000, "{bytes}");
    }
);

case!(a_restart_costs_each_of_300_hosts_no_more, {
    let bytes = list_bytes_per_restart(300, 4);
    println!("{bytes} bytes");
    assert!(bytes < 1_000, "{bytes}");
});
