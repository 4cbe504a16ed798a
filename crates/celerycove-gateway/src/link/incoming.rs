//! Connections that peers open.

use std::{net::SocketAddr, sync::Arc, sync::atomic::Ordering::Relaxed};

use futures_util::StreamExt;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::timeout,
};

use super::{CONNECT, CONNECTIONS, Handler, QUEUE, Sender, converse, decode, framed};
use crate::{Error, message::Frame};

/// Takes connections of peers on an address.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn listen(address: SocketAddr, handler: Arc<dyn Handler>) -> Result<(), Error> {
    let listener = crate::http::bind(address)?;
    tokio::spawn(accept(listener, handler));
    Ok(())
}

async fn accept(listener: TcpListener, handler: Arc<dyn Handler>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(hear(stream, handler.clone()));
            }
            Err(error) => {
                log::warn!(target: "link", error:% = error; "could not accept a connection");
                tokio::time::sleep(crate::http::ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn hear(stream: TcpStream, handler: Arc<dyn Handler>) {
    let mut wire = framed(stream);
    let Ok(Some(Ok(first))) = timeout(CONNECT * 4, wire.next()).await else {
        return;
    };
    let Ok(Frame::Hello(peer)) = decode(&first) else {
        log::warn!(target: "link", "a connection did not begin with a greeting");
        return;
    };
    let (frames, mut queue) = mpsc::channel(QUEUE);
    let back = Sender {
        frames,
        connection: CONNECTIONS.fetch_add(1, Relaxed),
    };
    handler.opened(&peer.process, Some(&peer), &back);
    let ended = converse(&mut wire, &mut queue, |frame| {
        if !matches!(frame, Frame::Ping) {
            handler.take(&peer.process, frame, &back);
        }
    })
    .await;
    log::info!(target: "link", peer:% = peer.process, cause:% = ended; "peer disconnected");
    handler.closed(&peer.process, Some(&peer), back.connection);
}
