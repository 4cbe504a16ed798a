//! Splits a stream of events that is cut into two chunks at every possible place.

use super::*;
use crate::{memory::Budget, setup::Role};

const STREAM: &[u8] =
    b"id: 1\ndata: one\n\nversions:3\nid: 2\r\ndata: two\r\n\r\nid:3\ndata:three\n\n";

fn account() -> Arc<Account> {
    Account::new(Budget::new(88_000_000, Role::Entry).expect("a budget"))
}

/// Returns the events, and whether the stream ended between two.
fn split_chunks(chunks: &[&[u8]]) -> (Vec<Event>, bool) {
    let mut splitter = Splitter::new(&account());
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk).expect("short events");
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    (events, splitter.into_rest().is_some())
}

#[test]
fn events_do_not_depend_on_how_the_stream_is_chunked() {
    let (expected, complete) = split_chunks(&[STREAM]);
    assert!(complete);
    let ids: Vec<_> = expected.iter().map(|event| event.id).collect();
    assert_eq!(ids, [Some(1), Some(2), Some(3)]);
    for cut in 0..STREAM.len() {
        let (events, complete) = split_chunks(&[&STREAM[..cut], &STREAM[cut..]]);
        assert!(complete);
        assert_eq!(events, expected, "cut at {cut}");
    }
}

#[test]
fn a_truncated_last_event_stays_in_the_buffer() {
    let (events, complete) = split_chunks(&[&STREAM[..STREAM.len() - 1]]);
    assert_eq!(events.len(), 2);
    assert!(!complete);
}

#[test]
fn appended_data_ends_with_a_line_feed_after_each_event() {
    let (events, _) = split_chunks(&[STREAM]);
    let mut text = BytesMut::new();
    for event in &events {
        event.append_data(&mut text);
    }
    assert_eq!(&text[..], b"one\ntwo\nthree\n");
}

/// Guards against unfinished events that no part of the memory account counts.
#[test]
fn long_unfinished_events_take_room_and_short_ones_none() {
    let account = account();
    let limit = account.limit(Part::Events);
    let mut long = Vec::new();
    let failed = (0..200).find(|_| {
        let mut splitter = Splitter::new(&account);
        splitter.push(&vec![b'x'; 1 << 20]).expect("not too long");
        let held = splitter.hold_rest();
        long.push(splitter);
        held.is_err()
    });
    assert!(failed.is_some_and(|streams| streams < limit >> 20));
    assert!(account.used(Part::Events) <= limit);
    // Sound streams go on beside them.
    for _ in 0..200 {
        let mut splitter = Splitter::new(&account);
        splitter.push(&STREAM[..STREAM.len() - 1]).expect("short");
        while splitter.next_event().is_some() {}
        splitter.hold_rest().expect("a short event needs no room");
    }
    drop(long);
    assert_eq!(account.used(Part::Events), 0);
}

#[test]
fn the_room_of_a_long_event_is_returned_once_it_is_finished() {
    let account = account();
    let mut splitter = Splitter::new(&account);
    splitter.push(&vec![b'x'; 500_000]).expect("not too long");
    splitter.hold_rest().expect("room");
    assert!(account.used(Part::Events) > 500_000);
    splitter.push(b"\n\n").expect("not too long");
    assert!(splitter.next_event().is_some());
    splitter.hold_rest().expect("room");
    assert_eq!(account.used(Part::Events), 0);
}
