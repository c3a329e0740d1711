//! The hall's row as the table keeps it.

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
fn a_row_comes_back_as_it_was_stored() {
    let text = serde_json::to_string(&row()).expect("plain data");
    let back: HallRow = serde_json::from_str(&text).expect("what was stored");
    assert_eq!(back, row());
    assert_eq!(text.matches("gone").count(), 1, "names stand once: {text}");
}

/// Declares tests, each a name, what is replaced in a stored row and by what,
/// and a part of the error.
macro_rules! bad_rows {
    ($($name:ident: $from:expr, $to:expr => $error:expr;)+) => {
        $(#[test]
        fn $name() {
            let text = serde_json::to_string(&row()).expect("plain data");
            let bad = text.replacen($from, $to, 1);
            assert_ne!(bad, text, "something was replaced");
            let error = serde_json::from_str::<HallRow>(&bad).expect_err("a bad row");
            assert!(error.to_string().contains($error), "{error}");
        })+
    };
}

bad_rows! {
    an_unknown_holder: "[0,1,2", "[9,1,2" => "shard 1 names holder 9, and the row lists 2";
    a_missing_shard: "[null,0,0,0],", "" => "the row has 23 shards, a hall has 24";
    no_holders: "\"holders\"", "\"owners\"" => "holders";
}
