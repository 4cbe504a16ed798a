use super::*;

/// Guards against orders that are carried out though their senders gave them up while the process
/// stood still.
#[test]
fn what_is_read_right_after_a_standstill_may_have_waited() {
    let at = Duration::from_millis;
    let mut standstill = Standstill::default();
    assert_eq!(
        standstill.note(at(5_000)),
        None,
        "the start is no standstill"
    );
    assert!(!standstill.may_have_waited(at(5_000)));
    for millis in (5_200..9_000).step_by(200) {
        assert_eq!(standstill.note(at(millis)), None);
        assert!(!standstill.may_have_waited(at(millis)));
    }
    assert_eq!(standstill.note(at(16_300)), Some(at(7_500)));
    assert!(standstill.may_have_waited(at(16_300)));
    assert_eq!(standstill.note(at(16_400)), None);
    assert!(standstill.may_have_waited(at(16_700)), "still being read");
    assert!(!standstill.may_have_waited(at(16_800)));
}

#[test]
fn a_short_delay_is_no_standstill() {
    let mut standstill = Standstill::default();
    standstill.note(Duration::from_secs(1));
    assert_eq!(standstill.note(Duration::from_millis(1_700)), None);
    assert!(!standstill.may_have_waited(Duration::from_millis(1_700)));
}
