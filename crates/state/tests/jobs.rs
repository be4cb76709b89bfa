//! Jobs, items, leases and results.

mod support;

use molespan_state::job::{AppendItems, JobCommand, JobPhase, JobReply};
use molespan_types::{Digest, ItemIndex, JobId, TenantId};
use support::{Group, input, positions, request, result, submission};

#[test]
fn resubmission_finds_the_first_job() {
    let mut group = Group::default();
    let begin = submission("album", 2);
    let job = group.submit(&begin);
    let reply = group.apply(begin.clone());
    assert_eq!(reply, JobReply::Job(group.status(job)));

    let lease = group.lease(1, 1, 9);
    group.record(lease.lease, vec![result(0, "a"), result(1, "b")]);
    assert_eq!(group.phase(job), JobPhase::Completed);
    let reply = group.apply(begin.clone());
    assert_eq!(
        reply,
        JobReply::Job(group.status(job)),
        "also once finished"
    );
    assert_eq!(
        group.try_lease(request(1, 2, 9)),
        None,
        "no item runs again"
    );
}

#[test]
fn key_used_for_another_submission_conflicts() {
    let mut group = Group::default();
    let first = submission("album", 1);
    let mut other = first.clone();
    other.digest = Digest(8);
    let job = group.submit(&first);
    let conflict = JobReply::KeyConflict { digest: Digest(7) };
    assert_eq!(group.apply(other.clone()), conflict);

    let lease = group.lease(1, 1, 9);
    group.record(lease.lease, vec![result(0, "a")]);
    assert_eq!(group.phase(job), JobPhase::Completed);
    assert_eq!(group.apply(other), conflict, "also once finished");
}

#[test]
fn colliding_job_identifier_shows_no_other_tenants_job() {
    let mut group = Group::default();
    let first = submission("album", 1);
    group.submit(&first);
    let mut other = first.clone();
    other.tenant = TenantId::from("lab");
    let reply = group.apply(other);
    assert_eq!(reply, JobReply::KeyConflict { digest: Digest(7) });
}

#[test]
fn interleaved_gateways_append_each_item_once() {
    let mut group = Group::default();
    let begin = submission("album", 4);
    let job = begin.job;
    let append = |first: u32, end: u32| AppendItems {
        job,
        first: ItemIndex(first),
        inputs: (first..end).map(input).collect(),
    };
    group.apply(begin.clone());
    group.apply(append(0, 2));
    group.apply(begin);
    group.apply(append(0, 3));
    group.apply(append(1, 2));
    let gap = group.apply(append(4, 5));
    let refused = JobReply::WrongPhase {
        phase: JobPhase::Submitting,
        received: 3,
    };
    assert_eq!(gap, refused);
    assert_eq!(
        group.apply(append(3, 5)),
        refused,
        "more items than declared"
    );
    assert_eq!(group.apply(JobCommand::Accept { job }), refused);
    assert_eq!(group.try_lease(request(1, 1, 9)), None, "nothing runs yet");
    group.apply(append(2, 4));
    group.apply(JobCommand::Accept { job });
    assert_eq!(group.phase(job), JobPhase::Running);
    let lease = group.lease(1, 2, 9);
    let inputs: Vec<_> = lease
        .items
        .iter()
        .map(|leased| leased.input.clone())
        .collect();
    assert_eq!(inputs, (0..4).map(input).collect::<Vec<_>>());
    assert_eq!(group.apply(append(0, 4)), JobReply::Job(group.status(job)));
}

#[test]
fn retried_lease_request_gets_the_same_lease() {
    let mut group = Group::default();
    group.submit(&submission("album", 5));
    let first = group.lease(1, 1, 2);
    assert_eq!(group.lease(1, 1, 2), first);
    assert_eq!(positions(&group.lease(2, 1, 2)), [2, 3], "another owner");

    group.record(first.lease, vec![result(0, "a")]);
    assert_eq!(positions(&group.lease(1, 1, 2)), [1], "what is still held");
    group.record(first.lease, vec![result(1, "b")]);
    assert_eq!(
        group.try_lease(request(1, 1, 2)),
        None,
        "the lease has ended"
    );
    assert_eq!(positions(&group.lease(1, 2, 2)), [4]);
}

