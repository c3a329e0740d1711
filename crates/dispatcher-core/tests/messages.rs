//! The encoded bytes of each message between hosts: detects moved fields and renamed variants,
//! which hosts of another release couldn't decode.

use std::fmt::Write;

use gannetridge_dispatcher_core::configuration::{
    Configuration, Queue, RequestLimits, UnusableQueue,
};
use gannetridge_dispatcher_core::event::{ProcessStartTime, TargetChange, TargetEntry};
use gannetridge_dispatcher_core::message::{
    AttemptEnd, AttemptId, AttemptOutcome, CrashRecord, Demand, DrainingUpdate, EchoedClock,
    Envelope, FreeResources, HandedTask, Heartbeat, HeartbeatReply, HolderLoad, HostInfo,
    PlatformUpdate, PoolLoad, Priority, PriorityClass, Reply, ReplyBody, Request, SpreadLimit,
    StoreUpdate, TargetFreeCapacity, TargetListUpdate, TaskOrder, WaitingWork,
};
use gannetridge_dispatcher_core::spec::Resources;
use gannetridge_wire::codec;

/// Declares tests by name, each with the message whose bytes its snapshot holds.
macro_rules! bytes {
    ($($name:ident: $message:expr;)+) => {
        $(#[test]
        fn $name() {
            insta::assert_snapshot!(stringify!($name), dump(&codec::encode(&$message).unwrap()));
        })+
    };
}

/// Formats bytes as hex, 16 per line, followed by their printable characters.
fn dump(bytes: &[u8]) -> String {
    let mut text = String::new();
    for line in bytes.chunks(16) {
        for byte in line {
            write!(text, "{byte:02x} ").unwrap();
        }
        text.push_str(&"   ".repeat(16 - line.len()));
        for byte in line {
            let is_printable = byte.is_ascii_graphic();
            text.push(if is_printable { char::from(*byte) } else { '.' });
        }
        text.push('\n');
    }
    text
}

fn host(name: &str) -> HostInfo {
    HostInfo {
        name: name.into(),
        address: "10.0.0.1:7001".parse().unwrap(),
        hall: "hall-a".into(),
        incarnation: 1_700_000_000_123,
        processor_weight: 250,
    }
}

fn attempt_id() -> AttemptId {
    AttemptId {
        task: "0123456789abcdef.0.1.2".into(),
        attempt: 3,
    }
}

fn resources(cpu: u32) -> Resources {
    Resources {
        cpu,
        memory_mb: 256,
        gpus: 1,
    }
}

fn free() -> FreeResources {
    FreeResources {
        pool: "pool-1".into(),
        resources: resources(700),
    }
}

fn order() -> TaskOrder {
    TaskOrder {
        id: attempt_id(),
        specification: "spec".into(),
        pool: "pool-1".into(),
        resources: resources(500),
        estimate_ms: 90,
        requirement: Some("arch-1".into()),
        rack: Some("rack-2".into()),
        spread: Some(SpreadLimit {
            step: "0123456789abcdef.0.1".into(),
            max_tasks: 4,
        }),
        avoid: vec!["target-7".into()],
    }
}

fn plain_order() -> TaskOrder {
    TaskOrder {
        requirement: None,
        rack: None,
        spread: None,
        avoid: Vec::new(),
        ..order()
    }
}

fn demand(class: PriorityClass) -> Demand {
    Demand {
        priority: Priority {
            class,
            urgency: 2,
            slack_ms: -40,
        },
        pool: "pool-1".into(),
        smallest: resources(500),
        tasks: 9,
    }
}

fn handed_task() -> HandedTask {
    HandedTask {
        order: plain_order(),
        queue: "queue-1".into(),
        priority: demand(PriorityClass::OnTime).priority,
        latest_start: 4_400,
    }
}

