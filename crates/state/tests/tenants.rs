//! Tenants in the declared configuration, and ownership of batch jobs.

use molespan_state::batch::{
    BatchAnswer, BatchCommand, BatchItem, BatchMachine, BatchQuery, BatchReply, SubmitJob,
};
use molespan_state::declared::{Declaration, KeyDigest, RateLimit, ServingModel, Tenant};

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: name.to_owned(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        priority: None,
        limit: None,
    }
}

fn model(tenants: Vec<Tenant>) -> ServingModel {
    ServingModel {
        tenants: Some(tenants),
        ..ServingModel::default()
    }
}

#[test]
fn all_problems_of_tenants_are_reported() {
    let sound = vec![
        tenant("a", &["1", "2"]),
        tenant("b", &["3"]),
        tenant("c", &[]),
    ];
    assert!(model(sound).problems().is_empty());
    let many = (0..1_000).map(|number| tenant(&format!("t{number}"), &[&format!("k{number}")]));
    let mut many: Vec<Tenant> = many.collect();
    many.push(tenant("x", &["other", "k7"]));
    many.push(tenant("t3", &[]));
    assert_eq!(
        model(many).problems(),
        [
            "tenant x: its key 2 is one of tenant t7 too",
            "tenant t3: another one has its name",
        ]
    );
}

#[test]
fn neither_keys_nor_their_digests_are_shown() {
    let declaration = Declaration {
        version: 1,
        document: b"the key is k1".to_vec().into(),
        model: model(vec![tenant("a", &["k1"])]),
    };
    let shown = format!("{declaration:?}");
    assert!(shown.contains("Document(13 bytes)"), "{shown}");
    assert!(shown.contains("keys: [KeyDigest(..)]"), "{shown}");
    assert!(!shown.contains("k1"), "{shown}");
}

#[test]
fn model_encoded_before_tenants_existed_needs_no_keys() {
    let before = molespan_state::encode(&ServingModel::default());
    // The previous encoding: only routes, services and limits.
    assert_eq!(before[0], 0x83);
    let read: ServingModel = molespan_state::decode(&before).expect("decodes");
    assert_eq!(read.tenants, None);
}

#[test]
fn rate_limit_converts_to_requests_per_second() {
    let limit = RateLimit {
        per_1000_s: 2_500,
        burst: 3,
    };
    assert!((limit.per_second() - 2.5).abs() < f64::EPSILON);
}

fn submit(tenant: Option<&str>, id: &str) -> BatchCommand {
    BatchCommand::Submit(Box::new(SubmitJob {
        id: id.to_owned(),
        host: "h".to_owned(),
        path: "/p".to_owned(),
        submitted_ms: 0,
        items: vec![BatchItem {
            id: "item".to_owned(),
            path: "/p".to_owned(),
            headers: Vec::new(),
            body: Vec::new().into(),
            tokens: 1,
        }],
        due_ms: None,
        queue: "q".to_owned(),
        max_queued_tokens: None,
        tenant: tenant.map(str::to_owned),
    }))
}

fn total(machine: &BatchMachine, tenant: Option<&str>, id: &str) -> Option<u32> {
    let query = BatchQuery::Results {
        id: id.to_owned(),
        after: 0,
        max_bytes: 1,
        tenant: tenant.map(str::to_owned),
    };
    match machine.query(&query) {
        BatchAnswer::Results(page) => page.map(|page| page.total),
        other => panic!("{other:?}"),
    }
}

#[test]
fn tenants_with_the_same_identifier_have_separate_jobs() {
    let mut machine = BatchMachine::new();
    for tenant in [None, Some("a"), Some("b")] {
        assert_eq!(machine.apply(&submit(tenant, "job")), BatchReply::Stored);
    }
    let end = |tenant: Option<&str>| BatchCommand::End {
        id: "job".to_owned(),
        tenant: tenant.map(str::to_owned),
    };
    assert_eq!(total(&machine, Some("c"), "job"), None);
    assert_eq!(machine.apply(&end(Some("c"))), BatchReply::Unknown);
    assert_eq!(machine.apply(&end(Some("a"))), BatchReply::Ended);
    // The jobs of the others are still open.
    let BatchAnswer::Open(open) = machine.query(&BatchQuery::Open { limit: 10 }) else {
        panic!("open items");
    };
    let jobs: Vec<u64> = open.items.iter().map(|open| open.item.job).collect();
    assert_eq!(jobs, [1, 3]);
    let restored = BatchMachine::restore(&machine.snapshot()).expect("decodes");
    assert_eq!(restored, machine);
    machine.apply(&BatchCommand::Forget { job: 2 });
    assert_eq!(total(&machine, Some("a"), "job"), None);
    assert_eq!(total(&machine, Some("b"), "job"), Some(1));
}
