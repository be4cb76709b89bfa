//! The work of callers and operators, drawn from a seed.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use molespan_emulator::expected_answer;
use molespan_types::{Digest, JobId, ServiceName, TenantId, Timestamp, digest_of};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::fault::Topology;
use crate::scenario::{CALM_BURST_AFTER, CALM_JOB_AFTER, SERVICES};

/// Number of jobs during the faults.
const JOBS: Range<usize> = 4..8;
/// Number of online requests during the faults.
const ONLINE: Range<usize> = 40..90;
/// Number of operator intents.
const INTENTS: Range<u64> = 10..24;
/// Number of fenced orders.
const ORDERS: Range<usize> = 6..14;
/// Number of online requests in the burst after the faults.
const BURST: u64 = 12;
/// Interval between two requests of the burst.
const BURST_GAP: Duration = Duration::from_millis(15);

/// A job that a caller submits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobPlan {
    /// Tenant.
    pub tenant: TenantId,
    /// Key.
    pub key: String,
    /// Service.
    pub service: ServiceName,
    /// Items.
    pub items: u32,
    /// Tokens per item.
    pub tokens: u32,
    /// Whether items may run more than once.
    pub repeatable: bool,
    /// Delay between the submission and a cancellation request.
    pub cancel_after: Option<Duration>,
    /// Delays after the submission at which the job is submitted again, through a random
    /// gateway.
    pub resubmit_after: Vec<Duration>,
}

impl JobPlan {
    /// Returns the identifier of the job.
    #[must_use]
    pub fn id(&self) -> JobId {
        JobId::from_key(&self.tenant, &self.key)
    }

    /// Returns the prompt of an item.
    #[must_use]
    pub fn prompt(&self, item: u32) -> String {
        format!("{} item {item}", self.key)
    }

    /// Returns the request body of an item: the number of tokens, a line break and the
    /// prompt.
    #[must_use]
    pub fn input(&self, item: u32) -> Vec<u8> {
        format!("{}\n{}", self.tokens, self.prompt(item)).into_bytes()
    }

    /// Returns the expected answer of an item.
    #[must_use]
    pub fn answer(&self, item: u32) -> String {
        expected_answer(&self.prompt(item), self.tokens)
    }

    /// Returns a digest of the submission.
    #[must_use]
    pub fn digest(&self) -> Digest {
        digest_of(format!("{}/{}/{}", self.key, self.items, self.tokens).as_bytes())
    }
}

/// Parses the number of tokens and the prompt from an item's request body.
#[must_use]
pub fn read_input(input: &[u8]) -> Option<(u32, String)> {
    let text = std::str::from_utf8(input).ok()?;
    let (tokens, prompt) = text.split_once('\n')?;
    Some((tokens.parse().ok()?, prompt.to_owned()))
}

/// An online request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnlinePlan {
    /// Tenant.
    pub tenant: TenantId,
    /// Service.
    pub service: ServiceName,
    /// Prompt.
    pub prompt: String,
    /// Tokens.
    pub tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Idempotency key of a non-repeatable request.
    pub key: Option<String>,
    /// Delay after which an impatient caller sends the request again, through a random
    /// gateway.
    pub resend_after: Option<Duration>,
}

/// An intent of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntentPlan {
    /// Number; two operators may choose the same one.
    pub number: u64,
    /// Operator.
    pub operator: String,
    /// New value of the policy's tail protection.
    pub tail_protection: u8,
}

/// A fenced order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderPlan {
    /// Engine.
    pub engine: u32,
    /// Version of the model to load.
    pub version: u32,
    /// Delay between the receipt of the token and the sending of the order.
    pub send_after: Duration,
}

/// One piece of work.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Work {
    /// A job.
    #[display(
        "job {} of {} {} items for {}{}",
        _0.key,
        _0.items,
        if _0.repeatable { "repeatable" } else { "non-repeatable" },
        _0.service,
        if _0.cancel_after.is_some() { ", cancelled later" } else { "" }
    )]
    Job(Arc<JobPlan>),
    /// An online request.
    #[display(
        "{}{} request for {}: {}",
        if _0.key.is_some() { "non-repeatable " } else { "" },
        if _0.stream { "streamed" } else { "plain" },
        _0.service,
        _0.prompt
    )]
    Online(Arc<OnlinePlan>),
    /// An intent.
    #[display("intent {} of {}", _0.number, _0.operator)]
    Intent(IntentPlan),
    /// An order.
    #[display("order to engine {}: load version {}", _0.engine, _0.version)]
    Order(OrderPlan),
}

/// A piece of work and its start time.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{} ms: {work}", begins.0 / 1_000)]
pub struct PlannedWork {
    /// Start time.
    pub begins: Timestamp,
    /// Work.
    pub work: Work,
}

