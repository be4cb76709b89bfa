//! Task that steps the core when a step is due; an idle engine uses no CPU time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_executor::Executor;
use async_io::Timer;
use futures_lite::FutureExt;

use super::{EngineServer, weights};

/// Drives the core until the engine is stopped.
pub async fn drive(
    server: Arc<EngineServer>,
    executor: Arc<Executor<'static>>,
    wake_receiver: Receiver<()>,
) {
    let controls = server.controls.clone();
    let driving = async {
        while let Some(next) = advance(&server, &executor) {
            wait(next, &wake_receiver).await;
        }
    };
    driving.or(controls.wait_until_stopped()).await;
}

/// Advances the core. Returns what to wait for next, or `None` if the engine was
/// stopped.
fn advance(server: &Arc<EngineServer>, executor: &Arc<Executor<'static>>) -> Option<Wait> {
    if server.controls.is_stopped() {
        return None;
    }
    let now = server.now();
    let mut state = server.lock();
    let needed = state.advance(now);
    let next = state.core.next_step_at();
    drop(state);
    for needed in needed {
        executor
            .spawn(weights::fetch(server.clone(), needed))
            .detach();
    }
    Some(match next {
        Some(at) => Wait::Until(server.clock_start + Duration::from_micros(at.0)),
        None => Wait::ForCall,
    })
}

/// Condition for the next call of [`advance`].
enum Wait {
    /// The given time, or an earlier call that changes the next step.
    Until(Instant),
    /// A call that changes the next step.
    ForCall,
}

async fn wait(next: Wait, wake_receiver: &Receiver<()>) {
    let called = async {
        // The channel is not closed while the server exists, since the server
        // owns the sender.
        let _ = wake_receiver.recv().await;
    };
    match next {
        Wait::Until(at) => {
            let due = async {
                Timer::at(at).await;
            };
            called.or(due).await;
        }
        Wait::ForCall => called.await,
    }
}
