//! Files after crashes and damage.

use std::path::{Path, PathBuf};

use celerycove_control::{
    Command, Entry, Storage,
    storage::{Ballot, Snapshot},
};
use celerycove_disk::{
    Journal, Store,
    journal::Batch,
    records::{Error, Records},
};
use celerycove_program::{Op, Record, message::Position};
use quickcheck::{Arbitrary, Gen};

/// A folder that is removed when the test ends.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("celerycove-disk-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        Self(folder)
    }

    fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // What is left in the folder of temporary files harms nothing.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        term,
        index,
        command: Command::Noop,
    }
}

#[test]
fn a_torn_tail_is_cut_at_any_byte() {
    let folder = Folder::new("torn");
    let path = folder.path().join("records");
    let (mut records, _) = Records::open(&path).expect("a file");
    records.append(&["first", "second"]).expect("synced");
    let two = records.length();
    records
        .append(&["the third, which is torn"])
        .expect("synced");
    let whole = std::fs::read(&path).expect("bytes");
    let two = usize::try_from(two).expect("a small file");
    for length in two..whole.len() {
        std::fs::write(&path, &whole[..length]).expect("a torn file");
        let (mut records, payloads) = Records::open(&path).expect("the tail is cut");
        assert_eq!(
            payloads,
            [b"first".to_vec(), b"second".to_vec()],
            "torn at {length}"
        );
        records.append(&["after"]).expect("synced");
        let (_, payloads) = Records::open(&path).expect("intact");
        assert_eq!(payloads.len(), 3, "torn at {length}");
    }
}

#[test]
fn damage_in_the_middle_is_refused_and_left_alone() {
    let folder = Folder::new("damage");
    let path = folder.path().join("records");
    let (mut records, _) = Records::open(&path).expect("a file");
    records
        .append(&["first record", "second record", "third record"])
        .expect("synced");
    let whole = std::fs::read(&path).expect("bytes");
    let last = whole.len() * 2 / 3;
    let mut generator = Gen::from_size_and_seed(100, 3);
    for _ in 0..40 {
        let at = usize::arbitrary(&mut generator) % last;
        let mut damaged = whole.clone();
        damaged[at] ^= 0x40;
        std::fs::write(&path, &damaged).expect("a damaged file");
        let opened = Records::open(&path);
        assert!(
            matches!(opened, Err(Error::Damaged { .. })),
            "byte {at}: {opened:?}"
        );
        assert_eq!(std::fs::read(&path).expect("bytes"), damaged);
    }
}

#[test]
fn the_control_log_comes_back_with_its_latest_entries() {
    let folder = Folder::new("control");
    let mut store = Store::new(folder.path().to_owned()).expect("a folder");
    assert!(store.load().expect("an empty log").ballot.is_none());
    store
        .append(&[entry(1, 1), entry(2, 1), entry(3, 1)])
        .expect("synced");
    // A new leader replaces what was not committed.
    store.append(&[entry(2, 2)]).expect("synced");
    let ballot = Ballot {
        term: 2,
        vote: Some("b".into()),
        voter: true,
    };
    store.save_ballot(&ballot).expect("synced");
    let mut again = Store::new(folder.path().to_owned()).expect("a folder");
    let durable = again.load().expect("a log");
    assert_eq!(durable.entries, [entry(1, 1), entry(2, 2)]);
    assert_eq!(durable.ballot, Some(ballot));
    let snapshot = Snapshot {
        index: 2,
        term: 2,
        members: ["a".into()].into(),
        state: celerycove_control::State::default(),
    };
    again
        .save_snapshot(&snapshot, &[entry(3, 2)])
        .expect("synced");
    let durable = Store::new(folder.path().to_owned())
        .and_then(|mut store| store.load())
        .expect("a log");
    assert_eq!(durable.snapshot, Some(snapshot));
    assert_eq!(durable.entries, [entry(3, 2)]);
}

#[test]
fn a_gap_in_the_control_log_is_refused() {
    let folder = Folder::new("gap");
    let mut store = Store::new(folder.path().to_owned()).expect("a folder");
    store.load().expect("an empty log");
    store.append(&[entry(1, 1), entry(3, 1)]).expect("synced");
    let mut again = Store::new(folder.path().to_owned()).expect("a folder");
    let refused = again.load().expect_err("a gap");
    assert!(refused.to_string().contains("entry 3"), "{refused}");
}

#[test]
fn shards_come_back_from_their_journal() {
    let folder = Folder::new("journal");
    let (mut journal, recovered) = Journal::open(folder.path()).expect("a journal");
    assert!(recovered.is_empty());
    let record = |sequence, program: &str| Record {
        position: Position { epoch: 1, sequence },
        at: std::time::Duration::from_secs(sequence),
        op: Op::Open {
            program: program.into(),
            organisation: "zilina".into(),
            budget: None,
            deadline: None,
        },
    };
    let mut batch = Batch::default();
    batch.append(4, vec![record(1, "p1"), record(2, "p2")]);
    batch.append(5, vec![record(1, "p3")]);
    journal.save(&batch).expect("synced");
    let (mut journal, recovered) = Journal::open(folder.path()).expect("a journal");
    assert_eq!(
        recovered[&4].last,
        Position {
            epoch: 1,
            sequence: 2
        }
    );
    assert_eq!(recovered[&4].state.programs.len(), 2);
    let images: Vec<_> = recovered
        .into_iter()
        .filter(|(shard, _)| *shard == 4)
        .collect();
    journal.rewrite(images.clone()).expect("synced");
    let (_, again) = Journal::open(folder.path()).expect("a journal");
    assert_eq!(again.into_iter().collect::<Vec<_>>(), images);
}
