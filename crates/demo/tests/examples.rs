//! The sample settings can be used, and settings that cannot are refused with
//! file, key and reason.

use std::path::{Path, PathBuf};

use cottoncrank::command::{Command, parse_line};
use cottoncrank::settings::{Check, parse, read};
use cottoncrank_controller::settings::Settings as Controller;
use cottoncrank_entry::settings::Settings as Entry;
use cottoncrank_standin::program::{Engines, List, Plain, Weights};
use serde::de::DeserializeOwned;

fn example(name: &str) -> PathBuf {
    // Asked when the test runs: a shared target folder outlives the clone it was built from.
    let package = std::env::var_os("CARGO_MANIFEST_DIR").expect("cargo names the package's folder");
    Path::new(&package).join("../../examples").join(name)
}

fn check<S: DeserializeOwned + Check>(name: &str) {
    read::<S>(&example(name)).unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn every_sample_can_be_used() {
    check::<Plain>("store.toml");
    check::<Plain>("service.toml");
    check::<List>("list.toml");
    check::<Weights>("weights.toml");
    check::<Engines>("engines.toml");
    check::<Controller>("controller-1.toml");
    check::<Controller>("controller-2.toml");
    check::<Entry>("entry-1.toml");
    check::<Entry>("entry-2.toml");
    for line in std::fs::read_to_string(example("fleet.commands")).unwrap().lines() {
        assert!(matches!(parse_line(line), Ok(None | Some(Command::Change(_)))), "{line}");
    }
}

#[test]
fn bad_settings_name_file_key_and_reason() {
    let good = std::fs::read_to_string(example("entry-1.toml")).unwrap();
    let cases = [
        ("speed = 3\n", "unknown field `speed`"),
        ("route = \"best\"\n", "key `route`: there is no routing policy `best`; there are least-loaded"),
        ("threads = 0\n", "key `threads`: has to be at least 1"),
        ("threads = \"two\"\n", "invalid type: string \"two\""),
    ];
    for (line, reason) in cases {
        let text = format!("{good}{line}");
        let error = parse::<Entry>(&text, Path::new("entry.toml")).unwrap_err().to_string();
        assert!(error.starts_with("entry.toml: ") && error.contains(reason), "{error}");
    }
    let missing = good.replace("controller =", "# controller =");
    let error = parse::<Entry>(&missing, Path::new("entry.toml")).unwrap_err().to_string();
    assert!(error.contains("missing field `controller`"), "{error}");
    let error = read::<Entry>(Path::new("none.toml")).unwrap_err().to_string();
    assert!(error.starts_with("none.toml: "), "{error}");
}
