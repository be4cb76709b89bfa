//! Fair scheduling of leases and the size limits of a lease.

mod support;

use minicbor::bytes::ByteVec;
use molespan_state::job::{AppendItems, BeginJob, JobCommand};
use molespan_types::{ItemIndex, JobId, ServiceName, TenantId};
use support::{Group, positions, request, submission};

/// Creates a submission of 1,000 items by `tenant`.
fn submission_of(tenant: &str, key: &str, deadline: u64) -> BeginJob {
    let tenant = TenantId::from(tenant);
    BeginJob {
        job: JobId::from_key(&tenant, key),
        tenant,
        deadline_unix_seconds: deadline,
        ..submission(key, 1_000)
    }
}

/// Requests ten items for each sequence number and counts the leases of `job`.
fn count_leases_of(group: &mut Group, sequences: std::ops::Range<u64>, job: JobId) -> usize {
    sequences
        .map(|sequence| group.lease(1, sequence, 10))
        .filter(|lease| lease.job == job)
        .count()
}

#[test]
fn earliest_deadline_of_a_tenant_is_scheduled_first() {
    let mut group = Group::default();
    group.submit(&submission_of("archive", "later", 200));
    let sooner = group.submit(&submission_of("archive", "sooner", 100));
    assert_eq!(group.lease(1, 1, 10).job, sooner);
}

#[test]
fn tenant_with_early_deadlines_does_not_starve_another() {
    let mut group = Group::default();
    group.submit(&submission_of("archive", "soon", 1));
    let late = group.submit(&submission_of("lab", "late", 9_999));
    assert_eq!(count_leases_of(&mut group, 0..20, late), 10);
}

#[test]
fn tenant_weight_determines_its_share() {
    let mut group = Group::default();
    group.apply(JobCommand::SetWeight {
        tenant: TenantId::from("lab"),
        weight: 3,
    });
    group.submit(&submission_of("archive", "album", 1));
    let heavy = group.submit(&submission_of("lab", "grades", 1));
    assert_eq!(count_leases_of(&mut group, 0..40, heavy), 30);
}

#[test]
fn returning_tenant_does_not_catch_up_on_its_idle_period() {
    let mut group = Group::default();
    group.submit(&submission_of("archive", "album", 1));
    for sequence in 0..50 {
        group.lease(1, sequence, 10);
    }
    let newcomer = group.submit(&submission_of("lab", "grades", 1));
    assert_eq!(count_leases_of(&mut group, 50..70, newcomer), 10);
}

#[test]
fn returned_items_are_not_charged_to_their_tenant() {
    let mut group = Group::default();
    group.submit(&submission_of("archive", "album", 1));
    let other = group.submit(&submission_of("lab", "grades", 1));
    for sequence in 0..10 {
        let lease = group.lease(1, sequence, 10);
        if lease.job == other {
            group.return_items(lease.lease);
        }
    }
    let taken = count_leases_of(&mut group, 10..30, other);
    assert!(taken >= 10, "{taken} of 20");
}

#[test]
fn other_services_get_nothing() {
    let mut group = Group::default();
    group.submit(&submission("album", 5));
    let mut other_service = request(1, 1, 5);
    other_service.service = ServiceName::from("tutor");
    assert_eq!(group.try_lease(other_service), None);
}

#[test]
fn lease_is_bounded_in_items_and_bytes() {
    const MEBIBYTE: usize = 1 << 20;
    let mut group = Group::default();
    let large = submission("large", 10);
    group.apply(large.clone());
    group.apply(AppendItems {
        job: large.job,
        first: ItemIndex(0),
        inputs: vec![ByteVec::from(vec![0; MEBIBYTE]); 10],
    });
    group.apply(JobCommand::Accept { job: large.job });
    assert_eq!(positions(&group.lease(1, 1, 10)), [0, 1, 2, 3]);

    let mut group = Group::default();
    group.submit(&submission("many", 2_000));
    assert_eq!(group.lease(1, 1, u32::MAX).items.len(), 1_024);
}
