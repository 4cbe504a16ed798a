//! Connections that this process opens and reopens.

use std::{sync::Arc, sync::atomic::Ordering::Relaxed};

use celerycove_types::id;
use tokio::{net::TcpStream, time::timeout};

use super::{
    CONNECT_TIMEOUT, Connections, Disconnect, NEXT_CONNECTION, RECONNECT_DELAY, encode, lock,
    queue, run_connection, split,
};
use crate::message::Frame;

/// Keeps a connection to `peer` open and writes the frames of `queue` to it.
pub(super) async fn run(
    connections: Arc<Connections>,
    peer: id::Process,
    mut queue: queue::Receiver,
) {
    let mut connected = true;
    while !queue.is_closed() && lock(&connections.peers).contains_key(&peer) {
        match connect(&peer).await {
            Ok(stream) => {
                connected = true;
                lock(&connections.connected).insert(peer.clone());
                queue.set_connected(true);
                let cause = serve(&connections, &peer, stream, &mut queue).await;
                queue.set_connected(false);
                lock(&connections.connected).remove(&peer);
                connections.fail_pending(&peer);
                log::warn!(target: "link", peer:% = peer, cause:% = cause; "connection lost");
                if let Some(handler) = connections.handler.get() {
                    handler.closed(&peer, None, 0);
                }
            }
            Err(error) => {
                if connected {
                    log::warn!(target: "link", peer:% = peer, cause:% = error; "could not connect");
                }
                connected = false;
            }
        }
        // Frames queued for the failed connection are dropped, like those it had not delivered.
        queue.clear();
        connections.fail_pending(&peer);
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn connect(peer: &id::Process) -> std::io::Result<TcpStream> {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(peer.as_ref())).await {
        Ok(result) => result,
        Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
    }
}

/// Introduces this process to the peer, then serves the connection until it is closed.
async fn serve(
    connections: &Arc<Connections>,
    peer: &id::Process,
    stream: TcpStream,
    queue: &mut queue::Receiver,
) -> Disconnect {
    let (reader, mut writer) = split(stream, &connections.account);
    let Some(mut sender) = lock(&connections.peers).get(peer).cloned() else {
        return Disconnect::Local;
    };
    sender.connection = NEXT_CONNECTION.fetch_add(1, Relaxed);
    let Some(hello) = encode(&Frame::Hello(connections.local.clone())) else {
        return Disconnect::Local;
    };
    if let Err(cause) = super::write(&mut writer, &hello, queue).await {
        return cause;
    }
    log::info!(target: "link", peer:% = peer; "connected");
    if let Some(handler) = connections.handler.get() {
        handler.opened(peer, None, &sender);
    }
    run_connection(reader, writer, queue, |frame| match frame {
        Frame::Ping => {}
        Frame::Reply(number, reply) => connections.deliver_reply(number, reply),
        frame => {
            if let Some(handler) = connections.handler.get() {
                handler.receive(peer, frame, &sender);
            }
        }
    })
    .await
}
