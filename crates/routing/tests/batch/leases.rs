//! Item leases: expiry, cancellation, hand-over and results.

use molespan_routing::batch::{
    BatchDecision, BatchInput, BatchOutput, BatchSettings, GroupReply, ItemEnd,
};
use molespan_state::job::ItemOutcome;
use molespan_types::{BackendId, GroupId, LeaseId};

use super::harness::{
    BALANCED, ENGINE, Harness, StreamStatus, completed, lease, non_repeatable, owned,
};

/// 0.6 of the default lease of 10 s.
const STOP_MILLIS: u64 = 6_000;

fn renewed(lost: Vec<LeaseId>, cancelled: Vec<LeaseId>) -> GroupReply {
    GroupReply::Renewed { lost, cancelled }
}

#[test]
fn a_partitioned_owner_stops_after_its_share_of_the_lease() {
    let mut owner = Harness::running(BALANCED, lease(1, 0..12));
    let running = owner.count(&StreamStatus::Running);
    owner.tick(STOP_MILLIS - 1);
    assert_eq!(owner.count(&StreamStatus::Running), running);
    let wakeup = owner
        .owner
        .next_wakeup(molespan_types::Timestamp::from_millis(STOP_MILLIS - 1));
    assert!(wakeup.is_some_and(|at| at.0 <= 1_000 * STOP_MILLIS));
    owner.tick(STOP_MILLIS);
    assert_eq!(owner.count(&StreamStatus::Running), 0);
    assert_eq!(owner.count(&StreamStatus::Cancelled), running);
    assert_eq!(owner.returned().len(), 12);
    let expired =
        |decision: &&BatchDecision| matches!(decision, BatchDecision::LeaseExpired { .. });
    assert_eq!(owner.decisions.iter().filter(expired).count(), 1);
}

#[test]
fn no_stream_starts_after_a_suspension_longer_than_the_lease() {
    let mut owner = Harness::running(BALANCED, lease(1, 0..12));
    let before = owner.streams.len();
    let running = owner.streams.iter();
    let mut running = running.filter(|(_, (_, status))| *status == StreamStatus::Running);
    let stream = running.next().map(|(id, _)| *id).expect("some run");
    // After the process was suspended, the input that an engine sent meanwhile is handled
    // before the tick that would expire the lease.
    owner.at(STOP_MILLIS + 4_000);
    let end = completed("late");
    owner.feed(BatchInput::Ended { stream, end });
    assert_eq!(owner.streams.len(), before);
    assert_eq!(owner.count(&StreamStatus::Running), 0);
}

#[test]
fn a_renewal_counts_from_its_send_time() {
    let mut owner = Harness::running(BALANCED, lease(1, 0..4));
    owner.tick(2_000);
    let (request, leases) = owner.renewals.remove(0);
    assert_eq!(leases, [LeaseId(1)]);
    // The reply to the renewal is slow.
    owner.at(5_000);
    owner.reply(request, renewed(Vec::new(), Vec::new()));
    owner.tick(2_000 + STOP_MILLIS - 1);
    assert!(owner.count(&StreamStatus::Running) > 0);
    owner.tick(2_000 + STOP_MILLIS);
    assert_eq!(owner.count(&StreamStatus::Running), 0);
}

#[test]
fn items_granted_by_a_late_reply_are_returned() {
    let mut owner = Harness::new(BatchSettings::default(), BALANCED);
    owner.feed(BatchInput::Acquired(owned(ENGINE, 1)));
    owner.at(STOP_MILLIS);
    owner.grant(lease(1, 0..4));
    assert!(owner.streams.is_empty());
    assert_eq!(owner.returned().len(), 4);
}

#[test]
fn a_cancelled_job_stops_at_the_next_renewal() {
    let mut owner = Harness::running(BALANCED, lease(1, 0..12));
    owner.tick(2_000);
    let (request, _) = owner.renewals.remove(0);
    owner.reply(request, renewed(Vec::new(), vec![LeaseId(1)]));
    assert_eq!(owner.count(&StreamStatus::Running), 0);
    assert_eq!(owner.returned().len(), 12);
    owner.tick(2_100);
    assert_eq!(owner.count(&StreamStatus::Running), 0);
}

#[test]
fn a_lost_lease_is_dropped_without_further_requests() {
    let mut owner = Harness::running(BALANCED, lease(1, 0..12));
    owner.tick(2_000);
    let (request, _) = owner.renewals.remove(0);
    owner.reply(request, renewed(vec![LeaseId(1)], Vec::new()));
    assert_eq!(owner.count(&StreamStatus::Running), 0);
    assert!(owner.returns.is_empty() && owner.records.is_empty());
    assert_eq!(owner.owner.leases_held(), 0);
}

#[test]
fn a_stream_end_after_its_cancellation_is_ignored() {
    let mut owner = Harness::running(BALANCED, lease(1, 0..2));
    let stream = owner.with_status(&StreamStatus::Running)[0];
    owner.tick(2_000);
    let (request, _) = owner.renewals.remove(0);
    owner.reply(request, renewed(Vec::new(), vec![LeaseId(1)]));
    owner.end(stream, completed("late"));
    owner.tick(3_000);
    assert!(owner.records.is_empty());
}

