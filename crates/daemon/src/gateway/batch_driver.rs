//! Drives the batch owner core: feeds it inputs and executes its outputs in order.
//!
//! Outputs are executed under the core's lock, so that the outputs of two inputs
//! never interleave. None of them blocks there: streams and calls run as tasks.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use molespan_routing::batch::{
    BatchInput, BatchOutput, BatchOwner, BatchSettings, OwnedEngine, StreamId,
};
use molespan_state::control::Configuration;
use molespan_types::BackendId;

use super::answer::Target;
use super::batch_stream::{BatchItem, StreamCommand};
use super::directory::can_serve;
use super::options::{GatewayOptions, PreemptionPolicy};
use super::state::GatewayState;

/// Tail protection until a configuration is active.
const INITIAL_TAIL_PROTECTION: u8 = 50;
/// Number of renewals per item lease duration.
const RENEWALS_PER_LEASE: u32 = 5;
/// Upper and lower bound of the interval between ticks of the batch owner.
const MAX_TICK: Duration = Duration::from_millis(50);
const MIN_TICK: Duration = Duration::from_millis(1);

/// The batch owner core and its streams.
#[derive(Debug)]
pub(super) struct BatchDriver {
    inner: Mutex<Inner>,
    preemption: PreemptionPolicy,
    drained: AtomicBool,
}

