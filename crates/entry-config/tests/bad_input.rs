//! Validation of documents: all faults are reported together, each with its
//! file, key, the value found and the allowed values.

use std::collections::BTreeMap;

use gannetridge_entry_config::{Document, DocumentKey, DocumentKind};

/// Declares tests, each from a name, a document kind and an invalid document.
macro_rules! bad_documents {
    ($($name:ident: $kind:expr, $text:literal;)+) => {
        $(#[test]
        fn $name() {
            let faults = Document::read($kind, "file.toml", $text).expect_err("an invalid document");
            insta::assert_snapshot!(stringify!($name), faults.to_string());
        })+
    };
}

bad_documents! {
    invalid_toml: DocumentKind::Hall, "state = ";
    unknown_state: DocumentKind::Hall, "state = \"shut\"";
    unknown_keys: DocumentKind::Hall, "stat = \"open\"\ncolour = 3";
    template_without_expected_ms: DocumentKind::Template, "max-tasks = 2000";
    template_with_invalid_rules: DocumentKind::Template,
        "expected-ms = 0\n[parameters.a]\ntype = \"colour\"\n[parameters.b]\ntype = \"int\"\nmin = 5\nmax = 1\ndefault = 9\n[parameters.c]\ntype = \"text\"\nallowed = [\"x\"]\ndefault = \"y\"";
    account_with_all_keys_invalid: DocumentKind::Account,
        "halls = []\nurgency = \"now\"\nquota-slots = \"many\"\nrepeatable = 1\nhals = 2\n[templates.t]\nlist = [1]";
}

#[test]
fn all_invalid_references_are_reported() {
    let mut documents = BTreeMap::new();
    let template =
        "expected-ms = 10\n[parameters.depth]\ntype = \"int\"\ndefault = 1\nmin = 1\nmax = 8";
    let key: DocumentKey = "template/turn".parse().expect("a key");
    documents.insert(
        key,
        Document::read(DocumentKind::Template, "t", template).expect("a valid template"),
    );
    let text = "halls = [\"nowhere\"]\nquota-slots = 1\n[templates.turn]\ndepth = 9\nwidth = 1\n[templates.other]\n";
    let account = Document::read(DocumentKind::Account, "a.toml", text).expect("valid by itself");
    let faults = account
        .check_references("a.toml", &documents)
        .expect_err("invalid references");
    insta::assert_snapshot!("references", faults.to_string());
}

#[test]
fn valid_documents_are_accepted() {
    let account = "halls = [\"a\"]\nquota-slots = 4\n[templates.t]\ndepth = 3\n";
    assert!(Document::read(DocumentKind::Account, "a", account).is_ok());
    assert!(Document::read(DocumentKind::Hall, "h", "").is_ok());
}
