//! Events cut at every place.

use bytes::BytesMut;

use super::{Event, Splitter};

const STREAM: &[u8] =
    b"id: 1\ndata: one\n\nversions:3\nid: 2\r\ndata: two\r\n\r\nid:3\ndata:three\n\n";

fn split(chunks: &[&[u8]]) -> (Vec<Event>, bool) {
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
fn events_are_the_same_wherever_the_stream_is_cut() {
    let (whole, clean) = split(&[STREAM]);
    assert!(clean);
    let ids: Vec<_> = whole.iter().map(|event| event.id).collect();
    assert_eq!(ids, [Some(1), Some(2), Some(3)]);
    for cut in 0..STREAM.len() {
        let (events, clean) = split(&[&STREAM[..cut], &STREAM[cut..]]);
        assert!(clean);
        assert_eq!(events, whole, "cut at {cut}");
    }
}

#[test]
fn a_stream_that_stops_in_an_event_is_not_clean() {
    let (events, clean) = split(&[&STREAM[..STREAM.len() - 1]]);
    assert_eq!(events.len(), 2);
    assert!(!clean);
}

#[test]
fn data_is_given_with_a_line_feed_after_each_event() {
    let (events, _) = split(&[STREAM]);
    let mut text = BytesMut::new();
    for event in &events {
        event.append_data(&mut text);
    }
    assert_eq!(&text[..], b"one\ntwo\nthree\n");
}
