//! Listeners on real sockets: what peers send that is no frame, and what arrives at a planned stop.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
    time::Duration,
};

use bytes::{BufMut, BytesMut};
use celerycove_gateway::{
    http::{self, Body},
    link::{self, Handler, Sender},
    memory::{Account, Budget, DEFAULT_LIMIT_BYTES, Part},
    message::{Frame, Peer},
    setup::Role,
};
use celerycove_types::id;
use hyper::{Request, Response, StatusCode, body::Incoming};
use quickcheck::{Arbitrary, Gen};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
};

/// Counts what it is told.
#[derive(Default)]
struct Counter {
    opened: AtomicUsize,
    frames: AtomicUsize,
}

impl Handler for Counter {
    fn opened(&self, _peer: &id::Process, _hello: Option<&Peer>, _sender: &Sender) {
        self.opened.fetch_add(1, SeqCst);
    }

    fn receive(&self, _peer: &id::Process, _frame: Frame, _sender: &Sender) {
        self.frames.fetch_add(1, SeqCst);
    }

    fn closed(&self, _peer: &id::Process, _hello: Option<&Peer>, _connection: u64) {}
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
}

fn account() -> Arc<Account> {
    Account::new(Budget::new(DEFAULT_LIMIT_BYTES, Role::Control).expect("a budget"))
}

