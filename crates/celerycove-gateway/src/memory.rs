//! What a process may hold in memory, and what it holds.
//!
//! A [`Budget`] divides the memory limit of a process among its buffers, in bytes. Limits that count
//! items bound no memory where an item has no bound. An [`Account`] counts what each [`Part`] holds;
//! whoever fills a buffer reserves [`Room`] for it first.
//!
//! The state itself (configuration, registry, turns) is part of the base or of the replicated log.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering::Relaxed},
};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::setup::Role;

/// The limit of a process whose settings name none.
pub const DEFAULT_LIMIT_BYTES: usize = 256_000_000;
/// The smallest limit: with less, a configuration of a few hundred routes could not be accepted
/// beside the base and the allocator's part.
pub const MIN_LIMIT_BYTES: usize = 40_000_000;
/// What a process holds before it buffers anything: code, runtime, the fleet's state and sockets.
pub const BASE_BYTES: usize = 16_000_000;
/// The part of the limit that is left to the allocator, in percent: free memory that it has not
/// returned, and the rounding of sizes.
const ALLOCATOR_PERCENT: usize = 20;

/// A kind of buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Entries of the replicated log that are kept for other members.
    Log,
    /// Messages and proposals that wait for the replicated log.
    LogInput,
    /// Snapshots in transfer.
    Snapshots,
    /// Frames that wait to be written to other processes.
    SendQueues,
    /// Frames that are being received from other processes and decoded.
    ReceivedFrames,
    /// Operators' requests: their bodies and what these are parsed into and encoded as.
    OperatorBodies,
    /// Short requests to a control instance, such as heartbeats, likewise.
    ShortBodies,
    /// Bodies of callers' requests.
    CallerBodies,
    /// Responses that are read completely before they are forwarded.
    Responses,
    /// Data of event streams that waits for callers.
    Streams,
    /// Unfinished events, and the text of turns that are kept.
    Events,
    /// Cached chains of turns.
    Chains,
}

impl Part {
    /// All parts.
    pub const ALL: [Self; 12] = [
        Self::Log,
        Self::LogInput,
        Self::Snapshots,
        Self::SendQueues,
        Self::ReceivedFrames,
        Self::OperatorBodies,
        Self::ShortBodies,
        Self::CallerBodies,
        Self::Responses,
        Self::Streams,
        Self::Events,
        Self::Chains,
    ];

    /// The part's name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Log => "log",
            Self::LogInput => "log_input",
            Self::Snapshots => "snapshots",
            Self::SendQueues => "send_queues",
            Self::ReceivedFrames => "received_frames",
            Self::OperatorBodies => "operator_bodies",
            Self::ShortBodies => "short_bodies",
            Self::CallerBodies => "caller_bodies",
            Self::Responses => "responses",
            Self::Streams => "streams",
            Self::Events => "events",
            Self::Chains => "chains",
        }
    }

    /// The part's share, in percent, of what a process of the role may buffer.
    ///
    /// With a limit of 88 MB a control instance accepts a configuration of 4 MiB, which is counted
    /// several times, and an entry a request of 4 MiB and a response of 16 MiB.
    fn percent(self, role: Role) -> usize {
        let percents: &[(Self, usize)] = match role {
            Role::Control => &[
                (Self::Log, 20),
                (Self::LogInput, 5),
                (Self::Snapshots, 6),
                (Self::SendQueues, 16),
                (Self::ReceivedFrames, 18),
                (Self::OperatorBodies, 32),
                (Self::ShortBodies, 3),
            ],
            Role::Store => &[
                (Self::Log, 40),
                (Self::LogInput, 10),
                (Self::Snapshots, 15),
                (Self::SendQueues, 15),
                (Self::ReceivedFrames, 20),
            ],
            Role::Entry => &[
                (Self::SendQueues, 6),
                (Self::ReceivedFrames, 12),
                (Self::CallerBodies, 26),
                (Self::Responses, 32),
                (Self::Streams, 10),
                (Self::Events, 6),
                (Self::Chains, 8),
            ],
        };
        let own = percents.iter().find(|(part, _)| *part == self);
        own.map_or(0, |(_, percent)| *percent)
    }
}

/// The memory limit is too small.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error(
    "a memory limit of {limit} bytes is too small: a process holds about {BASE_BYTES} bytes before \
     it buffers anything, and needs {MIN_LIMIT_BYTES} to accept a configuration"
)]
pub struct TooSmall {
    /// The limit.
    pub limit: usize,
}

/// What each part of a process may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    total: usize,
    limits: [usize; Part::ALL.len()],
}

impl Budget {
    /// Divides the memory limit of a process.
    ///
    /// # Errors
    ///
    /// Returns an error if the limit is below [`MIN_LIMIT_BYTES`].
    pub fn new(limit: usize, role: Role) -> Result<Self, TooSmall> {
        if limit < MIN_LIMIT_BYTES {
            return Err(TooSmall { limit });
        }
        let buffers = limit - allocator_bytes(limit) - BASE_BYTES;
        Ok(Self {
            total: limit,
            limits: Part::ALL.map(|part| buffers / 100 * part.percent(role)),
        })
    }

    /// The memory limit of the process, in bytes.
    #[must_use]
    pub fn total(&self) -> usize {
        self.total
    }

    /// What is left to the allocator, in bytes.
    #[must_use]
    pub fn allocator(&self) -> usize {
        allocator_bytes(self.total)
    }

