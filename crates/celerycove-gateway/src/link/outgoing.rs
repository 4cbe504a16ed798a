//! One connection that is opened from here, again and again.

use std::{sync::Arc, sync::atomic::Ordering::Relaxed};

use bytes::Bytes;
use celerycove_types::id;
use tokio::{net::TcpStream, sync::mpsc, time::timeout};

use super::{CONNECT, CONNECTIONS, Ended, Links, PAUSE, Sender, converse, framed, lock};
use crate::message::Frame;

pub(super) async fn run(links: Arc<Links>, peer: id::Process, mut queue: mpsc::Receiver<Bytes>) {
    let mut connected = true;
    while !queue.is_closed() && lock(&links.peers).contains_key(&peer) {
        match connect(&peer).await {
            Ok(stream) => {
                connected = true;
                let ended = speak(&links, &peer, stream, &mut queue).await;
                links.fail(&peer);
                log::warn!(target: "link", peer:% = peer, cause:% = ended; "connection lost");
                if let Some(handler) = links.handler.get() {
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
        // What waited for the broken connection is as lost as what was on the wire.
        while queue.try_recv().is_ok() {}
        links.fail(&peer);
        tokio::time::sleep(PAUSE).await;
    }
}

async fn connect(peer: &id::Process) -> std::io::Result<TcpStream> {
    match timeout(CONNECT, TcpStream::connect(peer.as_ref())).await {
        Ok(connected) => connected,
        Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
    }
}

async fn speak(
    links: &Arc<Links>,
    peer: &id::Process,
    stream: TcpStream,
    queue: &mut mpsc::Receiver<Bytes>,
) -> Ended {
    let mut wire = framed(stream);
    let Some(mut sender) = lock(&links.peers).get(peer).cloned() else {
        return Ended::Local;
    };
    sender.connection = CONNECTIONS.fetch_add(1, Relaxed);
    let hello = Frame::Hello(links.me.clone());
    match rmp_serde::to_vec(&hello) {
        Ok(bytes) => {
            if let Err(ended) = super::write(&mut wire, bytes.into(), queue).await {
                return ended;
            }
        }
        Err(error) => return std::io::Error::other(error).into(),
    }
    log::info!(target: "link", peer:% = peer; "connected");
    if let Some(handler) = links.handler.get() {
        handler.opened(peer, None, &sender);
    }
    let back: Sender = sender;
    converse(&mut wire, queue, |frame| match frame {
        Frame::Ping => {}
        Frame::Reply(number, reply) => links.deliver(number, reply),
        frame => {
            if let Some(handler) = links.handler.get() {
                handler.take(peer, frame, &back);
            }
        }
    })
    .await
}
