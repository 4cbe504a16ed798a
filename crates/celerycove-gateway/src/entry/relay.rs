//! Forwarding of event streams, which are resumed at another backend server after a failure where
//! allowed.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use celerycove_rollout::guide::Answer;
use celerycove_route::direct::{Outcome, Run, Selection};
use celerycove_turn::{End, Keep};
use celerycove_types::{Timestamp, id};
use http_body_util::BodyExt;
use hyper::{StatusCode, body::Incoming};

use super::{
    attempt::InFlightGuard,
    chains::Chain,
    events::{Held, Splitter},
    exchange::{Dispatch, Exchange},
    outbox,
    pace::Pace,
    response::{is_event_stream, keeps_alive},
    rollout::Ticket,
    silence::Silence,
    turns::Client as TurnClient,
};
use crate::{
    clock,
    http::{Body, BoxError},
    link::lock,
    memory::Part,
};

/// How a stream ends if its connection breaks: noticed as such, or by an event that is cut short.
const CONNECTION_LOST: &str = "connection lost";
const CUT_EVENT: &str = "stopped in an event";
/// How a silent stream ends whose backend server has gone.
const GONE: &str = "unreachable";
/// How a silent stream ends that another backend server has taken over.
const STALLED: &str = "stalled";
/// How a stream ends that has an event without end.
const NO_EVENTS: &str = "no stream of events";
/// How a stream ends whose unfinished event finds no memory.
const NO_ROOM: &str = "no memory for an event";

/// Reservation of a turn's tokens in the stores. Dropping it settles the reservation, so that this
/// happens however the turn ends.
pub(super) struct ReservationGuard {
    pub(super) turns: Arc<TurnClient>,
    pub(super) request: id::Request,
    pub(super) organisation: id::Organisation,
    pub(super) program: Option<id::Program>,
    pub(super) retention: Duration,
    /// Tokens sent to the caller so far.
    pub(super) spent: id::Tokens,
    /// Whether the reservation still has to be settled.
    pub(super) pending: bool,
}

impl ReservationGuard {
    pub(super) fn end_command(&self, keep: Option<Keep>) -> End {
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

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        if self.pending && self.program.is_some() {
            self.turns.end_in_background(self.end_command(None));
        }
    }
}

/// A turn that is stored once its stream has ended completely, so that later turns can continue
/// from it.
pub(super) struct RetainedTurn {
    pub(super) previous: Option<id::Request>,
    /// The chain that the turn continues.
    pub(super) chain: Chain,
    /// The turn's input, followed by the data of the events received so far.
    pub(super) text: BytesMut,
    /// The size of the input, which counts among the callers' bodies.
    pub(super) input_bytes: usize,
    /// The room that the events take.
    pub(super) held: Held,
}

/// A stream that is being forwarded to the caller.
pub(super) struct Relay {
    pub(super) dispatch: Dispatch,
    pub(super) reservation: Option<ReservationGuard>,
    pub(super) retained: Option<RetainedTurn>,
    /// The status that the caller got.
    pub(super) status: StatusCode,
    /// Tokens counted per event.
    pub(super) event_tokens: id::Tokens,
    pub(super) last_event: Option<u64>,
    pub(super) event_count: u64,
    pub(super) first_byte_at: Option<Timestamp>,
}

/// How reading one backend server's stream ended. The variant names appear in the log and in
/// errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stop {
    /// It ended completely.
    Whole,
    /// It was interrupted, stalled, or sent data that does not continue the stream.
    Broken(&'static str),
    /// The caller disconnected.
    CallerLeft,
    /// The deadline expired.
    TimedOut,
}

impl Stop {
    /// Returns what the stream says about the version that it came from.
    fn answer(self, has_data: bool, ticket: &mut Ticket) -> Answer {
        match self {
            Self::Whole | Self::TimedOut | Self::CallerLeft if has_data => ticket.good(),
            Self::Whole | Self::TimedOut => ticket.good_without_data(),
            Self::Broken(NO_ROOM) | Self::CallerLeft => Answer::Abandoned,
            Self::Broken(_) => Answer::Failed,
        }
    }
}

