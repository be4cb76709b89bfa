//! Rate limits, concurrency limits, bounded queues and refusals.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use molespan_routing::admission::{
    Admission, AdmissionOutput, AdmissionSettings, Decision, Refusal, RefusalCode, ServiceLimits,
    TenantPolicy, Ticket,
};
use molespan_types::{ServiceName, TenantId, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn tenant(number: u32) -> TenantId {
    TenantId(format!("tenant-{number}"))
}

fn captions() -> ServiceName {
    ServiceName::from("captions")
}

fn limits(max_concurrency: u32, max_queue: u32, queue_millis: u64) -> ServiceLimits {
    ServiceLimits {
        max_concurrency,
        max_queue,
        queue_timeout: millis(queue_millis),
    }
}

fn policy(rate: u32, burst: u32, max_concurrency: u32) -> TenantPolicy {
    TenantPolicy {
        requests_per_second: rate,
        burst,
        max_concurrency,
        weight: 1,
    }
}

/// Service time assumed before the first completion, in milliseconds.
const ASSUMED_MS: u64 = 100;

fn settings(default_policy: TenantPolicy) -> AdmissionSettings {
    AdmissionSettings {
        default_policy,
        assumed_service_time: millis(ASSUMED_MS),
        ..AdmissionSettings::default()
    }
}

fn admission(limits: ServiceLimits, default_policy: TenantPolicy) -> Admission {
    let mut admission = Admission::new(settings(default_policy));
    let services = BTreeMap::from([(captions(), limits)]);
    admission.configure(at(0), services, BTreeMap::new());
    admission
}

fn unlimited() -> TenantPolicy {
    policy(100_000, 100_000, 100_000)
}

fn admitted(decision: Decision) -> Ticket {
    match decision {
        Decision::Admitted(ticket) => ticket,
        other => panic!("not admitted: {other:?}"),
    }
}

fn queued(decision: Decision) -> Ticket {
    match decision {
        Decision::Queued { ticket, .. } => ticket,
        other => panic!("not queued: {other:?}"),
    }
}

fn refused(decision: Decision) -> Refusal {
    match decision {
        Decision::Refused(refusal) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn a_rate_limit_refuses_immediately_and_returns_the_retry_delay() {
    let mut admission = admission(limits(100, 10, 1_000), policy(4, 2, 100));
    for _ in 0..2 {
        admitted(admission.offer(at(0), &tenant(1), &captions()));
    }
    let refusal = refused(admission.offer(at(0), &tenant(1), &captions()));
    let expected = Refusal::after(RefusalCode::TenantRate, millis(250));
    assert_eq!(refusal, expected);
    // Another tenant has its own rate.
    admitted(admission.offer(at(0), &tenant(2), &captions()));
    refused(admission.offer(at(249), &tenant(1), &captions()));
    admitted(admission.offer(at(250), &tenant(1), &captions()));
}

#[test]
fn a_rate_of_zero_refuses_permanently() {
    let mut admission = admission(limits(100, 10, 1_000), policy(0, 1, 100));
    admitted(admission.offer(at(0), &tenant(1), &captions()));
    let refusal = refused(admission.offer(at(60_000), &tenant(1), &captions()));
    assert_eq!(refusal, Refusal::permanent(RefusalCode::TenantRate));
}

#[test]
fn a_retry_after_the_returned_delay_is_admitted() {
    // Rates whose interval is not a whole number of nanoseconds.
    for rate in [3, 7, 11, 13] {
        let mut admission = admission(limits(1_000, 10, 1_000), policy(rate, 1, 1_000));
        let mut now = at(0);
        admitted(admission.offer(now, &tenant(1), &captions()));
        for _ in 0..50 {
            let refusal = refused(admission.offer(now, &tenant(1), &captions()));
            now = now + refusal.retry_after.unwrap();
            admitted(admission.offer(now, &tenant(1), &captions()));
        }
    }
}

#[test]
fn concurrency_of_a_tenant_counts_running_and_waiting_requests() {
    let mut admission = admission(limits(1, 10, 1_000), policy(1_000, 1_000, 2));
    let first = admitted(admission.offer(at(0), &tenant(1), &captions()));
    queued(admission.offer(at(0), &tenant(1), &captions()));
    let refusal = refused(admission.offer(at(0), &tenant(1), &captions()));
    assert_eq!(refusal.code, RefusalCode::TenantConcurrency);
    admission.release(at(50), first, true);
    queued(admission.offer(at(50), &tenant(1), &captions()));
}

#[test]
fn a_refusal_for_concurrency_takes_no_token() {
    let mut admission = admission(limits(10, 10, 1_000), policy(1, 2, 1));
    let first = admitted(admission.offer(at(0), &tenant(1), &captions()));
    for _ in 0..5 {
        let refusal = refused(admission.offer(at(0), &tenant(1), &captions()));
        assert_eq!(refusal.code, RefusalCode::TenantConcurrency);
    }
    admission.release(at(0), first, true);
    admitted(admission.offer(at(0), &tenant(1), &captions()));
}

#[test]
fn a_request_that_would_be_admitted_too_late_is_refused_on_arrival() {
    // One request at a time, 100 ms each, at most 250 ms in the queue: two may wait.
    let mut admission = admission(limits(1, 100, 250), unlimited());
    admitted(admission.offer(at(0), &tenant(1), &captions()));
    for _ in 0..2 {
        queued(admission.offer(at(0), &tenant(1), &captions()));
    }
    let refusal = refused(admission.offer(at(0), &tenant(1), &captions()));
    let expected = Refusal::after(RefusalCode::DeadlineUnreachable, millis(50));
    assert_eq!(refusal, expected);
}

#[test]
fn a_wait_longer_than_the_bound_is_refused_even_from_an_empty_queue() {
    let mut admission = admission(limits(1, 100, 60), unlimited());
    admitted(admission.offer(at(0), &tenant(1), &captions()));
    let refusal = refused(admission.offer(at(0), &tenant(1), &captions()));
    assert_eq!(refusal.code, RefusalCode::DeadlineUnreachable);
}

#[test]
fn a_full_queue_refuses_with_the_time_to_serve_it() {
    let mut admission = admission(limits(2, 8, 10_000), unlimited());
    for number in 0..2 {
        admitted(admission.offer(at(0), &tenant(number), &captions()));
    }
    for number in 0..8 {
        queued(admission.offer(at(0), &tenant(number), &captions()));
    }
    let refusal = refused(admission.offer(at(0), &tenant(99), &captions()));
    // Eight waiting requests, two at a time, 100 ms each.
    let expected = Refusal::after(RefusalCode::QueueFull, millis(400));
    assert_eq!(refusal, expected);
}

#[test]
fn retry_after_stays_within_its_bounds() {
    let mut admission = Admission::new(AdmissionSettings {
        longest_retry_after: Duration::from_secs(5),
        ..settings(unlimited())
    });
    let services = BTreeMap::from([(captions(), limits(1, 1_000, 3_600_000))]);
    admission.configure(at(0), services, BTreeMap::new());
    let mut waiting = BTreeSet::new();
    for number in 0..400 {
        match admission.offer(at(0), &tenant(number), &captions()) {
            Decision::Queued { ticket, .. } => drop(waiting.insert(ticket)),
            Decision::Admitted(_) => {}
            Decision::Refused(refusal) => panic!("{refusal:?}"),
        }
    }
    for output in admission.refuse_waiting(RefusalCode::NoBackend) {
        let AdmissionOutput::Refused(ticket, refusal) = output else {
            panic!("{output:?}");
        };
        assert!(waiting.remove(&ticket));
        let expected = Refusal::after(RefusalCode::NoBackend, Duration::from_secs(5));
        assert_eq!(refusal, expected);
    }
    assert!(waiting.is_empty());
}

#[test]
fn a_queue_that_slows_down_refuses_before_the_deadline() {
    let mut admission = admission(limits(1, 100, 1_000), unlimited());
    let mut running = admitted(admission.offer(at(0), &tenant(1), &captions()));
    let mut waiting = 0;
    while let Decision::Queued { .. } = admission.offer(at(0), &tenant(1), &captions()) {
        waiting += 1;
    }
    assert_eq!(waiting, 10);
    // Requests now take five times as long.
    let mut first_refusal = None;
    for now in (500..3_000).step_by(500) {
        for output in admission.release(at(now), running, true) {
            match output {
                AdmissionOutput::Admitted(ticket) => running = ticket,
                AdmissionOutput::Refused(..) => first_refusal = first_refusal.or(Some(now)),
            }
        }
    }
    assert_eq!(first_refusal, Some(500));
}

#[test]
fn a_stalled_service_refuses_immediately_instead_of_at_the_deadline() {
    let mut admission = admission(limits(2, 100, 2_000), unlimited());
    for _ in 0..2 {
        admitted(admission.offer(at(0), &tenant(1), &captions()));
    }
    queued(admission.offer(at(0), &tenant(1), &captions()));
    // Nothing ends for ten times the usual time.
    let early = admission.tick(at(150));
    assert_eq!(early, []);
    let late = admission.tick(at(1_100));
    assert!(
        matches!(late[..], [AdmissionOutput::Refused(_, refusal)]
            if refusal.code == RefusalCode::DeadlineUnreachable),
        "{late:?}"
    );
    let refusal = refused(admission.offer(at(2_500), &tenant(2), &captions()));
    assert_eq!(refusal.code, RefusalCode::DeadlineUnreachable);
}

#[test]
fn one_tenant_cannot_fill_the_queue_for_the_others() {
    let mut admission = admission(limits(1, 40, 60_000), unlimited());
    admitted(admission.offer(at(0), &tenant(0), &captions()));
    for _ in 0..100 {
        admission.offer(at(0), &tenant(1), &captions());
    }
    for number in 2..6 {
        queued(admission.offer(at(0), &tenant(number), &captions()));
    }
}

#[test]
fn a_flood_of_one_tenant_does_not_delay_another() {
    let mut admission = admission(limits(1, 100, 60_000), unlimited());
    let running = admitted(admission.offer(at(0), &tenant(1), &captions()));
    for _ in 0..20 {
        queued(admission.offer(at(0), &tenant(1), &captions()));
    }
    let other = queued(admission.offer(at(0), &tenant(2), &captions()));
    let mut served = Vec::new();
    let mut next = running;
    for now in 1..4 {
        let outputs = admission.release(at(now), next, false);
        let [AdmissionOutput::Admitted(ticket)] = outputs[..] else {
            panic!("{outputs:?}");
        };
        served.push(ticket);
        next = ticket;
    }
    assert!(served[..2].contains(&other), "{served:?}");
}

#[test]
fn weights_divide_a_contended_queue() {
    let mut admission = Admission::new(settings(unlimited()));
    let heavy = TenantPolicy {
        weight: 3,
        ..unlimited()
    };
    let services = BTreeMap::from([(captions(), limits(1, 400, 600_000))]);
    let policies = BTreeMap::from([(tenant(1), heavy)]);
    admission.configure(at(0), services, policies);
    let mut owner = BTreeMap::new();
    let mut next = admitted(admission.offer(at(0), &tenant(9), &captions()));
    for _ in 0..40 {
        for number in [1, 2] {
            let ticket = queued(admission.offer(at(0), &tenant(number), &captions()));
            owner.insert(ticket, number);
        }
    }
    let mut turns = BTreeMap::new();
    for _ in 0..40 {
        let outputs = admission.release(at(1), next, false);
        let [AdmissionOutput::Admitted(ticket)] = outputs[..] else {
            panic!("{outputs:?}");
        };
        *turns.entry(owner[&ticket]).or_insert(0) += 1;
        next = ticket;
    }
    assert_eq!(turns, BTreeMap::from([(1, 30), (2, 10)]));
}

#[test]
fn a_removed_service_refuses_waiting_requests_and_releases_their_tenants() {
    let mut admission = admission(limits(1, 10, 1_000), policy(1_000, 1_000, 2));
    let running = admitted(admission.offer(at(0), &tenant(1), &captions()));
    let waiting = queued(admission.offer(at(0), &tenant(1), &captions()));
    let outputs = admission.configure(at(1), BTreeMap::new(), BTreeMap::new());
    let gone = Refusal::permanent(RefusalCode::UnknownService);
    assert_eq!(outputs, [AdmissionOutput::Refused(waiting, gone)]);
    let refusal = refused(admission.offer(at(1), &tenant(1), &captions()));
    assert_eq!(refusal, gone);
    // The service returns while the old request still runs, which counts against its
    // limit.
    let services = BTreeMap::from([(captions(), limits(1, 10, 1_000))]);
    admission.configure(at(2), services, BTreeMap::new());
    let waiting = queued(admission.offer(at(2), &tenant(1), &captions()));
    let outputs = admission.release(at(50), running, true);
    assert_eq!(outputs, [AdmissionOutput::Admitted(waiting)]);
}

#[test]
fn learned_capacity_limits_running_requests_and_admits_more_when_it_rises() {
    let mut admission = admission(limits(100, 100, 60_000), unlimited());
    admission.set_capacity(&captions(), 2);
    for _ in 0..2 {
        admitted(admission.offer(at(0), &tenant(1), &captions()));
    }
    let third = queued(admission.offer(at(0), &tenant(1), &captions()));
    admission.set_capacity(&captions(), 3);
    let outputs = admission.tick(at(1));
    assert_eq!(outputs, [AdmissionOutput::Admitted(third)]);
}

#[test]
fn an_abandoned_request_leaves_the_queue() {
    let mut admission = admission(limits(1, 10, 60_000), policy(1_000, 1_000, 2));
    let running = admitted(admission.offer(at(0), &tenant(1), &captions()));
    let waiting = queued(admission.offer(at(0), &tenant(1), &captions()));
    admission.abandon(waiting);
    assert_eq!(admission.waiting(), 0);
    queued(admission.offer(at(0), &tenant(1), &captions()));
    assert_eq!(admission.release(at(1), running, true).len(), 1);
    // Releasing a ticket again has no effect.
    assert_eq!(admission.release(at(1), running, true), []);
}

#[derive(Clone, Debug)]
enum Step {
    Offer(u32),
    Release(usize),
    Abandon(usize),
    Capacity(u32),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..5_u32).prop_map(Step::Offer),
        5 => any::<usize>().prop_map(Step::Release),
        1 => any::<usize>().prop_map(Step::Abandon),
        1 => (0..6_u32).prop_map(Step::Capacity),
        4 => (0..60_u64).prop_map(Step::Pass),
    ]
}

const MODEL_CONCURRENCY: u32 = 3;
const MODEL_QUEUE: u32 = 12;
const MODEL_TIMEOUT: u64 = 400;
const MODEL_TENANT_CONCURRENCY: u32 = 6;

/// Reference model, built only from inputs and outputs.
#[derive(Default)]
struct Model {
    now: u64,
    running: BTreeMap<Ticket, u32>,
    waiting: BTreeMap<Ticket, (u32, u64)>,
    capacity: u32,
    offered: Vec<(u64, u32)>,
}

impl Model {
    fn check_refusal(&self, refusal: &Refusal) -> Result<(), TestCaseError> {
        let after = refusal.retry_after;
        let settings = AdmissionSettings::default();
        let bounds = settings.shortest_retry_after..=settings.longest_retry_after;
        prop_assert!(after.is_some_and(|after| bounds.contains(&after)));
        Ok(())
    }

    fn apply(&mut self, outputs: Vec<AdmissionOutput>) -> Result<(), TestCaseError> {
        for output in outputs {
            match output {
                AdmissionOutput::Admitted(ticket) => {
                    let waited = self.waiting.remove(&ticket);
                    prop_assert!(waited.is_some(), "admitted twice");
                    let (tenant, since) = waited.unwrap();
                    prop_assert!(
                        self.now < since + MODEL_TIMEOUT,
                        "admitted past its deadline"
                    );
                    self.running.insert(ticket, tenant);
                }
                AdmissionOutput::Refused(ticket, refusal) => {
                    prop_assert!(self.waiting.remove(&ticket).is_some(), "refused twice");
                    self.check_refusal(&refusal)?;
                }
            }
        }
        Ok(())
    }

    fn check(&self, admission: &Admission) -> Result<(), TestCaseError> {
        prop_assert_eq!(admission.in_flight(), self.running.len());
        prop_assert_eq!(admission.waiting(), self.waiting.len());
        prop_assert!(self.waiting.len() <= MODEL_QUEUE as usize);
        for tenant in 0..5 {
            let running = self.running.values().filter(|of| **of == tenant).count();
            let waiting = self.waiting.values().filter(|(of, _)| *of == tenant);
            let held = running + waiting.count();
            prop_assert!(held <= MODEL_TENANT_CONCURRENCY as usize);
        }
        Ok(())
    }

    fn concurrency(&self) -> usize {
        MODEL_CONCURRENCY.min(self.capacity).max(1) as usize
    }
}

fn nth<T>(map: &BTreeMap<Ticket, T>, number: usize) -> Option<Ticket> {
    let position = number.checked_rem(map.len())?;
    map.keys().nth(position).copied()
}

fn apply_step(
    admission: &mut Admission,
    model: &mut Model,
    step: &Step,
) -> Result<(), TestCaseError> {
    match step {
        Step::Offer(number) => {
            let before = model.running.len();
            match admission.offer(at(model.now), &tenant(*number), &captions()) {
                Decision::Admitted(ticket) => {
                    prop_assert!(before < model.concurrency());
                    prop_assert!(model.waiting.is_empty(), "admitted ahead of the queue");
                    model.running.insert(ticket, *number);
                    model.offered.push((model.now, *number));
                }
                Decision::Queued {
                    ticket,
                    expected_wait,
                    ..
                } => {
                    prop_assert!(expected_wait <= millis(MODEL_TIMEOUT));
                    model.waiting.insert(ticket, (*number, model.now));
                    model.offered.push((model.now, *number));
                }
                Decision::Refused(refusal) => model.check_refusal(&refusal)?,
            }
        }
        Step::Release(number) => {
            if let Some(ticket) = nth(&model.running, *number) {
                model.running.remove(&ticket);
                let outputs = admission.release(at(model.now), ticket, true);
                model.apply(outputs)?;
            }
        }
        Step::Abandon(number) => {
            if let Some(ticket) = nth(&model.waiting, *number) {
                model.waiting.remove(&ticket);
                admission.abandon(ticket);
            }
        }
        Step::Capacity(capacity) => {
            model.capacity = *capacity;
            admission.set_capacity(&captions(), *capacity);
        }
        Step::Pass(passed) => {
            model.now += passed;
            let outputs = admission.tick(at(model.now));
            model.apply(outputs)?;
            let idle = model.running.len() < model.concurrency();
            prop_assert!(model.waiting.is_empty() || !idle, "capacity left unused");
            for (_, since) in model.waiting.values() {
                prop_assert!(model.now < since + MODEL_TIMEOUT, "held past its deadline");
            }
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    #[test]
    fn bounds_hold_whatever_happens(steps in prop::collection::vec(step(), 1..150)) {
        let (rate, burst) = (40, 20);
        let policy = policy(rate, burst, MODEL_TENANT_CONCURRENCY);
        let limits = limits(MODEL_CONCURRENCY, MODEL_QUEUE, MODEL_TIMEOUT);
        let mut admission = admission(limits, policy);
        let mut model = Model { capacity: u32::MAX, ..Model::default() };
        for step in &steps {
            apply_step(&mut admission, &mut model, step)?;
            model.check(&admission)?;
        }
        for number in 0..5 {
            let taken = model.offered.iter().filter(|(_, of)| *of == number).count();
            let most = f64::from(burst) + f64::from(rate) * model.now as f64 / 1_000.0;
            prop_assert!(taken as f64 <= most + 1e-6, "rate exceeded");
        }
        // At the end no state is left.
        while let Some(ticket) = nth(&model.running, 0) {
            model.running.remove(&ticket);
            let outputs = admission.release(at(model.now), ticket, true);
            model.apply(outputs)?;
        }
        admission.tick(at(model.now + 60_000));
        prop_assert_eq!(admission.in_flight() + admission.waiting(), 0);
        prop_assert_eq!(admission.tracked_tenants(), 0);
    }
}