#[test]
fn results_are_batched_until_the_maximum_wait() {
    let mut owner = Harness::running(BALANCED, lease(1, 0..8));
    let streams = owner.with_status(&StreamStatus::Running);
    owner.at(100).end(streams[0], completed("a"));
    owner.at(110).end(streams[1], completed("b"));
    assert!(owner.records.is_empty());
    owner.tick(125);
    let (sent, outcomes) = owner.records.remove(0);
    assert_eq!(sent.items.len(), 2);
    assert_eq!(outcomes, [ItemOutcome::Completed, ItemOutcome::Completed]);
}

#[test]
fn a_lost_record_request_is_resent_under_the_same_number() {
    let mut owner = Harness::running(BALANCED, lease(1, 0..1));
    let stream = owner.with_status(&StreamStatus::Running)[0];
    owner.at(100).end(stream, completed("a"));
    let (first, _) = owner.records.remove(0);
    owner.at(300);
    owner.reply(first.request, GroupReply::Failed);
    owner.tick(400);
    let (again, _) = owner.records.remove(0);
    assert_eq!(again, first);
    owner.acknowledge(again.request);
    assert_eq!(owner.owner.leases_held(), 0);
}

#[test]
fn a_record_request_is_resent_until_the_lease_must_have_expired() {
    let mut owner = Harness::running(BALANCED, lease(1, 0..1));
    let stream = owner.with_status(&StreamStatus::Running)[0];
    owner.at(5_900).end(stream, completed("a"));
    let mut sent = 0;
    // No leader replies, and the owner's share of the lease passes.
    for now in (5_950..9_000).step_by(50) {
        for (record, _) in std::mem::take(&mut owner.records) {
            sent += 1;
            owner.reply(record.request, GroupReply::Failed);
        }
        owner.tick(now);
    }
    assert!(sent > 20, "{sent}");
    for now in (9_000..12_000).step_by(50) {
        for (record, _) in std::mem::take(&mut owner.records) {
            owner.reply(record.request, GroupReply::Failed);
        }
        owner.tick(now);
    }
    assert!(owner.records.is_empty());
    assert_eq!(owner.owner.leases_held(), 0);
}

#[test]
fn failed_items_are_retried_and_then_returned() {
    let mut owner = Harness::running(BALANCED, lease(1, 0..1));
    let mut now = 100;
    for run in 1..=3 {
        let stream = owner.with_status(&StreamStatus::Running)[0];
        owner.at(now).end(stream, ItemEnd::NotRun);
        assert_eq!(
            owner.count(&StreamStatus::Running),
            0,
            "the engine has a pause after a failure"
        );
        now += 100;
        owner.tick(now);
        assert_eq!(owner.count(&StreamStatus::Running), usize::from(run < 3));
    }
    assert_eq!(owner.returned().len(), 1);
}

#[test]
fn a_non_repeatable_item_is_never_started_again() {
    let mut owner = Harness::running(BALANCED, non_repeatable(lease(1, 0..2)));
    let streams = owner.with_status(&StreamStatus::Running);
    owner.at(100).end(streams[0], ItemEnd::Unknown);
    owner.tick(200);
    assert_eq!(owner.streams.len(), 2);
    owner.tick(STOP_MILLIS);
    let outcomes: Vec<ItemOutcome> = owner
        .records
        .iter()
        .flat_map(|(_, outcomes)| outcomes.clone())
        .collect();
    assert_eq!(outcomes, [ItemOutcome::Unknown, ItemOutcome::Unknown]);
    assert!(owner.returns.is_empty());
}

#[test]
fn a_release_returns_repeatable_items_and_finishes_the_others() {
    let mut owner = Harness::new(BatchSettings::default(), BALANCED);
    owner.feed(BatchInput::Acquired(owned(ENGINE, 1)));
    owner.grant(lease(1, 0..4));
    owner.progress_all(1);
    owner.at(10).feed(BatchInput::Released(ENGINE));
    assert_eq!(owner.count(&StreamStatus::Running), 0);
    assert_eq!(owner.returned().len(), 4);

    let mut owner = Harness::running(BALANCED, non_repeatable(lease(1, 0..4)));
    let running = owner.with_status(&StreamStatus::Running);
    owner.at(10).feed(BatchInput::Released(ENGINE));
    assert_eq!(owner.with_status(&StreamStatus::Running), running);
    for stream in running {
        owner.end(stream, completed("a"));
    }
    for (sent, _) in std::mem::take(&mut owner.records) {
        owner.acknowledge(sent.request);
    }
    for sent in std::mem::take(&mut owner.returns) {
        owner.acknowledge(sent.request);
    }
    assert_eq!(owner.owner.leases_held(), 0);
}