#[test]
fn late_duplicate_of_an_unfulfilled_request_gets_nothing() {
    let mut group = Group::default();
    assert_eq!(group.try_lease(request(1, 1, 2)), None);
    group.submit(&submission("album", 1));
    assert_eq!(
        group.try_lease(request(1, 1, 2)),
        None,
        "its requester no longer waits"
    );
    assert_eq!(positions(&group.lease(1, 2, 2)), [0]);
}

#[test]
fn earlier_incarnation_of_an_owner_gets_nothing() {
    let mut group = Group::default();
    group.submit(&submission("album", 2));
    let mut restarted = request(1, 1, 1);
    restarted.owner_incarnation = 2;
    assert!(group.try_lease(restarted).is_some());
    assert_eq!(group.try_lease(request(1, 2, 1)), None);
}

#[test]
fn requests_older_than_the_tracked_ones_get_nothing() {
    let mut group = Group::default();
    group.submit(&submission("album", 1_000));
    for sequence in 1..=300 {
        group.lease(1, sequence, 1);
    }
    assert_eq!(group.try_lease(request(1, 1, 1)), None);
    let status = group.status(submission("album", 1).job);
    assert_eq!(status.leased, 300);
}

#[test]
fn late_result_of_a_lost_lease_is_dropped() {
    let mut group = Group::default();
    let job = group.submit(&submission("album", 1));
    let lost = group.lease(1, 1, 1);
    group.expire(lost.lease, 0);
    let second = group.lease(2, 1, 1);
    assert_eq!(group.record(lost.lease, vec![result(0, "late")]), (0, 1));
    assert_eq!(group.record(second.lease, vec![result(0, "kept")]), (1, 0));
    assert_eq!(group.record(second.lease, vec![result(0, "again")]), (0, 1));
    assert_eq!(group.results(job), [(0, "kept".to_owned())]);
}

#[test]
fn result_sent_twice_is_recorded_once() {
    let mut group = Group::default();
    let job = group.submit(&submission("album", 2));
    let lease = group.lease(1, 1, 2).lease;
    let twice = vec![result(0, "first"), result(0, "second"), result(9, "none")];
    assert_eq!(group.record(lease, twice), (1, 2));
    assert_eq!(group.results(job), [(0, "first".to_owned())]);
    assert_eq!(group.status(job).completed, 1);
}

#[test]
fn expiry_after_a_renewal_has_no_effect() {
    let mut group = Group::default();
    group.submit(&submission("album", 1));
    let lease = group.lease(1, 1, 1).lease;
    group.apply(JobCommand::Renew {
        leases: vec![lease],
    });
    group.expire(lease, 0);
    assert_eq!(group.record(lease, vec![result(0, "a")]), (1, 0));
}

#[test]
fn renewal_reports_a_lost_lease() {
    let mut group = Group::default();
    group.submit(&submission("album", 1));
    let lease = group.lease(1, 1, 1).lease;
    group.expire(lease, 0);
    let reply = group.apply(JobCommand::Renew {
        leases: vec![lease],
    });
    let lost = JobReply::Renewed {
        lost: vec![lease],
        cancelled: Vec::new(),
    };
    assert_eq!(reply, lost);
}

#[test]
fn non_repeatable_items_end_as_unknown_at_expiry() {
    let mut group = Group::default();
    let mut begin = submission("grades", 3);
    begin.repeatable = false;
    let job = group.submit(&begin);
    let lease = group.lease(1, 1, 3).lease;
    let items = vec![ItemIndex(2)];
    group.apply(JobCommand::Return { lease, items });
    group.record(lease, vec![result(0, "a")]);
    group.expire(lease, 0);
    assert_eq!(group.status(job).unknown, 1);
    let again = group.lease(2, 1, 9);
    assert_eq!(
        positions(&again),
        [2],
        "only the item that was returned and did not run"
    );
    group.record(again.lease, vec![result(2, "c")]);
    assert_eq!(group.phase(job), JobPhase::Completed);
}

