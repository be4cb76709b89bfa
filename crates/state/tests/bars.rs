//! Bars on requests in the declared state.

use molespan_state::control::{
    ControlAnswer, ControlCommand, ControlMachine, ControlQuery, ControlReply,
};
use molespan_state::declared::{
    BAR_DURATION, Bar, DeclaredCommand, DeclaredReply, DeclaredState, MAX_TRIALS, RequestDigest,
    RequestParts, TrialOutcome, TrialReply, Trials, UNLIMITED_TRIALS,
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
    // The encodings before trials and bars were introduced, without the last fields.
    let mut old = encode(&DeclaredState::default());
    assert_eq!(old[0], 0x86, "an array of six");
    for (fields, last) in [
        (0x85, encode(&Trials::default())),
        (0x84, encode(DeclaredState::default().bars())),
    ] {
        old[0] = fields;
        old.truncate(old.len() - last.len());
        let read: DeclaredState = decode(&old).expect("a state written before they existed");
        assert_eq!(read, DeclaredState::default());
    }
}

fn ask_for_trial(machine: &mut ControlMachine, number: u64, now_ms: u64) -> TrialReply {
    ask_for_one_of(machine, number, now_ms, MAX_TRIALS)
}

fn ask_for_one_of(
    machine: &mut ControlMachine,
    number: u64,
    now_ms: u64,
    allowed: u32,
) -> TrialReply {
    ask(machine, number, now_ms, allowed, true)
}

fn ask(
    machine: &mut ControlMachine,
    number: u64,
    now_ms: u64,
    allowed: u32,
    is_calm: bool,
) -> TrialReply {
    let command = DeclaredCommand::Try {
        request: request(number),
        now_ms,
        allowed,
        is_calm,
    };
    match machine.apply(&ControlCommand::Declared(command)) {
        ControlReply::Declared(DeclaredReply::Trial(reply)) => reply,
        other => panic!("unexpected reply {other:?}"),
    }
}

fn end_trial(machine: &mut ControlMachine, number: u64, outcome: TrialOutcome) {
    let request = request(number);
    apply(machine, DeclaredCommand::TrialEnded { request, outcome });
}

fn is_granted(machine: &mut ControlMachine, number: u64, now_ms: u64) -> bool {
    ask_for_trial(machine, number, now_ms) == TrialReply::Granted
}

// Guards against a new count at each gateway: operators allow three sends over all of them.
#[test]
fn trials_are_granted_one_at_a_time_and_twice_a_day_over_all_gateways() {
    let mut machine = ControlMachine::default();
    assert!(is_granted(&mut machine, 1, NOW));
    let TrialReply::Denied { again_in_ms, .. } = ask_for_trial(&mut machine, 1, NOW + 1_000) else {
        panic!("a second trial beside the first");
    };
    assert!((1_000..20_000).contains(&again_in_ms), "{again_in_ms}");
    let second = NOW + 1_000 + again_in_ms;
    assert!(is_granted(&mut machine, 1, second));
    let day = BAR_DURATION.as_millis() as u64;
    assert!(!is_granted(&mut machine, 1, second + day - 1));
    assert!(is_granted(&mut machine, 2, second), "another request");
    assert!(is_granted(&mut machine, 1, second + day));
    let bytes = encode(machine.declared());
    let read: DeclaredState = decode(&bytes).expect("a state");
    assert_eq!(&read, machine.declared());
}

// Guards against more sends than operators allow where some came before the bar.
#[test]
fn a_request_that_crashed_more_engines_before_its_bar_gets_fewer_trials() {
    let mut machine = ControlMachine::default();
    let later = NOW + 60_000;
    assert_eq!(ask_for_one_of(&mut machine, 1, NOW, 1), TrialReply::Granted);
    assert_ne!(
        ask_for_one_of(&mut machine, 1, later, 1),
        TrialReply::Granted
    );
    // The crash of a trial is no reason to grant fewer.
    assert!(is_granted(&mut machine, 2, NOW));
    assert_eq!(
        ask_for_one_of(&mut machine, 2, later, 1),
        TrialReply::Granted
    );
}

