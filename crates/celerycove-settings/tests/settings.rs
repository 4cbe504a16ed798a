//! Parsing of settings and the errors that it reports.

use std::{path::Path, time::Duration};

use celerycove_settings::{parse, unit::Bytes};

const MINIMAL: &str = "[process]\nname = a\ndata-centre = north\nlisten = 127.0.0.1:1\n\
    cluster-secret-file = s\ncontrol = c=127.0.0.1:2\n";

fn errors(text: &str) -> Vec<String> {
    match parse("test.ini", text) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn example_settings_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../etc");
    let mut checked = 0;
    let mut folders = vec![folder];
    while let Some(folder) = folders.pop() {
        for file in std::fs::read_dir(folder).expect("examples").flatten() {
            let path = file.path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "ini") {
                let text = std::fs::read_to_string(&path).expect("text");
                assert_eq!(errors(&text), Vec::<String>::new(), "{}", path.display());
                checked += 1;
            }
        }
    }
    assert!(checked >= 3, "only {checked} examples");
}

#[test]
fn values_accept_units_and_fall_back_to_defaults() {
    let text = format!("{MINIMAL}pull = 250ms\n[entry]\nlisten = 127.0.0.1:3\nmax-body = 64KiB\n");
    let settings = parse("test.ini", &text).expect("settings");
    assert_eq!(settings.process.pull_interval.0, Duration::from_millis(250));
    let entry = settings.entry.expect("an entry");
    assert_eq!(entry.max_body, Bytes(64 << 10));
    assert_eq!(entry.max_body.to_string(), "64KiB");
    assert_eq!(entry.max_wait.0, Duration::from_secs(3));
}

#[test]
fn every_error_is_reported_with_section_and_key() {
    let text = "[process]\nname = a b\ndata-centre = north\nlisten = nowhere\n\
        cluster-secret-file = s\ncontrol = c=127.0.0.1:2\npull = soon\ncolour = red\n\
        [sidecar e]\nkind = engine\nbackend = 192.0.2.1:80\n[bogus]\n";
    let errors = errors(text);
    for expected in [
        "section [process], key listen:",
        "section [process], key pull: expected a time such as 250ms",
        "section [process], key colour: unknown field",
        "section [bogus], key -: unknown section",
    ] {
        assert!(
            errors.iter().any(|error| error.contains(expected)),
            "{expected} in {errors:#?}"
        );
    }
}

#[test]
fn inconsistent_values_are_rejected() {
    let text = format!(
        "{MINIMAL}freshness = 600ms\n[control]\noperator-listen = 127.0.0.1:4\noperators-file = o\n\
         heartbeat = 1s\nelection = 2s\nshards = 0\n[sidecar e]\nkind = engine\nbackend = 192.0.2.1:80\ncapacity = 0\n"
    );
    let errors = errors(&text);
    for expected in [
        "key freshness: must be more than twice pull",
        "key data: a control instance needs a data folder",
        "key control: must list this control instance too",
        "key shards: must be between",
        "key election: must be at least three times",
        "key backend: must be an address on this machine",
        "key models: an engine serves at least one model",
        "key capacity: must be at least 1",
    ] {
        assert!(
            errors.iter().any(|error| error.contains(expected)),
            "{expected} in {errors:#?}"
        );
    }
}
