//! Transfer of snapshots to followers, in chunks.
//!
//! A chunk is small enough not to delay heartbeats and entries on the same connection. Several may be
//! on their way at a time, so that a transfer doesn't take a round trip for each. The leader reads the
//! chunks from its storage, and the follower writes them there: the state of a store takes up much of
//! its memory, so that an encoded copy of it would not fit beside it.
//!
//! While a transfer makes progress, the leader keeps the entries that follow the snapshot as long as
//! its log has room, and ends the transfer even if it had to compact them: the follower then holds a
//! newer state than before, which starting anew again and again would never give it.

use bytes::Bytes;
use celerycove_types::{Timestamp, id};

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
/// The most chunks on their way to a follower at a time. Together they are as large as the entries in
/// one message may be: at 100 Mbit/s they take 40 ms, half of a heartbeat interval.
const MAX_CHUNKS_ON_WAY: usize = 16;
/// The number of heartbeat intervals without an acknowledged chunk after which a transfer counts as
/// stalled: 4 s at the intervals in use, several round trips over the slowest links.
const STALL_HEARTBEATS: u32 = 50;

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
    acknowledged: usize,
    /// The number of bytes sent, from the start of the snapshot.
    sent: usize,
    /// When the transfer began or the follower last acknowledged further bytes.
    progressed_at: Timestamp,
}

impl Position {
    /// Whether the follower holds the whole snapshot if it holds the entries up to `matched`.
    pub(crate) fn is_complete(&self, matched: Index) -> bool {
        matched >= self.index
    }
}

impl Raft {
    /// Sends a follower the chunks after those that it has acknowledged. Called if none of them is on
    /// its way any more.
    pub(crate) fn restart_chunks(&mut self, peer: &id::Process) {
        if let Err(error) = self.ensure_outgoing_snapshot(peer) {
            self.fatal_error = Some(error);
            return;
        }
        let (Some(outgoing), Some(progress)) =
            (&self.outgoing_snapshot, self.progress.get_mut(peer))
        else {
            return;
        };
        let current = progress
            .snapshot_position
            .filter(|position| position.index == outgoing.index);
        let mut position = current.unwrap_or(Position {
            index: outgoing.index,
            acknowledged: 0,
            sent: 0,
            progressed_at: self.now,
        });
        position.sent = position.acknowledged;
        progress.snapshot_position = Some(position);
        progress.begin_probe(self.now, self.round);
        self.send_chunks(peer);
    }

    /// Sends a follower as many of the next chunks as may be on their way.
    fn send_chunks(&mut self, peer: &id::Process) {
        loop {
            match self.next_chunk(peer) {
                Ok(Some(chunk)) => self.send(peer, chunk),
                Ok(None) => return,
                Err(error) => {
                    self.fatal_error = Some(error);
                    return;
                }
            }
        }
    }

    /// Reads the next chunk, or returns `None` if all are sent or as many as may be on their way.
    fn next_chunk(&mut self, peer: &id::Process) -> Result<Option<Body>, Error> {
        let (Some(outgoing), Some(progress)) =
            (&mut self.outgoing_snapshot, self.progress.get_mut(peer))
        else {
            return Ok(None);
        };
        let Some(position) = &mut progress.snapshot_position else {
            return Ok(None);
        };
        let total = outgoing.snapshot.total_bytes();
        let on_way = position.sent.saturating_sub(position.acknowledged);
        let is_window_full = on_way >= CHUNK_BYTES * MAX_CHUNKS_ON_WAY;
        if position.index != outgoing.index || position.sent >= total || is_window_full {
            return Ok(None);
        }
        let offset = position.sent;
        let part = outgoing.snapshot.read(offset, CHUNK_BYTES)?;
        position.sent += part.len();
        progress.begin_probe(self.now, self.round);
        Ok(Some(Body::Install {
            index: outgoing.index,
            total,
            offset,
            part,
            round: self.round,
            // Receivers of an earlier version would take their vote for the snapshot alone.
            confirmed: 0,
        }))
    }

    /// Opens the saved snapshot, unless one is being sent that the entries in the log can follow, or
    /// one that the follower is receiving.
    fn ensure_outgoing_snapshot(&mut self, peer: &id::Process) -> Result<(), Error> {
        let index = self.log.snapshot_index();
        let position = self.progress.get(peer);
        let position = position.and_then(|progress| progress.snapshot_position);
        let is_usable = |outgoing: &Outgoing| {
            outgoing.index >= index
                || position.is_some_and(|position| {
                    position.index == outgoing.index && self.is_progressing(position)
                })
        };
        if !self.outgoing_snapshot.as_ref().is_some_and(is_usable) {
            let snapshot = self.storage.open_snapshot()?;
            self.outgoing_snapshot = Some(Outgoing { index, snapshot });
        }
        Ok(())
    }

    fn is_progressing(&self, position: Position) -> bool {
        let stall = self.options.heartbeat_interval * STALL_HEARTBEATS;
        self.now.saturating_sub(position.progressed_at) < stall
    }

    /// Whether a follower is receiving a snapshot that the entries in the log can follow.
    pub(crate) fn is_transfer_progressing(&self) -> bool {
        let index = self.log.snapshot_index();
        let mut positions = self
            .progress
            .values()
            .filter_map(|peer| peer.snapshot_position);
        self.outgoing_snapshot.is_some()
            && positions.any(|position| position.index >= index && self.is_progressing(position))
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

    /// Sends the chunks that follow those on their way, or all again from where the follower's bytes end.
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
        {
            if held > position.acknowledged {
                position.acknowledged = held;
                position.sent = position.sent.max(held);
                position.progressed_at = self.now;
                self.send_chunks(from);
            } else if held < position.acknowledged {
                // The follower started again and lost what it had received.
                position.acknowledged = held;
                self.restart_chunks(from);
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
