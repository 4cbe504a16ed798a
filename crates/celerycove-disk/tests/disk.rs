//! Tests of recovery after crashes and from corrupt files.

#[path = "support/directory.rs"]
mod directory;

use celerycove_control::{
    Command, Entry, Storage,
    storage::{Ballot, Snapshot},
};
use celerycove_disk::{
    Journal, Store,
    journal::Batch,
    records::{Error, Records},
    value::{load, save},
};
use celerycove_program::{Op, Record, message::Position};
use directory::TempDir;
use quickcheck::{Arbitrary, Gen};

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        term,
        index,
        command: Command::Noop,
    }
}

#[test]
fn a_tail_torn_at_any_byte_is_truncated() {
    let directory = TempDir::new("torn");
    let path = directory.path().join("records");
    let (mut records, _) = Records::open(&path).expect("a file");
    records.append(&["first", "second"]).expect("synced");
    let intact_length = records.length();
    records
        .append(&["the third, which is torn"])
        .expect("synced");
    let original = std::fs::read(&path).expect("bytes");
    let intact_length = usize::try_from(intact_length).expect("a small file");
    for length in intact_length..original.len() {
        std::fs::write(&path, &original[..length]).expect("a torn file");
        let (mut records, payloads) = Records::open(&path).expect("a truncated tail");
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
fn opening_a_file_with_a_corrupt_record_fails_and_does_not_change_it() {
    let directory = TempDir::new("corrupt");
    let path = directory.path().join("records");
    let (mut records, _) = Records::open(&path).expect("a file");
    records
        .append(&["first record", "second record", "third record"])
        .expect("synced");
    let original = std::fs::read(&path).expect("bytes");
    // Only the first two records are changed, so that an intact one follows.
    let flip_end = original.len() * 2 / 3;
    let mut generator = Gen::from_size_and_seed(100, 3);
    for _ in 0..40 {
        let at = usize::arbitrary(&mut generator) % flip_end;
        let mut corrupted = original.clone();
        corrupted[at] ^= 0x40;
        std::fs::write(&path, &corrupted).expect("a corrupt file");
        let opened = Records::open(&path);
        assert!(
            matches!(opened, Err(Error::Corrupt { .. })),
            "byte {at}: {opened:?}"
        );
        assert_eq!(std::fs::read(&path).expect("bytes"), corrupted);
    }
}

#[test]
fn the_control_log_reloads_with_replaced_entries_and_a_snapshot() {
    let directory = TempDir::new("control");
    let mut store = Store::new(directory.path().to_owned()).expect("a directory");
    assert!(store.load().expect("an empty log").ballot.is_none());
    store
        .append(&[entry(1, 1), entry(2, 1), entry(3, 1)])
        .expect("synced");
    // A new leader replaces uncommitted entries.
    store.append(&[entry(2, 2)]).expect("synced");
    let ballot = Ballot {
        term: 2,
        vote: Some("b".into()),
        voter: true,
    };
    store.save_ballot(&ballot).expect("synced");
    let mut reopened = Store::new(directory.path().to_owned()).expect("a directory");
    let durable = reopened.load().expect("a log");
    assert_eq!(durable.entries, [entry(1, 1), entry(2, 2)]);
    assert_eq!(durable.ballot, Some(ballot));
    let snapshot = Snapshot {
        index: 2,
        term: 2,
        members: ["a".into()].into(),
        state: celerycove_control::State::default(),
    };
    reopened
        .save_snapshot(&snapshot, &[entry(3, 2)])
        .expect("synced");
    let durable = Store::new(directory.path().to_owned())
        .and_then(|mut store| store.load())
        .expect("a log");
    assert_eq!(durable.snapshot, Some(snapshot));
    assert_eq!(durable.entries, [entry(3, 2)]);
}

/// Guards against a log that can't be used any more after a write failed half-way.
#[test]
fn the_control_log_recovers_after_a_failed_write() {
    let directory = TempDir::new("recovers");
    let path = directory.path();
    let mut store = Store::new(path.to_owned()).expect("a directory");
    store.load().expect("no files");
    let ballot = Ballot {
        term: 3,
        vote: Some("a".into()),
        voter: true,
    };
    store.save_ballot(&ballot).expect("synced");
    store.append(&[entry(1, 1), entry(2, 1)]).expect("synced");
    // What a full disk leaves behind: part of a record, and part of a file's successor.
    let log = path.join("log");
    let mut bytes = std::fs::read(&log).expect("bytes");
    bytes.extend_from_within(..7);
    std::fs::write(&log, &bytes).expect("a torn file");
    std::fs::write(path.join("snapshot.new"), vec![0; 4_096]).expect("a file");

    std::fs::create_dir(path.join("ballot.new")).expect("a folder");
    store.recover().expect_err("no file can be written");
    std::fs::remove_dir(path.join("ballot.new")).expect("a folder");
    let recovered = store.recover().expect("recovered");
    assert_eq!(recovered.ballot, Some(ballot));
    assert_eq!(recovered.entries, [entry(1, 1), entry(2, 1)]);
    assert!(!path.join("snapshot.new").exists(), "it took up room");
    store.append(&[entry(3, 3)]).expect("synced");
    let reloaded = Store::new(path.to_owned()).expect("a directory").load();
    assert_eq!(reloaded.expect("intact").entries.len(), 3);
}

/// Guards against a start that takes time growing with the square of the log: a replica whose log
/// is loaded late can't vote, so that no leader is elected after a loss of power.
#[test]
fn a_long_control_log_is_loaded_within_the_time_to_replace_an_instance() {
    const ENTRIES: u64 = 100_000;
    /// Shortest time that deployments allow for an instance to catch up after its start.
    const CATCH_UP: std::time::Duration = std::time::Duration::from_secs(4);
    let directory = TempDir::new("long-log");
    let mut store = Store::new(directory.path().to_owned()).expect("a directory");
    store.load().expect("an empty log");
    let entries: Vec<_> = (1..=ENTRIES).map(|index| entry(index, 1)).collect();
    store.append(&entries).expect("synced");
    let mut reopened = Store::new(directory.path().to_owned()).expect("a directory");
    let began = std::time::Instant::now();
    let loaded = reopened.load().expect("a whole log");
    let took = began.elapsed();
    assert_eq!(loaded.entries.len(), entries.len());
    assert!(took < CATCH_UP, "loading took {took:?}");
}

#[test]
fn loading_a_control_log_with_a_gap_fails() {
    let directory = TempDir::new("gap");
    let mut store = Store::new(directory.path().to_owned()).expect("a directory");
    store.load().expect("an empty log");
    store.append(&[entry(1, 1), entry(3, 1)]).expect("synced");
    let mut reopened = Store::new(directory.path().to_owned()).expect("a directory");
    let error = reopened.load().expect_err("a gap");
    assert!(error.to_string().contains("entry 3"), "{error}");
}

#[test]
fn the_journal_recovers_shards_after_appends_and_a_rewrite() {
    let directory = TempDir::new("journal");
    let (mut journal, recovered) = Journal::open(directory.path()).expect("a journal");
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
    let (mut journal, recovered) = Journal::open(directory.path()).expect("a journal");
    assert_eq!(
        recovered[&4].last,
        Position {
            epoch: 1,
            sequence: 2
        }
    );
    assert_eq!(recovered[&4].state.programs.len(), 2);
    let snapshots: Vec<_> = recovered
        .into_iter()
        .filter(|(shard, _)| *shard == 4)
        .collect();
    journal.rewrite(snapshots.clone()).expect("synced");
    let (_, recovered) = Journal::open(directory.path()).expect("a journal");
    assert_eq!(recovered.into_iter().collect::<Vec<_>>(), snapshots);
}

/// Guards against records that are read twice, or not at all, after a write that failed in part.
#[test]
fn a_journal_holds_each_record_once_after_failed_writes() {
    let directory = TempDir::new("recovered-journal");
    let (mut journal, _) = Journal::open(directory.path()).expect("a journal");
    let record = |sequence| Record {
        position: Position { epoch: 1, sequence },
        at: std::time::Duration::from_secs(sequence),
        op: Op::Open {
            program: format!("p{sequence}").as_str().into(),
            organisation: "zilina".into(),
            budget: None,
            deadline: None,
        },
    };
    let batch = |sequence| {
        let mut batch = Batch::default();
        batch.append(4, vec![record(sequence)]);
        batch
    };
    journal.save(&batch(1)).expect("synced");
    let file = directory.path().join("shards");
    let synced = std::fs::read(&file).expect("bytes");
    journal.save(&batch(2)).expect("synced");
    let written = std::fs::read(&file).expect("bytes");
    // The second batch was written in part, or whole but not synced.
    for length in [synced.len() + 5, written.len()] {
        std::fs::write(&file, &synced).expect("written");
        let (mut journal, _) = Journal::open(directory.path()).expect("a journal");
        std::fs::write(&file, &written[..length]).expect("written");
        journal.recover().expect("room");
        journal.save(&batch(2)).expect("synced");
        let (_, recovered) = Journal::open(directory.path()).expect("a journal");
        assert_eq!(recovered[&4].state.programs.len(), 2);
        assert_eq!(std::fs::read(&file).expect("bytes"), written);
    }
    // A rewrite fails while its new file can't be created.
    let blocked = file.with_extension("new");
    std::fs::create_dir(&blocked).expect("a directory");
    let (mut journal, recovered) = Journal::open(directory.path()).expect("a journal");
    let snapshots: Vec<_> = recovered.into_iter().collect();
    assert!(journal.rewrite(snapshots.clone()).is_err());
    assert!(journal.recover().is_err(), "it is still blocked");
    std::fs::remove_dir(&blocked).expect("the directory");
    journal.recover().expect("room");
    journal.save(&batch(3)).expect("synced");
    let (_, recovered) = Journal::open(directory.path()).expect("a journal");
    assert_eq!(recovered[&4].state.programs.len(), 3);
}

/// A store's snapshot takes up much of its instance's memory, so neither saving nor loading it may
/// hold it in memory a second time.
#[test]
fn a_value_written_in_pieces_is_read_like_one_written_at_once() {
    let directory = TempDir::new("pieces");
    let path = directory.path().join("value");
    let value: Vec<String> = (0..20_000).map(|number| format!("text {number}")).collect();
    save(&path, &value).expect("saved");
    assert_eq!(load(&path).expect("intact"), Some(value.clone()));
    let (_, payloads) = Records::open(&path).expect("a file of one record");
    assert_eq!(payloads.len(), 1);
    assert!(payloads[0] == rmp_serde::to_vec_named(&value).expect("encoded"));
}

#[test]
fn a_changed_byte_in_a_value_is_noticed() {
    let directory = TempDir::new("changed");
    let path = directory.path().join("value");
    save(&path, &vec![7_u32; 5_000]).expect("saved");
    let original = std::fs::read(&path).expect("bytes");
    for offset in [0, 5, 9, 12, original.len() / 2, original.len() - 1] {
        let mut changed = original.clone();
        changed[offset] ^= 1;
        std::fs::write(&path, &changed).expect("written");
        let loaded = load::<Vec<u32>>(&path);
        assert!(!matches!(loaded, Ok(Some(_))), "byte {offset}");
    }
}

#[test]
fn a_log_of_many_records_is_read_one_record_at_a_time() {
    let directory = TempDir::new("each");
    let path = directory.path().join("records");
    let payloads: Vec<String> = (0..1_000)
        .map(|number| format!("record {number}"))
        .collect();
    let (mut records, _) = Records::open(&path).expect("a file");
    records.append(&payloads).expect("synced");
    let mut read = Vec::new();
    let reopened = Records::open_each(&path, |payload| read.push(payload)).expect("intact");
    assert_eq!(reopened.length(), records.length());
    assert!(read.iter().eq(payloads.iter().map(String::as_bytes)));
}
