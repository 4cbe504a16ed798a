//! The socket of a connection to a backend server.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Whether the request that is written to a connection was given up.
pub(super) type GivenUp = Arc<AtomicBool>;

/// A socket that is reset when it is dropped if its request was given up. Closed in the ordinary way, the
/// system would go on sending what waits in its buffer, and a request that was held up by a network
/// partition would reach the backend server long after it was answered otherwise.
#[derive(Debug)]
pub(super) struct Socket {
    inner: TcpStream,
    given_up: GivenUp,
}

impl Socket {
    pub(super) fn new(inner: TcpStream, given_up: GivenUp) -> Self {
        Self { inner, given_up }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if !self.given_up.load(Relaxed) {
            return;
        }
        let socket = socket2::SockRef::from(&self.inner);
        if let Err(error) = socket.set_linger(Some(Duration::ZERO)) {
            log::debug!(target: "http", error:% = error; "could not reset a connection");
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
