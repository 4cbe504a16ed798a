//! RPC calls and one-way messages to other processes.

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

use crate::{process::Process, state::SharedState};

/// Largest RPC request or response between processes, in bytes.
pub const MAX_MESSAGE_BYTES: u32 = 256 << 20;
/// How many messages are queued for one process before more are dropped.
const QUEUE_CAPACITY: usize = 4096;
/// Maximum number of messages that are sent together.
const MAX_BATCH: usize = 128;

/// A failed RPC call.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The process is unknown or has left.
    #[error("could not reach {0}: its address is not known")]
    UnknownProcess(id::Process),
    /// A test has cut the link.
    #[error("could not reach {0}: the link is cut")]
    LinkCut(id::Process),
    /// The call failed; the process may or may not have handled it.
    #[error("could not ask")]
    Call(#[from] ClientError),
}

/// A one-way message, tagged with the RPC method that carries it.
#[derive(Debug)]
pub enum Message {
    /// A message between control log instances.
    Control(celerycove_control::Message),
    /// A message between replicas of a shard.
    Shard(celerycove_program::Message),
}

/// RPC clients and message queues for other processes.
pub struct Peers {
    process: Arc<Process>,
    state: Arc<SharedState>,
    clients: Mutex<Map<SocketAddr, HttpClient>>,
    queues: Mutex<Map<id::Process, mpsc::Sender<Message>>>,
}

impl Peers {
    /// Creates a set without connections.
    #[must_use]
    pub fn new(process: Arc<Process>, state: Arc<SharedState>) -> Arc<Self> {
        Arc::new(Self {
            process,
            state,
            clients: Mutex::default(),
            queues: Mutex::default(),
        })
    }

    /// Calls an RPC method of a process and waits for the result.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be reached or does not answer in time.
    pub async fn call<P: Serialize + Sync, R: DeserializeOwned>(
        &self,
        to: &id::Process,
        method: &'static str,
        parameter: &P,
    ) -> Result<R, Error> {
        let address = self
            .address(to)
            .ok_or_else(|| Error::UnknownProcess(to.clone()))?;
        if self.process.links.is_cut(to) {
            return Err(Error::LinkCut(to.clone()));
        }
        let client = self.client(address)?;
        let parameters = Single(parameter);
        Ok(client.request(method, parameters).await?)
    }

    /// Queues a message for a process. It may be lost; messages to one process keep their order
    /// within each [`Message`] variant.
    pub fn send(self: &Arc<Self>, to: &id::Process, message: Message) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(to.clone()).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
            tokio::spawn(self.clone().send_queued(to.clone(), receiver));
            sender
        });
        if queue.try_send(message).is_err() {
            log::debug!(target: "run", to:% = to; "dropped a message because the queue is full");
        }
    }

    /// Returns the address of a process: from the settings for a control instance, from the
    /// directory for others.
    fn address(&self, process: &id::Process) -> Option<SocketAddr> {
        let control = &self.process.settings.process.control;
        let control_instance = control.iter().find(|peer| *peer.name == **process);
        control_instance.map(|peer| peer.address).or_else(|| {
            let view = self.state.view();
            view.directory
                .get(process)
                .map(|announcement| announcement.address)
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
                (header::CLUSTER_SECRET, &self.process.secret),
                (header::SENDER, &self.process.name),
            ],
        )?;
        clients.insert(address, client.clone());
        Ok(client)
    }

    /// Sends the queued messages to one process in batches, until the queue is closed.
    async fn send_queued(self: Arc<Self>, to: id::Process, mut receiver: mpsc::Receiver<Message>) {
        use celerycove_wire::method;
        let mut batch = Vec::new();
        while receiver.recv_many(&mut batch, MAX_BATCH).await > 0 {
            let from = self.process.name.clone();
            let mut control = Vec::new();
            let mut shard = Vec::new();
            for message in batch.drain(..) {
                match message {
                    Message::Control(message) => control.push(message),
                    Message::Shard(message) => shard.push(message),
                }
            }
            if !control.is_empty() {
                let messages = method::Control {
                    from: from.clone(),
                    messages: control,
                };
                self.send_batch(&to, method::CONTROL, &messages).await;
            }
            if !shard.is_empty() {
                let messages = method::Shard {
                    from,
                    messages: shard,
                };
                self.send_batch(&to, method::SHARD, &messages).await;
            }
        }
    }

    async fn send_batch<P: Serialize + Sync>(
        &self,
        to: &id::Process,
        method: &'static str,
        parameter: &P,
    ) {
        if let Err(error) = self.call::<_, ()>(to, method, parameter).await {
            log::debug!(target: "run", to:% = to, method, error:% = error;
                "could not send messages; they may be lost");
        }
    }
}

/// Creates an RPC client for another process that sends the given headers with each call.
///
/// # Errors
///
/// Returns an error if a header value has characters that are not allowed.
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
        .request_timeout(celerycove_wire::method::RPC_TIMEOUT.max(Duration::from_secs(2)))
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES)
        .build(format!("http://{address}"))
}

/// Encodes a value as the only positional parameter of an RPC method.
struct Single<'a, P>(&'a P);

impl<P: Serialize> jsonrpsee::core::traits::ToRpcParams for Single<'_, P> {
    fn to_rpc_params(self) -> Result<Option<Box<serde_json::value::RawValue>>, serde_json::Error> {
        let text = serde_json::to_string(&[self.0])?;
        serde_json::value::RawValue::from_string(text).map(Some)
    }
}
