//! Taking batch items while engines have capacity, and recording their outcomes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use molespan_state::batch::{
    BatchCommand, BatchReply, ItemOutcome, ItemRecord, ItemReference, ItemToRun, Output,
    RecordOutcome, StoredPrefix,
};
use molespan_types::Timestamp;
use molespan_wire::TakeItems;
use slog::{info, warn};

use super::capacity::{Capacity, batch_services};
use super::item::{CurrentService, SharedOutput, inspect_item, run_item};
use crate::dialect::GatewayDialect;
use crate::state::GatewayState;

/// Maximum time that the leader may hold a call for items while no items run here.
const MAX_IDLE_HOLD: Duration = Duration::from_millis(900);
/// The same while items run here. The loss of a leader is noticed 300 ms after this time,
/// and after an election the next leader listens for 700 ms before it hands out items; by
/// then it must know what runs here.
const MAX_RUNNING_HOLD: Duration = Duration::from_millis(500);
/// Maximum time between calls while there is no capacity: the leader's lease on running
/// items is 2.5 s, and two calls may be lost within it.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(800);
/// Timeout for a call for items.
const TAKE_TIMEOUT: Duration = Duration::from_millis(1_900);
/// Time without a renewal after which all items are stopped, because another gateway surely
/// runs them by then. Shorter outages of the batch group must not lose work at engines;
/// items not yet at an engine are held back long before.
const LEASE: Duration = Duration::from_secs(10);
/// Timeout for each call of the hand-over in a planned stop.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Minimum time between two calls.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which no items are taken after one was given back, in which a newer configuration
/// arrives; other gateways run such items meanwhile.
const GIVEN_BACK_PAUSE: Duration = Duration::from_secs(1);
/// Mean time between two inspections of waiting items, over all gateways, for some that are to
/// be given up though no gateway has capacity to run them. Each gateway inspects less often the
/// more of them there are.
const INSPECTION_INTERVAL: Duration = Duration::from_millis(200);
/// Least mean time between two inspections of one gateway.
const MIN_INSPECTION_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of items inspected at once.
const MAX_INSPECTED_ITEMS: u32 = 8;
/// Maximum number of items taken at once, so that a large backlog spreads over the
/// gateways.
const MAX_ITEMS_PER_CALL: u32 = 4;
/// Interval between checkpoints, and so the most work that is lost with a gateway or in a
/// power failure of all nodes. Shorter intervals cost more commits and traffic between
/// zones.
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(1_200);
/// Timeout for storing a checkpoint.
const CHECKPOINT_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval between log lines about batch work.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for recording an outcome, after which it is retried.
const RECORD_TIMEOUT: Duration = Duration::from_secs(3);

struct Runner<D> {
    state: Rc<GatewayState>,
    dialect: Rc<D>,
    local: Rc<LocalExecutor<'static>>,
    running: RefCell<BTreeMap<ItemReference, RunningItem>>,
    /// Random value drawn at the start, which distinguishes the calls of this process from
    /// those of an earlier one.
    life: u64,
    /// Number of the latest call for items.
    calls: Cell<u64>,
    /// When items are taken again after one was given back.
    takes_after: Cell<Timestamp>,
    /// When waiting items are inspected next.
    inspects_at: Cell<Timestamp>,
    /// Whether an item was given back that the leader does not know of yet.
    gave_back: Cell<bool>,
}

/// An item that runs here.
struct RunningItem {
    task: Task<()>,
    output: SharedOutput,
    service: CurrentService,
}

/// Takes and runs items until dropped or a planned stop.
pub(crate) async fn run<D: GatewayDialect>(
    state: Rc<GatewayState>,
    dialect: Rc<D>,
    local: Rc<LocalExecutor<'static>>,
) {
    let runner = Rc::new(Runner {
        state,
        dialect,
        local,
        running: RefCell::default(),
        life: rand::random(),
        calls: Cell::new(0),
        takes_after: Cell::new(Timestamp::ZERO),
        inspects_at: Cell::new(Timestamp::ZERO),
        gave_back: Cell::new(false),
    });
    let mut renewed = runner.state.now();
    let mut answered = true;
    let mut logged = Instant::now();
    let checkpoints = runner.clone();
    let _checkpointing = runner.local.spawn(async move {
        loop {
            Timer::after(CHECKPOINT_INTERVAL).await;
            let outputs = checkpoints.outputs();
            checkpoints.checkpoint(&outputs, CHECKPOINT_TIMEOUT).await;
        }
    });
    loop {
        let begun = Instant::now();
        if logged.elapsed() >= LOG_INTERVAL {
            runner.log_progress();
            logged = begun;
        }
        if runner.state.is_closing_idle() {
            runner.hand_over().await;
            return;
        }
        answered = runner.call_leader(answered).await;
        if answered {
            renewed = runner.state.now();
        } else {
            Timer::after(RETRY_PAUSE).await;
        }
        if runner.state.now().since(renewed) > LEASE {
            runner.stop_all();
        }
        let left = MIN_CALL_INTERVAL.saturating_sub(begun.elapsed());
        Timer::after(left).await;
    }
}