/// How the forwarding of one backend server's stream ended.
enum Forwarded {
    Stopped(Stop),
    /// Another backend server goes on with the stream.
    Continued(Box<Exchange>),
}

/// The stream of one backend server, as it is read.
struct Source {
    choice: Selection,
    body: Incoming,
    splitter: Splitter,
    silence: Silence,
}

/// What is read of a stream.
enum Read {
    Data(Bytes),
    /// A frame without data.
    Other,
    End,
    Failed,
}

/// What comes next of a stream.
enum Next {
    Read(Read),
    /// The stream ended so; another backend server goes on with it.
    Successor(&'static str, Box<Exchange>),
    Stop(Stop),
}

async fn read(body: &mut Incoming) -> Read {
    match body.frame().await {
        None => Read::End,
        Some(Err(_)) => Read::Failed,
        Some(Ok(frame)) => frame.into_data().map_or(Read::Other, Read::Data),
    }
}

impl Dispatch {
    /// Records a response that does not continue a stream, such as an error.
    fn reject_continuation(&mut self, exchange: Exchange) {
        let Exchange {
            choice,
            head,
            ticket,
            ..
        } = exchange;
        let label = "no continuation";
        self.record_attempt(&choice, Outcome::Erred, label, &head.status);
        self.end_ticket(ticket, Answer::Failed);
        self.excluded.push(choice.backend);
    }

    /// Logs that long events of other streams take the memory, and returns how the stream ends.
    fn no_room_for_events(&self) -> Stop {
        self.entry.log_no_room(Part::Events);
        Stop::Broken(NO_ROOM)
    }
}

impl Relay {
    /// Forwards the stream in a separate task and returns the body that the caller reads.
    pub(super) fn start(self, exchange: Exchange) -> Body {
        let account = self.dispatch.entry.connections.account().clone();
        let (sender, body) = outbox::new(account);
        tokio::spawn(self.run(exchange, sender));
        body
    }

    async fn run(mut self, exchange: Exchange, sender: outbox::Sender) {
        let mut exchange = exchange;
        let stop = loop {
            let stop = match self.forward(exchange, &sender).await {
                Forwarded::Stopped(stop) => stop,
                Forwarded::Continued(successor) => {
                    exchange = *successor;
                    continue;
                }
            };
            if !matches!(stop, Stop::Broken(_)) || !self.dispatch.may_retry() {
                break stop;
            }
            let resumed = tokio::select! {
                () = sender.closed() => break Stop::CallerLeft,
                resumed = self.resume() => resumed,
            };
            match resumed {
                Some(resumed) => exchange = resumed,
                None => break Stop::Broken("nowhere to go on"),
            }
        };
        if stop == Stop::Whole {
            let generated = self.event_count * self.event_tokens;
            self.dispatch.finish_turn(generated);
        }
        let stop = match stop {
            Stop::Whole => self.store_turn(&sender).await,
            stop => stop,
        };
        self.log_end(stop);
        if !matches!(stop, Stop::Whole | Stop::CallerLeft) {
            // The body ends with an error, so that the caller does not take the response for
            // complete.
            let error = BoxError::from(format!("the stream ended early: {stop:?}"));
            sender.fail(error).await;
        }
    }

    /// Requests the rest of the stream from other backend servers; `None` if none of them continues it.
    async fn resume(&mut self) -> Option<Exchange> {
        loop {
            let exchange = self.dispatch.begin_response(self.last_event).await.ok()?;
            // The caller has the head of the response already, so nothing else can be passed on.
            if exchange.head.status == self.status && is_event_stream(&exchange.head) {
                return Some(exchange);
            }
            self.dispatch.reject_continuation(exchange);
            if !self.dispatch.may_retry() {
                return None;
            }
        }
    }

