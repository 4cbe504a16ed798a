//! Snapshots on their way to followers, in parts.
//!
//! A part is small enough to pass between heartbeats and entries on the same connection; the next one is
//! sent when the one before is acknowledged, so that a slow link is never flooded.

use bytes::{Bytes, BytesMut};
use celerycove_types::id;

use crate::{
    core::Core,
    log::{Index, Term},
    message::{Body, Round},
    storage::{Error, Snapshot},
};

/// Bytes of one part: 2 ms of a link of 130 Mbit/s, so that entries hardly wait behind it.
const PART: usize = 32 << 10;

/// A snapshot that a leader sends, encoded once for all followers that need it.
#[derive(Debug, Clone)]
pub(crate) struct Outgoing {
    index: Index,
    bytes: Bytes,
}

/// A snapshot that a follower is being sent.
#[derive(Debug, Clone)]
pub(crate) struct Incoming {
    term: Term,
    index: Index,
    total: usize,
    bytes: BytesMut,
}

/// How far a follower is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Position {
    index: Index,
    offset: usize,
}

fn fault(attempt: &'static str, error: &dyn std::error::Error) -> Error {
    Error {
        attempt,
        cause: error.to_string(),
    }
}

impl Core {
    /// The next part for a follower, or `None` if the snapshot can't be encoded.
    pub(crate) fn install_body(&mut self, peer: &id::Process) -> Option<Body> {
        let outgoing = self.outgoing()?;
        let (round, confirmed) = (self.round, self.confirmed_round);
        let progress = self.progress.get_mut(peer)?;
        let begun = progress
            .installing
            .filter(|position| position.index == outgoing.index);
        let position = begun.unwrap_or(Position {
            index: outgoing.index,
            offset: 0,
        });
        progress.installing = Some(position);
        let end = (position.offset + PART).min(outgoing.bytes.len());
        Some(Body::Install {
            index: outgoing.index,
            total: outgoing.bytes.len(),
            offset: position.offset,
            part: outgoing.bytes.slice(position.offset.min(end)..end),
            round,
            confirmed,
        })
    }

    /// The snapshot that is being sent, or a new one where the log no longer follows on it.
    fn outgoing(&mut self) -> Option<Outgoing> {
        let base = self.log.base();
        if let Some(outgoing) = self.outgoing.as_ref().filter(|sent| sent.index >= base) {
            return Some(outgoing.clone());
        }
        let snapshot = Snapshot {
            index: self.applied,
            term: self.log.term_at(self.applied).unwrap_or_default(),
            members: self.members.clone(),
            state: self.state.clone(),
        };
        match rmp_serde::to_vec_named(&snapshot) {
            Ok(bytes) => {
                let outgoing = Outgoing {
                    index: snapshot.index,
                    bytes: bytes.into(),
                };
                self.outgoing = Some(outgoing.clone());
                Some(outgoing)
            }
            Err(error) => {
                self.failed = Some(fault("encode a snapshot of", &error));
                None
            }
        }
    }

    /// Forgets the snapshot once no follower needs it.
    pub(crate) fn drop_outgoing(&mut self) {
        if self.progress.values().all(|peer| peer.installing.is_none()) {
            self.outgoing = None;
        }
    }

    pub(crate) fn take_install_reply(
        &mut self,
        from: &id::Process,
        index: Index,
        held: usize,
        (round, voter): (Round, bool),
    ) {
        let progress = self.progress.get_mut(from);
        let Some(progress) = progress.filter(|peer| round >= peer.valid_from) else {
            return;
        };
        progress.note(round, voter);
        if let Some(position) = &mut progress.installing
            && position.index == index
            && position.offset != held
        {
            position.offset = held;
            progress.probing = Some(self.now);
            if let Some(body) = self.install_body(from) {
                self.send(from, body);
            }
        }
        self.confirm_round();
    }

    pub(crate) fn take_install(
        &mut self,
        from: &id::Process,
        (index, total, offset): (Index, usize, usize),
        part: &Bytes,
        (round, confirmed): (Round, Round),
    ) {
        self.follow(from);
        self.hear_round(round);
        if index <= self.commit {
            // It was completed before; the answer to that was lost.
            self.reply(from, Some(self.commit), self.commit, round);
            return;
        }
        let term = self.ballot.term;
        let same = |incoming: &Incoming| {
            (incoming.term, incoming.index, incoming.total) == (term, index, total)
        };
        let mut incoming = self.incoming.take().filter(same).unwrap_or(Incoming {
            term,
            index,
            total,
            bytes: BytesMut::new(),
        });
        if offset == incoming.bytes.len() {
            incoming.bytes.extend_from_slice(part);
        }
        let held = incoming.bytes.len();
        if held < total {
            self.incoming = Some(incoming);
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
        match rmp_serde::from_slice::<Snapshot>(&incoming.bytes) {
            Ok(snapshot) => self.take_snapshot(from, snapshot, (round, confirmed)),
            Err(error) => self.failed = Some(fault("decode a snapshot for", &error)),
        }
    }
}
