//! Claims on non-repeatable requests.

mod support;

use minicbor::bytes::ByteVec;
use molespan_state::job::{ClaimReply, JobReply, OpenClaimRecord, SettleClaim};
use molespan_types::{AttemptId, Digest, RunOutcome};
use support::{Group, claim, settle};

/// Returns the reply to a claim that is settled as completed.
fn completed(answer: &str) -> ClaimReply {
    ClaimReply::Settled {
        outcome: RunOutcome::Completed,
        answer: ByteVec::from(answer.as_bytes().to_vec()),
    }
}

/// Returns the reply to a claim that is settled as unknown.
fn unknown() -> ClaimReply {
    ClaimReply::Settled {
        outcome: RunOutcome::Unknown,
        answer: ByteVec::from(Vec::new()),
    }
}

/// Returns the reply to a settlement.
fn settled(outcome: RunOutcome) -> JobReply {
    JobReply::Settled { outcome }
}

#[test]
fn second_attempt_is_not_granted_until_the_first_is_settled() {
    let mut group = Group::default();
    assert_eq!(group.claim("bill", 1), ClaimReply::Granted);
    assert_eq!(group.claim("bill", 1), ClaimReply::Granted, "resent");
    let attempt = AttemptId {
        node: 1,
        sequence: 1,
    };
    assert_eq!(group.claim("bill", 2), ClaimReply::Held { attempt });
    group.apply(settle("bill", 1, RunOutcome::Completed, "paid"));
    assert_eq!(group.claim("bill", 2), completed("paid"));
    assert_eq!(group.claim("bill", 1), completed("paid"));
}

#[test]
fn key_used_for_another_body_conflicts() {
    let mut group = Group::default();
    let mut other = claim("bill", 2);
    other.digest = Digest(8);
    let conflict = JobReply::Claim(ClaimReply::KeyConflict);
    group.claim("bill", 1);
    assert_eq!(group.apply(other.clone()), conflict);
    group.apply(settle("bill", 1, RunOutcome::Completed, "paid"));
    assert_eq!(group.apply(other), conflict);
}

#[test]
fn not_run_releases_the_claim() {
    let mut group = Group::default();
    group.claim("bill", 1);
    let not_run = settle("bill", 1, RunOutcome::NotRun, "");
    assert_eq!(group.apply(not_run.clone()), settled(RunOutcome::NotRun));
    assert_eq!(group.apply(not_run.clone()), settled(RunOutcome::NotRun));
    assert_eq!(group.claim("bill", 2), ClaimReply::Granted);
    assert_eq!(
        group.apply(not_run),
        JobReply::ClaimNotHeld,
        "late duplicate"
    );
    assert_ne!(group.claim("bill", 3), ClaimReply::Granted);
}

#[test]
fn unknown_outcome_is_final() {
    let mut group = Group::default();
    group.claim("bill", 1);
    group.apply(settle("bill", 1, RunOutcome::Unknown, ""));
    let late = settle("bill", 1, RunOutcome::Completed, "late");
    assert_eq!(group.apply(late), settled(RunOutcome::Unknown));
    let not_run = settle("bill", 1, RunOutcome::NotRun, "");
    assert_eq!(group.apply(not_run), settled(RunOutcome::Unknown));
    assert_eq!(group.claim("bill", 2), unknown());
}

#[test]
fn attempt_without_the_claim_settles_nothing() {
    let mut group = Group::default();
    let not_holder = settle("bill", 2, RunOutcome::Completed, "other");
    assert_eq!(group.apply(not_holder.clone()), JobReply::ClaimNotHeld);
    group.claim("bill", 1);
    assert_eq!(group.apply(not_holder), JobReply::ClaimNotHeld);
    group.apply(settle("bill", 1, RunOutcome::Completed, "paid"));
    assert_eq!(group.claim("bill", 2), completed("paid"));
}

#[test]
fn settled_claim_is_never_granted_again_after_many_others() {
    let mut group = Group::default();
    const CLAIMS: u64 = 8_192 * 9 + 5;
    for number in 0..CLAIMS {
        let key = format!("bill {number}");
        assert_eq!(group.claim(&key, number), ClaimReply::Granted);
        group.apply(settle(&key, number, RunOutcome::Completed, &key));
    }
    let mut restored = group.restored();
    for number in (0..CLAIMS).step_by(97).chain([8_191, 8_192, CLAIMS - 1]) {
        let key = format!("bill {number}");
        assert_eq!(restored.claim(&key, CLAIMS), completed(&key));
        let late = settle(&key, CLAIMS, RunOutcome::NotRun, "");
        assert_eq!(restored.apply(late), settled(RunOutcome::Completed));
    }
    let mut other = claim("bill 3", 1);
    other.digest = Digest(8);
    let conflict = JobReply::Claim(ClaimReply::KeyConflict);
    assert_eq!(restored.apply(other), conflict);
}

/// Returns the settlements with which a leader would settle all open claims as unknown.
fn unknown_settlements(group: &Group) -> Vec<SettleClaim> {
    let open = group.machine.open_claims();
    open.map(OpenClaimRecord::into_unknown).collect()
}

#[test]
fn settling_an_open_claim_as_unknown_is_idempotent_also_after_a_snapshot() {
    let mut group = Group::default();
    group.claim("bill", 1);
    group.claim("grade", 2);
    let mut restored = group.restored();
    assert_eq!(unknown_settlements(&restored), unknown_settlements(&group));
    for settlement in unknown_settlements(&group) {
        assert_eq!(
            group.apply(settlement.clone()),
            settled(RunOutcome::Unknown)
        );
        let once = group.clone();
        assert_eq!(
            group.apply(settlement.clone()),
            settled(RunOutcome::Unknown)
        );
        assert_eq!(group.machine, once.machine);
        assert_eq!(group.payloads.bytes(), once.payloads.bytes());
        assert_eq!(restored.apply(settlement), settled(RunOutcome::Unknown));
        restored = restored.restored();
    }
    assert_eq!(restored.machine, group.machine);
    assert_eq!(restored.payloads.bytes(), group.payloads.bytes());
    assert_eq!(unknown_settlements(&restored), []);
    assert_eq!(restored.claim("bill", 1), unknown());
}

#[test]
fn first_settlement_wins_whether_by_leader_or_holder() {
    for outcome in [RunOutcome::Completed, RunOutcome::Unknown] {
        for leader_first in [true, false] {
            let mut group = Group::default();
            group.claim("bill", 1);
            let by_holder = settle("bill", 1, outcome, "");
            let mut commands = [unknown_settlements(&group).remove(0), by_holder];
            if !leader_first {
                commands.reverse();
            }
            let first = settled(commands[0].outcome);
            let replies = commands.map(|command| group.apply(command));
            assert_eq!(replies, [first.clone(), first.clone()]);
            let ClaimReply::Settled { outcome, .. } = group.claim("bill", 2) else {
                panic!("the claim is granted again");
            };
            assert_eq!(settled(outcome), first);
        }
    }
}

#[test]
fn late_unknown_settlement_does_not_affect_a_later_attempt() {
    let mut group = Group::default();
    group.claim("bill", 1);
    let late = unknown_settlements(&group).remove(0);
    group.apply(settle("bill", 1, RunOutcome::NotRun, ""));
    assert_eq!(group.apply(late.clone()), JobReply::ClaimNotHeld);
    assert_eq!(group.claim("bill", 2), ClaimReply::Granted);
    assert_eq!(group.apply(late), JobReply::ClaimNotHeld);
    group.apply(settle("bill", 2, RunOutcome::Completed, "paid"));
    assert_eq!(group.claim("bill", 3), completed("paid"));
}