impl<D: GatewayDialect> Runner<D> {
    /// Returns the number of items that this gateway may take now.
    fn capacity(&self) -> Capacity {
        let in_force = self.state.in_force();
        let Some(in_force) = in_force.filter(|_| !self.state.is_stopping()) else {
            return Capacity::default();
        };
        if self.state.now() < self.takes_after.get() {
            return Capacity::default();
        }
        Capacity::of(&in_force.model, MAX_ITEMS_PER_CALL, |one| self.room_at(one))
    }

    /// Returns the number of items of a service that this gateway may take now, limited by the
    /// engines' capacity and by this gateway's share of it. Items of other services don't
    /// count: their engines may all be gone.
    fn room_at(&self, service: &str) -> u32 {
        let engines = self.state.engines.borrow();
        let runs = &self.state.batch_runs;
        // Items waiting here for an engine come first. The fraction is rounded randomly, so
        // that all gateways together take as many items as there is capacity for.
        let running = self.running_at(service);
        let running = running.saturating_sub(runs.held_back_of(service));
        let waiting = running.saturating_sub(runs.at_engines_of(service));
        let headroom = engines.batch_headroom(service, self.state.now());
        let headroom = (headroom - f64::from(waiting) + rand::random::<f64>()).max(0.0) as u32;
        let share = engines.fair_slots(service).ceil() as u32;
        headroom.min(share.saturating_sub(running))
    }

    /// Returns the number of items here that run or wait at a service, or may turn out to.
    fn running_at(&self, service: &str) -> u32 {
        let running = self.running.borrow();
        let current = running.values().map(|item| item.service.borrow());
        let here = current.filter(|current| current.as_ref().is_none_or(|one| one == service));
        here.count() as u32
    }

    /// Whether waiting items are to be inspected if this gateway has no room for some.
    fn inspection_is_due(&self) -> bool {
        let may_take = self.state.in_force().is_some() && !self.state.is_stopping();
        may_take
            && self.state.has_stores()
            && self.state.now() >= self.inspects_at.get().max(self.takes_after.get())
    }

    /// Sets the time of the next inspection.
    fn plan_inspection(&self) {
        let interval = INSPECTION_INTERVAL * self.state.gateways();
        let interval = interval.max(MIN_INSPECTION_INTERVAL);
        let spread = 0.5 + rand::random::<f64>();
        self.inspects_at
            .set(self.state.now() + interval.mul_f64(spread));
    }

    /// Waits until there is capacity or the running items need a renewal. Waiting at the
    /// leader instead would load it most when all gateways are full.
    async fn wait_for_capacity(&self) -> Capacity {
        let renewed_after = RENEWAL_INTERVAL.min(self.state.renewal.get().longest_silence());
        let ends = Instant::now() + renewed_after;
        loop {
            let capacity = self.capacity();
            let is_over =
                Instant::now() >= ends || self.inspection_is_due() || self.gave_back.get();
            if capacity.total > 0 || is_over || self.state.is_closing_idle() {
                return capacity;
            }
            Timer::after(MIN_CALL_INTERVAL).await;
        }
    }

    /// Logs and exports the batch work here and the occupancy of all engines, while there
    /// are items.
    fn log_progress(&self) {
        let items = self.running.borrow().len();
        if items == 0 {
            return;
        }
        let now = self.state.now();
        let occupancy = self.state.engines.borrow().occupancy(now);
        let kept = self.reserved_for_online(now);
        self.state.metrics.batch.set_reserved_slots(kept);
        info!(self.state.logger, "batch work"; "items" => items,
            "at_engines" => self.state.batch_runs.count_at_engines(),
            "held_back" => self.state.batch_runs.count_held_back(),
            "occupancy" => format!("{occupancy:.2}"), "kept" => format!("{kept:.1}"));
    }

