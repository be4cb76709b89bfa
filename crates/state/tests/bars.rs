//! Bars on requests in the declared state.

use molespan_state::control::{
    ControlAnswer, ControlCommand, ControlMachine, ControlQuery, ControlReply,
};
use molespan_state::declared::{
    BAR_DURATION, Bar, DeclaredCommand, DeclaredReply, DeclaredState, RequestDigest, RequestParts,
};
use molespan_state::{decode, encode};

/// Milliseconds since 1970.
const NOW: u64 = 1_800_000_000_000;

fn request(number: u64) -> RequestDigest {
    RequestDigest::of(&RequestParts {
        tenant: Some("one"),
        host: "h.example",
        method: "POST",
        target: "/x",
        body: &number.to_be_bytes(),
    })
}

fn apply(machine: &mut ControlMachine, command: DeclaredCommand) {
    let reply = machine.apply(&ControlCommand::Declared(command));
    assert_eq!(reply, ControlReply::Declared(DeclaredReply::Noted));
}

fn bar_request(machine: &mut ControlMachine, number: u64, since_ms: u64) {
    let command = DeclaredCommand::Bar {
        request: request(number),
        since_ms,
        crashes: 3,
    };
    apply(machine, command);
}

fn bar(machine: &ControlMachine, number: u64) -> Option<Bar> {
    let ControlAnswer::Declared(state) = machine.query(&ControlQuery::Declared) else {
        panic!("unexpected answer");
    };
    state.bars().get(&request(number)).copied()
}

#[test]
fn repeated_bar_request_does_not_renew_a_bar_before_it_expires() {
    let mut machine = ControlMachine::default();
    bar_request(&mut machine, 1, NOW);
    let first = bar(&machine, 1).expect("a bar");
    let revision = machine.declared().revision();
    bar_request(&mut machine, 1, NOW + 700);
    assert_eq!(
        bar(&machine, 1),
        Some(first),
        "a second request changes nothing"
    );
    assert_eq!(machine.declared().revision(), revision);
    let hours = BAR_DURATION.as_millis() as u64;
    assert_eq!(first.remaining(NOW), Some(BAR_DURATION));
    assert!(first.remaining(NOW + hours - 1).is_some());
    assert_eq!(first.remaining(NOW + hours), None);
    // An expired bar is renewed and gets a higher change number.
    bar_request(&mut machine, 1, NOW + hours);
    let renewed = bar(&machine, 1).expect("a bar");
    assert!(renewed.change > first.change);
    assert!(renewed.remaining(NOW + hours).is_some());
}

#[test]
fn lifted_bar_is_retained_and_new_crashes_renew_it() {
    let mut machine = ControlMachine::default();
    bar_request(&mut machine, 1, NOW);
    let held = bar(&machine, 1).expect("a bar");
    for _ in 0..2 {
        let request = request(1);
        apply(&mut machine, DeclaredCommand::LiftBar { request });
    }
    let lifted = bar(&machine, 1).expect("the lifted bar is kept in memory");
    assert!(lifted.lifted && lifted.change > held.change);
    assert_eq!(lifted.remaining(NOW), None);
    let request = request(9);
    apply(&mut machine, DeclaredCommand::LiftBar { request });
    assert_eq!(bar(&machine, 9), None, "nothing to lift");
    bar_request(&mut machine, 1, NOW + 5_000);
    let again = bar(&machine, 1).expect("a bar");
    assert!(!again.lifted && again.change > lifted.change);
}

#[test]
fn oldest_bars_are_evicted() {
    let mut machine = ControlMachine::default();
    for number in 0..1_100 {
        bar_request(&mut machine, number, NOW + number);
    }
    assert_eq!(bar(&machine, 75), None);
    assert!(bar(&machine, 76).is_some());
    assert!(bar(&machine, 1_099).is_some());
}

#[test]
fn bars_survive_a_snapshot_and_older_snapshots_have_none() {
    let mut machine = ControlMachine::default();
    bar_request(&mut machine, 1, NOW);
    let bytes = encode(machine.declared());
    let read: DeclaredState = decode(&bytes).expect("a state");
    assert_eq!(&read, machine.declared());
    // The encoding before bars were introduced: four fields, without the last one.
    let mut old = encode(&DeclaredState::default());
    assert_eq!(old[0], 0x85, "an array of five");
    old[0] = 0x84;
    old.truncate(old.len() - encode(DeclaredState::default().bars()).len());
    let read: DeclaredState = decode(&old).expect("a state written before bars existed");
    assert_eq!(read, DeclaredState::default());
}
