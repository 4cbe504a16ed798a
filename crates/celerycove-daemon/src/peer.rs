//! Questions and messages to other processes.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use celerycove_types::{Map, id};
use celerycove_wire::header;
use jsonrpsee::core::{ClientError, client::ClientT};
use jsonrpsee_http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder};
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::mpsc;

use crate::{process::Process, share::Share};

/// The largest message between processes.
pub const LARGEST_MESSAGE: u32 = 256 << 20;
/// How many messages wait for one process before more are dropped.
const QUEUED: usize = 4096;
/// How many messages travel together.
const TOGETHER: usize = 128;

/// A failed question.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The process is not known or gone.
    #[error("could not reach {0}: its address is not known")]
    Unknown(id::Process),
    /// A test has cut the link.
    #[error("could not reach {0}: the link is cut")]
    Cut(id::Process),
    /// The question failed; whether it was taken in is not known.
    #[error("could not ask")]
    Ask(#[from] ClientError),
}

/// A message with its method, ready to travel with others to the same process.
#[derive(Debug)]
pub enum Parcel {
    /// Of the control log.
    Control(celerycove_control::Message),
    /// Between replicas of a shard.
    Shard(celerycove_program::Message),
}

/// The ways to other processes.
pub struct Peers {
    process: Arc<Process>,
    share: Arc<Share>,
    clients: Mutex<Map<SocketAddr, HttpClient>>,
    queues: Mutex<Map<id::Process, mpsc::Sender<Parcel>>>,
}

impl Peers {
    /// Starts without connections.
    #[must_use]
    pub fn new(process: Arc<Process>, share: Arc<Share>) -> Arc<Self> {
        Arc::new(Self {
            process,
            share,
            clients: Mutex::default(),
            queues: Mutex::default(),
        })
    }

    /// Asks a process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be reached or does not answer in time.
    pub async fn ask<P: Serialize + Sync, R: DeserializeOwned>(
        &self,
        to: &id::Process,
        method: &'static str,
        parameter: &P,
    ) -> Result<R, Error> {
        let address = self.address(to).ok_or_else(|| Error::Unknown(to.clone()))?;
        if self.process.links.is_cut(to) {
            return Err(Error::Cut(to.clone()));
        }
        let client = self.client(address)?;
        let parameters = Single(parameter);
        Ok(client.request(method, parameters).await?)
    }

    /// Sends a message; it may be lost, and messages to one process keep their order.
    pub fn send(self: &Arc<Self>, to: &id::Process, parcel: Parcel) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(to.clone()).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUED);
            tokio::spawn(self.clone().deliver(to.clone(), receiver));
            sender
        });
        if queue.try_send(parcel).is_err() {
            log::debug!(target: "run", to:% = to; "dropped a message: too many wait");
        }
    }

    /// Where a process listens: a control instance by settings, others by the directory.
    fn address(&self, process: &id::Process) -> Option<SocketAddr> {
        let control = &self.process.settings.process.control;
        let set = control.iter().find(|peer| *peer.name == **process);
        set.map(|peer| peer.address).or_else(|| {
            let view = self.share.view();
            view.directory.get(process).map(|found| found.address)
        })
    }

    fn client(&self, address: SocketAddr) -> Result<HttpClient, ClientError> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(&address) {
            return Ok(client.clone());
        }
        let client = rpc_client(
            address,
            &[
                (header::CLUSTER, &self.process.secret),
                (header::FROM, &self.process.name),
            ],
        )?;
        clients.insert(address, client.clone());
        Ok(client)
    }

    async fn deliver(self: Arc<Self>, to: id::Process, mut receiver: mpsc::Receiver<Parcel>) {
        use celerycove_wire::method;
        let mut parcels = Vec::new();
        while receiver.recv_many(&mut parcels, TOGETHER).await > 0 {
            let from = self.process.name.clone();
            let mut control = Vec::new();
            let mut shard = Vec::new();
            for parcel in parcels.drain(..) {
                match parcel {
                    Parcel::Control(message) => control.push(message),
                    Parcel::Shard(message) => shard.push(message),
                }
            }
            if !control.is_empty() {
                let messages = method::Control {
                    from: from.clone(),
                    messages: control,
                };
                self.deliver_one(&to, method::CONTROL, &messages).await;
            }
            if !shard.is_empty() {
                let messages = method::Shard {
                    from,
                    messages: shard,
                };
                self.deliver_one(&to, method::SHARD, &messages).await;
            }
        }
    }

    async fn deliver_one<P: Serialize + Sync>(
        &self,
        to: &id::Process,
        method: &'static str,
        parameter: &P,
    ) {
        if let Err(error) = self.ask::<_, ()>(to, method, parameter).await {
            log::debug!(target: "run", to:% = to, method, error:% = error; "a message was lost");
        }
    }
}

/// Builds a client of the protocol between processes.
///
/// # Errors
///
/// Returns an error if a header's value has characters that headers don't take.
pub fn rpc_client(
    address: SocketAddr,
    headers: &[(&'static str, &str)],
) -> Result<HttpClient, ClientError> {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        let value = HeaderValue::from_str(value).map_err(|e| ClientError::Custom(e.to_string()))?;
        map.insert(*name, value);
    }
    HttpClientBuilder::default()
        .set_headers(map)
        .request_timeout(celerycove_wire::method::TIMEOUT.max(Duration::from_secs(2)))
        .max_request_size(LARGEST_MESSAGE)
        .max_response_size(LARGEST_MESSAGE)
        .build(format!("http://{address}"))
}

/// The one parameter of a method.
struct Single<'a, P>(&'a P);

impl<P: Serialize> jsonrpsee::core::traits::ToRpcParams for Single<'_, P> {
    fn to_rpc_params(self) -> Result<Option<Box<serde_json::value::RawValue>>, serde_json::Error> {
        let text = serde_json::to_string(&[self.0])?;
        serde_json::value::RawValue::from_string(text).map(Some)
    }
}
