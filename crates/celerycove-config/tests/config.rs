//! Tests of proposals, the INI format, selectors and API keys.

use celerycove_config::{
    Change, Config, Outcome, Proposal, Selector, Store, Subject,
    document::Key,
    ini_file::{parse, render},
    secret::{authenticate, digest, format_key},
    select::{Denial, check_access, classify},
};
use celerycove_types::Labels;

fn proposal(request: &str, if_version: Option<u64>, changes: Vec<Change>) -> Proposal {
    Proposal {
        request: request.into(),
        operator: "anna".to_owned(),
        if_version,
        changes,
    }
}

fn parse_changes(text: &str) -> Vec<Change> {
    parse(text).expect("valid changes")
}

fn config_from(text: &str) -> Config {
    let mut store = Store::default();
    let (outcome, _) = store.propose(&proposal("r", None, parse_changes(text)));
    assert_eq!(outcome, Outcome::Accepted { version: 1 });
    store.config
}

fn labels(pairs: &[(&str, &str)]) -> Labels {
    pairs
        .iter()
        .map(|(key, value)| ((*key).to_owned(), (*value).to_owned()))
        .collect()
}

#[test]
fn a_proposal_with_an_invalid_change_changes_nothing() {
    let mut store = Store::default();
    let changes = vec![
        parse_changes("[organisation zilina]\nrate = 5\n").remove(0),
        Change::Withdraw {
            id: "unknown".into(),
        },
    ];
    let (outcome, step) = store.propose(&proposal("r1", None, changes));
    assert!(matches!(outcome, Outcome::Invalid { .. }), "{outcome:?}");
    assert!(step.is_none());
    assert_eq!(store.config, Config::default());
}

#[test]
fn a_rendered_configuration_parses_to_the_same_configuration() {
    let text = "[organisation zilina]\nrate=2.5\nburst=7\nweight=2\n\
        [labels backend/engine-1]\ntier=gold\n[selector canary]\ntraffic=organisation=zilina\n\
        target=version=2|3,!retired\nconfine=true\n[drain data-centre/north]\ndrained=true\n";
    let original = config_from(text);
    let parsed = config_from(&render(&original));
    assert_eq!(original, parsed);
}

#[test]
fn errors_of_all_sections_are_reported() {
    let text =
        "[organisation a]\nrate = fast\n[selector s]\ntarget = =\n[drain engine-1]\n[what x]\n";
    let errors = parse(text).expect_err("invalid sections");
    assert_eq!(errors.len(), 4, "{errors:?}");
}

#[test]
fn a_confining_selector_reserves_a_model_version_for_one_organisation() {
    let config = config_from(
        "[selector canary]\ntraffic = organisation=lingua\ntarget = version=2\nconfine = true\n",
    );
    let lingua_class = classify(&config, &labels(&[("organisation", "lingua")]));
    let other_class = classify(&config, &labels(&[("organisation", "other")]));
    let old_version = labels(&[("version", "1")]);
    let new_version = labels(&[("version", "2")]);
    assert_eq!(check_access(&config, &lingua_class, &new_version), Ok(()));
    assert_eq!(
        check_access(&config, &lingua_class, &old_version),
        Err(Denial::Confined)
    );
    assert_eq!(
        check_access(&config, &other_class, &new_version),
        Err(Denial::Reserved)
    );
    assert_eq!(check_access(&config, &other_class, &old_version), Ok(()));
}

#[test]
fn only_an_issued_and_not_withdrawn_key_authenticates() {
    let mut store = Store::default();
    store.propose(&proposal(
        "o",
        None,
        parse_changes("[organisation zilina]\n"),
    ));
    let issue = Change::Issue {
        id: "k_1".into(),
        key: Key {
            organisation: "zilina".into(),
            digest: digest("secret"),
        },
    };
    let (outcome, _) = store.propose(&proposal("i", None, vec![issue]));
    assert!(
        matches!(outcome, Outcome::Invalid { .. }),
        "an underscore separates the id from the secret: {outcome:?}"
    );
    let issue = Change::Issue {
        id: "k1".into(),
        key: Key {
            organisation: "zilina".into(),
            digest: digest("secret"),
        },
    };
    store.propose(&proposal("i2", None, vec![issue]));
    let found = authenticate(&store.config, &format_key("k1", "secret"));
    assert_eq!(found, Some(("k1".into(), "zilina".into())));
    for wrong in [
        "cck_k1_secre",
        "cck_k1_",
        "cck_k2_secret",
        "k1_secret",
        "",
        "cck_k1_secret ",
    ] {
        assert_eq!(authenticate(&store.config, wrong), None, "{wrong:?}");
    }
    store.propose(&proposal(
        "w",
        None,
        vec![Change::Withdraw { id: "k1".into() }],
    ));
    assert_eq!(
        authenticate(&store.config, &format_key("k1", "secret")),
        None
    );
}

#[test]
fn removing_an_organisation_removes_its_keys() {
    let mut store = Store::default();
    store.propose(&proposal(
        "o",
        None,
        parse_changes("[organisation zilina]\n"),
    ));
    let key = Key {
        organisation: "zilina".into(),
        digest: digest("secret"),
    };
    store.propose(&proposal(
        "i",
        None,
        vec![Change::Issue {
            id: "k1".into(),
            key,
        }],
    ));
    let removal = Change::Organisation {
        id: "zilina".into(),
        organisation: None,
    };
    store.propose(&proposal("l", None, vec![removal]));
    assert!(store.config.keys.is_empty());
}

#[test]
fn invalid_drain_subjects_and_selector_names_are_rejected() {
    let mut store = Store::default();
    let drain = Change::Drain {
        subject: Subject::Organisation("zilina".into()),
        drained: true,
    };
    let (outcome, _) = store.propose(&proposal("d", None, vec![drain]));
    assert!(matches!(outcome, Outcome::Invalid { .. }));
    let selector = Selector {
        traffic: "a=b".parse().expect("requirements"),
        target: "c".parse().expect("requirements"),
        confine: false,
    };
    let change = Change::Select {
        name: "not a name".to_owned(),
        selector: Some(selector),
    };
    let (outcome, _) = store.propose(&proposal("s", None, vec![change]));
    assert!(matches!(outcome, Outcome::Invalid { .. }));
}
