//! Snapshots on their way from one instance to another, through files.

#[path = "support/directory.rs"]
mod directory;

use std::time::Duration;

use celerycove_control::{
    State, Storage,
    log::Command,
    storage::{ReadSnapshot, Snapshot},
};
use celerycove_disk::Store;
use celerycove_turn::{Command as TurnCommand, End, Keep};
use directory::TempDir;

const CHUNK_BYTES: usize = 32 << 10;

/// A snapshot that holds `turns` turns of 1,000 bytes each.
fn snapshot(index: u64, turns: usize) -> Snapshot {
    let mut state = State::default();
    for turn in 0..turns {
        state.apply(&Command::Turn(TurnCommand::End(End {
            at: 1,
            request: format!("turn-{turn}").into(),
            organisation: "o".into(),
            program: None,
            spent: 0,
            keep: Some(Keep {
                previous: None,
                text: vec![0; 1_000].into(),
            }),
            retention: Duration::from_mins(1),
        })));
    }
    let members = ["a".into()].into();
    Snapshot {
        index,
        term: 1,
        members,
        state,
    }
}

fn open(directory: &TempDir) -> Store {
    let mut store = Store::new(directory.path().to_owned()).expect("a directory");
    store.load().expect("an empty log");
    store
}

fn read_all(sent: &mut dyn ReadSnapshot) -> Vec<bytes::Bytes> {
    let offsets = (0..sent.total_bytes()).step_by(CHUNK_BYTES);
    offsets
        .map(|offset| sent.read(offset, CHUNK_BYTES).expect("a part"))
        .collect()
}

/// Guards against a store that holds its state a second time in memory, encoded, for as long as a member
/// needs its snapshot, and a third time while it receives one.
#[test]
fn a_snapshot_is_sent_and_received_without_a_copy_in_memory() {
    let (leader, follower) = (TempDir::new("leader"), TempDir::new("follower"));
    let mut store = open(&leader);
    let saved = snapshot(10, 2_000);
    store.save_snapshot(&saved, &[]).expect("synced");
    let mut sent = store.open_snapshot().expect("a snapshot");
    // The one that is being sent stays readable.
    store.save_snapshot(&snapshot(20, 1), &[]).expect("synced");
    let mut other_store = open(&follower);
    let mut received = other_store.receive_snapshot().expect("a file");
    for part in read_all(sent.as_mut()) {
        received.append(&part).expect("written");
    }
    assert!(sent.total_bytes() > 2_000_000);
    assert_eq!(received.received_bytes(), sent.total_bytes());
    assert_eq!(sent.bytes_in_memory() + received.bytes_in_memory(), 0);
    let installed = received.finish().expect("the snapshot");
    assert_eq!(installed, saved);
    other_store.save_snapshot(&installed, &[]).expect("synced");
    let names = std::fs::read_dir(follower.path()).expect("a directory");
    let mut names: Vec<_> = names
        .map(|file| file.expect("a file").file_name())
        .collect();
    names.sort();
    assert_eq!(names, ["log", "snapshot"], "nothing else is left");
}

/// Guards against a start that fails on, or goes on from, a half received snapshot.
#[test]
fn what_an_earlier_process_received_is_discarded() {
    let directory = TempDir::new("discarded");
    let mut store = open(&directory);
    let mut received = store.receive_snapshot().expect("a file");
    received.append(b"a part").expect("written");
    drop((received, store));
    let mut store = open(&directory);
    let mut received = store.receive_snapshot().expect("a file");
    let encoded = rmp_serde::to_vec_named(&snapshot(5, 3)).expect("encoded");
    received.append(&encoded).expect("written");
    assert_eq!(received.finish().expect("the snapshot"), snapshot(5, 3));
}

/// Guards against a leader that can't send the snapshot file of an earlier version.
#[test]
fn a_snapshot_file_of_several_records_is_sent() {
    let directory = TempDir::new("records");
    let encoded = [snapshot(1, 1), snapshot(2, 2)]
        .map(|snapshot| rmp_serde::to_vec_named(&snapshot).expect("encoded"));
    let path = directory.path().join("snapshot");
    let (mut records, _) = celerycove_disk::records::Records::open(&path).expect("a file");
    records.append(&encoded).expect("synced");
    let mut store = open(&directory);
    let mut sent = store.open_snapshot().expect("a snapshot");
    // The order of the turns in the encoded form may differ.
    let decoded = rmp_serde::from_slice(&read_all(sent.as_mut()).concat());
    assert!(decoded.is_ok_and(|last: Snapshot| last == snapshot(2, 2)));
}