/// The account of a control instance of a small deployment.
fn small_account() -> Arc<Account> {
    Account::new(Budget::new(88_000_000, Role::Control).expect("a budget"))
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

fn length_prefixed(payload: &[u8]) -> Vec<u8> {
    let mut bytes = BytesMut::new();
    bytes.put_u32(u32::try_from(payload.len()).expect("small"));
    bytes.extend_from_slice(payload);
    bytes.to_vec()
}

fn hello() -> Vec<u8> {
    let peer = Peer {
        process: "127.0.0.1:1".into(),
        role: Role::Entry,
        instance: "entry-1".into(),
        data_centre: "a".into(),
        has_disk: false,
        may_bootstrap: false,
        has_empty_disk: false,
    };
    length_prefixed(&link::encode(&Frame::Hello(peer)).expect("encoded"))
}

/// What a confused peer may send, after a valid introduction or instead of it.
fn malformed_messages() -> Vec<Vec<u8>> {
    let mut generator = Gen::from_size_and_seed(200, 20_261_204);
    let random = |generator: &mut Gen| Vec::<u8>::arbitrary(generator);
    let mut messages = vec![
        // A frame of four gigabytes is announced.
        vec![0xff; 64],
        // Arrays nested without end.
        length_prefixed(&vec![0x91; 3_000]),
        length_prefixed(b""),
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(),
        hello()[..10].to_vec(),
    ];
    for _ in 0..60 {
        messages.push(random(&mut generator));
        messages.push(length_prefixed(&random(&mut generator)));
    }
    let after_hello = messages.clone();
    let after_hello = after_hello
        .iter()
        .map(|bytes| [hello(), bytes.clone()].concat());
    messages.extend(after_hello);
    messages
}

#[test]
fn malformed_frames_close_only_the_connection_that_they_came_on() {
    runtime().block_on(async {
        let address = free_address();
        let counter = Arc::new(Counter::default());
        link::listen(address, counter.clone(), account())
            .await
            .expect("listening");
        let mut sound = TcpStream::connect(address).await.expect("a connection");
        sound.write_all(&hello()).await.expect("sent");
        for message in malformed_messages() {
            let mut peer = TcpStream::connect(address).await.expect("a connection");
            // The listener may have closed the connection already.
            let _ = peer.write_all(&message).await;
        }
        let frame = length_prefixed(&link::encode(&Frame::RequestView).expect("encoded"));
        sound.write_all(&frame).await.expect("still open");
        let received = async {
            while counter.frames.load(SeqCst) == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let received = tokio::time::timeout(Duration::from_secs(5), received).await;
        received.expect("the sound connection is served");
    });
}

#[test]
fn a_peer_that_sends_its_introduction_without_end_is_disconnected() {
    runtime().block_on(async {
        let address = free_address();
        let counter = Arc::new(Counter::default());
        link::listen(address, counter.clone(), account())
            .await
            .expect("listening");
        let mut peer = TcpStream::connect(address).await.expect("a connection");
        // A first frame of 20 MB is announced, and begun.
        peer.write_all(&20_000_000_u32.to_be_bytes())
            .await
            .expect("sent");
        let _ = peer.write_all(&vec![0x91; 64_000]).await;
        let closed = async { while matches!(peer.read(&mut [0; 64]).await, Ok(1..)) {} };
        let closed = tokio::time::timeout(Duration::from_secs(5), closed).await;
        closed.expect("the connection is closed");
        assert_eq!(counter.opened.load(SeqCst), 0);
    });
}

/// A frame whose encoding is a little longer than `bytes`.
fn frame_of(bytes: usize) -> Vec<u8> {
    let name = "x".repeat(bytes);
    let frame = Frame::InitialMembers([name.as_str().into()].into());
    link::encode(&frame).expect("encoded").to_vec()
}

async fn introduced(address: SocketAddr) -> TcpStream {
    let mut peer = TcpStream::connect(address).await.expect("a connection");
    peer.write_all(&hello()).await.expect("sent");
    peer
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waiting = tokio::time::timeout(Duration::from_secs(10), waiting).await;
    waiting.expect("the condition holds in time");
}

/// Each connection could hold a frame of 32 MB, whatever the others held.
#[test]
fn large_frames_of_many_peers_at_once_wait_for_each_other_and_all_arrive() {
    const PEERS: usize = 8;
    runtime().block_on(async {
        let address = free_address();
        let counter = Arc::new(Counter::default());
        let account = small_account();
        link::listen(address, counter.clone(), account.clone())
            .await
            .expect("listening");
        // None of them ends its frame before all have begun.
        let frame = length_prefixed(&frame_of(4 << 20));
        let mut peers = Vec::new();
        for _ in 0..PEERS {
            let mut peer = introduced(address).await;
            peer.write_all(&frame[..1 << 10]).await.expect("sent");
            peers.push(peer);
        }
        wait_until(|| account.used(Part::ReceivedFrames) > 0).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        let used = account.used(Part::ReceivedFrames);
        assert!(used <= account.limit(Part::ReceivedFrames), "{used}");
        let sending = peers.into_iter().map(|mut peer| {
            let frame = frame.clone();
            tokio::spawn(async move {
                peer.write_all(&frame[1 << 10..]).await.expect("sent");
                peer
            })
        });
        // The connections stay open until all frames have arrived.
        let _sending: Vec<_> = sending.collect();
        wait_until(|| counter.frames.load(SeqCst) == PEERS).await;
        wait_until(|| account.used(Part::ReceivedFrames) == 0).await;
    });
}

/// A bound below the longest frame of an earlier version would cut off its members for good.
#[test]
fn the_longest_frame_of_an_earlier_version_is_still_read_beside_small_frames() {
    runtime().block_on(async {
        let address = free_address();
        let counter = Arc::new(Counter::default());
        let account = small_account();
        link::listen(address, counter.clone(), account.clone())
            .await
            .expect("listening");
        let frame = length_prefixed(&frame_of((32 << 20) - 64));
        let mut large = introduced(address).await;
        large.write_all(&frame[..1 << 10]).await.expect("sent");
        wait_until(|| account.used(Part::ReceivedFrames) > 0).await;
        let mut small = introduced(address).await;
        let short = length_prefixed(&link::encode(&Frame::RequestView).expect("encoded"));
        small.write_all(&short).await.expect("sent");
        wait_until(|| counter.frames.load(SeqCst) == 1).await;
        large.write_all(&frame[1 << 10..]).await.expect("sent");
        wait_until(|| counter.frames.load(SeqCst) == 2).await;
    });
}

/// A peer that announces a large frame and sends no more would keep the room from the others.
#[test]
fn a_frame_that_does_not_go_on_gives_its_room_back() {
    runtime().block_on(async {
        let address = free_address();
        let counter = Arc::new(Counter::default());
        let account = small_account();
        link::listen(address, counter.clone(), account.clone())
            .await
            .expect("listening");
        let frame = length_prefixed(&frame_of(16 << 20));
        let mut stuck = introduced(address).await;
        stuck.write_all(&frame[..1 << 10]).await.expect("sent");
        wait_until(|| account.used(Part::ReceivedFrames) > 0).await;
        let mut sound = introduced(address).await;
        sound.write_all(&frame).await.expect("sent");
        wait_until(|| counter.frames.load(SeqCst) == 1).await;
    });
}

/// Frames for a peer that could not be reached were kept until the attempt to connect ended.
#[test]
fn little_waits_for_a_peer_that_is_not_connected() {
    runtime().block_on(async {
        let account = small_account();
        let local = Peer {
            process: "127.0.0.1:2".into(),
            role: Role::Control,
            instance: "control-1".into(),
            data_centre: "a".into(),
            has_disk: false,
            may_bootstrap: false,
            has_empty_disk: false,
        };
        let connections = link::Connections::new(local, account.clone());
        let peer = free_address().to_string().as_str().into();
        let frame = Frame::InitialMembers(["x".repeat(10 << 10).as_str().into()].into());
        for _ in 0..200 {
            connections.send(&peer, &frame);
        }
        let used = account.used(Part::SendQueues);
        assert!((10 << 10..=64 << 10).contains(&used), "{used}");
        wait_until(|| account.used(Part::SendQueues) == 0).await;
    });
}

/// Keeps the senders of all connections.
#[derive(Default)]
struct Senders(Mutex<Vec<Sender>>);

impl Handler for Senders {
    fn opened(&self, _peer: &id::Process, _hello: Option<&Peer>, sender: &Sender) {
        self.0.lock().expect("a lock").push(sender.clone());
    }

    fn receive(&self, _peer: &id::Process, _frame: Frame, _sender: &Sender) {}

    fn closed(&self, _peer: &id::Process, _hello: Option<&Peer>, _connection: u64) {}
}

/// The bound for all peers would let some that read nothing cut off one that reads; and a frame for
/// all would exhaust it, if each queue counted it.
#[test]
fn peers_that_read_nothing_cost_one_that_reads_no_frame() {
    const STUCK: usize = 4;
    runtime().block_on(async {
        let address = free_address();
        let handler = Arc::new(Senders::default());
        let account = small_account();
        link::listen(address, handler.clone(), account.clone())
            .await
            .expect("listening");
        let mut peers = Vec::new();
        for number in 1..=STUCK + 1 {
            peers.push(introduced(address).await);
            wait_until(|| handler.0.lock().expect("a lock").len() == number).await;
        }
        let mut sound = peers.pop().expect("a peer");
        let mut senders = handler.0.lock().expect("a lock").clone();
        let sender = senders.pop().expect("a sender");
        // More than half of the room for all, once for each of them.
        let shared = frame_of(account.limit(Part::SendQueues) / 2 + 1);
        let shared = link::Encoded::from(bytes::Bytes::from(shared));
        for stuck in &senders {
            assert!(stuck.send_encoded(&shared));
        }
        let room = account.limit(Part::SendQueues);
        assert!(account.used(Part::SendQueues) < room * 6 / 10);
        // Frames of their own fill the rest.
        let own = link::Encoded::from(bytes::Bytes::from(frame_of(1 << 20)));
        assert!(!senders[0].send_encoded(&own));
        for _ in 0..1_000 {
            sender.send(&Frame::RequestView);
        }
        drop(shared);
        let reading = async {
            let mut views = 0;
            while views < 1_000 {
                let length = sound.read_u32().await.expect("a frame");
                let mut frame = vec![0; length as usize];
                sound.read_exact(&mut frame).await.expect("a frame");
                let request = link::encode(&Frame::RequestView).expect("encoded");
                views += usize::from(frame == request);
            }
        };
        let reading = tokio::time::timeout(Duration::from_secs(5), reading).await;
        reading.expect("all frames arrive");
    });
}

/// Answers each request after a while.
struct Slow;

impl http::Service for Slow {
    async fn handle(self: Arc<Self>, _request: Request<Incoming>) -> Response<Body> {
        tokio::time::sleep(Duration::from_millis(100)).await;
        http::text_response(StatusCode::OK, "answer")
    }
}

#[test]
fn requests_on_connections_established_before_a_stop_are_answered() {
    runtime().block_on(async {
        let address = free_address();
        let listener = http::bind(address).expect("listening");
        let (stop, stopped) = watch::channel(false);
        // Established by the system, but not accepted by the listener's task yet.
        let mut clients = Vec::new();
        for _ in 0..50 {
            let mut client = TcpStream::connect(address).await.expect("a connection");
            let request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
            client.write_all(request).await.expect("sent");
            clients.push(client);
        }
        stop.send(true).expect("a receiver");
        let server = tokio::spawn(http::serve(listener, Arc::new(Slow), stopped));
        for mut client in clients {
            let mut reply = Vec::new();
            client.read_to_end(&mut reply).await.expect("no reset");
            assert!(reply.ends_with(b"answer"), "{reply:?}");
        }
        let ended = tokio::time::timeout(Duration::from_secs(5), server).await;
        ended.expect("the listener ends").expect("no panic");
    });
}

/// Sends a request on a new connection; `None` if the connection is refused or reset.
async fn call_once(address: SocketAddr) -> Option<Vec<u8>> {
    let mut client = TcpStream::connect(address).await.ok()?;
    let request = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    client.write_all(request).await.ok()?;
    let mut reply = Vec::new();
    client.read_to_end(&mut reply).await.ok()?;
    Some(reply)
}

/// Guards against a stop that accepts requests for as long as connections come, and cuts the last ones
/// when its time is over.
#[test]
fn a_stopping_listener_closes_while_connections_still_come() {
    runtime().block_on(async {
        let address = free_address();
        let listener = http::bind(address).expect("listening");
        let (stop, stopped) = watch::channel(false);
        let server = tokio::spawn(http::serve(listener, Arc::new(Slow), stopped));
        let calling = tokio::spawn(async move {
            // Two hundred connections a second.
            let mut calls = Vec::new();
            for _ in 0..600 {
                tokio::time::sleep(Duration::from_millis(5)).await;
                calls.push(tokio::spawn(call_once(address)));
            }
            let mut replies = Vec::new();
            for call in calls {
                replies.extend(call.await.expect("no panic"));
            }
            replies
        });
        tokio::time::sleep(Duration::from_millis(300)).await;
        stop.send(true).expect("a receiver");
        let ended = tokio::time::timeout(Duration::from_millis(1_500), server).await;
        ended.expect("the listener ends").expect("no panic");
        let replies = calling.await.expect("no panic");
        assert!(replies.iter().all(|reply| reply.ends_with(b"answer")));
    });
}