#[test]
fn a_closed_engine_finishes_running_streams_and_starts_none() {
    let mut owner = Harness::running(BALANCED, lease(1, 0..12));
    let running = owner.with_status(&StreamStatus::Running);
    owner.at(10).feed(BatchInput::Closed(ENGINE));
    assert_eq!(owner.with_status(&StreamStatus::Running), running);
    assert_eq!(owner.returned().len(), 12 - running.len());
    let started = owner.streams.len();
    for stream in running {
        owner.end(stream, completed("a"));
    }
    owner.tick(500);
    assert_eq!(owner.streams.len(), started);
    // Items granted after the engine was closed are returned.
    let mut owner = Harness::new(BatchSettings::default(), BALANCED);
    owner.feed(BatchInput::Acquired(owned(ENGINE, 1)));
    owner.feed(BatchInput::Closed(ENGINE));
    owner.grant(lease(1, 0..4));
    assert!(owner.streams.is_empty());
    assert_eq!(owner.returned().len(), 4);
}

#[test]
fn a_drain_completes_when_every_item_is_returned_or_recorded() {
    let mut owner = Harness::running(BALANCED, lease(1, 0..12));
    let stream = owner.with_status(&StreamStatus::Running)[0];
    owner.at(10).end(stream, completed("a"));
    owner.at(20).feed(BatchInput::Drain);
    assert!(!owner.drained);
    owner.tick(100);
    let records = std::mem::take(&mut owner.records);
    let returns = std::mem::take(&mut owner.returns);
    let recorded: usize = records.iter().map(|(sent, _)| sent.items.len()).sum();
    let returned: usize = returns.iter().map(|sent| sent.items.len()).sum();
    assert_eq!((recorded, returned), (1, 11));
    let requests = records.iter().map(|(sent, _)| sent).chain(&returns);
    for sent in requests {
        assert!(!owner.drained);
        owner.acknowledge(sent.request);
    }
    assert!(owner.drained);
    // A lease request in flight may still be granted items, which are returned first.
    let mut owner = Harness::new(BatchSettings::default(), BALANCED);
    owner.feed(BatchInput::Acquired(owned(ENGINE, 1)));
    owner.feed(BatchInput::Drain);
    assert!(!owner.drained);
    owner.grant(lease(1, 0..4));
    assert!(!owner.drained);
    let sent = owner.returns.remove(0);
    owner.acknowledge(sent.request);
    assert!(owner.drained);
}

#[test]
fn an_unreachable_group_does_not_block_requests_to_others() {
    let settings = BatchSettings {
        job_groups: 2,
        ..BatchSettings::default()
    };
    let mut owner = Harness::new(settings, BALANCED);
    owner.feed(BatchInput::Acquired(owned(ENGINE, 1)));
    let mut granted = 0;
    for now in (10..3_000).step_by(10) {
        for lease_request in std::mem::take(&mut owner.lease_requests) {
            if lease_request.group == GroupId(1) {
                owner.reply(lease_request.request, GroupReply::Failed);
            } else if granted < 20 {
                granted += 1;
                owner.reply(
                    lease_request.request,
                    GroupReply::Leased(Some(lease(granted, 0..1))),
                );
            }
        }
        owner.tick(now);
        for stream in owner.with_status(&StreamStatus::Running) {
            owner.end(stream, completed("a"));
        }
        for (sent, _) in std::mem::take(&mut owner.records) {
            owner.acknowledge(sent.request);
        }
    }
    assert_eq!(granted, 20);
}

#[test]
fn polling_backs_off_until_work_is_announced() {
    let mut owner = Harness::new(BatchSettings::default(), BALANCED);
    owner.feed(BatchInput::Acquired(owned(ENGINE, 1)));
    let mut asked = 0;
    for now in 0..2_000 {
        for lease_request in std::mem::take(&mut owner.lease_requests) {
            asked += 1;
            owner.reply(lease_request.request, GroupReply::Leased(None));
        }
        owner.tick(now);
    }
    assert!((6..=16).contains(&asked), "{asked}");
    owner.lease_requests.clear();
    owner.feed(BatchInput::WorkAvailable(super::harness::captions()));
    assert_eq!(owner.lease_requests.len(), 1);
}

#[test]
fn several_engines_share_a_group_fairly() {
    let mut owner = Harness::new(BatchSettings::default(), BALANCED);
    for number in 1..=3 {
        owner.feed(BatchInput::Acquired(owned(BackendId(number), 1)));
    }
    let backends: Vec<BackendId> = owner
        .lease_requests
        .iter()
        .map(|lease_request| lease_request.backend)
        .collect();
    assert_eq!(backends, [BackendId(1), BackendId(2), BackendId(3)]);
}

#[test]
fn progress_yields_no_outputs() {
    let mut owner = Harness::running(BALANCED, lease(1, 0..4));
    let stream = owner.with_status(&StreamStatus::Running)[0];
    let outputs: Vec<BatchOutput> = owner.feed(BatchInput::Progress { stream, tokens: 9 });
    assert_eq!(outputs, []);
}