fn load() -> HolderLoad {
    HolderLoad {
        free_capacity: vec![TargetFreeCapacity {
            target: "target-7".into(),
            free: resources(700),
        }],
        pools: vec![PoolLoad {
            pool: "pool-1".into(),
            capacity_cpu: 16_000,
            used_cpu: 15_300,
            queue_cpu: 4_000,
            waiting: vec![WaitingWork {
                urgency: 2,
                tasks: 3,
                core_ms: 1_440,
            }],
        }],
    }
}

fn ends() -> Vec<AttemptEnd> {
    ended(&[
        AttemptOutcome::Done,
        AttemptOutcome::Failed,
        AttemptOutcome::Lost,
        AttemptOutcome::StaleAttempt,
        AttemptOutcome::NotStarted,
    ])
}

fn crashes() -> Vec<AttemptEnd> {
    ended(&[
        AttemptOutcome::CrashedAlone,
        AttemptOutcome::CrashedBesideOthers,
        AttemptOutcome::PerhapsCrashed,
    ])
}

fn ended(outcomes: &[AttemptOutcome]) -> Vec<AttemptEnd> {
    let ends = outcomes.iter().map(|outcome| AttemptEnd {
        id: attempt_id(),
        outcome: *outcome,
        target: "target-7".into(),
    });
    ends.collect()
}

fn configuration() -> Configuration {
    Configuration {
        version: 12,
        queues: vec![Queue {
            name: "queue-1".into(),
            host: "jobs.example".into(),
            prefix: "/q/".into(),
            pool: "pool-1".into(),
            urgency: 1,
            max_attempts: 3,
            extension: 2.5,
            slack_ms: 120,
        }],
        unusable: Vec::new(),
        limits: RequestLimits::default(),
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        leaving: true,
        version: 12,
        hosts_hash: 0x0102_0304_0506_0708,
    }
}

fn envelope(request: Request) -> Envelope {
    Envelope {
        from: host("host-a"),
        session: 5,
        echoed_clock: Some(EchoedClock {
            incarnation: 77,
            clock: 4_321,
        }),
        clock: 1_234,
        request,
    }
}

fn reply(body: ReplyBody) -> Reply {
    Reply {
        incarnation: 77,
        clock: 4_400,
        free: vec![free()],
        body,
    }
}

fn entry(process_start: Option<ProcessStartTime>) -> TargetEntry {
    TargetEntry {
        id: "target-7".into(),
        address: "10.0.0.2:80".into(),
        hall: "hall-a".into(),
        pool: "pool-1".into(),
        capacity: resources(4_000),
        labels: vec!["arch-1".into()],
        leaving: false,
        process_start,
    }
}

/// Returns an update with one entry of a target.
fn listing(process_start: Option<ProcessStartTime>) -> StoreUpdate {
    StoreUpdate {
        list: TargetListUpdate::Whole(vec![entry(process_start)]),
        ..store_update()
    }
}

fn store_update() -> StoreUpdate {
    StoreUpdate {
        targets_version: 300,
        configuration_version: 301,
        in_force: 11,
        age_ms: 120,
        settled: true,
        list: TargetListUpdate::Changes(vec![TargetChange::Removed("target-7".into())]),
    }
}

/// Declares tests, each with a name, a configuration and the number of its fields in a message.
macro_rules! configurations {
    ($($name:ident: $configuration:expr => $fields:expr;)+) => {
        $(#[test]
        fn $name() {
            let sent: Configuration = $configuration;
            let bytes = codec::encode(&sent).unwrap();
            // A message follows the protocol version, which takes a byte.
            assert_eq!(bytes[2], 0x90 + $fields, "a list of so many fields");
            let received: Configuration = codec::decode(&bytes).unwrap();
            assert_eq!(received, sent);
        })+
    };
}

fn tight_limits() -> RequestLimits {
    RequestLimits {
        body_bytes: 1_000,
        ..RequestLimits::default()
    }
}