    /// What a part may hold, in bytes.
    #[must_use]
    pub fn limit(&self, part: Part) -> usize {
        self.limits[part as usize]
    }

    /// Logs what each part may hold.
    pub fn log(&self) {
        let parts: Vec<_> = Part::ALL
            .into_iter()
            .filter(|part| self.limit(*part) > 0)
            .map(|part| format!("{}={}", part.name(), self.limit(part)))
            .collect();
        log::info!(target: "run", limit = self.total, base = BASE_BYTES,
            allocator = self.allocator(), parts = parts.join(" ").as_str(); "memory budget");
    }
}

fn allocator_bytes(limit: usize) -> usize {
    limit / 100 * ALLOCATOR_PERCENT
}

/// Counts the bytes that each part of a process holds.
#[derive(Debug)]
pub struct Account {
    budget: Budget,
    used: [AtomicUsize; Part::ALL.len()],
    /// Admit reservations in the order in which they were requested, where waiting is possible.
    queues: [Arc<Semaphore>; Part::ALL.len()],
}

impl Account {
    /// Creates an account of which nothing is used.
    #[must_use]
    pub fn new(budget: Budget) -> Arc<Self> {
        Arc::new(Self {
            budget,
            used: std::array::from_fn(|_| AtomicUsize::new(0)),
            queues: Part::ALL.map(|part| Arc::new(Semaphore::new(budget.limit(part)))),
        })
    }

    /// What the parts may hold.
    #[must_use]
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// What a part may hold, in bytes.
    #[must_use]
    pub fn limit(&self, part: Part) -> usize {
        self.budget.limit(part)
    }

    /// What a part holds, in bytes.
    #[must_use]
    pub fn used(&self, part: Part) -> usize {
        self.used[part as usize].load(Relaxed)
    }

    /// Sets what a part holds that counts its bytes itself.
    pub fn set(&self, part: Part, bytes: usize) {
        self.used[part as usize].store(bytes, Relaxed);
    }

    /// Reserves room, unless the part would exceed its limit.
    #[must_use]
    pub fn try_reserve(self: &Arc<Self>, part: Part, bytes: usize) -> Option<Room> {
        let mut room = self.empty(part);
        room.try_extend(bytes).then_some(room)
    }

    /// Reserves room even if the part then exceeds its limit.
    #[must_use]
    pub fn reserve_over_limit(self: &Arc<Self>, part: Part, bytes: usize) -> Room {
        self.used[part as usize].fetch_add(bytes, Relaxed);
        let mut room = self.empty(part);
        room.bytes = bytes;
        room
    }

    /// Returns room of no size, to be extended.
    #[must_use]
    pub fn empty(self: &Arc<Self>, part: Part) -> Room {
        Room {
            account: self.clone(),
            part,
            bytes: 0,
        }
    }

    /// Waits until there is room, in the order of the calls. More than the part's limit is cut to the
    /// limit, so that it is granted when nothing else is reserved.
    ///
    /// A part is used either with this method or with [`try_reserve`](Self::try_reserve).
    pub async fn reserve(self: &Arc<Self>, part: Part, bytes: usize) -> Grant {
        let bytes = bytes.min(self.limit(part));
        let permits = u32::try_from(bytes).unwrap_or(u32::MAX);
        let queue = self.queues[part as usize].clone();
        Grant {
            // The queues are never closed.
            _permit: queue.acquire_many_owned(permits).await.ok(),
            _room: self.reserve_over_limit(part, bytes),
        }
    }
}

/// Room that was waited for; returned when dropped.
#[derive(Debug)]
pub struct Grant {
    _permit: Option<OwnedSemaphorePermit>,
    _room: Room,
}

/// Reserved bytes; returned when dropped.
#[derive(Debug)]
pub struct Room {
    account: Arc<Account>,
    part: Part,
    bytes: usize,
}

impl Room {
    /// Reserves more, unless the part would exceed its limit. Returns whether it did.
    #[must_use]
    pub fn try_extend(&mut self, bytes: usize) -> bool {
        self.try_extend_within(bytes, self.account.limit(self.part))
    }

    /// Reserves more, unless the part would then hold more than `limit` bytes. Returns whether it did.
    #[must_use]
    pub fn try_extend_within(&mut self, bytes: usize, limit: usize) -> bool {
        let used = &self.account.used[self.part as usize];
        let extended = used.fetch_update(Relaxed, Relaxed, |used| {
            used.checked_add(bytes).filter(|sum| *sum <= limit)
        });
        if extended.is_ok() {
            self.bytes += bytes;
        }
        extended.is_ok()
    }

    /// Changes the size, unless the part would then exceed its limit. Returns whether it did.
    #[must_use]
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        if let Some(more) = bytes.checked_sub(self.bytes) {
            return self.try_extend(more);
        }
        self.shrink_to(bytes);
        true
    }

    /// Returns what exceeds `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let freed = self.bytes.saturating_sub(bytes);
        self.account.used[self.part as usize].fetch_sub(freed, Relaxed);
        self.bytes -= freed;
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.account.used[self.part as usize].fetch_sub(self.bytes, Relaxed);
    }
}

/// Returns the resident memory of this process in bytes, or `None` if the system doesn't tell.
#[must_use]
pub fn resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kibibytes << 10)
}

#[cfg(test)]
#[path = "memory_tests.rs"]
mod tests;
