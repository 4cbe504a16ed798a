//! Transfer of snapshots to followers, in chunks.
//!
//! A chunk is small enough not to delay heartbeats and entries on the same connection. The next one
//! is sent once the previous one is acknowledged, so that a slow link is never flooded. The leader
//! reads the chunks from its storage, and the follower writes them there: the state of a store takes
//! up much of its memory, so that an encoded copy of it would not fit beside it.

use bytes::Bytes;
use celerycove_types::id;

use crate::{
    log::{Index, Term},
    message::{Body, Round},
    raft::Raft,
    state::State,
    storage::{Error, ReadSnapshot, WriteSnapshot},
};

/// The maximum size of one chunk in bytes. At 130 Mbit/s it takes 2 ms, so entries queued behind it
/// are hardly delayed.
const CHUNK_BYTES: usize = 32 << 10;

/// The saved snapshot that a leader sends to all followers that need it.
#[derive(Debug)]
pub(crate) struct Outgoing {
    index: Index,
    snapshot: Box<dyn ReadSnapshot>,
}

/// A snapshot that a follower has received in part.
#[derive(Debug)]
pub(crate) struct Incoming {
    /// The term of the leader that sends the snapshot.
    term: Term,
    /// The last log index that the snapshot includes.
    index: Index,
    total_bytes: usize,
    received: Box<dyn WriteSnapshot>,
}

/// The position of a follower in the snapshot that ends at a log index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Position {
    index: Index,
    /// The number of bytes that the follower has acknowledged.
    offset: usize,
}

impl Raft {
    /// Returns the next chunk for a follower, or `None` if the snapshot can't be read.
    pub(crate) fn next_install(&mut self, peer: &id::Process) -> Option<Body> {
        match self.read_chunk(peer) {
            Ok(chunk) => chunk,
            Err(error) => {
                self.fatal_error = Some(error);
                None
            }
        }
    }

    fn read_chunk(&mut self, peer: &id::Process) -> Result<Option<Body>, Error> {
        self.ensure_outgoing_snapshot()?;
        let round = self.round;
        let (Some(outgoing), Some(progress)) =
            (&mut self.outgoing_snapshot, self.progress.get_mut(peer))
        else {
            return Ok(None);
        };
        let current = progress
            .snapshot_position
            .filter(|position| position.index == outgoing.index);
        let position = current.unwrap_or(Position {
            index: outgoing.index,
            offset: 0,
        });
        progress.snapshot_position = Some(position);
        Ok(Some(Body::Install {
            index: outgoing.index,
            total: outgoing.snapshot.total_bytes(),
            offset: position.offset,
            part: outgoing.snapshot.read(position.offset, CHUNK_BYTES)?,
            round,
            // Receivers of an earlier version would take their vote for the snapshot alone.
            confirmed: 0,
        }))
    }

    /// Opens the saved snapshot, unless one is being sent that the entries in the log can follow.
    fn ensure_outgoing_snapshot(&mut self) -> Result<(), Error> {
        let index = self.log.snapshot_index();
        let is_usable = |outgoing: &Outgoing| outgoing.index >= index;
        if !self.outgoing_snapshot.as_ref().is_some_and(is_usable) {
            let snapshot = self.storage.open_snapshot()?;
            self.outgoing_snapshot = Some(Outgoing { index, snapshot });
        }
        Ok(())
    }

    /// How many bytes of snapshots in transfer are in memory.
    pub(crate) fn transfer_bytes(&self) -> usize {
        let outgoing = self.outgoing_snapshot.as_ref();
        let incoming = self.incoming_snapshot.as_ref();
        outgoing.map_or(0, |outgoing| outgoing.snapshot.bytes_in_memory())
            + incoming.map_or(0, |incoming| incoming.received.bytes_in_memory())
    }

    /// Closes the snapshot once no follower needs it.
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
        progress.record_reply(self.now, round, voter);
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
        let received = self.receive_chunk((index, total, offset), part);
        let received = match received {
            Ok(received) => received,
            Err(error) => {
                self.fatal_error = Some(error);
                return;
            }
        };
        let held = received.received_bytes();
        if held < total {
            self.incoming_snapshot = Some(Incoming {
                term: self.ballot.term,
                index,
                total_bytes: total,
                received,
            });
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
        // Two states may not fit in memory. If the new one can't be decoded, the instance halts.
        self.state = State::default();
        match received.finish() {
            Ok(snapshot) if snapshot.index == index => {
                self.accept_snapshot(from, snapshot, round);
            }
            Ok(snapshot) => {
                self.fatal_error = Some(Error {
                    operation: "install a snapshot for",
                    cause: format!("it ends at {} instead of {index}", snapshot.index),
                });
            }
            Err(error) => self.fatal_error = Some(error),
        }
    }

    /// Adds a chunk to the incoming snapshot, which starts anew if the chunk is of another one.
    fn receive_chunk(
        &mut self,
        (index, total, offset): (Index, usize, usize),
        part: &Bytes,
    ) -> Result<Box<dyn WriteSnapshot>, Error> {
        let term = self.ballot.term;
        let is_same_transfer = |incoming: &Incoming| {
            (incoming.term, incoming.index, incoming.total_bytes) == (term, index, total)
        };
        let incoming = self.incoming_snapshot.take().filter(is_same_transfer);
        let mut received = match incoming {
            Some(incoming) => incoming.received,
            None => self.storage.receive_snapshot()?,
        };
        if offset == received.received_bytes() {
            received.append(part)?;
        }
        Ok(received)
    }
}
