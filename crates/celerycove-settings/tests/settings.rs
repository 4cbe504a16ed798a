//! Settings and their faults.

use std::{path::Path, time::Duration};

use celerycove_settings::{parse, unit::Bytes};

const SMALL: &str = "[process]\nname = a\ndata-centre = north\nlisten = 127.0.0.1:1\n\
    cluster-secret-file = s\ncontrol = c=127.0.0.1:2\n";

fn faults(text: &str) -> Vec<String> {
    match parse("test.ini", text) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn every_example_is_without_faults() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../etc");
    let mut seen = 0;
    let mut folders = vec![folder];
    while let Some(folder) = folders.pop() {
        for file in std::fs::read_dir(folder).expect("examples").flatten() {
            let path = file.path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "ini") {
                let text = std::fs::read_to_string(&path).expect("text");
                assert_eq!(faults(&text), Vec::<String>::new(), "{}", path.display());
                seen += 1;
            }
        }
    }
    assert!(seen >= 3, "only {seen} examples");
}

#[test]
fn values_have_units_and_defaults() {
    let text = format!("{SMALL}pull = 250ms\n[entry]\nlisten = 127.0.0.1:3\nmax-body = 64KiB\n");
    let settings = parse("test.ini", &text).expect("settings");
    assert_eq!(settings.process.pull.0, Duration::from_millis(250));
    let entry = settings.entry.expect("an entry");
    assert_eq!(entry.max_body, Bytes(64 << 10));
    assert_eq!(entry.max_body.to_string(), "64KiB");
    assert_eq!(entry.patience.0, Duration::from_secs(3));
}

#[test]
fn every_fault_is_reported_with_its_place() {
    let text = "[process]\nname = a b\ndata-centre = north\nlisten = nowhere\n\
        cluster-secret-file = s\ncontrol = c=127.0.0.1:2\npull = soon\ncolour = red\n\
        [sidecar e]\nkind = engine\nbackend = 192.0.2.1:80\n[bogus]\n";
    let faults = faults(text);
    for expected in [
        "section [process], key listen:",
        "section [process], key pull: expected a time such as 250ms",
        "section [process], key colour: unknown field",
        "section [bogus], key -: unknown section",
    ] {
        assert!(
            faults.iter().any(|fault| fault.contains(expected)),
            "{expected} in {faults:#?}"
        );
    }
}

#[test]
fn values_that_do_not_fit_together_are_faults() {
    let text = format!(
        "{SMALL}freshness = 600ms\n[control]\noperator-listen = 127.0.0.1:4\noperators-file = o\n\
         heartbeat = 1s\nelection = 2s\nshards = 0\n[sidecar e]\nkind = engine\nbackend = 192.0.2.1:80\ncapacity = 0\n"
    );
    let faults = faults(&text);
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
            faults.iter().any(|fault| fault.contains(expected)),
            "{expected} in {faults:#?}"
        );
    }
}
