//! Transfer of snapshots to followers, in chunks.
//!
//! A chunk is small enough not to delay heartbeats and entries on the same connection. The next one
//! is sent once the previous one is acknowledged, so that a slow link is never flooded.

use bytes::{Bytes, BytesMut};
use celerycove_types::id;

use crate::{
    log::{Index, Term},
    message::{Body, Round},
    raft::Raft,
    storage::{Error, Snapshot},
};

/// The maximum size of one chunk in bytes. At 130 Mbit/s it takes 2 ms, so entries queued behind it
/// are hardly delayed.
const CHUNK_BYTES: usize = 32 << 10;

/// A snapshot that a leader sends, encoded once for all followers that need it.
#[derive(Debug, Clone)]
pub(crate) struct Outgoing {
    index: Index,
    bytes: Bytes,
}

/// A snapshot that a follower has received in part.
#[derive(Debug, Clone)]
pub(crate) struct Incoming {
    /// The term of the leader that sends the snapshot.
    term: Term,
    /// The last log index that the snapshot includes.
    index: Index,
    total_bytes: usize,
    bytes: BytesMut,
}

/// The position of a follower in the snapshot that ends at a log index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Position {
    index: Index,
    /// The number of bytes that the follower has acknowledged.
    offset: usize,
}

fn codec_error(operation: &'static str, error: &dyn std::error::Error) -> Error {
    Error {
        operation,
        cause: error.to_string(),
    }
}

impl Raft {
    /// Returns the next chunk for a follower, or `None` if the snapshot can't be encoded.
    pub(crate) fn next_install(&mut self, peer: &id::Process) -> Option<Body> {
        let outgoing = self.ensure_outgoing_snapshot()?;
        let (round, confirmed) = (self.round, self.confirmed_round);
        let progress = self.progress.get_mut(peer)?;
        let current = progress
            .snapshot_position
            .filter(|position| position.index == outgoing.index);
        let position = current.unwrap_or(Position {
            index: outgoing.index,
            offset: 0,
        });
        progress.snapshot_position = Some(position);
        let end = (position.offset + CHUNK_BYTES).min(outgoing.bytes.len());
        Some(Body::Install {
            index: outgoing.index,
            total: outgoing.bytes.len(),
            offset: position.offset,
            part: outgoing.bytes.slice(position.offset.min(end)..end),
            round,
            confirmed,
        })
    }

    /// Returns the snapshot that is being sent, or encodes a new one if the log no longer holds the
    /// entries that follow it.
    fn ensure_outgoing_snapshot(&mut self) -> Option<Outgoing> {
        let log_start = self.log.snapshot_index();
        if let Some(outgoing) = self
            .outgoing_snapshot
            .as_ref()
            .filter(|sent| sent.index >= log_start)
        {
            return Some(outgoing.clone());
        }
        let snapshot = Snapshot {
            index: self.applied_index,
            term: self.log.term_at(self.applied_index).unwrap_or_default(),
            members: self.members_at(self.applied_index),
            state: self.state.clone(),
        };
        match rmp_serde::to_vec_named(&snapshot) {
            Ok(bytes) => {
                let outgoing = Outgoing {
                    index: snapshot.index,
                    bytes: bytes.into(),
                };
                self.outgoing_snapshot = Some(outgoing.clone());
                Some(outgoing)
            }
            Err(error) => {
                self.fatal_error = Some(codec_error("encode a snapshot of", &error));
                None
            }
        }
    }

    /// Drops the encoded snapshot once no follower needs it.
    pub(crate) fn release_outgoing_snapshot(&mut self) {
        if self
            .progress
            .values()
            .all(|peer| peer.snapshot_position.is_none())
        {
            self.outgoing_snapshot = None;
        }
    }

    /// Sends the next chunk from where the follower's acknowledged bytes end.
    pub(crate) fn handle_install_reply(
        &mut self,
        from: &id::Process,
        index: Index,
        held: usize,
        (round, voter): (Round, bool),
    ) {
        let progress = self.progress.get_mut(from);
        let Some(progress) = progress.filter(|peer| round >= peer.min_valid_round) else {
            return;
        };
        progress.record_reply(round, voter);
        if let Some(position) = &mut progress.snapshot_position
            && position.index == index
            && position.offset != held
        {
            position.offset = held;
            progress.begin_probe(self.now, self.round);
            if let Some(body) = self.next_install(from) {
                self.send(from, body);
            }
        }
        self.update_confirmed_round();
    }

    /// Adds a chunk to the incoming snapshot and installs it once it is complete.
    pub(crate) fn handle_install(
        &mut self,
        from: &id::Process,
        (index, total, offset): (Index, usize, usize),
        part: &Bytes,
        round: Round,
    ) {
        self.follow_leader(from);
        self.record_first_round(round);
        if index <= self.commit_index {
            // The snapshot is already installed, but the reply was lost.
            self.reply(from, Some(self.commit_index), self.commit_index, round);
            return;
        }
        let term = self.ballot.term;
        let is_same_transfer = |incoming: &Incoming| {
            (incoming.term, incoming.index, incoming.total_bytes) == (term, index, total)
        };
        let mut incoming = self
            .incoming_snapshot
            .take()
            .filter(is_same_transfer)
            .unwrap_or(Incoming {
                term,
                index,
                total_bytes: total,
                bytes: BytesMut::new(),
            });
        if offset == incoming.bytes.len() {
            incoming.bytes.extend_from_slice(part);
        }
        let held = incoming.bytes.len();
        if held < total {
            self.incoming_snapshot = Some(incoming);
            let voter = self.ballot.voter;
            let reply = Body::InstallReply {
                index,
                held,
                round,
                voter,
            };
            self.send(from, reply);
            return;
        }
        let decoded = rmp_serde::from_slice::<Snapshot>(&incoming.bytes);
        // Frees the encoded form before the snapshot is saved.
        drop(incoming);
        match decoded {
            Ok(snapshot) => self.accept_snapshot(from, snapshot, round),
            Err(error) => self.fatal_error = Some(codec_error("decode a snapshot for", &error)),
        }
    }
}