#[derive(Debug)]
struct Inner {
    owner: BatchOwner,
    streams: HashMap<StreamId, Sender<StreamCommand>>,
    /// The engines last announced to the owner.
    announced: BTreeMap<BackendId, Announced>,
    /// The gateway, used by tasks that outputs start.
    state: Weak<GatewayState>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Announced {
    owned: OwnedEngine,
    open: bool,
}

impl BatchDriver {
    pub(super) fn new(options: &GatewayOptions) -> Self {
        let settings = BatchSettings {
            job_groups: options.job_groups,
            lease: options.item_lease,
            renew_interval: options.item_lease / RENEWALS_PER_LEASE,
            ..BatchSettings::default()
        };
        let tail_protection_override = options.policy.tail_protection;
        let owner = BatchOwner::new(
            settings,
            tail_protection_override.unwrap_or(INITIAL_TAIL_PROTECTION),
        );
        Self {
            inner: Mutex::new(Inner {
                owner,
                streams: HashMap::new(),
                announced: BTreeMap::new(),
                state: Weak::new(),
            }),
            preemption: options.policy.preemption,
            drained: AtomicBool::new(false),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the gateway while it is alive.
    pub(super) fn gateway(&self) -> Option<Arc<GatewayState>> {
        self.lock().state.upgrade()
    }

    /// Returns the number of item leases that a graceful stop must still return; at least
    /// one until every request to a job group has been answered.
    pub(super) fn left_to_return(&self) -> usize {
        if self.drained.load(Ordering::SeqCst) {
            return 0;
        }
        self.lock().owner.leases_held().max(1)
    }

    /// Whether an input is ignored by a baseline without preemption.
    fn ignores(&self, input: &BatchInput) -> bool {
        let online = matches!(
            input,
            BatchInput::OnlineStarted { .. }
                | BatchInput::OnlineFirstToken { .. }
                | BatchInput::OnlineFinished { .. }
                | BatchInput::OnlineNotice(_)
        );
        online && self.preemption != PreemptionPolicy::OnArrival
    }

    /// Counts every request in a load sample as batch work for a baseline without preemption.
    /// The engine cannot distinguish batch from online requests for the owner then, and
    /// an engine that appears to run no batch work would never be given more.
    fn adjusted(&self, input: BatchInput) -> BatchInput {
        match input {
            BatchInput::Load(mut sample) if self.preemption != PreemptionPolicy::OnArrival => {
                sample.batch += sample.online;
                sample.batch_running += sample.online.saturating_sub(sample.online_waiting);
                sample.online = 0;
                sample.online_waiting = 0;
                BatchInput::Load(sample)
            }
            input => input,
        }
    }
}

impl GatewayState {
    /// Lets the batch driver start tasks of this gateway.
    pub(super) fn connect_batch(self: &Arc<Self>) {
        self.batch.lock().state = Arc::downgrade(self);
    }

    /// Stops executing outputs of the batch owner.
    pub(super) fn disconnect_batch(&self) {
        self.batch.lock().state = Weak::new();
    }

    /// Feeds an input to the batch owner and executes its outputs.
    pub(super) fn batch_input(&self, input: BatchInput) {
        if self.batch.ignores(&input) {
            return;
        }
        let input = self.batch.adjusted(input);
        let mut inner = self.batch.lock();
        if let BatchInput::Ended { stream, .. } = &input {
            inner.streams.remove(stream);
        }
        let outputs = inner.owner.handle(self.clock.now(), input);
        let Some(state) = inner.state.upgrade() else {
            return;
        };
        for output in outputs {
            inner.execute(&state, output);
        }
    }

    /// Ticks the batch owner until the gateway stops.
    pub(super) async fn tick_batch(self: Arc<Self>) {
        loop {
            self.batch_input(BatchInput::Tick);
            let now = self.clock.now();
            let next = self.batch.lock().owner.next_wakeup(now);
            let wait = next.map_or(MAX_TICK, |next| next.since(now));
            Timer::after(wait.clamp(MIN_TICK, MAX_TICK)).await;
        }
    }

    /// Updates the batch owner's engines and which of them accept work.
    pub(super) fn refresh_owned_engines(&self, configuration: &Configuration) {
        let wanted = self.owned_engines(configuration);
        let inputs = {
            let mut inner = self.batch.lock();
            let inputs = changes(&inner.announced, &wanted);
            inner.announced = wanted;
            inputs
        };
        for input in inputs {
            self.batch_input(input);
        }
    }

    fn owned_engines(&self, configuration: &Configuration) -> BTreeMap<BackendId, Announced> {
        let owned: Vec<BackendId> = self.ownership().owned().collect();
        let directory = self.directory();
        let engines = owned.into_iter().filter_map(|id| {
            let backend = directory.backend(id)?;
            let service = configuration.services.get(&backend.service);
            let open = service.is_some_and(|service| service.batch && can_serve(backend, service));
            let owned = OwnedEngine {
                backend: id,
                incarnation: backend.incarnation,
                service: backend.service.clone(),
            };
            Some((id, Announced { owned, open }))
        });
        engines.collect()
    }
}

/// Returns the inputs that bring the owner from `before` to `after`.
fn changes(
    before: &BTreeMap<BackendId, Announced>,
    after: &BTreeMap<BackendId, Announced>,
) -> Vec<BatchInput> {
    let mut inputs = Vec::new();
    for (backend, engine) in after {
        let known = before.get(backend);
        if known == Some(engine) {
            continue;
        }
        if engine.open {
            inputs.push(BatchInput::Acquired(engine.owned.clone()));
        } else if known.is_some_and(|known| known.open) {
            inputs.push(BatchInput::Closed(*backend));
        }
    }
    let released = before.keys().filter(|backend| !after.contains_key(backend));
    inputs.extend(released.map(|backend| BatchInput::Released(*backend)));
    inputs
}

impl Inner {
    fn execute(&mut self, state: &Arc<GatewayState>, output: BatchOutput) {
        match output {
            BatchOutput::Pause(stream) => self.command(stream, StreamCommand::Pause),
            BatchOutput::Resume(stream) => self.command(stream, StreamCommand::Resume),
            BatchOutput::Cancel(stream) => {
                self.command(stream, StreamCommand::Cancel);
                self.streams.remove(&stream);
            }
            BatchOutput::Dispatch { .. } => self.dispatch(state, output),
            BatchOutput::Decision(decision) => state.record_batch_decision(&decision),
            BatchOutput::Drained => {
                state.batch.drained.store(true, Ordering::SeqCst);
            }
            BatchOutput::LeaseItems { .. }
            | BatchOutput::Renew { .. }
            | BatchOutput::Record { .. }
            | BatchOutput::Return { .. } => {
                let state = state.clone();
                state
                    .clone()
                    .spawn_batch(async move { state.call_group(output).await });
            }
        }
    }

    fn command(&mut self, stream: StreamId, command: StreamCommand) {
        if let Some(commands) = self.streams.get(&stream) {
            // A stream that has ended receives no commands; that is not an error.
            let _ended = commands.try_send(command);
        }
    }

    fn dispatch(&mut self, state: &Arc<GatewayState>, output: BatchOutput) {
        let BatchOutput::Dispatch {
            stream,
            backend,
            incarnation,
            service,
            job,
            item,
            repeatable,
            input,
        } = output
        else {
            return;
        };
        let (sender, commands) = async_channel::unbounded();
        self.streams.insert(stream, sender);
        let target = state.address_of(backend).map(|address| Target {
            backend,
            incarnation,
            address,
        });
        let item = BatchItem {
            stream,
            target,
            service,
            job,
            item,
            repeatable,
            input: input.into(),
        };
        let state = state.clone();
        state
            .clone()
            .spawn_batch(async move { state.run_batch_item(item, commands).await });
    }
}
