//! Connections that peers open to this process.

use std::{net::SocketAddr, sync::Arc, sync::atomic::Ordering::Relaxed};

use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

use super::{
    CONNECT_TIMEOUT, Disconnect, Handler, MAX_HELLO_BYTES, NEXT_CONNECTION,
    queue::{self, Overflow},
    run_connection, split,
};
use crate::{Error, memory::Account, message::Frame};

/// Accepts connections from peers on an address. `account` counts what they hold.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn listen(
    address: SocketAddr,
    handler: Arc<dyn Handler>,
    account: Arc<Account>,
) -> Result<(), Error> {
    let listener = crate::http::bind(address)?;
    tokio::spawn(accept(listener, handler, account));
    Ok(())
}

async fn accept(listener: TcpListener, handler: Arc<dyn Handler>, account: Arc<Account>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, handler.clone(), account.clone()));
            }
            Err(error) => {
                log::warn!(target: "link", error:% = error; "could not accept a connection");
                tokio::time::sleep(crate::http::ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the peer's introduction, then serves the connection until it is closed.
async fn serve(stream: TcpStream, handler: Arc<dyn Handler>, account: Arc<Account>) {
    let (mut reader, writer) = split(stream, &account);
    let first = timeout(CONNECT_TIMEOUT * 4, reader.first(MAX_HELLO_BYTES)).await;
    let peer = match first {
        Ok(Ok(Frame::Hello(peer))) => peer,
        Ok(Ok(_) | Err(Disconnect::Frame(_) | Disconnect::TooLong(_))) => {
            log::warn!(target: "link", "the first frame of a connection was not a hello");
            return;
        }
        // The peer has closed the connection, or sent nothing.
        Ok(Err(_)) | Err(_) => return,
    };
    let connection = NEXT_CONNECTION.fetch_add(1, Relaxed);
    let (sender, mut frames) = queue::new(&account, &peer.process, Overflow::Close, connection);
    frames.set_connected(true);
    handler.opened(&peer.process, Some(&peer), &sender);
    let cause = run_connection(reader, writer, &mut frames, |frame| {
        if !matches!(frame, Frame::Ping) {
            handler.receive(&peer.process, frame, &sender);
        }
    })
    .await;
    drop(frames);
    log::info!(target: "link", peer:% = peer.process, cause:% = cause; "peer disconnected");
    handler.closed(&peer.process, Some(&peer), sender.connection);
}