// Guards against a last trial that is used up while engines end for other reasons: the request
// waited for a day.
#[test]
fn the_last_trial_is_not_granted_before_the_service_is_calm() {
    let mut machine = ControlMachine::default();
    let mut try_at = |number, now_ms, allowed, is_calm| {
        let reply = ask(&mut machine, number, now_ms, allowed, is_calm);
        match reply {
            TrialReply::Granted => Ok(()),
            TrialReply::Denied { needs_calm, .. } => Err(needs_calm),
        }
    };
    assert_eq!(try_at(1, NOW, 2, false), Ok(()), "the first of two");
    let later = NOW + 60_000;
    assert_eq!(try_at(1, later, 2, false), Err(true));
    assert_eq!(try_at(1, later, 2, true), Ok(()));
    assert_eq!(try_at(2, NOW, 1, false), Err(true), "the only one");
    assert_eq!(try_at(2, NOW, 1, true), Ok(()));
}

// Guards against accepted work that is never tried again, since the trials of a day are used up.
#[test]
fn trials_of_owed_work_only_keep_their_distance() {
    let mut machine = ControlMachine::default();
    let mut now_ms = NOW;
    for _ in 0..20 {
        let reply = ask(&mut machine, 1, now_ms, UNLIMITED_TRIALS, false);
        assert_eq!(reply, TrialReply::Granted);
        let again = ask(&mut machine, 1, now_ms + 1, UNLIMITED_TRIALS, false);
        let TrialReply::Denied {
            again_in_ms,
            needs_calm,
        } = again
        else {
            panic!("a second trial beside the first");
        };
        assert!(!needs_calm);
        assert!((1_000..=10_000).contains(&again_in_ms), "{again_in_ms}");
        now_ms += 1 + again_in_ms;
    }
    // Callers, whose requests come again, are granted no more than before.
    assert!(!is_granted(&mut machine, 1, now_ms));
    assert!(is_granted(&mut machine, 2, now_ms));
}

// Guards against a request that waits for a day because gateways were too busy to send it.
#[test]
fn a_trial_in_which_no_engine_ran_the_request_is_not_counted() {
    let mut machine = ControlMachine::default();
    let mut now_ms = NOW;
    for _ in 0..5 {
        assert!(is_granted(&mut machine, 1, now_ms));
        end_trial(&mut machine, 1, TrialOutcome::NotRun { asked_ms: now_ms });
        // Reported again, or about a trial that was granted to another gateway.
        end_trial(
            &mut machine,
            1,
            TrialOutcome::NotRun {
                asked_ms: now_ms - 7,
            },
        );
        now_ms += 2_000;
    }
    assert!(is_granted(&mut machine, 1, now_ms));
    assert!(!is_granted(&mut machine, 1, now_ms + 2_000));
}

// Guards against a bar that holds for a day though an engine ran the request and stayed up.
#[test]
fn a_request_that_an_engine_survived_is_no_longer_barred() {
    let mut machine = ControlMachine::default();
    bar_request(&mut machine, 1, NOW);
    let held = bar(&machine, 1).expect("a bar");
    let revision = machine.declared().revision();
    assert!(is_granted(&mut machine, 1, NOW));
    end_trial(&mut machine, 1, TrialOutcome::Sound);
    let lifted = bar(&machine, 1).expect("the lifted bar is retained");
    assert!(lifted.lifted && lifted.change > held.change);
    assert!(
        machine.declared().revision() > revision,
        "gateways are told"
    );
    assert!(is_granted(&mut machine, 1, NOW + 1), "counted anew");
    // One that only gateways found guilty is reported to them too.
    end_trial(&mut machine, 2, TrialOutcome::Sound);
    assert!(bar(&machine, 2).is_some_and(|bar| bar.lifted));
}
