//! Changes, selectors and keys.

use celerycove_config::{
    Change, Config, Outcome, Proposal, Selector, Store, Subject,
    document::Key,
    file::{parse, render},
    secret::{authenticate, digest, format_key},
    select::{Refusal, admits, class},
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

fn changes(text: &str) -> Vec<Change> {
    parse(text).expect("changes")
}

fn config(text: &str) -> Config {
    let mut store = Store::default();
    let (outcome, _) = store.propose(&proposal("r", None, changes(text)));
    assert_eq!(outcome, Outcome::Accepted { version: 1 });
    store.config
}

fn labels(pairs: &[(&str, &str)]) -> Labels {
    pairs
        .iter()
        .map(|(k, v)| ((*k).to_owned(), (*v).to_owned()))
        .collect()
}

#[test]
fn a_proposal_is_made_whole_or_not_at_all() {
    let mut store = Store::default();
    let bad = vec![
        changes("[organisation zilina]\nrate = 5\n").remove(0),
        Change::Withdraw {
            id: "unknown".into(),
        },
    ];
    let (outcome, step) = store.propose(&proposal("r1", None, bad));
    assert!(matches!(outcome, Outcome::Invalid { .. }), "{outcome:?}");
    assert!(step.is_none());
    assert_eq!(store.config, Config::default());
}

#[test]
fn what_is_rendered_reads_back_the_same() {
    let text = "[organisation zilina]\nrate=2.5\nburst=7\nweight=2\n\
        [labels backend/engine-1]\ntier=gold\n[selector canary]\ntraffic=organisation=zilina\n\
        target=version=2|3,!retired\nconfine=true\n[drain data-centre/north]\ndrained=true\n";
    let first = config(text);
    let again = config(&render(&first));
    assert_eq!(first, again);
}

#[test]
fn faults_in_a_file_of_changes_are_all_reported() {
    let text =
        "[organisation a]\nrate = fast\n[selector s]\ntarget = =\n[drain engine-1]\n[what x]\n";
    let faults = parse(text).expect_err("faults");
    assert_eq!(faults.len(), 4, "{faults:?}");
}

#[test]
fn a_version_is_narrowed_to_one_organisation() {
    let config = config(
        "[selector canary]\ntraffic = organisation=lingua\ntarget = version=2\nconfine = true\n",
    );
    let lingua = class(&config, &labels(&[("organisation", "lingua")]));
    let other = class(&config, &labels(&[("organisation", "other")]));
    let old = labels(&[("version", "1")]);
    let new = labels(&[("version", "2")]);
    assert_eq!(admits(&config, &lingua, &new), Ok(()));
    assert_eq!(admits(&config, &lingua, &old), Err(Refusal::Confined));
    assert_eq!(admits(&config, &other, &new), Err(Refusal::Reserved));
    assert_eq!(admits(&config, &other, &old), Ok(()));
}

#[test]
fn only_the_key_in_force_authenticates() {
    let mut store = Store::default();
    store.propose(&proposal("o", None, changes("[organisation zilina]\n")));
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
        "an underscore would split the key: {outcome:?}"
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
fn an_organisation_leaves_with_its_keys() {
    let mut store = Store::default();
    store.propose(&proposal("o", None, changes("[organisation zilina]\n")));
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
    let leave = Change::Organisation {
        id: "zilina".into(),
        organisation: None,
    };
    store.propose(&proposal("l", None, vec![leave]));
    assert!(store.config.keys.is_empty());
}

#[test]
fn only_backend_servers_and_data_centres_drain() {
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
    let named = Change::Select {
        name: "not a name".to_owned(),
        selector: Some(selector),
    };
    let (outcome, _) = store.propose(&proposal("s", None, vec![named]));
    assert!(matches!(outcome, Outcome::Invalid { .. }));
}
