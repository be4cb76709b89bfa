//! Controls of one emulated service: injected faults, crashes and restarts.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;

use crate::faults::{AnswerFault, EngineFaults, FaultPlan, FaultSettings};

/// Future event, such as the end of an incarnation, that tasks can wait for.
#[derive(Clone)]
pub struct Signal(Receiver<()>);

impl Signal {
    /// Waits until the event occurs.
    pub async fn wait(self) {
        // Nothing is ever sent; the channel is closed when its sender is dropped.
        let _ = self.0.recv().await;
    }
}

/// A signal and its sender; dropping the sender triggers the signal.
struct SignalSource {
    _sender: Sender<()>,
    receiver: Receiver<()>,
}

impl SignalSource {
    fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self {
            _sender: sender,
            receiver,
        }
    }

    fn signal(&self) -> Signal {
        Signal(self.receiver.clone())
    }
}

struct State {
    settings: FaultSettings,
    plan: FaultPlan,
    incarnation_end: SignalSource,
    frozen: Option<SignalSource>,
    running: Option<SignalSource>,
    restart_at: Option<Instant>,
    network_delay: Duration,
}

/// Fault and lifecycle controls of one emulated service.
pub struct ServiceControls {
    state: Mutex<State>,
}

impl ServiceControls {
    /// Creates controls without active faults. `seed` determines the choice of
    /// answer faults. Each request is delayed by `round_trip` to emulate the
    /// network.
    #[must_use]
    pub fn new(seed: u64, round_trip: Duration) -> Self {
        let state = State {
            settings: FaultSettings::default(),
            plan: FaultPlan::new(seed),
            incarnation_end: SignalSource::new(),
            frozen: None,
            running: Some(SignalSource::new()),
            restart_at: None,
            network_delay: round_trip,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Returns the active faults.
    #[must_use]
    pub fn faults(&self) -> FaultSettings {
        self.lock().settings.clone()
    }

    /// Returns the active faults of the process.
    #[must_use]
    pub fn engine_faults(&self) -> EngineFaults {
        self.lock().settings.engine.clone()
    }

    /// Replaces the active faults.
    pub fn set(&self, settings: FaultSettings) {
        let mut state = self.lock();
        state.plan.set(settings.answers.clone());
        match (settings.engine.frozen, state.frozen.is_some()) {
            (true, false) => state.frozen = Some(SignalSource::new()),
            (false, true) => state.frozen = None,
            _ => {}
        }
        state.settings = settings;
    }

    /// Drops every connection and stops listening for the duration `down`.
    pub fn crash(&self, down: Duration) {
        let mut state = self.lock();
        state.restart_at = Some(Instant::now() + down);
        state.incarnation_end = SignalSource::new();
    }

    /// Stops the service permanently.
    pub fn stop(&self) {
        let mut state = self.lock();
        state.running = None;
        state.incarnation_end = SignalSource::new();
    }

    /// Whether the service was stopped permanently.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.lock().running.is_none()
    }

    /// Waits until the service is stopped permanently.
    pub async fn wait_until_stopped(&self) {
        let running = self.lock().running.as_ref().map(SignalSource::signal);
        if let Some(signal) = running {
            signal.wait().await;
        }
    }

    /// Returns a signal that triggers when the current incarnation ends.
    #[must_use]
    pub fn incarnation_end(&self) -> Signal {
        self.lock().incarnation_end.signal()
    }

    /// Waits until the crashed service restarts. Returns `false` if it was
    /// stopped permanently.
    pub async fn wait_for_restart(&self) -> bool {
        let restart_at = self.lock().restart_at.take();
        if let Some(at) = restart_at {
            Timer::at(at).await;
        }
        !self.is_stopped()
    }

    /// Waits while the service is frozen, then for the emulated network delay.
    pub async fn delay_request(&self) {
        loop {
            let frozen = self.lock().frozen.as_ref().map(SignalSource::signal);
            match frozen {
                Some(unfrozen) => unfrozen.wait().await,
                None => break,
            }
        }
        let delay = self.lock().network_delay;
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
    }

    /// Chooses the fault of the next request.
    #[must_use]
    pub fn choose_fault(&self) -> Option<AnswerFault> {
        self.lock().plan.choose()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