/// Draws the work of a run.
#[must_use]
pub fn workload(random: &mut ChaCha8Rng, topology: &Topology) -> Vec<PlannedWork> {
    let (begin, end) = (topology.faults_begin, topology.faults_end);
    let engines = topology.engines;
    let mut work = Vec::new();
    let mut add = |begins: Timestamp, one: Work| {
        work.push(PlannedWork { begins, work: one });
    };
    for number in 0..random.random_range(JOBS) {
        add(draw_time(random, begin, end), job(random, number));
    }
    add(topology.long_items_at, job_with_long_items(random));
    for number in 0..random.random_range(ONLINE) {
        add(draw_time(random, begin, end), online(random, number));
    }
    let intents = random.random_range(INTENTS);
    for number in 1..=intents {
        let at = draw_time(random, begin, end);
        add(at, intent(random, number, "first"));
        if random.random_bool(0.4) {
            let after = Duration::from_millis(random.random_range(0..300));
            add(at + after, intent(random, number, "second"));
        }
    }
    for _ in 0..random.random_range(ORDERS) {
        add(draw_time(random, begin, end), order(random, engines));
    }
    after_the_faults(random, end, engines, &mut add);
    work.sort_by_key(|one| one.begins);
    work
}

fn draw_time(random: &mut ChaCha8Rng, begin: Timestamp, end: Timestamp) -> Timestamp {
    Timestamp(random.random_range(begin.0..end.0))
}

fn service(random: &mut ChaCha8Rng) -> ServiceName {
    SERVICES[random.random_range(0..SERVICES.len())].into()
}

fn job(random: &mut ChaCha8Rng, number: usize) -> Work {
    let slow = random.random_bool(0.25);
    let long = random.random_bool(0.5);
    let resubmissions = random.random_range(0..3);
    Work::Job(Arc::new(JobPlan {
        tenant: format!("tenant {}", number % 2).as_str().into(),
        key: format!("job {number}"),
        service: service(random),
        items: random.random_range(if long && !slow { 60..160 } else { 3..30 }),
        tokens: random.random_range(match (slow, long) {
            (true, _) => 400..900,
            (false, true) => 20..80,
            (false, false) => 2..20,
        }),
        repeatable: random.random_bool(0.6),
        cancel_after: random
            .random_bool(0.4)
            .then(|| Duration::from_millis(random.random_range(200..4_000))),
        resubmit_after: (0..resubmissions)
            .map(|_| Duration::from_millis(random.random_range(0..9_000)))
            .collect(),
    }))
}

/// Draws a job whose items run longer on an engine than a lease lasts.
fn job_with_long_items(random: &mut ChaCha8Rng) -> Work {
    Work::Job(Arc::new(JobPlan {
        tenant: "tenant 0".into(),
        key: "long items".to_owned(),
        service: SERVICES[0].into(),
        items: random.random_range(30..60),
        tokens: random.random_range(900..1_400),
        repeatable: true,
        cancel_after: Some(Duration::from_millis(random.random_range(1_500..3_000))),
        resubmit_after: Vec::new(),
    }))
}

fn online(random: &mut ChaCha8Rng, number: usize) -> Work {
    let non_repeatable = random.random_bool(0.4);
    Work::Online(Arc::new(OnlinePlan {
        tenant: format!("tenant {}", number % 3).as_str().into(),
        service: service(random),
        prompt: format!("online {number}"),
        tokens: random.random_range(1..40),
        stream: random.random(),
        key: non_repeatable.then(|| format!("online {number}")),
        resend_after: random
            .random_bool(0.3)
            .then(|| Duration::from_millis(random.random_range(1..400))),
    }))
}

fn intent(random: &mut ChaCha8Rng, number: u64, operator: &str) -> Work {
    Work::Intent(IntentPlan {
        number,
        operator: operator.to_owned(),
        tail_protection: random.random_range(50..=100),
    })
}

fn order(random: &mut ChaCha8Rng, engines: u32) -> Work {
    Work::Order(OrderPlan {
        engine: random.random_range(1..=engines),
        version: random.random_range(2..9),
        send_after: Duration::from_millis(random.random_range(0..2_000)),
    })
}

/// Adds work after the faults: jobs that fill the engines, online requests that
/// must not wait behind them, an intent, and an order to each engine.
fn after_the_faults(
    random: &mut ChaCha8Rng,
    end: Timestamp,
    engines: u32,
    add: &mut impl FnMut(Timestamp, Work),
) {
    let calm = end + CALM_JOB_AFTER;
    for service in SERVICES {
        let filler = JobPlan {
            tenant: "calm".into(),
            key: format!("calm {service}"),
            service: service.into(),
            items: 40,
            tokens: 400,
            repeatable: true,
            cancel_after: None,
            resubmit_after: Vec::new(),
        };
        add(calm, Work::Job(Arc::new(filler)));
    }
    for number in 0..BURST {
        let plan = OnlinePlan {
            tenant: "calm".into(),
            service: service(random),
            prompt: format!("burst {number}"),
            tokens: 5,
            stream: true,
            key: None,
            resend_after: None,
        };
        let at = end + CALM_BURST_AFTER + BURST_GAP * number as u32;
        add(at, Work::Online(Arc::new(plan)));
    }
    add(calm, intent(random, 1_000, "calm"));
    for engine in 1..=engines {
        let order = OrderPlan {
            engine,
            version: 10,
            send_after: Duration::ZERO,
        };
        add(calm, Work::Order(order));
    }
}
