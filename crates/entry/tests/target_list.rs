//! Decoding of the platform's list of targets, with odd entries of other writers.

use gannetridge_entry::target_list::decode;

const VALID: &str =
    r#"{"name":"t-1","address":"10.0.0.2:80","hall":"north","slots":8,"leaving":false}"#;

/// Returns the names of the usable targets, of those gone and of the faulty entries of a list with
/// an entry before a valid one.
fn names(entry: &str) -> [Vec<String>; 3] {
    let body = format!(r#"{{"version":3,"targets":[{entry},{VALID}],"gone":["t-9"]}}"#);
    let decoded = decode(body.as_bytes()).expect("a list");
    assert_eq!(decoded.list.version, 3);
    let targets = decoded.list.targets.iter();
    let faulty = decoded.faulty.iter();
    [
        targets.map(|target| target.name.to_string()).collect(),
        decoded.list.gone.iter().map(ToString::to_string).collect(),
        faulty.map(|entry| entry.name.to_string()).collect(),
    ]
}

/// Declares tests, each with a name, an odd entry and the name that can be read of it.
macro_rules! odd_entries {
    ($($name:ident: $entry:expr => $read:literal;)+) => {
        $(#[test]
        fn $name() {
            let [usable, gone, faulty] = names($entry.as_ref());
            assert_eq!(usable, ["t-1"]);
            assert_eq!(faulty, [$read]);
            let named = [$read].into_iter().filter(|name| !name.is_empty());
            assert_eq!(gone, ["t-9"].into_iter().chain(named).collect::<Vec<_>>());
        })+
    };
}

fn odd(from: &str, to: &str) -> String {
    VALID.replace("t-1", "odd").replace(from, to)
}

// Guards against an odd entry that hides the whole list.
odd_entries! {
    a_nested_entry: "[".repeat(40_000) + &"]".repeat(40_000) => "";
    a_nested_field: odd("\"north\"", &("[".repeat(40_000) + &"]".repeat(40_000))) => "odd";
    a_number_over_its_type: odd("8,", "4294967296,") => "odd";
    a_number_that_no_float_holds: odd("8,", "1e400,") => "odd";
    more_slots_than_can_be_used: odd("8,", "4294967295,") => "odd";
    a_port_out_of_range: odd(":80", ":65536") => "odd";
    a_missing_field: odd("\"leaving\":false", "\"left\":false") => "odd";
    a_name_that_is_no_text: odd("\"odd\"", "7") => "";
    a_name_that_is_no_unicode: odd("odd", "\\ud800") => "";
    a_text: "\"odd\"" => "";
}

#[test]
fn bytes_that_are_not_utf_8_affect_their_entry_alone() {
    let entry = odd("north", "@");
    let body = format!(r#"{{"version":3,"targets":[{entry},{VALID}]}}"#);
    let body: Vec<u8> = body
        .bytes()
        .map(|b| if b == b'@' { 0xff } else { b })
        .collect();
    let decoded = decode(&body).expect("a list");
    assert_eq!(decoded.list.targets.len(), 2);
    assert_eq!(&*decoded.list.targets[1].hall, "north");
}

#[test]
fn a_body_that_is_no_list_is_an_error() {
    assert!(decode(b"[1]").is_err());
    assert!(decode(br#"{"version":"x","targets":[]}"#).is_err());
}
