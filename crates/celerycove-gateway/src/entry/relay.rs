//! Streams: events are passed on as they come, and go on elsewhere where they may.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use celerycove_route::direct::Ending;
use celerycove_turn::{End, Keep};
use celerycove_types::{Timestamp, id};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

use super::{
    chains::Chain,
    events::Splitter,
    exchange::{Exchange, Occupied, Task, keeps_open},
    turns::Turns,
};
use crate::{
    clock,
    http::{Body, BoxError},
    link::lock,
};

/// Chunks that wait for a caller who reads slowly.
const QUEUE: usize = 32;
/// A pause between events after which a stream that may be resumed goes on elsewhere.
const PAUSE: Duration = Duration::from_millis(1_200);

type Chunk = Result<Frame<Bytes>, BoxError>;

/// What is told to the stores when a turn ends, however it ends.
pub(super) struct Settlement {
    pub(super) turns: Arc<Turns>,
    pub(super) request: id::Request,
    pub(super) organisation: id::Organisation,
    pub(super) program: Option<id::Program>,
    pub(super) retention: Duration,
    /// Tokens handed to the caller so far.
    pub(super) spent: id::Tokens,
    pub(super) armed: bool,
}

impl Settlement {
    pub(super) fn end(&self, keep: Option<Keep>) -> End {
        End {
            at: 0,
            request: self.request.clone(),
            organisation: self.organisation.clone(),
            program: self.program.clone(),
            spent: self.spent,
            keep,
            retention: self.retention,
        }
    }
}

impl Drop for Settlement {
    fn drop(&mut self) {
        if self.armed && self.program.is_some() {
            self.turns.settle(self.end(None));
        }
    }
}

/// A turn that is kept once it has ended whole.
pub(super) struct Kept {
    pub(super) previous: Option<id::Request>,
    /// The chain that the turn continues.
    pub(super) chain: Chain,
    /// The turn's input, and the data of its events as they come.
    pub(super) text: BytesMut,
}

/// A stream on its way to the caller.
pub(super) struct Relay {
    pub(super) task: Task,
    pub(super) settlement: Option<Settlement>,
    pub(super) kept: Option<Kept>,
    /// Tokens counted for each event.
    pub(super) event_tokens: id::Tokens,
    pub(super) last: Option<u64>,
    pub(super) events: u64,
    pub(super) first: Option<Timestamp>,
}

/// How reading one backend server's stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stop {
    /// It ended whole.
    Whole,
    /// It broke off, stalled, or sent what does not follow.
    Broken(&'static str),
    /// The caller left.
    CallerLeft,
    /// The time ran out.
    TimedOut,
}

impl Relay {
    /// Passes the stream on in a task of its own and gives the body that the caller reads.
    pub(super) fn start(self, exchange: Exchange) -> Body {
        let (sender, receiver) = mpsc::channel::<Chunk>(QUEUE);
        tokio::spawn(self.run(exchange, sender));
        let chunks = stream::unfold(receiver, |mut receiver| async move {
            receiver.recv().await.map(|chunk| (chunk, receiver))
        });
        StreamBody::new(chunks).boxed_unsync()
    }

    async fn run(mut self, exchange: Exchange, sender: mpsc::Sender<Chunk>) {
        let mut next = Some(exchange);
        let stop = loop {
            let Some(exchange) = next.take() else {
                break Stop::Broken("nowhere to go on");
            };
            let stop = self.read(exchange, &sender).await;
            if !matches!(stop, Stop::Broken(_)) || !self.task.may_repeat() {
                break stop;
            }
            let resumed = tokio::select! {
                () = sender.closed() => break Stop::CallerLeft,
                resumed = self.task.exchange(self.last) => resumed,
            };
            // Only a stream goes on; anything else can't be told the caller any more.
            next = resumed
                .ok()
                .filter(|exchange| exchange.head.status.is_success());
        };
        let stop = match stop {
            Stop::Whole => self.finish(&sender).await,
            stop => stop,
        };
        self.log_end(stop);
        if !matches!(stop, Stop::Whole | Stop::CallerLeft) {
            // The connection is closed without an end, so that the answer does not look whole.
            let error = BoxError::from(format!("the stream ended early: {stop:?}"));
            let _ = sender.send(Err(error)).await;
        }
    }

