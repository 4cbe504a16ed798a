//! Forwards an answer to the caller as it arrives.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use celerycove_wire::{Execution, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Response,
    body::{Frame, Incoming},
    header::HeaderValue,
};
use tokio::sync::mpsc;

use crate::{
    entry::{
        Entry,
        admit::Caller,
        dispatch::{Dispatched, LoadGuard},
        sse::{Event, Scanner},
    },
    http::{Body, BoxError},
};

/// The most frames that are buffered for a slow caller before the backend server is slowed down.
const MAX_BUFFERED_FRAMES: usize = 4;
/// The interval at which the caller's key is checked while nothing arrives.
const KEY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Why an answer was cut off.
#[derive(Debug, thiserror::Error)]
pub(in crate::entry) enum Error {
    /// The backend server sent nothing for the answer timeout.
    #[error("the backend server sent nothing for too long")]
    Timeout,
    /// The stream ended without the `[DONE]` event.
    #[error("the answer ended before its end mark")]
    Truncated,
    /// The caller's key was revoked.
    #[error("the key was withdrawn")]
    KeyRevoked,
    /// The answer could not be read or completed.
    #[error("the answer broke off")]
    Broken(#[source] BoxError),
    /// The caller has disconnected.
    #[error("the caller has gone")]
    Disconnected,
}

/// The sending half of the response body to the caller.
pub(in crate::entry) type FrameSender = mpsc::Sender<Result<Frame<Bytes>, BoxError>>;

/// Forwards one answer from a backend server to its caller.
pub(in crate::entry) struct Relay {
    pub(in crate::entry) entry: Arc<Entry>,
    /// The caller whose key is checked while the answer lasts, if any.
    pub(in crate::entry) caller: Option<Caller>,
    pub(in crate::entry) body: Incoming,
    pub(in crate::entry) frames: FrameSender,
}

impl Relay {
    /// Forwards an answer without parsing it.
    pub(in crate::entry) fn forward(entry: &Arc<Entry>, dispatched: Dispatched) -> Response<Body> {
        Self::start(entry, None, dispatched, None)
    }

    /// Forwards the answer of an engine; a stream must end with the `[DONE]` event.
    pub(in crate::entry) fn forward_chat(
        entry: &Arc<Entry>,
        caller: Caller,
        dispatched: Dispatched,
        stream: bool,
    ) -> Response<Body> {
        let is_stream = stream && dispatched.response.status().is_success();
        let scanner = is_stream.then(Scanner::done_only);
        Self::start(entry, Some(caller), dispatched, scanner)
    }

    fn start(
        entry: &Arc<Entry>,
        caller: Option<Caller>,
        dispatched: Dispatched,
        scanner: Option<Scanner>,
    ) -> Response<Body> {
        let Dispatched { response, load, .. } = dispatched;
        let (parts, body) = response.into_parts();
        let (frames, caller_body) = channel_body();
        let relay = Self {
            entry: entry.clone(),
            caller,
            body,
            frames,
        };
        tokio::spawn(relay.run(load, scanner));
        let mut response = Response::from_parts(parts, caller_body);
        rewrite_headers(&mut response);
        response
    }

    async fn run(mut self, load: LoadGuard, mut scanner: Option<Scanner>) {
        let result = loop {
            match self.next_data().await {
                Ok(None) if scanner.is_some() => break Err(Error::Truncated),
                Ok(None) => break Ok(()),
                Ok(Some(data)) => match self.forward_data(data, scanner.as_mut()).await {
                    Ok(true) => break Ok(()),
                    Ok(false) => {}
                    Err(error) => break Err(error),
                },
                Err(error) => break Err(error),
            }
        };
        let now = self.entry.process.now();
        match result {
            Ok(()) => load.served(now),
            Err(error) => self.abort(&load, error).await,
        }
    }

    /// Forwards data; true once the `[DONE]` event has been forwarded.
    async fn forward_data(
        &self,
        data: Bytes,
        scanner: Option<&mut Scanner>,
    ) -> Result<bool, Error> {
        let Some(scanner) = scanner else {
            self.send(data).await?;
            return Ok(false);
        };
        let events = scanner
            .push(&data)
            .map_err(|error| Error::Broken(error.into()))?;
        for event in events {
            match event {
                Event::Forward(event) => self.send(event).await?,
                Event::Done(event) => {
                    self.send(event).await?;
                    return Ok(true);
                }
            }
        }
        Ok(false)
    }

    /// Ends the response with an error, so that the caller can't mistake it for complete.
    pub(in crate::entry) async fn abort(&self, load: &LoadGuard, error: Error) {
        if !matches!(error, Error::Disconnected | Error::KeyRevoked) {
            load.failed(self.entry.process.now());
        }
        log::info!(target: "entry", reason:% = error; "an answer was cut off");
        // A caller that has disconnected needs no error.
        let _ = self.frames.send(Err(error.into())).await;
    }

    /// Returns the next data of the answer; `None` at its end.
    pub(in crate::entry) async fn next_data(&mut self) -> Result<Option<Bytes>, Error> {
        let timeout = self.entry.setting.answer_timeout.0;
        let began = self.entry.process.now();
        loop {
            let result = tokio::time::timeout(KEY_CHECK_INTERVAL, self.body.frame()).await;
            // Without a fresh configuration a revocation can't be detected, so the answer
            // continues.
            let is_key_valid = self.caller.as_ref().is_none_or(|caller| {
                self.entry.is_key_valid(caller)
                    || !self.entry.state.is_fresh(self.entry.process.now())
            });
            if !is_key_valid {
                return Err(Error::KeyRevoked);
            }
            match result {
                Ok(None) => return Ok(None),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Ok(Some(Err(error))) => return Err(Error::Broken(error.into())),
                Err(_) if self.entry.process.now() >= began + timeout => {
                    return Err(Error::Timeout);
                }
                Err(_) => {}
            }
        }
    }

    /// Sends data to the caller.
    pub(in crate::entry) async fn send(&self, data: Bytes) -> Result<(), Error> {
        self.frames
            .send(Ok(Frame::data(data)))
            .await
            .map_err(|_| Error::Disconnected)
    }
}

/// Creates a body that is fed through a channel.
pub(in crate::entry) fn channel_body() -> (FrameSender, Body) {
    let (sender, mut receiver) = mpsc::channel(MAX_BUFFERED_FRAMES);
    let frames = futures_util::stream::poll_fn(move |context| receiver.poll_recv(context));
    (sender, StreamBody::new(frames).boxed_unsync())
}

/// Removes the headers meant for Celerycove's own processes from an answer, and adds the one that
/// tells the caller that the request ran.
pub(in crate::entry) fn rewrite_headers<T>(response: &mut Response<T>) {
    let headers = response.headers_mut();
    let kept = [header::BACKEND];
    let internal: Vec<_> = headers
        .keys()
        .filter(|name| {
            name.as_str().starts_with(header::INTERNAL_PREFIX) && !kept.contains(&name.as_str())
        })
        .cloned()
        .collect();
    for name in internal {
        headers.remove(name);
    }
    headers.remove("x-request-id");
    headers.remove("x-boot-id");
    headers.insert(
        header::RUN,
        HeaderValue::from_static(Execution::Done.as_str()),
    );
}
