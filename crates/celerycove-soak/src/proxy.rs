//! Proxies before the processes, which delay, hold up and reset what passes.

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

/// How often a held-up direction looks whether it may go on.
const LOOK: Duration = Duration::from_millis(10);
/// Bytes that are passed on together.
const CHUNK: usize = 16 << 10;

/// What is done to one direction.
#[derive(Debug, Clone, Copy, Default)]
struct Flow {
    held_until: Option<Instant>,
    late: Option<(Duration, Instant)>,
}

#[derive(Debug, Default)]
struct Rules {
    to: Flow,
    from: Flow,
}

/// A proxy before one address.
#[derive(Debug, Default)]
pub struct Proxy {
    rules: Mutex<Rules>,
    resets: AtomicU64,
}

#[derive(Debug, Clone, Copy)]
enum Direction {
    To,
    From,
}

impl Proxy {
    /// Listens on an address and passes what comes on to another.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(at: SocketAddr, target: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(at).await?;
        let proxy = Arc::new(Self::default());
        let passing = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(passing.clone().connect(stream, target));
            }
        });
        Ok(proxy)
    }

    /// Holds up what goes to the process, and what comes from it unless `one_way`. Connections stay
    /// open and say nothing, as behind a partition.
    pub fn cut(&self, lasts: Duration, one_way: bool) {
        let until = Some(Instant::now() + lasts);
        let mut rules = self.rules();
        rules.to.held_until = until;
        if !one_way {
            rules.from.held_until = until;
        }
    }

    /// Passes on what goes to the process so much later.
    pub fn delay(&self, by: Duration, lasts: Duration) {
        self.rules().to.late = Some((by, Instant::now() + lasts));
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.resets.fetch_add(1, SeqCst);
    }

    /// Lets everything pass.
    pub fn heal(&self) {
        *self.rules() = Rules::default();
    }

    fn rules(&self) -> std::sync::MutexGuard<'_, Rules> {
        self.rules.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn flow(&self, direction: Direction) -> Flow {
        let rules = self.rules();
        match direction {
            Direction::To => rules.to,
            Direction::From => rules.from,
        }
    }

    async fn connect(self: Arc<Self>, stream: TcpStream, target: SocketAddr) {
        self.wait(Direction::To).await;
        let resets = self.resets.load(SeqCst);
        let Ok(onward) = TcpStream::connect(target).await else {
            reset_at_close(&stream);
            return;
        };
        // Only latency suffers where this fails.
        let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
        let linger = (socket(&stream), socket(&onward));
        let (near_read, near_write) = stream.into_split();
        let (far_read, far_write) = onward.into_split();
        let over = tokio::select! {
            () = self.pass(near_read, far_write, Direction::To) => false,
            () = self.pass(far_read, near_write, Direction::From) => false,
            () = self.is_reset(resets) => true,
        };
        if over {
            for socket in [linger.0, linger.1].into_iter().flatten() {
                // A connection that is gone needs no reset.
                let _ = socket.set_linger(Some(Duration::ZERO));
            }
        }
    }

    async fn is_reset(&self, before: u64) {
        while self.resets.load(SeqCst) == before {
            sleep(LOOK).await;
        }
    }

    /// Waits while a direction is held up.
    async fn wait(&self, direction: Direction) {
        while let Some(until) = self.flow(direction).held_until {
            if until <= Instant::now() {
                return;
            }
            sleep(LOOK).await;
        }
    }

    async fn pass(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, direction: Direction) {
        let mut bytes = vec![0; CHUNK];
        loop {
            let Ok(count) = from.read(&mut bytes).await else {
                return;
            };
            self.wait(direction).await;
            if let Some((by, until)) = self.flow(direction).late
                && until > Instant::now()
            {
                sleep_until(Instant::now() + by).await;
            }
            if count == 0 || to.write_all(&bytes[..count]).await.is_err() {
                return;
            }
        }
    }
}

/// A second handle on a connection's socket, to reset it at its end.
fn socket(stream: &TcpStream) -> Option<socket2::Socket> {
    socket2::SockRef::from(stream).try_clone().ok()
}

fn reset_at_close(stream: &TcpStream) {
    // Closed without a reset where this fails.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
