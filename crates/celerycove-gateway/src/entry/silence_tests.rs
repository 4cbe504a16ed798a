use super::*;

const ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 9);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Guards against sound but silent streams being started again: what the pause may be follows from what
/// the caller bears.
#[test]
fn other_backend_servers_are_asked_once_and_in_proportion_to_the_callers_patience() {
    for (patience, early, due) in [(2.0, 1.19, 1.2), (4.0, 2.39, 2.4)] {
        let mut silence = Silence::new(seconds(10.0));
        assert!(!silence.is_search_due(seconds(10.0 + early), seconds(patience)));
        assert!(silence.is_search_due(seconds(10.0 + due), seconds(patience)));
        silence.is_searched = true;
        assert!(!silence.is_search_due(seconds(20.0), seconds(patience)));
    }
}

#[tokio::test]
async fn a_backend_server_is_gone_if_it_refuses_or_leaves_two_probes_unanswered() {
    let address = SocketAddr::from(ADDRESS);
    let mut silence = Silence::new(Timestamp::ZERO);
    assert!(!silence.is_probe_due(seconds(1.1)));
    assert!(silence.is_probe_due(seconds(1.2)));
    silence.start_probe(address);
    assert!(!silence.is_probe_due(seconds(1.3)));
    assert!(!silence.is_gone(Probe::Accepted, address));
    assert!(silence.is_gone(Probe::Refused, address));
    assert!(!silence.is_gone(Probe::Unclear, address));
    assert!(silence.is_gone(Probe::Unclear, address));
}