    async fn forward(&mut self, exchange: Exchange, sender: &outbox::Sender) -> Forwarded {
        let Exchange {
            choice,
            head,
            metadata,
            body,
            connection,
            sent_at,
            mut ticket,
        } = exchange;
        let guard = InFlightGuard::new(&self.dispatch, &choice);
        let mut source = Source {
            choice: choice.clone(),
            body,
            splitter: Splitter::new(self.dispatch.entry.connections.account()),
            silence: Silence::new(clock::now()),
        };
        let mut has_data = false;
        let mut pace = Pace::new(sent_at, self.event_count > 0);
        let mut successor = None;
        let stop = loop {
            let data = match self.next(&mut source, sender).await {
                Next::Read(Read::Data(data)) => data,
                Next::Read(Read::Other) => continue,
                Next::Read(Read::Failed) => break Stop::Broken(CONNECTION_LOST),
                Next::Read(Read::End) => match source.splitter.into_rest() {
                    Some(rest) if rest.is_empty() => break Stop::Whole,
                    Some(rest) => match self.send(rest, sender).await {
                        Ok(()) => break Stop::Whole,
                        Err(stop) => break stop,
                    },
                    None => break Stop::Broken(CUT_EVENT),
                },
                Next::Successor(label, exchange) => {
                    successor = Some(exchange);
                    break Stop::Broken(label);
                }
                Next::Stop(stop) => break stop,
            };
            if !has_data {
                ticket.note_first_data(clock::now());
                has_data = true;
            }
            let event_count = self.event_count;
            let received_at = clock::now();
            if source.splitter.push(&data).is_err() {
                break Stop::Broken(NO_EVENTS);
            }
            if let Err(stop) = self.forward_events(&mut source.splitter, sender).await {
                break stop;
            }
            if self.event_count > event_count {
                let forwarded_at = clock::now();
                source.silence = Silence::new(forwarded_at);
                pace.record_events(received_at, forwarded_at);
            }
        };
        guard.disarm();
        let answer = stop.answer(has_data, &mut ticket);
        self.dispatch.end_ticket(ticket, answer);
        let outcome = match stop {
            Stop::Whole => Outcome::Answered,
            Stop::Broken(_) => Outcome::Failed,
            Stop::CallerLeft | Stop::TimedOut => Outcome::Abandoned,
        };
        let label = match stop {
            Stop::Whole => "answered",
            Stop::Broken(label) => label,
            Stop::CallerLeft => "caller left",
            Stop::TimedOut => "time ran out",
        };
        if stop == Stop::Whole {
            connection.finish(keeps_alive(&head), metadata.idle_timeout);
        } else if outcome == Outcome::Failed {
            self.dispatch.excluded.push(choice.backend.clone());
        }
        self.dispatch
            .record_attempt(&choice, outcome, label, &self.event_count);
        match stop {
            Stop::Whole => {
                self.dispatch.record_whole_answer(&choice, &head, sent_at);
                if let Some((first_byte, total)) = pace.times() {
                    let run = Run {
                        first_byte,
                        total,
                        prompt_read: self.dispatch.uncached_tokens(&choice),
                        generated: self.event_count * self.event_tokens,
                        running: metadata.load.map_or(0, |load| load.running),
                    };
                    self.dispatch.record_run(&choice, &run);
                }
            }
            Stop::Broken(CONNECTION_LOST | CUT_EVENT) => {
                self.dispatch.record_break(&choice, sent_at);
            }
            _ => {}
        }
        successor.map_or(Forwarded::Stopped(stop), Forwarded::Continued)
    }

