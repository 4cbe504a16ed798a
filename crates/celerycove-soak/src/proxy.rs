//! TCP proxies in front of the processes, which delay, block and reset connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering::SeqCst},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::{Instant, sleep, sleep_until},
};

/// Interval at which blocks and resets are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Size of the buffer of one direction.
const BUFFER_BYTES: usize = 16 << 10;

/// The faults of one direction.
#[derive(Debug, Clone, Copy, Default)]
struct Impairment {
    blocked_until: Option<Instant>,
    /// Additional latency of each read, and when it ends.
    delay: Option<(Duration, Instant)>,
}

#[derive(Debug, Default)]
struct Impairments {
    to_target: Impairment,
    from_target: Impairment,
}

/// A TCP proxy in front of one address.
#[derive(Debug, Default)]
pub struct Proxy {
    impairments: Mutex<Impairments>,
    /// Number of resets so far; open connections are reset when it changes.
    resets: AtomicU64,
}

#[derive(Debug, Clone, Copy)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Proxy {
    /// Starts a proxy that listens on an address and forwards connections to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(listen).await?;
        let proxy = Arc::new(Self::default());
        let acceptor = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(acceptor.clone().proxy_connection(stream, target));
            }
        });
        Ok(proxy)
    }

    /// Blocks traffic to the target, and from it unless `one_way`. Connections stay open and carry
    /// no data, as in a network partition.
    pub fn block(&self, duration: Duration, one_way: bool) {
        let until = Some(Instant::now() + duration);
        let mut impairments = self.impairments();
        impairments.to_target.blocked_until = until;
        if !one_way {
            impairments.from_target.blocked_until = until;
        }
    }

    /// Adds latency to traffic to the target.
    pub fn delay(&self, latency: Duration, duration: Duration) {
        self.impairments().to_target.delay = Some((latency, Instant::now() + duration));
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.resets.fetch_add(1, SeqCst);
    }

    /// Removes all faults.
    pub fn clear(&self) {
        *self.impairments() = Impairments::default();
    }

    fn impairments(&self) -> std::sync::MutexGuard<'_, Impairments> {
        self.impairments
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn impairment(&self, direction: Direction) -> Impairment {
        let impairments = self.impairments();
        match direction {
            Direction::ToTarget => impairments.to_target,
            Direction::FromTarget => impairments.from_target,
        }
    }

    /// Forwards a connection in both directions until one side closes it or it is reset.
    async fn proxy_connection(self: Arc<Self>, stream: TcpStream, target: SocketAddr) {
        self.wait_while_blocked(Direction::ToTarget).await;
        let resets = self.resets.load(SeqCst);
        let Ok(target_stream) = TcpStream::connect(target).await else {
            close_with_reset(&stream);
            return;
        };
        // A failure only costs latency.
        let _ = (stream.set_nodelay(true), target_stream.set_nodelay(true));
        let sockets = (duplicate_socket(&stream), duplicate_socket(&target_stream));
        let (client_read, client_write) = stream.into_split();
        let (target_read, target_write) = target_stream.into_split();
        let reset = tokio::select! {
            () = self.forward(client_read, target_write, Direction::ToTarget) => false,
            () = self.forward(target_read, client_write, Direction::FromTarget) => false,
            () = self.wait_for_reset(resets) => true,
        };
        if reset {
            for socket in [sockets.0, sockets.1].into_iter().flatten() {
                // Fails if the connection is closed already, which needs no reset.
                let _ = socket.set_linger(Some(Duration::ZERO));
            }
        }
    }

    async fn wait_for_reset(&self, initial: u64) {
        while self.resets.load(SeqCst) == initial {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits while a direction is blocked.
    async fn wait_while_blocked(&self, direction: Direction) {
        while let Some(until) = self.impairment(direction).blocked_until {
            if until <= Instant::now() {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Copies one direction of a connection, with the faults of that direction.
    async fn forward(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, direction: Direction) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let Ok(count) = from.read(&mut buffer).await else {
                return;
            };
            self.wait_while_blocked(direction).await;
            if let Some((latency, until)) = self.impairment(direction).delay
                && until > Instant::now()
            {
                sleep_until(Instant::now() + latency).await;
            }
            if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }
}

/// Duplicates the handle of a connection's socket, to reset the connection after its halves are
/// dropped.
fn duplicate_socket(stream: &TcpStream) -> Option<socket2::Socket> {
    socket2::SockRef::from(stream).try_clone().ok()
}

/// Makes the connection send a reset when it is closed.
fn close_with_reset(stream: &TcpStream) {
    // If this fails, the connection is closed without a reset.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
