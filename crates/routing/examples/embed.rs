//! Shows how to embed the routing state machines in a program: one request from its
//! arrival to its response, and a batch item that it preempts.
//!
//! The state machines use no clock or socket. The program passes the time in and
//! carries out the outputs; this example prints them.
//!
//! `cargo run -p molespan-routing --example embed`

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_routing::admission::{Admission, AdmissionSettings, Decision, ServiceLimits};
use molespan_routing::batch::{
    BatchInput, BatchOutput, BatchOwner, BatchSettings, GroupReply, ItemEnd, OwnedEngine,
};
use molespan_routing::pick::{Candidate, Finish, PickRequest, PickSettings, Picker};
use molespan_routing::retry::{
    AttemptEnd, AttemptRef, NextStep, RequestKind, RequestState, RetryBudget, RetryBudgetSettings,
};
use molespan_state::job::{GrantedLease, LeasedItem};
use molespan_types::{
    AttemptId, BackendId, Incarnation, ItemIndex, JobId, LeaseId, ServiceName, TenantId, Timestamp,
    ZoneName,
};

/// Medium tail protection.
const TAIL_PROTECTION: u8 = 50;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn service() -> ServiceName {
    ServiceName::from("captions")
}

fn engine(number: u32) -> Candidate {
    Candidate {
        backend: BackendId(number),
        incarnation: Incarnation(1),
        zone: ZoneName::from("hall-1"),
        suspect: false,
    }
}

fn main() {
    let mut owner = owner_with_one_item();

    // A request arrives and goes through admission first.
    let mut admission = admission();
    let tenant = TenantId::from("archive");
    let decision = admission.offer(at(100), &tenant, &service());
    println!("admission: {decision:?}");
    let Decision::Admitted(ticket) = decision else {
        return;
    };

    serve(&mut owner);
    admission.release(at(140), ticket, true);

    // The engine has no online requests again, so the batch stream resumes and ends.
    print_all(owner.handle(at(200), BatchInput::Tick));
    let end = ItemEnd::Completed(b"a caption".to_vec().into());
    let stream = molespan_routing::batch::StreamId(1);
    print_all(owner.handle(at(300), BatchInput::Ended { stream, end }));
}

/// Sends a repeatable request; its first attempt fails before it is sent.
fn serve(owner: &mut BatchOwner) {
    let mut picker = Picker::new(ZoneName::from("hall-1"), PickSettings::default(), 1);
    picker.set_engines(vec![engine(1), engine(2)]);
    let kind = RequestKind {
        repeatable: true,
        resumable: true,
    };
    let mut request = RequestState::new(kind);
    let mut budget = RetryBudget::new(RetryBudgetSettings::default());
    budget.earn();
    let mut step = request.begin();
    let mut sequence = 0;
    while let NextStep::Dispatch | NextStep::Retry { .. } = step {
        let exclude = match &step {
            NextStep::Retry { exclude } => exclude.clone(),
            _ => Vec::new(),
        };
        let wanted = PickRequest {
            prefix_hashes: &[],
            exclude: &exclude,
        };
        let Ok(pick) = picker.pick(at(100), wanted) else {
            step = request.no_backend();
            continue;
        };
        println!("pick: engine {} by {}", pick.backend, pick.reason.rule);
        sequence += 1;
        let sent = request.dispatched(attempt(sequence, pick.backend));
        assert!(sent);
        picker.started(at(100), pick.backend, &[]);
        // Batch streams are preempted before the request itself is sent.
        let backend = pick.backend;
        print_all(owner.handle(at(100), BatchInput::OnlineStarted { backend }));
        let end = match sequence {
            1 => AttemptEnd::NotSent,
            _ => AttemptEnd::Completed,
        };
        picker.finished(at(140), backend, at(100), Finish::Other);
        print_all(owner.handle(at(140), BatchInput::OnlineFinished { backend }));
        step = request.ended(at(140), end, &mut budget);
        println!("attempt {sequence}: {end:?}, next: {step:?}");
    }
}

fn admission() -> Admission {
    let mut admission = Admission::new(AdmissionSettings::default());
    let limits = ServiceLimits {
        max_concurrency: 8,
        max_queue: 32,
        queue_timeout: Duration::from_secs(2),
    };
    let services = BTreeMap::from([(service(), limits)]);
    admission.configure(at(0), services, BTreeMap::new());
    admission
}

/// Creates a batch owner of two engines that runs one item on engine 1.
fn owner_with_one_item() -> BatchOwner {
    let mut owner = BatchOwner::new(BatchSettings::default(), TAIL_PROTECTION);
    for number in [1, 2] {
        let acquired = BatchInput::Acquired(OwnedEngine {
            backend: BackendId(number),
            incarnation: Incarnation(1),
            service: service(),
        });
        for output in owner.handle(at(0), acquired) {
            let BatchOutput::LeaseItems { request, .. } = output else {
                continue;
            };
            let lease = (number == 1).then(one_item);
            let reply = GroupReply::Leased(lease);
            print_all(owner.handle(at(5), BatchInput::Reply { request, reply }));
        }
    }
    owner
}

fn one_item() -> GrantedLease {
    GrantedLease {
        lease: LeaseId(1),
        job: JobId(1),
        repeatable: true,
        items: vec![LeasedItem {
            item: ItemIndex(0),
            input: b"{\"prompt\":\"a photograph\"}".to_vec().into(),
        }],
    }
}

fn attempt(sequence: u64, backend: BackendId) -> AttemptRef {
    AttemptRef {
        attempt: AttemptId { node: 1, sequence },
        backend,
        incarnation: Incarnation(1),
    }
}

fn print_all(outputs: Vec<BatchOutput>) {
    for output in outputs {
        match output {
            BatchOutput::Dispatch { item, backend, .. } => {
                println!("batch: item {item} starts on engine {backend}");
            }
            BatchOutput::Pause(stream) => println!("batch: stream {stream} is held back"),
            BatchOutput::Resume(stream) => println!("batch: stream {stream} resumes on its engine"),
            BatchOutput::Record { results, .. } => println!("batch: {} result", results.len()),
            BatchOutput::Decision(decision) => println!("decision: {decision:?}"),
            other => println!("batch: {other:?}"),
        }
    }
}
