//! A machine that is restored from a snapshot at any point and applies the rest of the log
//! reaches the same state and returns the same replies.

mod support;

use molespan_state::control::{
    Change, ConfirmIntent, ControlCommand, ControlMachine, IntentNumber, IssueOrder, Policy,
    RegisterNode,
};
use molespan_state::job::{AppendItems, ItemOutcome, ItemResult, JobCommand};
use molespan_types::{
    BackendId, ConfigVersion, Digest, FencingToken, Incarnation, ItemIndex, JobId, LeaseId, NodeId,
    RunOutcome, TenantId, ZoneName,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::{RngAlgorithm, RngSeed};
use support::{Group, claim, input, request, result, settle, submission};

const OUTCOMES: [RunOutcome; 3] = [
    RunOutcome::Completed,
    RunOutcome::NotRun,
    RunOutcome::Unknown,
];

fn fixed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn job(number: u32) -> JobId {
    submission(&format!("job {number}"), 0).job
}

/// Generates commands over few jobs, leases and keys, so that they interact.
fn job_command() -> impl Strategy<Value = JobCommand> {
    let jobs = 0..4_u32;
    let lease = (0..12_u64).prop_map(LeaseId);
    let items = vec(0..6_u32, 0..4);
    prop_oneof![
        3 => (jobs.clone(), 1..6_u32, any::<bool>(), 7..9_u64).prop_map(
            |(number, items, repeatable, digest)| {
                let mut begin = submission(&format!("job {number}"), items);
                begin.repeatable = repeatable;
                begin.digest = Digest(digest);
                begin.into()
            }
        ),
        4 => (jobs.clone(), 0..4_u32, 0..6_u32).prop_map(|(number, first, count)| {
            AppendItems {
                job: job(number),
                first: ItemIndex(first),
                inputs: (first..first + count).map(input).collect(),
            }
            .into()
        }),
        3 => jobs.clone().prop_map(|number| JobCommand::Accept { job: job(number) }),
        1 => jobs.clone().prop_map(|number| JobCommand::Cancel { job: job(number) }),
        1 => (jobs, 0..6_u32).prop_map(|(number, received)| JobCommand::Abandon {
            job: job(number),
            received,
        }),
        6 => (1..4_u32, 0..6_u64, 0..4_u32).prop_map(|(owner, sequence, max_items)| {
            request(owner, sequence, max_items).into()
        }),
        2 => vec(lease.clone(), 0..4).prop_map(|leases| JobCommand::Renew { leases }),
        6 => (lease.clone(), items.clone(), 0..3_u8).prop_map(|(lease, items, outcome)| {
            let results = items.into_iter().map(|item| ItemResult {
                outcome: [ItemOutcome::Completed, ItemOutcome::Failed, ItemOutcome::Unknown]
                    [usize::from(outcome)],
                ..result(item, "text")
            });
            JobCommand::Record { lease, results: results.collect() }
        }),
        1 => (lease.clone(), items).prop_map(|(lease, items)| JobCommand::Return {
            lease,
            items: items.into_iter().map(ItemIndex).collect(),
        }),
        1 => (lease, 0..3_u64)
            .prop_map(|(lease, renewals)| JobCommand::Expire { lease, renewals }),
        3 => (0..4_u8, 0..3_u64)
            .prop_map(|(key, attempt)| claim(&format!("key {key}"), attempt).into()),
        3 => (0..4_u8, 0..3_u64, 0..3_usize).prop_map(|(key, attempt, outcome)| {
            settle(&format!("key {key}"), attempt, OUTCOMES[outcome], "answer").into()
        }),
        1 => (0..3_u32).prop_map(|weight| JobCommand::SetWeight {
            tenant: TenantId::from("archive"),
            weight,
        }),
    ]
}

fn control_command() -> impl Strategy<Value = ControlCommand> {
    let node = (1..4_u32, 1..4_u64);
    prop_oneof![
        5 => (0..12_u64, 0..12_u64, 0..3_u8, 0..100_u8).prop_map(
            |(number, base, operator, tail_protection)| {
                ControlCommand::Confirm(ConfirmIntent {
                    number: IntentNumber(number),
                    operator: format!("operator {operator}"),
                    base_version: ConfigVersion(base),
                    changes: vec![Change::PutPolicy {
                        policy: Policy { tail_protection },
                    }],
                })
            }
        ),
        2 => node.clone().prop_map(|(node, incarnation)| {
            ControlCommand::Register(RegisterNode {
                node: NodeId(node),
                incarnation: Incarnation(incarnation),
                name: format!("node {node}"),
                zone: ZoneName::from("hall"),
                internal_address: String::new(),
                http_address: String::new(),
                roles: Vec::new(),
            })
        }),
        1 => node.clone().prop_map(|(node, incarnation)| ControlCommand::Drain {
            node: NodeId(node),
            incarnation: Incarnation(incarnation),
        }),
        1 => node.prop_map(|(node, incarnation)| ControlCommand::Remove {
            node: NodeId(node),
            incarnation: Incarnation(incarnation),
        }),
        2 => (1..4_u32, 0..8_u64).prop_map(|(backend, token)| {
            ControlCommand::Issue(IssueOrder {
                backend: BackendId(backend),
                incarnation: Incarnation(1),
                action: "load".to_owned(),
                expected_token: FencingToken(token),
            })
        }),
    ]
}

proptest! {
    #![proptest_config(fixed(256))]

    #[test]
    fn job_group_is_the_same_after_a_snapshot_anywhere(
        commands in vec(job_command(), 1..120),
        cuts in vec(any::<Index>(), 1..4),
    ) {
        let mut uninterrupted = Group::default();
        let mut restored = Group::default();
        let cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(commands.len())).collect();
        for (position, command) in commands.into_iter().enumerate() {
            if cuts.contains(&position) {
                restored = restored.restored();
            }
            let expected = uninterrupted.apply(command.clone());
            prop_assert_eq!(restored.apply(command), expected);
        }
        prop_assert_eq!(&restored.machine, &uninterrupted.machine);
        prop_assert_eq!(restored.machine.snapshot(), uninterrupted.machine.snapshot());
        prop_assert_eq!(restored.payloads.bytes(), uninterrupted.payloads.bytes());
    }

    #[test]
    fn control_group_is_the_same_after_a_snapshot_anywhere(
        commands in vec(control_command(), 1..120),
        cuts in vec(any::<Index>(), 1..4),
    ) {
        let mut uninterrupted = ControlMachine::new();
        let mut restored = ControlMachine::new();
        let cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(commands.len())).collect();
        for (position, command) in commands.iter().enumerate() {
            if cuts.contains(&position) {
                restored = ControlMachine::restore(&restored.snapshot()).unwrap();
            }
            prop_assert_eq!(restored.apply(command), uninterrupted.apply(command));
        }
        prop_assert_eq!(&restored, &uninterrupted);
        prop_assert_eq!(restored.snapshot(), uninterrupted.snapshot());
    }
}
