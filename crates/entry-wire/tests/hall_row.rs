//! The stored form of a hall's row.

use gannetridge_entry_wire::hall::{HallRow, Member};
use gannetridge_entry_wire::{Epoch, HostId, Time};

fn id(name: &str) -> HostId {
    HostId {
        name: name.into(),
        incarnation: 1_800_000_000_000_000,
    }
}

fn row() -> HallRow {
    let mut row = HallRow::empty();
    row.generation = 7;
    row.members.push(Member {
        id: id("a"),
        address: "10.0.0.1:7100".into(),
        joined: 1,
        renewed: 7,
        until: Time::from_millis(5),
    });
    for (n, shard) in row.shards.iter_mut().enumerate().skip(1) {
        shard.holder = Some(id(if n % 2 == 0 { "a" } else { "gone" }));
        shard.epoch = Epoch(n as u64);
        shard.fence = Epoch(2);
        shard.cutoff = Time::from_millis(n as u64);
    }
    row
}

#[test]
fn a_row_survives_storing_and_loading() {
    let text = serde_json::to_string(&row()).expect("an encodable row");
    let loaded: HallRow = serde_json::from_str(&text).expect("a valid row");
    assert_eq!(loaded, row());
    assert_eq!(
        text.matches("gone").count(),
        1,
        "each holder is stored once: {text}"
    );
}

/// Declares tests, each from a name, a part of a stored row with its replacement,
/// and the expected part of the error.
macro_rules! invalid_rows {
    ($($name:ident: $from:expr, $to:expr => $error:expr;)+) => {
        $(#[test]
        fn $name() {
            let text = serde_json::to_string(&row()).expect("an encodable row");
            let invalid = text.replacen($from, $to, 1);
            assert_ne!(invalid, text, "nothing was replaced");
            let error = serde_json::from_str::<HallRow>(&invalid).expect_err("an invalid row");
            assert!(error.to_string().contains($error), "{error}");
        })+
    };
}

invalid_rows! {
    an_unknown_holder: "[0,1,2", "[9,1,2" => "shard 1 names holder 9, and the row lists 2";
    a_missing_shard: "[null,0,0,0],", "" => "the row has 23 shards, a hall has 24";
    no_holders: "\"holders\"", "\"owners\"" => "holders";
}