    /// Returns the slots that batch work leaves free at the services it uses.
    fn reserved_for_online(&self, now: Timestamp) -> f64 {
        let Some(in_force) = self.state.in_force() else {
            return 0.0;
        };
        let engines = self.state.engines.borrow();
        let services = batch_services(&in_force.model).into_iter();
        services
            .map(|one| engines.reserved_for_online(one, now))
            .sum()
    }

    /// Returns the next call for items to run.
    fn next_call(&self, capacity: Capacity, held: Vec<(u64, u32)>, wait: Duration) -> TakeItems {
        let number = self.calls.get() + 1;
        self.calls.set(number);
        TakeItems {
            node: self.state.own,
            capacity: capacity.total,
            held,
            wait_ms: wait.as_millis() as u32,
            life: self.life,
            number,
            inspects: false,
            rooms: capacity.rooms,
        }
    }

    /// Makes one call to the leader and returns whether it was answered. `answered` is the
    /// result of the previous call; if it is `false`, a leader is still being searched for.
    async fn call_leader(self: &Rc<Self>, answered: bool) -> bool {
        let capacity = match answered {
            true => self.wait_for_capacity().await,
            false => self.capacity(),
        };
        let held: Vec<(u64, u32)> = {
            let running = self.running.borrow();
            running.keys().map(|item| (item.job, item.place)).collect()
        };
        let inspects = capacity.lacks_room() && self.inspection_is_due();
        let gave_back = self.gave_back.take();
        let wait = match (capacity.total, held.is_empty()) {
            _ if inspects || gave_back => Duration::ZERO,
            (0, true) => return true,
            (0, false) => Duration::ZERO,
            // While the leader is unknown, a node that does not answer would cost the hold
            // time as well.
            _ if !answered => Duration::ZERO,
            (_, true) => MAX_IDLE_HOLD,
            (_, false) => MAX_RUNNING_HOLD,
        };
        let wait = wait.min(self.state.renewal.get().longest_silence());
        let mut ask = self.next_call(capacity, held, wait);
        if inspects {
            self.plan_inspection();
            ask.inspects = true;
            ask.capacity = MAX_INSPECTED_ITEMS;
            ask.rooms.clear();
        }
        let called = self.state.now();
        let taken = match self.state.batch.take_items(&ask, TAKE_TIMEOUT).await {
            Ok(taken) => taken,
            Err(error) => {
                warn!(self.state.logger, "call for batch items failed"; "error" => %error);
                return false;
            }
        };
        for (job, place) in taken.stop {
            let item = ItemReference { job, place };
            if self.running.borrow_mut().remove(&item).is_some() {
                info!(self.state.logger, "item stopped on request of the batch group"; "job" => job, "place" => place);
            }
        }
        self.state.renewed(called);
        for item in taken.items {
            match inspects {
                true => self.inspect(item),
                false => self.start(item),
            }
        }
        true
    }

    fn start(self: &Rc<Self>, item: ItemToRun) {
        let reference = item.reference;
        let runner = self.clone();
        let output = Rc::new(RefCell::new(Output::resume(&item.progress, rand::random())));
        let service = CurrentService::default();
        let (shared, current) = (output.clone(), service.clone());
        let work = async move {
            let (state, dialect) = (&runner.state, &*runner.dialect);
            let outcome = run_item(state, dialect, &item, &shared, &current).await;
            match outcome {
                Some(outcome) => runner.record(reference, outcome).await,
                None => {
                    runner.gave_back.set(true);
                    runner
                        .takes_after
                        .set(runner.state.now() + GIVEN_BACK_PAUSE);
                }
            }
        };
        self.spawn(reference, output, service, work);
    }

    /// Gives an item up if it is to be, and gives it back otherwise.
    fn inspect(self: &Rc<Self>, item: ItemToRun) {
        let reference = item.reference;
        let runner = self.clone();
        let output = Rc::new(RefCell::new(Output::resume(&item.progress, rand::random())));
        let work = async move {
            if let Some(outcome) = inspect_item(&runner.state, &item).await {
                runner.record(reference, outcome).await;
                // Others of its job are probably to be given up too.
                runner.inspects_at.set(Timestamp::ZERO);
            } else {
                runner.gave_back.set(true);
            }
        };
        self.spawn(reference, output, CurrentService::default(), work);
    }

