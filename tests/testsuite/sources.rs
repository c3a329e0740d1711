//! What must not stand in the sources.

use std::path::{Path, PathBuf};

fn sources(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(dir).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

/// Returns the sources outside `platform/`.
fn sources_outside_platform(root: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    sources(&root.join("crates"), &mut files);
    sources(&root.join("src"), &mut files);
    assert!(files.len() > 50, "the sources were found");
    files
}

#[test]
fn only_one_place_builds_a_runtime_and_none_uses_io_uring() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for file in sources_outside_platform(root) {
        let text = std::fs::read_to_string(&file).expect("a source file");
        let builds = text.contains("RuntimeBuilder");
        assert_eq!(
            builds,
            file.ends_with("net/src/runtime.rs"),
            "{}",
            file.display()
        );
        for word in [
            "FusionDriver",
            "IoUringDriver",
            "monoio::main",
            "monoio::test",
        ] {
            assert!(!text.contains(word), "{word} in {}", file.display());
        }
    }
}

/// The platform's paths, fields and headers; they stand in `platform/` alone.
const PLATFORM_WORDS: [&str; 12] = [
    "rows-tx",
    "rows-feed",
    "rows-get",
    "run-start",
    "run-stop",
    "/-/",
    "expected_revision",
    "best_effort",
    "x-expected-instance",
    "last_seen",
    "private_key",
    "memory_request_mb",
];

#[test]
fn the_platforms_words_stand_in_its_folder_alone() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for file in sources_outside_platform(root) {
        let text = std::fs::read_to_string(&file).expect("a source file");
        let text = text.to_lowercase();
        for word in PLATFORM_WORDS {
            assert!(!text.contains(word), "{word} in {}", file.display());
        }
    }
    let names = root.join("platform/src/names.rs");
    let names = std::fs::read_to_string(names).expect("a source file");
    assert!(names.contains("rows-tx"), "the words are the platform's");
}