#[test]
fn cancelled_job_stops_and_waits_for_its_leases() {
    let mut group = Group::default();
    let job = group.submit(&submission("album", 3));
    let lease = group.lease(1, 1, 2).lease;
    group.apply(JobCommand::Cancel { job });
    assert_eq!(group.phase(job), JobPhase::Cancelling);
    assert_eq!(group.try_lease(request(2, 1, 9)), None);
    assert_eq!(
        group.try_lease(request(1, 1, 2)),
        None,
        "a retry gets nothing either"
    );
    let reply = group.apply(JobCommand::Renew {
        leases: vec![lease],
    });
    let expected = JobReply::Renewed {
        lost: Vec::new(),
        cancelled: vec![lease],
    };
    assert_eq!(reply, expected);
    group.record(lease, vec![result(0, "a")]);
    group.return_items(lease);
    assert_eq!(group.phase(job), JobPhase::Cancelled);
    assert_eq!(
        group.results(job),
        [(0, "a".to_owned())],
        "what was done is kept"
    );
    group.apply(JobCommand::Cancel { job });
    assert_eq!(group.phase(job), JobPhase::Cancelled);
    assert_eq!(group.try_lease(request(2, 2, 9)), None);
}

#[test]
fn disconnected_owner_does_not_block_a_cancellation() {
    let mut group = Group::default();
    let job = group.submit(&submission("album", 1));
    let lease = group.lease(1, 1, 1).lease;
    group.apply(JobCommand::Cancel { job });
    group.expire(lease, 0);
    assert_eq!(group.phase(job), JobPhase::Cancelled);
}

#[test]
fn cancelling_a_completed_job_leaves_it_completed() {
    let mut group = Group::default();
    let job = group.submit(&submission("album", 1));
    let lease = group.lease(1, 1, 1).lease;
    group.record(lease, vec![result(0, "a")]);
    group.apply(JobCommand::Cancel { job });
    assert_eq!(group.phase(job), JobPhase::Completed);
}

#[test]
fn cancelled_submission_runs_nothing() {
    let mut group = Group::default();
    let begin = submission("album", 1);
    group.apply(begin.clone());
    group.apply(JobCommand::Cancel { job: begin.job });
    assert_eq!(group.phase(begin.job), JobPhase::Cancelled);
    let append = AppendItems {
        job: begin.job,
        first: ItemIndex(0),
        inputs: vec![input(0)],
    };
    group.apply(append);
    group.apply(JobCommand::Accept { job: begin.job });
    assert_eq!(group.try_lease(request(1, 1, 1)), None);
}

#[test]
fn unknown_job_is_reported() {
    let mut group = Group::default();
    let job = JobId(5);
    assert_eq!(
        group.apply(JobCommand::Accept { job }),
        JobReply::UnknownJob
    );
    assert_eq!(
        group.apply(JobCommand::Cancel { job }),
        JobReply::UnknownJob
    );
}

#[test]
fn abandoned_submission_releases_its_key() {
    let mut group = Group::default();
    let begin = submission("given up", 3);
    let job = begin.job;
    group.apply(begin.clone());
    let append = |first: u32, count: u32| AppendItems {
        job,
        first: ItemIndex(first),
        inputs: (first..first + count).map(input).collect(),
    };
    group.apply(append(0, 1));
    let open: Vec<_> = group.machine.submissions().collect();
    assert_eq!(open, [(job, 1)]);

    // The submission made progress after the leader observed it.
    group.apply(append(1, 1));
    group.apply(JobCommand::Abandon { job, received: 1 });
    assert_eq!(group.status(job).received, 2);

    let dropped = group.apply(JobCommand::Abandon { job, received: 2 });
    assert_eq!(dropped, JobReply::UnknownJob);
    assert_eq!(group.machine.submissions().count(), 0);
    let mut other = begin;
    other.digest = Digest(8);
    group.submit(&other);
    assert_eq!(group.phase(job), JobPhase::Running);
}

#[test]
fn accepted_job_is_never_dropped() {
    let mut group = Group::default();
    let job = group.submit(&submission("accepted", 2));
    let reply = group.apply(JobCommand::Abandon { job, received: 2 });
    assert!(matches!(reply, JobReply::Job(_)), "{reply:?}");
    assert_eq!(group.phase(job), JobPhase::Running);
}
