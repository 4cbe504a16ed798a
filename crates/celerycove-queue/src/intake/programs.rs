//! Programs in progress at an entry, and when they count as ended.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use celerycove_types::{Timestamp, id};

use crate::fair::Job;

/// Time beyond the longest usual pause after which a program counts as ended: its caller's retries
/// take up to 0.8 s.
const PAUSE_MARGIN: Duration = Duration::from_secs(1);
/// Longest pause that is waited for.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Share by which the longest usual pause shrinks with each shorter one, so that a single long pause
/// is forgotten after some hundred turns.
const PAUSE_DECAY: f64 = 0.005;
/// Lifetime of a program before any was observed.
const INITIAL_LIFE: Duration = Duration::from_secs(3);
/// Weight of a program in the usual lifetime.
const LIFE_SMOOTHING: f64 = 0.05;
/// Number of ended programs that are still known to have begun.
const MAX_ENDED: usize = 4_096;

/// Limit on counted programs, several times those that run through one entry at a time.
const MAX_IN_PROGRESS: usize = 16_384;

#[derive(Debug)]
struct Progress {
    /// The job of the first turn, if this entry started it.
    job: Option<Job>,
    begun_at: Timestamp,
    last_turn_at: Timestamp,
    running: u32,
    due: Option<Timestamp>,
}

/// The programs of one service at one entry.
#[derive(Debug, Default)]
pub(super) struct Programs {
    in_progress: BTreeMap<id::Program, Progress>,
    /// Programs without turns for long, oldest first. A later turn of theirs is not a first one.
    ended: VecDeque<id::Program>,
    ended_names: BTreeSet<id::Program>,
    longest_pause: Duration,
    usual_life: Option<Duration>,
    late: u32,
}

impl Programs {
    pub(super) fn len(&self) -> usize {
        self.in_progress.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.in_progress.is_empty()
    }

    /// Returns the number of programs in progress.
    pub(super) fn count(&self) -> f64 {
        f64::from(u32::try_from(self.len()).unwrap_or(u32::MAX))
    }

    pub(super) fn has_begun(&self, program: &id::Program) -> bool {
        self.in_progress.contains_key(program) || self.ended_names.contains(program)
    }

    /// Counts the program of a first turn as in progress. Returns the jobs that count as ended: that of
    /// an earlier first turn of the program, or the new one if it can't be counted.
    pub(super) fn start(&mut self, now: Timestamp, job: Job) -> Option<Job> {
        let Some(program) = job.program.clone().filter(|_| self.has_room()) else {
            return Some(job);
        };
        let progress = Progress {
            job: Some(job),
            begun_at: now,
            last_turn_at: now,
            running: 0,
            due: None,
        };
        let previous = self.in_progress.insert(program, progress);
        previous.and_then(|progress| progress.job)
    }

    fn has_room(&self) -> bool {
        self.len() < MAX_IN_PROGRESS
    }

    /// Records that a turn of a program starts.
    pub(super) fn begin_turn(
        &mut self,
        now: Timestamp,
        program: &id::Program,
        due: Option<Timestamp>,
    ) {
        if !self.has_room() && !self.in_progress.contains_key(program) {
            return;
        }
        let progress = self
            .in_progress
            .entry(program.clone())
            .or_insert_with(|| Progress {
                job: None,
                begun_at: now,
                last_turn_at: now,
                running: 0,
                due,
            });
        if progress.running == 0 {
            let pause = now.saturating_sub(progress.last_turn_at).min(MAX_PAUSE);
            let decayed = self.longest_pause.mul_f64(1.0 - PAUSE_DECAY);
            self.longest_pause = pause.max(decayed);
        }
        progress.running += 1;
        progress.last_turn_at = now;
        progress.due = due;
    }

    /// Records that a turn of a program ended.
    pub(super) fn end_turn(&mut self, now: Timestamp, program: &id::Program) {
        if let Some(progress) = self.in_progress.get_mut(program) {
            progress.running = progress.running.saturating_sub(1);
            progress.last_turn_at = now;
        }
    }

    /// Returns the usual time from the first turn of a program to the time it counts as ended.
    pub(super) fn usual_life(&self) -> Duration {
        self.usual_life.unwrap_or(INITIAL_LIFE)
    }

    /// Returns the share of programs in progress whose time has run out.
    pub(super) fn late_share(&self) -> f64 {
        f64::from(self.late) / self.count().max(1.0)
    }

    /// Removes the programs that count as ended, returns their jobs, and counts the late ones.
    pub(super) fn remove_ended(&mut self, now: Timestamp) -> Vec<Job> {
        let kept = self.longest_pause + PAUSE_MARGIN;
        let is_ended =
            |progress: &Progress| progress.running == 0 && now > progress.last_turn_at + kept;
        let ended: Vec<_> = self
            .in_progress
            .extract_if(.., |_, progress| is_ended(progress))
            .collect();
        let mut jobs = Vec::new();
        for (program, progress) in ended {
            let life = now.saturating_sub(progress.begun_at);
            let usual = self.usual_life();
            let usual = usual.mul_f64(1.0 - LIFE_SMOOTHING) + life.mul_f64(LIFE_SMOOTHING);
            self.usual_life = Some(usual);
            jobs.extend(progress.job);
            if self.ended_names.insert(program.clone()) {
                self.ended.push_back(program);
            }
        }
        while self.ended.len() > MAX_ENDED
            && let Some(oldest) = self.ended.pop_front()
        {
            self.ended_names.remove(&oldest);
        }
        let late = self.in_progress.values();
        let late = late.filter(|progress| progress.due.is_some_and(|due| due <= now));
        self.late = u32::try_from(late.count()).unwrap_or(u32::MAX);
        jobs
    }
}