// Hosts of earlier releases read a configuration whose last fields have their defaults.
configurations! {
    a_configuration_that_earlier_releases_read: configuration() => 2;
    a_configuration_with_an_unusable_queue: Configuration {
        unusable: vec![UnusableQueue::default()],
        ..configuration()
    } => 3;
    a_configuration_with_limits: Configuration { limits: tight_limits(), ..configuration() } => 4;
    a_configuration_with_both: Configuration {
        unusable: vec![UnusableQueue::default()],
        limits: tight_limits(),
        ..configuration()
    } => 4;
}

bytes! {
    request_beat: envelope(Request::Heartbeat(heartbeat()));
    request_without_echo: Envelope { echoed_clock: None, ..envelope(Request::Configuration) };
    request_place: envelope(Request::Place(vec![order(), plain_order()]));
    request_want: envelope(Request::Demand(Some(demand(PriorityClass::Started))));
    request_want_in_aim: envelope(Request::Demand(Some(demand(PriorityClass::OnTime))));
    request_want_late: envelope(Request::Demand(Some(demand(PriorityClass::Late))));
    request_want_worthless: envelope(Request::Demand(Some(demand(PriorityClass::Worthless))));
    request_no_want: envelope(Request::Demand(None));
    request_hand_over: envelope(Request::HandOver(vec![handed_task()]));
    request_room: envelope(Request::FreeCapacity(load()));
    request_offer: envelope(Request::Reservation(free()));
    request_stop: envelope(Request::Stop { keys: vec![attempt_id()], report: true });
    request_ended: envelope(Request::Ended(ends()));
    request_ended_crashed: envelope(Request::Ended(crashes()));
    request_place_alone: envelope(Request::PlaceAlone(vec![plain_order()]));
    request_crashes: envelope(Request::Crashes(vec![CrashRecord {
        task: attempt_id().task,
        attempt: 3,
        alone: 1,
        beside_others: 2,
        perhaps: 4,
    }]));
    request_queues: envelope(Request::Configuration);
    request_store_news: envelope(Request::StoreUpdates { after: 300 });
    request_platform_news: envelope(Request::PlatformUpdates { after: 300 });
    reply_store_news: reply(ReplyBody::StoreUpdates(Some(store_update())));
    reply_entry: reply(ReplyBody::StoreUpdates(Some(listing(None))));
    reply_entry_with_start: reply(ReplyBody::StoreUpdates(Some(listing(Some(
        ProcessStartTime(1_700_000_000_456)
    )))));
    reply_platform_news: reply(ReplyBody::PlatformUpdates(Some(PlatformUpdate {
        store: store_update(),
        draining: Some(DrainingUpdate { version: 301, halls: vec!["hall-b".into()] }),
    })));
    reply_no_platform_news: reply(ReplyBody::PlatformUpdates(None));
    reply_beat: reply(ReplyBody::Heartbeat(HeartbeatReply {
        leaving: false,
        version: 11,
        leased: vec!["target-7".into(), "target-8".into()],
        hosts: vec![host("host-a"), host("host-b")],
    }));
    reply_placed: reply(ReplyBody::Placed(vec![0, 2]));
    reply_handed_over: reply(ReplyBody::HandedOver { started: vec![0], waiting: vec![1, 2] });
    reply_with_load: reply(ReplyBody::WithLoad {
        load: load(),
        body: Box::new(ReplyBody::Acknowledged),
    });
    reply_interested: reply(ReplyBody::Interested(true));
    reply_queues: reply(ReplyBody::Configuration(Some(configuration())));
    reply_no_queues: reply(ReplyBody::Configuration(None));
    reply_noted: reply(ReplyBody::Acknowledged);
    reply_stale: reply(ReplyBody::Stale);
}

/// Entries of earlier releases have no start time.
#[test]
fn entries_with_and_without_a_start_time_are_decoded() {
    for process_start in [None, Some(ProcessStartTime(1_700_000_000_456))] {
        let entry = entry(process_start);
        let bytes = codec::encode(&entry).unwrap();
        assert_eq!(codec::decode::<TargetEntry>(&bytes).unwrap(), entry);
    }
}
