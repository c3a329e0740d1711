//! Encoding of messages between hosts, and parsing of submission ids.

use gannetridge_entry_wire::answer::{Refusal, TaskResult};
use gannetridge_entry_wire::peer::{LendableSlots, PeerReply, PeerRequest};
use gannetridge_entry_wire::{
    Answer, FailureCause, HostId, Rejection, RunStatus, Submission, SubmissionId, SubmissionIdError,
};
use gannetridge_wire::codec::{decode, encode, CodecError};

#[test]
fn a_request_survives_encoding_and_decoding() {
    let request = PeerRequest::Borrow {
        from: "10.0.0.1:7100".into(),
        count: 7,
        over_quota: false,
        due: gannetridge_entry_wire::Time::from_millis(5),
        wait_ms: 200,
    };
    let bytes = encode(&request).expect("encodable");
    let decoded: PeerRequest = decode(&bytes).expect("decodable");
    assert_eq!(decoded, request);
}

/// Declares tests, each from a name and an answer that must decode to the same
/// value.
macro_rules! answers_round_trip {
    ($($name:ident: $answer:expr;)+) => {
        $(#[test]
        fn $name() {
            let spare = LendableSlots { free: 3, surplus: 1, waits: true };
            let reply = PeerReply::Answer { answer: $answer, spare };
            let bytes = encode(&reply).expect("encodable");
            let decoded: PeerReply = decode(&bytes).expect("decodable");
            assert_eq!(decoded, reply);
        })+
    };
}

answers_round_trip! {
    complete: Answer::Complete {
        results: vec![TaskResult { index: 0, output: "ok".to_owned() }],
    };
    failed: Answer::Failed { cause: FailureCause::OwnerLost, ran: RunStatus::Unknown };
    refused: Answer::Refused { reason: Refusal::NoCapacity, retry_after_ms: 7 };
    pending: Answer::Pending { retry_after_ms: 9 };
    rejected: Answer::Rejected {
        reason: Rejection::Parameter { key: "depth".to_owned(), allowed: "1 to 4".to_owned() },
    };
    rejected_without_details: Answer::Rejected { reason: Rejection::ContentsDiffer };
}

#[test]
fn a_submission_round_trips_with_and_without_optional_fields() {
    let text = r#"{"id":"a.5.k","account":"x","template":"t","parameters":{"n":3,"s":"y","b":true},
        "tasks":[{"input":"1"},{"input":"2","expected-ms":40}],"deadline-ms":900,"attempt":2}"#;
    let submission: Submission = serde_json::from_str(text).expect("a submission");
    let request = PeerRequest::Submit {
        from: HostId {
            name: "h".into(),
            incarnation: 4,
        },
        serial: 8,
        again: true,
        submission,
    };
    let bytes = encode(&request).expect("encodable");
    let decoded: PeerRequest = decode(&bytes).expect("decodable");
    assert_eq!(decoded, request);
}

#[test]
fn another_protocol_with_fields_by_position_is_rejected_with_its_version() {
    let bytes = rmp_serde::to_vec(&(77_u16, "whatever")).expect("encodable");
    let error = decode::<PeerReply>(&bytes).expect_err("another protocol");
    assert!(matches!(error, CodecError::Protocol { got: 77 }));
}

#[test]
fn another_protocol_with_named_fields_is_rejected_with_its_version() {
    #[derive(serde::Serialize)]
    struct Foreign {
        protocol: u16,
        message: u8,
    }
    let bytes = rmp_serde::to_vec_named(&Foreign {
        protocol: 9,
        message: 1,
    })
    .expect("encodable");
    let error = decode::<PeerReply>(&bytes).expect_err("another protocol");
    assert!(matches!(error, CodecError::Protocol { got: 9 }));
    assert!(matches!(
        decode::<PeerReply>(b"nonsense"),
        Err(CodecError::Decode(_))
    ));
}

/// Declares tests, each from a name, an invalid id and the expected error.
macro_rules! invalid_ids {
    ($($name:ident: $text:expr => $error:pat,)+) => {
        $(#[test]
        fn $name() {
            let error = $text.parse::<SubmissionId>().expect_err("an invalid id");
            assert!(matches!(error, $error), "{error:?}");
        })+
    };
}

invalid_ids! {
    too_few_parts: "hall.5" => SubmissionIdError::Parts(_),
    creation_time_is_no_number: "hall.now.x" => SubmissionIdError::Created(_),
    empty_hall: ".5.x" => SubmissionIdError::Key(_),
    disallowed_character: "hall.5.a/b" => SubmissionIdError::Key(_),
    too_long_key: format!("hall.5.{}", "x".repeat(97)) => SubmissionIdError::Key(_),
}

#[test]
fn the_shard_of_an_id_is_stable_and_in_range() {
    let id: SubmissionId = "hall.1700000000000.move-17".parse().expect("an id");
    let shard = id.shard("kaiguvalgus");
    assert_eq!(
        (&*shard.hall, shard.index),
        ("hall", id.shard("kaiguvalgus").index)
    );
    assert!(shard.index < 24);
    assert_eq!(id.to_string(), "hall.1700000000000.move-17");
}
