//! Each layer imports only lower layers, and the lower two use no sockets, codecs or clocks.

use std::path::{Path, PathBuf};

struct Case {
    layer: &'static str,
    forbidden: &'static [&'static str],
}

const IO: &[&str] = &[
    "crate::transport",
    "crate::protocol",
    "tokio",
    "hyper",
    "ciborium",
    "tarpc",
    "Instant::now",
    "SystemTime",
    "rand::rng(",
    "rand::random",
];

const CASES: &[Case] = &[
    Case { layer: "state", forbidden: IO },
    Case { layer: "state", forbidden: &["crate::coordination", "serde_json"] },
    Case { layer: "coordination", forbidden: IO },
    Case { layer: "coordination", forbidden: &["serde_json"] },
    Case {
        layer: "protocol",
        forbidden: &["crate::transport", "tokio::net", "tokio::spawn", "Instant::now"],
    },
];

fn rust_files(dir: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(dir).unwrap().map(|e| e.unwrap().path());
    entries.filter(|p| p.extension().is_some_and(|e| e == "rs")).collect()
}

#[test]
fn layers_import_only_lower_layers() {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for case in CASES {
        for file in rust_files(&src.join(case.layer)) {
            let text = std::fs::read_to_string(&file).unwrap();
            for word in case.forbidden {
                assert!(!text.contains(word), "{} contains `{word}`", file.display());
            }
        }
    }
}
