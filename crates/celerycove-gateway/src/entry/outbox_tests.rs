//! Tests of the data that waits for slow callers.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;

use super::{MAX_STREAM_BYTES, Sender, new};
use crate::{
    http::Body,
    memory::{Account, Budget, Part},
    setup::Role,
};

const CHUNK_BYTES: usize = 64 << 10;

fn account() -> Arc<Account> {
    Account::new(Budget::new(88_000_000, Role::Entry).expect("a budget"))
}

/// Sends chunks until the stream has no room for another, and returns how many.
async fn fill(sender: &Sender) -> usize {
    let mut sent = 0;
    let chunk = Bytes::from(vec![b'x'; CHUNK_BYTES]);
    while let Ok(result) =
        tokio::time::timeout(Duration::from_millis(5), sender.send(chunk.clone())).await
    {
        result.expect("an open stream");
        sent += 1;
    }
    sent
}

async fn receive(body: &mut Body) -> usize {
    let frame = body.frame().await.expect("a frame").expect("data");
    frame.data_ref().expect("data").len()
}

/// Each slow caller could hold 32 chunks of any size.
#[tokio::test]
async fn slow_callers_hold_a_bounded_part_and_delay_none_that_reads() {
    let account = account();
    let mut slow: Vec<(Sender, Body)> = Vec::new();
    // More callers than have room for all that one may hold.
    let callers = account.limit(Part::Streams) / MAX_STREAM_BYTES * 2;
    for number in 0..callers {
        let (sender, body) = new(account.clone());
        let sent = fill(&sender).await;
        assert!(sent <= MAX_STREAM_BYTES / CHUNK_BYTES, "{number}: {sent}");
        assert!(sent >= 1, "{number}");
        slow.push((sender, body));
    }
    let excess = callers * CHUNK_BYTES;
    assert!(account.used(Part::Streams) <= account.limit(Part::Streams) + excess);
    let (sender, mut body) = new(account.clone());
    for _ in 0..100 {
        let chunk = Bytes::from(vec![b'x'; CHUNK_BYTES]);
        let sent = tokio::time::timeout(Duration::from_secs(1), sender.send(chunk)).await;
        sent.expect("room").expect("an open stream");
        assert_eq!(receive(&mut body).await, CHUNK_BYTES);
    }
    drop((slow, sender, body));
    assert_eq!(account.used(Part::Streams), 0);
}

/// A sender that waits for room would keep a stream open whose caller has left.
#[tokio::test]
async fn a_caller_that_leaves_ends_the_wait_for_room() {
    let account = account();
    let (sender, body) = new(account.clone());
    fill(&sender).await;
    let waiting = tokio::spawn(async move {
        let chunk = Bytes::from(vec![b'x'; CHUNK_BYTES]);
        sender.send(chunk).await
    });
    tokio::time::sleep(Duration::from_millis(5)).await;
    drop(body);
    let ended = tokio::time::timeout(Duration::from_secs(1), waiting).await;
    assert!(ended.expect("an end").expect("no panic").is_err());
    assert_eq!(account.used(Part::Streams), 0);
}