    /// Waits for what comes next of a stream. Silence alone says little of the backend server: it may have
    /// put the request back for more urgent ones. So a silent stream is given up only if the server is
    /// gone, or once another one goes on with it.
    async fn next(&mut self, source: &mut Source, sender: &outbox::Sender) -> Next {
        loop {
            // Checked also while data arrives: it may never end, and need not consist of events.
            let now = clock::now();
            if now >= self.dispatch.deadline {
                return Next::Stop(Stop::TimedOut);
            }
            let mut wait = self.dispatch.deadline.saturating_sub(now);
            if self.dispatch.may_retry() {
                let patience = self.dispatch.route.caller_patience;
                if source.silence.is_search_due(now, patience) {
                    source.silence.is_searched = true;
                    if let Some(next) = self.search(source, sender).await {
                        return next;
                    }
                    continue;
                }
                if source.silence.is_probe_due(now) {
                    source.silence.start_probe(source.choice.address);
                }
                let due = source.silence.next_due(patience);
                wait = due.map_or(wait, |due| wait.min(due.saturating_sub(now)));
            }
            tokio::select! {
                () = sender.closed() => return Next::Stop(Stop::CallerLeft),
                read = read(&mut source.body) => return Next::Read(read),
                probe = source.silence.probed() => {
                    self.log_silence(source, probe.label());
                    if source.silence.is_gone(probe, source.choice.address) && self.dispatch.may_retry() {
                        return Next::Stop(Stop::Broken(GONE));
                    }
                }
                () = tokio::time::sleep(wait) => {}
            }
        }
    }

    /// Asks other backend servers for the rest of a silent stream, until one goes on with it or the silence
    /// ends; `None` if none of them takes it.
    async fn search(&mut self, source: &mut Source, sender: &outbox::Sender) -> Option<Next> {
        self.log_silence(source, "asking other backend servers");
        self.dispatch.excluded.push(source.choice.backend.clone());
        let mut broken = None;
        let resumed = {
            let resumed = self.resume();
            tokio::pin!(resumed);
            loop {
                tokio::select! {
                    () = sender.closed() => break Err(Next::Stop(Stop::CallerLeft)),
                    resumed = &mut resumed => break Ok(resumed),
                    read = read(&mut source.body), if broken.is_none() => match read {
                        Read::Data(data) if source.splitter.push(&data).is_err() => {
                            broken = Some(NO_EVENTS);
                        }
                        Read::Data(_) => {
                            let is_held = source.splitter.hold_rest().is_ok();
                            if source.splitter.has_event() || !is_held {
                                break Err(Next::Read(Read::Data(Bytes::new())));
                            }
                        }
                        Read::Other => {}
                        Read::End => break Err(Next::Read(Read::End)),
                        Read::Failed => broken = Some(CONNECTION_LOST),
                    },
                }
            }
        };
        match (resumed, broken) {
            (Ok(Some(exchange)), label) => {
                let label = label.unwrap_or(STALLED);
                Some(Next::Successor(label, Box::new(exchange)))
            }
            (Ok(None), Some(label)) => Some(Next::Stop(Stop::Broken(label))),
            (Ok(None), None) => {
                self.log_silence(source, "no other backend server takes it");
                None
            }
            (Err(next), _) => {
                // The attempt that is given up may have begun to run.
                self.dispatch.sent += 1;
                self.log_silence(source, "it goes on");
                Some(next)
            }
        }
    }

    fn log_silence(&self, source: &Source, what: &'static str) {
        let silent = clock::now().saturating_sub(source.silence.since);
        log::info!(target: "stream", request:% = self.dispatch.request,
            backend:% = source.choice.backend, events = self.event_count,
            silent_ms = clock::millis(silent); "the stream is silent: {what}");
    }

    /// Whether the turn has generated all the tokens that it may: a sound engine ends the stream
    /// then, and more tokens could exceed the program's budget.
    fn has_spent_all(&self) -> bool {
        let max_tokens = self.dispatch.call.tokens.map(|(_, most)| most);
        self.reservation
            .as_ref()
            .zip(max_tokens)
            .is_some_and(|(reservation, most)| reservation.spent >= most)
    }

