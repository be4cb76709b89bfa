//! Detection of a gateway that is cut off from other nodes.

use std::time::Duration;

use molespan_routing::hearing::Hearing;
use molespan_types::Timestamp;

const TARGET: Duration = Duration::from_millis(1_200);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn a_call_is_given_up_when_nobody_says_anything_meanwhile() {
    let mut hearing = Hearing::default();
    hearing.note(at(10_000));
    assert!(!hearing.gives_up(at(10_100), TARGET, at(10_799)));
    assert!(hearing.gives_up(at(10_100), TARGET, at(10_800)));
    hearing.note(at(10_800));
    assert!(!hearing.gives_up(at(10_100), TARGET, at(10_900)));
}

#[test]
fn a_call_goes_on_while_others_are_heard_though_nobody_answers_it() {
    let mut hearing = Hearing::default();
    for time in (0..5_000).step_by(500) {
        hearing.note(at(time));
        assert!(!hearing.gives_up(at(0), TARGET, at(time + 499)));
    }
}

#[test]
fn silence_before_a_call_is_not_held_against_it() {
    let mut hearing = Hearing::default();
    hearing.note(at(0));
    assert!(!hearing.gives_up(at(60_000), TARGET, at(60_600)));
    assert!(hearing.gives_up(at(60_000), TARGET, at(60_700)));
}

#[test]
fn a_call_that_nobody_could_answer_in_time_goes_on() {
    let mut hearing = Hearing::default();
    hearing.note(at(0));
    let target = Duration::from_millis(400);
    assert!(!hearing.gives_up(at(0), target, at(1_400)));
}
