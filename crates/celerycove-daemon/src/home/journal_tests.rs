use std::{os::unix::fs::symlink, path::PathBuf};

use celerycove_program::{Op, Record};

use super::*;

/// A folder that is removed with its contents.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let name = format!("celerycove-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // What is left is in the folder for temporary files.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn position(sequence: u64) -> Position {
    Position { epoch: 1, sequence }
}

/// Returns a batch that opens a program, and its position.
fn batch(sequence: u64) -> (Batch, Positions) {
    let record = Record {
        position: position(sequence),
        at: Duration::from_secs(sequence),
        op: Op::Open {
            program: format!("p{sequence}").as_str().into(),
            organisation: "o".into(),
            budget: None,
            deadline: None,
        },
    };
    let mut batch = Batch::default();
    batch.append(4, vec![record]);
    (batch, vec![(4, position(sequence))])
}

/// Returns the next positions that are acknowledged within a time.
async fn synced(inputs: &mut mpsc::Receiver<Input>, timeout: Duration) -> Option<Positions> {
    match tokio::time::timeout(timeout, inputs.recv()).await {
        Ok(Some(Input::Synced(positions, _))) => Some(positions),
        _ => None,
    }
}

/// Guards against a home that acknowledges nothing for good after its disk was full for a moment: the
/// thread of the journal ended after the first failed write, while its process ran on.
#[tokio::test]
async fn a_journal_goes_on_once_a_full_disk_has_room_again() {
    let folder = Folder::new("full-disk");
    let file = folder.0.join("shards");
    // Each write to this device fails for lack of room.
    symlink("/dev/full", &file).expect("a link");
    let (sender, mut inputs) = mpsc::channel(8);
    let (writer, ..) = Writer::open(&folder.0, 1, sender).expect("a journal");
    for sequence in [1, 2] {
        let (batch, positions) = batch(sequence);
        writer.append(batch, positions);
    }
    assert_eq!(synced(&mut inputs, Duration::from_millis(800)).await, None);
    assert!(writer.is_failing());
    std::fs::remove_file(&file).expect("the link");
    let mut acknowledged = Vec::new();
    while acknowledged.len() < 2 {
        let positions = synced(&mut inputs, Duration::from_secs(10)).await;
        acknowledged.extend(positions.expect("both batches are acknowledged"));
    }
    assert_eq!(acknowledged, [(4, position(1)), (4, position(2))]);
    let (_, recovered) = Journal::open(&folder.0).expect("a journal");
    assert_eq!(recovered[&4].last, position(2));
    assert_eq!(recovered[&4].state.programs.len(), 2);
    let (batch, positions) = batch(3);
    writer.append(batch, positions);
    let positions = synced(&mut inputs, Duration::from_secs(10)).await;
    assert_eq!(positions, Some(vec![(4, position(3))]));
    assert!(!writer.is_failing());
}
