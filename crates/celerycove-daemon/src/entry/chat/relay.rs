//! Passes an answer on as it arrives.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use celerycove_wire::{Run, header};
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
        dispatch::{Dispatched, Load},
        sse::{Event, Scanner},
    },
    http::{Body, BoxError},
};

/// How many frames wait for a slow caller before the engine is slowed down too.
const FRAMES: usize = 4;
/// How often a long answer's key is checked.
const KEY_CHECK: Duration = Duration::from_secs(1);

/// Why an answer was cut off.
#[derive(Debug, thiserror::Error)]
pub(in crate::entry) enum Cut {
    /// Nothing came for too long.
    #[error("the backend server sent nothing for too long")]
    Silence,
    /// The stream ended without its end mark.
    #[error("the answer ended before its end mark")]
    Short,
    /// The caller's key is no longer in force.
    #[error("the key was withdrawn")]
    Withdrawn,
    /// The stream broke.
    #[error("the answer broke off")]
    Broken(#[source] BoxError),
    /// The caller has gone.
    #[error("the caller has gone")]
    Gone,
}

/// Frames on their way to the caller.
pub(in crate::entry) type Frames = mpsc::Sender<Result<Frame<Bytes>, BoxError>>;

/// Passes one answer on.
pub(in crate::entry) struct Relay {
    pub(in crate::entry) entry: Arc<Entry>,
    pub(in crate::entry) caller: Option<Caller>,
    pub(in crate::entry) body: Incoming,
    pub(in crate::entry) frames: Frames,
}

impl Relay {
    /// Passes the answer of a plain service on.
    pub(in crate::entry) fn pass(entry: &Arc<Entry>, dispatched: Dispatched) -> Response<Body> {
        Self::start(entry, None, dispatched, None)
    }

    /// Passes the answer of an engine on; a stream must end with its end mark.
    pub(in crate::entry) fn chat(
        entry: &Arc<Entry>,
        caller: Caller,
        dispatched: Dispatched,
        stream: bool,
    ) -> Response<Body> {
        let streams = stream && dispatched.response.status().is_success();
        let scanner = streams.then(Scanner::passing);
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
        let (frames, passed) = channel_body();
        let relay = Self {
            entry: entry.clone(),
            caller,
            body,
            frames,
        };
        tokio::spawn(relay.run(load, scanner));
        let mut response = Response::from_parts(parts, passed);
        clean(&mut response);
        response
    }

    async fn run(mut self, load: Load, mut scanner: Option<Scanner>) {
        let passed = loop {
            match self.next().await {
                Ok(None) if scanner.is_some() => break Err(Cut::Short),
                Ok(None) => break Ok(()),
                Ok(Some(data)) => match self.pass_on(data, scanner.as_mut()).await {
                    Ok(true) => break Ok(()),
                    Ok(false) => {}
                    Err(cut) => break Err(cut),
                },
                Err(cut) => break Err(cut),
            }
        };
        let now = self.entry.process.now();
        match passed {
            Ok(()) => load.served(now),
            Err(cut) => self.cut(&load, cut).await,
        }
    }

    /// Passes data on; true once the end mark has passed.
    async fn pass_on(&self, data: Bytes, scanner: Option<&mut Scanner>) -> Result<bool, Cut> {
        let Some(scanner) = scanner else {
            self.send(data).await?;
            return Ok(false);
        };
        let events = scanner
            .take(&data)
            .map_err(|error| Cut::Broken(error.into()))?;
        for event in events {
            match event {
                Event::Pass(event) => self.send(event).await?,
                Event::End(event) => {
                    self.send(event).await?;
                    return Ok(true);
                }
            }
        }
        Ok(false)
    }

    /// Cuts the answer off so that the caller can't take it for whole.
    pub(in crate::entry) async fn cut(&self, load: &Load, cut: Cut) {
        if !matches!(cut, Cut::Gone | Cut::Withdrawn) {
            load.failed(self.entry.process.now());
        }
        log::info!(target: "entry", reason:% = cut; "an answer was cut off");
        // The caller may have gone itself.
        let _ = self.frames.send(Err(cut.into())).await;
    }

    /// The next data of the answer; `None` at its end.
    pub(in crate::entry) async fn next(&mut self) -> Result<Option<Bytes>, Cut> {
        let silence = self.entry.setting.answer_timeout.0;
        let began = self.entry.process.now();
        loop {
            let waited = tokio::time::timeout(KEY_CHECK, self.body.frame()).await;
            let in_force = self.caller.as_ref().is_none_or(|caller| {
                self.entry.is_in_force(caller)
                    || !self.entry.share.is_fresh(self.entry.process.now())
            });
            if !in_force {
                return Err(Cut::Withdrawn);
            }
            match waited {
                Ok(None) => return Ok(None),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Ok(Some(Err(error))) => return Err(Cut::Broken(error.into())),
                Err(_) if self.entry.process.now() >= began + silence => return Err(Cut::Silence),
                Err(_) => {}
            }
        }
    }

    /// Sends data to the caller.
    pub(in crate::entry) async fn send(&self, data: Bytes) -> Result<(), Cut> {
        self.frames
            .send(Ok(Frame::data(data)))
            .await
            .map_err(|_| Cut::Gone)
    }
}

/// A body that is fed through a channel.
pub(in crate::entry) fn channel_body() -> (Frames, Body) {
    let (sender, mut receiver) = mpsc::channel(FRAMES);
    let frames = futures_util::stream::poll_fn(move |context| receiver.poll_recv(context));
    (sender, StreamBody::new(frames).boxed_unsync())
}

/// Removes from an answer what is between the system's own processes.
pub(in crate::entry) fn clean<T>(response: &mut Response<T>) {
    let headers = response.headers_mut();
    let kept = [header::BACKEND];
    let own: Vec<_> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(header::PREFIX) && !kept.contains(&name.as_str()))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
    headers.remove("x-request-id");
    headers.remove("x-boot-id");
    headers.insert(header::RUN, HeaderValue::from_static(Run::Done.as_str()));
}
