//! Connections that peers open to this process.

use std::{net::SocketAddr, sync::Arc, sync::atomic::Ordering::Relaxed};

use futures_util::StreamExt;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::timeout,
};

use super::{
    CONNECT_TIMEOUT, Handler, MAX_FRAME_BYTES, MAX_HELLO_BYTES, NEXT_CONNECTION, SEND_QUEUE_FRAMES,
    Sender, decode, framed, run_connection,
};
use crate::{Error, message::Frame};

/// Accepts connections from peers on an address.
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
                tokio::spawn(serve(stream, handler.clone()));
            }
            Err(error) => {
                log::warn!(target: "link", error:% = error; "could not accept a connection");
                tokio::time::sleep(crate::http::ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the peer's introduction, then serves the connection until it is closed.
async fn serve(stream: TcpStream, handler: Arc<dyn Handler>) {
    let mut stream = framed(stream);
    stream.codec_mut().set_max_frame_length(MAX_HELLO_BYTES);
    let Ok(Some(Ok(first))) = timeout(CONNECT_TIMEOUT * 4, stream.next()).await else {
        return;
    };
    let Ok(Frame::Hello(peer)) = decode(&first) else {
        log::warn!(target: "link", "the first frame of a connection was not a hello");
        return;
    };
    stream.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
    let (queue, mut frames) = mpsc::channel(SEND_QUEUE_FRAMES);
    let sender = Sender {
        queue,
        connection: NEXT_CONNECTION.fetch_add(1, Relaxed),
    };
    handler.opened(&peer.process, Some(&peer), &sender);
    let cause = run_connection(&mut stream, &mut frames, |frame| {
        if !matches!(frame, Frame::Ping) {
            handler.receive(&peer.process, frame, &sender);
        }
    })
    .await;
    log::info!(target: "link", peer:% = peer.process, cause:% = cause; "peer disconnected");
    handler.closed(&peer.process, Some(&peer), sender.connection);
}
