//! Requests for queues whose configuration can't be used, and for the queues beside them.

mod support;

use gannetridge_dispatcher_core::configuration::{Configuration, Queue, UnusableQueue};
use gannetridge_dispatcher_core::{Answer, Event, RequestId};
use support::{case, queues, step, target, Rig};

/// Returns a host with an unusable queue below the usable one, and a usable one below that.
fn host() -> Rig {
    let mut rig = Rig::holding_targets(&[target("t", 16)]);
    let mut listed = queues(2).queues;
    listed.push(Queue {
        prefix: "/turns/odd/good/".into(),
        ..listed[0].clone()
    });
    rig.event(Event::ConfigurationRead(Configuration {
        version: 2,
        queues: listed,
        unusable: vec![
            UnusableQueue {
                name: "odd".into(),
                host: "game.example".into(),
                prefix: "/turns/odd/".into(),
            },
            UnusableQueue::default(),
        ],
        ..queues(2)
    }));
    rig
}

/// Returns the answer to a job at a prefix; `None` if the job was taken.
fn answer_at(prefix: &str) -> Option<Answer> {
    let mut rig = host();
    rig.submit_to(
        prefix,
        1,
        "0000000000000001",
        vec![step(1, 1_000, 50)],
        1_500,
    );
    let found = rig.answers.iter().find(|(id, _)| *id == RequestId(1));
    found.map(|(_, answer)| answer.clone())
}

// Guards against a job that is taken by, or refused because of, another queue's configuration.
case!(a_job_of_an_unusable_queue_is_refused_at_once, {
    assert_eq!(answer_at("/turns/odd/"), Some(Answer::QueueUnusable));
});

case!(queues_beside_an_unusable_one_take_jobs, {
    assert_eq!(answer_at("/turns/"), None);
    assert_eq!(answer_at("/turns/odd/good/"), None);
});

case!(a_queue_that_does_not_exist_is_not_unusable, {
    assert_eq!(answer_at("/other/"), Some(Answer::NoQueue));
});

case!(a_query_about_an_unusable_queue_is_refused, {
    let mut rig = host();
    rig.event(Event::Query {
        request_id: RequestId(1),
        host: "game.example".into(),
        path: "/turns/odd/".into(),
    });
    assert_eq!(rig.answers, [(RequestId(1), Answer::QueueUnusable)]);
});