    async fn read(&mut self, exchange: Exchange, sender: &mpsc::Sender<Chunk>) -> Stop {
        let Exchange {
            choice,
            head,
            answer,
            mut body,
            lease,
        } = exchange;
        let guard = Occupied::new(&self.task, &choice);
        let mut splitter = Splitter::default();
        let stop = loop {
            let frame = tokio::select! {
                () = sender.closed() => break Stop::CallerLeft,
                frame = tokio::time::timeout(self.limit(), body.frame()) => frame,
            };
            match frame {
                Err(_) if self.task.deadline <= clock::now() => break Stop::TimedOut,
                Err(_) => break Stop::Broken("stalled"),
                Ok(None) if splitter.is_empty() => break Stop::Whole,
                Ok(None) => break Stop::Broken("stopped in an event"),
                Ok(Some(Err(_))) => break Stop::Broken("connection lost"),
                Ok(Some(Ok(frame))) => {
                    let Some(data) = frame.data_ref() else {
                        continue;
                    };
                    if let Err(stop) = self.pass(&mut splitter, data, sender).await {
                        break stop;
                    }
                }
            }
        };
        guard.disarm();
        let ending = match stop {
            Stop::Whole => Ending::Answered,
            Stop::Broken(_) => Ending::Failed,
            Stop::CallerLeft | Stop::TimedOut => Ending::Abandoned,
        };
        let what = match stop {
            Stop::Whole => "answered",
            Stop::Broken(what) => what,
            Stop::CallerLeft => "caller left",
            Stop::TimedOut => "time ran out",
        };
        if stop == Stop::Whole && keeps_open(&head) {
            lease.give_back(answer.idle);
        } else if ending == Ending::Failed {
            self.task.avoid.push(choice.backend.clone());
        }
        self.task.note(&choice, ending, what, &self.events);
        stop
    }

    /// How long the next bytes may take.
    fn limit(&self) -> Duration {
        let left = self.task.deadline.saturating_sub(clock::now());
        if self.task.may_repeat() {
            left.min(PAUSE)
        } else {
            left
        }
    }

    /// Passes on the events that are whole now.
    async fn pass(
        &mut self,
        splitter: &mut Splitter,
        data: &Bytes,
        sender: &mpsc::Sender<Chunk>,
    ) -> Result<(), Stop> {
        splitter
            .push(data)
            .map_err(|_| Stop::Broken("no stream of events"))?;
        let mut out = BytesMut::new();
        while let Some(event) = splitter.next_event() {
            match (event.id, self.last) {
                // Sent again after a resumption.
                (Some(id), Some(last)) if id <= last => continue,
                (Some(id), Some(last)) if id > last + 1 => {
                    return Err(Stop::Broken("an event is missing"));
                }
                _ => {}
            }
            self.last = event.id.or(self.last);
            self.events += 1;
            if let Some(settlement) = &mut self.settlement {
                settlement.spent += self.event_tokens;
            }
            if let Some(kept) = &mut self.kept {
                event.append_data(&mut kept.text);
            }
            out.extend_from_slice(&event.bytes);
        }
        if out.is_empty() {
            return Ok(());
        }
        if self.first.is_none() {
            let now = clock::now();
            self.first = Some(now);
            let took = now.saturating_sub(self.task.began);
            self.task.entry.metrics.first_byte(took);
        }
        let sent = sender.send(Ok(Frame::data(out.freeze()))).await;
        sent.map_err(|_| Stop::CallerLeft)
    }

    /// Makes a whole turn durable before the caller sees its end.
    async fn finish(&mut self, sender: &mpsc::Sender<Chunk>) -> Stop {
        let (Some(kept), Some(mut settlement)) = (self.kept.take(), self.settlement.take()) else {
            return Stop::Whole;
        };
        let text = kept.text.freeze();
        let end = settlement.end(Some(Keep {
            previous: kept.previous,
            text: text.clone(),
        }));
        let left = self.task.patience.saturating_sub(clock::now());
        let ended = tokio::select! {
            () = sender.closed() => return Stop::CallerLeft,
            ended = settlement.turns.end(end, left) => ended,
        };
        if ended.is_err() {
            return Stop::Broken("the turn could not be kept");
        }
        settlement.armed = false;
        let chain: Chain = kept.chain.iter().cloned().chain([text]).collect();
        settlement
            .turns
            .remember(&settlement.organisation, &settlement.request, chain);
        Stop::Whole
    }

    fn log_end(&self, stop: Stop) {
        let now = clock::now();
        let first = self
            .first
            .map(|first| first.saturating_sub(self.task.began));
        let took = now.saturating_sub(self.task.began);
        let status = if stop == Stop::Whole { 200 } else { 0 };
        self.task
            .entry
            .metrics
            .answer(&self.task.route.name, status, took);
        log::info!(target: "stream", request:% = self.task.request, stop:? = stop,
            events = self.events, first_ms:? = first.map(clock::millis),
            took_ms = clock::millis(took), sent = self.task.sent,
            servers = lock(&self.task.entry.servers).count(&self.task.service); "stream ended");
    }
}