    /// Spawns the work on an item, which is held until that ends.
    fn spawn(
        self: &Rc<Self>,
        reference: ItemReference,
        output: SharedOutput,
        service: CurrentService,
        work: impl Future<Output = ()> + 'static,
    ) {
        let runner = self.clone();
        let work = async move {
            work.await;
            // The task must not drop itself while it runs.
            let own = runner.running.borrow_mut().remove(&reference);
            if let Some(own) = own {
                own.task.detach();
            }
        };
        let task = self.local.spawn(work);
        let running = RunningItem {
            task,
            output,
            service,
        };
        self.running.borrow_mut().insert(reference, running);
    }

    /// Records an outcome, retrying until it succeeds.
    async fn record(&self, item: ItemReference, outcome: ItemOutcome) {
        let records = vec![ItemRecord { item, outcome }];
        let command = BatchCommand::Record(RecordOutcome { records });
        loop {
            match self
                .state
                .batch
                .change_batch(&command, RECORD_TIMEOUT)
                .await
            {
                Ok(BatchReply::Recorded) => return,
                other => {
                    warn!(self.state.logger, "outcome not recorded";
                        "job" => item.job, "place" => item.place, "answer" => ?other.err());
                    Timer::after(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Returns the outputs of the running items, shared with their runs.
    fn outputs(&self) -> Vec<(ItemReference, SharedOutput)> {
        let running = self.running.borrow();
        let outputs = running.iter();
        outputs
            .map(|(item, running)| (*item, running.output.clone()))
            .collect()
    }

    /// Stores the output of these items in the batch group, so that another gateway can
    /// continue after it if this one is lost. Returns whether it was stored.
    async fn checkpoint(
        &self,
        outputs: &[(ItemReference, SharedOutput)],
        within: Duration,
    ) -> bool {
        let mut items = Vec::new();
        let mut sent: Vec<(&SharedOutput, StoredPrefix)> = Vec::new();
        for (item, output) in outputs {
            if let Some((checkpoint, prefix)) = output.borrow().checkpoint(*item) {
                items.push(checkpoint);
                sent.push((output, prefix));
            }
        }
        if items.is_empty() {
            return true;
        }
        let command = BatchCommand::Checkpoint { items };
        match self.state.batch.change_batch(&command, within).await {
            Ok(BatchReply::Progress { kept: stored }) => {
                for ((output, prefix), stored) in sent.into_iter().zip(stored) {
                    output.borrow_mut().record_stored(prefix, stored);
                }
                true
            }
            other => {
                info!(self.state.logger, "checkpoint not kept by the batch group"; "items" => sent.len(),
                    "answer" => ?other.err());
                // The checkpoint may have been stored or may still be.
                for (output, _) in sent {
                    output.borrow_mut().reset_stored();
                }
                false
            }
        }
    }

    /// Ends the batch work for a planned stop; other gateways continue after the last
    /// stored events.
    async fn hand_over(&self) {
        let outputs = self.outputs();
        let count = outputs.len();
        if count == 0 {
            return;
        }
        drop(std::mem::take(&mut *self.running.borrow_mut()));
        // The second call resends only items whose first checkpoint did not follow the
        // stored state because an earlier checkpoint was still in flight.
        let noted = self.checkpoint(&outputs, HAND_OVER_TIMEOUT).await
            && self.checkpoint(&outputs, HAND_OVER_TIMEOUT).await;
        let release = self.next_call(Capacity::default(), Vec::new(), Duration::ZERO);
        let released = self
            .state
            .batch
            .take_items(&release, HAND_OVER_TIMEOUT)
            .await;
        info!(self.state.logger, "items handed over"; "items" => count,
            "noted" => noted, "released" => released.is_ok());
    }

    /// Stops all items, since other gateways may run them by now.
    fn stop_all(&self) {
        let running = std::mem::take(&mut *self.running.borrow_mut());
        if !running.is_empty() {
            info!(self.state.logger, "items stopped without a renewal"; "items" => running.len());
        }
        drop(running);
    }
}
