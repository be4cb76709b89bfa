//! When a gateway takes itself for cut off.

use molespan_routing::hearing::Hearing;
use molespan_types::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn a_call_is_given_up_when_nobody_says_anything_meanwhile() {
    let mut hearing = Hearing::default();
    hearing.note(at(10_000));
    assert!(!hearing.gives_up(at(10_100), at(10_700)));
    assert!(!hearing.is_cut_off());
    assert!(hearing.gives_up(at(10_100), at(10_800)));
    // The next one need not wait, until somebody says something.
    assert!(hearing.is_cut_off());
    hearing.note(at(12_000));
    assert!(!hearing.is_cut_off());
}

#[test]
fn a_call_goes_on_while_others_are_heard_though_nobody_answers_it() {
    let mut hearing = Hearing::default();
    for time in (0..5_000).step_by(500) {
        hearing.note(at(time));
        assert!(!hearing.gives_up(at(0), at(time + 499)));
    }
}

#[test]
fn silence_before_a_call_is_not_held_against_it() {
    let mut hearing = Hearing::default();
    hearing.note(at(0));
    assert!(!hearing.gives_up(at(60_000), at(60_600)));
    assert!(hearing.gives_up(at(60_000), at(60_700)));
}
