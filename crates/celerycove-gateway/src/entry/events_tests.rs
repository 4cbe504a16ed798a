//! Splits a stream of events that is cut into two chunks at every possible place.

use bytes::BytesMut;

use super::{Event, Splitter};

const STREAM: &[u8] =
    b"id: 1\ndata: one\n\nversions:3\nid: 2\r\ndata: two\r\n\r\nid:3\ndata:three\n\n";

fn split_chunks(chunks: &[&[u8]]) -> (Vec<Event>, bool) {
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk).expect("short events");
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    (events, splitter.is_empty())
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
