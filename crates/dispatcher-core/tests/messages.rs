//! The bytes of each message between hosts. Fields stand by position and
//! variants by name, so a moved field or a renamed variant shows here: hosts of
//! two versions talk to each other while a release is rolled out.

use std::fmt::Write;

use gannetridge_dispatcher_core::message::{
    Beat, BeatReply, Echo, End, Envelope, FreeRoom, HostInfo, Rank, Reply, ReplyBody, Request,
    RunEnd, RunKey, TaskOrder, Urge, Want,
};
use gannetridge_dispatcher_core::queues::{Queue, Queues};
use gannetridge_dispatcher_core::spec::Room;
use gannetridge_wire::codec;

/// Declares tests, each a name and the message that its snapshot holds.
macro_rules! bytes {
    ($($name:ident: $message:expr;)+) => {
        $(#[test]
        fn $name() {
            insta::assert_snapshot!(stringify!($name), dump(&codec::encode(&$message).unwrap()));
        })+
    };
}

/// Writes bytes as hex, 16 in a line, with what is printable beside them.
fn dump(bytes: &[u8]) -> String {
    let mut text = String::new();
    for line in bytes.chunks(16) {
        for byte in line {
            write!(text, "{byte:02x} ").unwrap();
        }
        text.push_str(&"   ".repeat(16 - line.len()));
        for byte in line {
            let shown = byte.is_ascii_graphic();
            text.push(if shown { char::from(*byte) } else { '.' });
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
        power: 250,
    }
}

fn key() -> RunKey {
    RunKey {
        task: "0123456789abcdef.0.1.2".into(),
        run: 3,
    }
}

fn room(cpu: u32) -> Room {
    Room {
        cpu,
        memory_mb: 256,
        gpus: 1,
    }
}

fn free() -> FreeRoom {
    FreeRoom {
        pool: "pool-1".into(),
        room: room(700),
    }
}

fn order() -> TaskOrder {
    TaskOrder {
        key: key(),
        specification: "spec".into(),
        pool: "pool-1".into(),
        room: room(500),
        estimate_ms: 90,
        requirement: Some("arch-1".into()),
        rack: Some("rack-2".into()),
        spread: Some(("0123456789abcdef.0.1".into(), 4)),
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

fn want(rank: Rank) -> Want {
    Want {
        urge: Urge {
            rank,
            urgency: 2,
            slack_ms: -40,
        },
        pool: "pool-1".into(),
        least: room(500),
        count: 9,
    }
}

fn ends() -> Vec<RunEnd> {
    [End::Done, End::Failed, End::Lost, End::Outnumbered]
        .into_iter()
        .map(|end| RunEnd {
            key: key(),
            end,
            target: "target-7".into(),
        })
        .collect()
}

fn queues() -> Queues {
    Queues {
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
    }
}

fn beat() -> Beat {
    Beat {
        leaving: true,
        version: 12,
        hosts_hash: 0x0102_0304_0506_0708,
    }
}

fn ask(request: Request) -> Envelope {
    Envelope {
        from: host("host-a"),
        session: 5,
        echo: Some(Echo {
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

bytes! {
    request_beat: ask(Request::Beat(beat()));
    request_without_echo: Envelope { echo: None, ..ask(Request::Queues) };
    request_place: ask(Request::Place(vec![order(), plain_order()]));
    request_want: ask(Request::Want(Some(want(Rank::Begun))));
    request_want_in_aim: ask(Request::Want(Some(want(Rank::InAim))));
    request_want_late: ask(Request::Want(Some(want(Rank::Late))));
    request_want_worthless: ask(Request::Want(Some(want(Rank::Worthless))));
    request_no_want: ask(Request::Want(None));
    request_offer: ask(Request::Offer(free()));
    request_stop: ask(Request::Stop { keys: vec![key()], report: true });
    request_ended: ask(Request::Ended(ends()));
    request_queues: ask(Request::Queues);
    reply_beat: reply(ReplyBody::Beat(BeatReply {
        leaving: false,
        version: 11,
        kept: vec!["target-7".into(), "target-8".into()],
        hosts: vec![host("host-a"), host("host-b")],
    }));
    reply_placed: reply(ReplyBody::Placed(vec![0, 2]));
    reply_interested: reply(ReplyBody::Interested(true));
    reply_queues: reply(ReplyBody::Queues(Some(queues())));
    reply_no_queues: reply(ReplyBody::Queues(None));
    reply_noted: reply(ReplyBody::Noted);
    reply_stale: reply(ReplyBody::Stale);
}
