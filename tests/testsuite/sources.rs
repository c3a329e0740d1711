//! Checks of what the source code must not contain.

use std::path::{Path, PathBuf};

/// Adds all Rust files below a directory to `found`.
fn collect_sources(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(dir).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

/// Returns the source files in `crates/` and `src/`.
fn sources_outside_platform(root: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    collect_sources(&root.join("crates"), &mut files);
    collect_sources(&root.join("src"), &mut files);
    assert!(files.len() > 50, "too few source files found");
    files
}

#[test]
fn only_one_module_builds_a_runtime_and_none_uses_io_uring() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for file in sources_outside_platform(root) {
        let text = std::fs::read_to_string(&file).expect("a source file");
        let builds_runtime = text.contains("RuntimeBuilder");
        assert_eq!(
            builds_runtime,
            file.ends_with("net/src/runtime.rs"),
            "{}",
            file.display()
        );
        for name in [
            "FusionDriver",
            "IoUringDriver",
            "monoio::main",
            "monoio::test",
        ] {
            assert!(!text.contains(name), "{name} in {}", file.display());
        }
    }
}

/// Paths, fields and headers of the platform's interface, which only `platform/` may use.
const PLATFORM_NAMES: [&str; 12] = [
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
fn names_of_the_platforms_interface_occur_only_in_its_crate() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for file in sources_outside_platform(root) {
        let text = std::fs::read_to_string(&file).expect("a source file");
        let text = text.to_lowercase();
        for name in PLATFORM_NAMES {
            assert!(!text.contains(name), "{name} in {}", file.display());
        }
    }
    let names = root.join("platform/src/names.rs");
    let names = std::fs::read_to_string(names).expect("a source file");
    assert!(
        names.contains("rows-tx"),
        "the list has names that the platform uses"
    );
}
