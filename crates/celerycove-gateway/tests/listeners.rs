//! Listeners on real sockets: what peers send that is no frame, and what arrives at a planned stop.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
    time::Duration,
};

use bytes::{BufMut, BytesMut};
use celerycove_gateway::{
    http::{self, Body},
    link::{self, Handler, Sender},
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
        link::listen(address, counter.clone())
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
        link::listen(address, counter.clone())
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