    /// Forwards the events that are complete.
    async fn forward_events(
        &mut self,
        splitter: &mut Splitter,
        sender: &outbox::Sender,
    ) -> Result<(), Stop> {
        let mut out = BytesMut::new();
        while let Some(event) = splitter.next_event() {
            match (event.id, self.last_event) {
                // Already forwarded before the stream was resumed.
                (Some(id), Some(last)) if id <= last => continue,
                (Some(id), Some(last)) if id - last > 1 => {
                    return Err(Stop::Broken("an event is missing"));
                }
                _ => {}
            }
            if self.has_spent_all() {
                return Err(Stop::Broken("more events than the turn may have"));
            }
            self.last_event = event.id.or(self.last_event);
            self.event_count += 1;
            if let Some(reservation) = &mut self.reservation {
                reservation.spent += self.event_tokens;
            }
            if let Some(retained) = &mut self.retained {
                let events = retained.text.len() - retained.input_bytes;
                retained
                    .held
                    .adjust(events + event.bytes.len())
                    .map_err(|_| self.dispatch.no_room_for_events())?;
                event.append_data(&mut retained.text);
            }
            out.extend_from_slice(&event.bytes);
        }
        splitter
            .hold_rest()
            .map_err(|_| self.dispatch.no_room_for_events())?;
        if out.is_empty() {
            return Ok(());
        }
        if self.first_byte_at.is_none() {
            let now = clock::now();
            self.first_byte_at = Some(now);
            let took = now.saturating_sub(self.dispatch.started);
            self.dispatch.entry.metrics.record_first_byte(took);
        }
        self.send(out.freeze(), sender).await
    }

    /// Sends data to the caller, until its deadline: a caller that no longer reads would keep the stream
    /// open.
    async fn send(&self, data: Bytes, sender: &outbox::Sender) -> Result<(), Stop> {
        let left = self.dispatch.caller_deadline.saturating_sub(clock::now());
        match tokio::time::timeout(left, sender.send(data)).await {
            Ok(sent) => sent.map_err(|_| Stop::CallerLeft),
            Err(_) => Err(Stop::TimedOut),
        }
    }

    /// Commits a complete turn to the stores before the caller sees the end of the stream.
    async fn store_turn(&mut self, sender: &outbox::Sender) -> Stop {
        let (Some(retained), Some(mut reservation)) =
            (self.retained.take(), self.reservation.take())
        else {
            return Stop::Whole;
        };
        let text = retained.text.freeze();
        let end = reservation.end_command(Some(Keep {
            previous: retained.previous,
            text: text.clone(),
        }));
        let left = self.dispatch.caller_deadline.saturating_sub(clock::now());
        let ended = tokio::select! {
            () = sender.closed() => return Stop::CallerLeft,
            ended = reservation.turns.end(end, left) => ended,
        };
        if ended.is_err() {
            return Stop::Broken("the turn could not be kept");
        }
        reservation.pending = false;
        let chain: Chain = retained.chain.iter().cloned().chain([text]).collect();
        reservation
            .turns
            .cache_chain(&reservation.organisation, &reservation.request, chain);
        Stop::Whole
    }

    fn log_end(&self, stop: Stop) {
        let now = clock::now();
        let first = self
            .first_byte_at
            .map(|first| first.saturating_sub(self.dispatch.started));
        let took = now.saturating_sub(self.dispatch.started);
        let status = if stop == Stop::Whole { 200 } else { 0 };
        self.dispatch
            .entry
            .metrics
            .record_response(&self.dispatch.route.name, status, took);
        log::info!(target: "stream", request:% = self.dispatch.request, stop:? = stop,
            events = self.event_count, first_ms:? = first.map(clock::millis),
            took_ms = clock::millis(took), sent = self.dispatch.sent,
            servers = lock(&self.dispatch.entry.servers).count(&self.dispatch.service); "stream ended");
    }
}
