//! How much memory the frames take that a peer does not read. In a test binary of its own, since it
//! measures the memory of the whole process.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use celerycove_gateway::{
    link::{self, Handler, Sender},
    memory::{Account, Budget, Part},
    message::{Frame, Peer},
    setup::Role,
};
use celerycove_types::id;
use tokio::{io::AsyncWriteExt, net::TcpStream};

const FRAME_BYTES: usize = 1 << 20;
const FRAMES: usize = 200;
/// The memory limit of a small deployment.
const MEMORY_LIMIT_BYTES: usize = 88_000_000;

/// Keeps the sender of the last connection.
#[derive(Default)]
struct Keeper(Mutex<Option<Sender>>);

impl Handler for Keeper {
    fn opened(&self, _peer: &id::Process, _hello: Option<&Peer>, sender: &Sender) {
        *self.0.lock().expect("a lock") = Some(sender.clone());
    }

    fn receive(&self, _peer: &id::Process, _frame: Frame, _sender: &Sender) {}

    fn closed(&self, _peer: &id::Process, _hello: Option<&Peer>, _connection: u64) {}
}

fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    kilobytes
        .expect("VmRSS")
        .parse::<usize>()
        .expect("a number")
        << 10
}

fn large_frame() -> Frame {
    let name = "x".repeat(FRAME_BYTES);
    Frame::InitialMembers([name.as_str().into()].into())
}

/// A peer that reads nothing made its sender hold up to 4,096 frames of any size.
#[test]
fn frames_that_a_peer_does_not_read_take_a_bounded_part_of_the_memory() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address: SocketAddr = listener.local_addr().expect("an address");
        drop(listener);
        let budget = Budget::new(MEMORY_LIMIT_BYTES, Role::Control);
        let account = Account::new(budget.expect("a budget"));
        let keeper = Arc::new(Keeper::default());
        link::listen(address, keeper.clone(), account.clone())
            .await
            .expect("listening");
        let mut peer = TcpStream::connect(address).await.expect("a connection");
        let hello = link::encode(&Frame::Hello(Peer {
            process: "127.0.0.1:1".into(),
            role: Role::Entry,
            instance: "entry-1".into(),
            data_centre: "a".into(),
            has_disk: false,
            may_bootstrap: false,
            has_empty_disk: false,
        }));
        let hello = hello.expect("encoded");
        let length = u32::try_from(hello.len()).expect("short");
        peer.write_u32(length).await.expect("sent");
        peer.write_all(&hello).await.expect("sent");
        let opened = async {
            loop {
                if let Some(sender) = keeper.0.lock().expect("a lock").clone() {
                    return sender;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let opened = tokio::time::timeout(Duration::from_secs(5), opened).await;
        let sender = opened.expect("an open connection");
        let before = resident_bytes();
        for _ in 0..FRAMES {
            sender.send(&large_frame());
        }
        let grown = resident_bytes().saturating_sub(before);
        assert!(grown < 24 * FRAME_BYTES, "{grown} bytes are held");
        let closed = async {
            while !sender.is_closed() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let closed = tokio::time::timeout(Duration::from_secs(5), closed).await;
        closed.expect("the connection is closed, so that the peer learns that it lacks frames");
        assert_eq!(account.used(Part::SendQueues), 0);
    });
}
