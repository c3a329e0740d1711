//! The table of bad documents: each fault names file, key, what was found and
//! what is allowed, all of them in one go.

use std::collections::BTreeMap;

use gannetridge_entry_config::{Document, DocumentKey, DocumentKind};

/// Declares tests, each a name, a kind and a bad document.
macro_rules! bad_documents {
    ($($name:ident: $kind:expr, $text:literal;)+) => {
        $(#[test]
        fn $name() {
            let faults = Document::read($kind, "file.toml", $text).expect_err("a bad document");
            insta::assert_snapshot!(stringify!($name), faults.to_string());
        })+
    };
}

bad_documents! {
    no_toml: DocumentKind::Hall, "state = ";
    unknown_state: DocumentKind::Hall, "state = \"shut\"";
    unknown_keys: DocumentKind::Hall, "stat = \"open\"\ncolour = 3";
    template_without_time: DocumentKind::Template, "max-tasks = 2000";
    template_with_bad_rules: DocumentKind::Template,
        "expected-ms = 0\n[parameters.a]\ntype = \"colour\"\n[parameters.b]\ntype = \"int\"\nmin = 5\nmax = 1\ndefault = 9\n[parameters.c]\ntype = \"text\"\nallowed = [\"x\"]\ndefault = \"y\"";
    account_with_everything_wrong: DocumentKind::Account,
        "halls = []\nurgency = \"now\"\nquota-slots = \"many\"\nrepeatable = 1\nhals = 2\n[templates.t]\nlist = [1]";
}

#[test]
fn references_are_checked_together() {
    let mut others = BTreeMap::new();
    let template =
        "expected-ms = 10\n[parameters.depth]\ntype = \"int\"\ndefault = 1\nmin = 1\nmax = 8";
    let key: DocumentKey = "template/turn".parse().expect("a key");
    others.insert(
        key,
        Document::read(DocumentKind::Template, "t", template).expect("a good template"),
    );
    let text = "halls = [\"nowhere\"]\nquota-slots = 1\n[templates.turn]\ndepth = 9\nwidth = 1\n[templates.other]\n";
    let account =
        Document::read(DocumentKind::Account, "a.toml", text).expect("in order by itself");
    let faults = account
        .check_references("a.toml", &others)
        .expect_err("bad references");
    insta::assert_snapshot!("references", faults.to_string());
}

#[test]
fn good_documents_are_read() {
    let account = "halls = [\"a\"]\nquota-slots = 4\n[templates.t]\ndepth = 3\n";
    assert!(Document::read(DocumentKind::Account, "a", account).is_ok());
    assert!(Document::read(DocumentKind::Hall, "h", "").is_ok());
}
