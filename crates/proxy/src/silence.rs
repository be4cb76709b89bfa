//! Inactivity timeouts that are cheap while there is activity.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_io::Timer;

/// Future that completes after a period without activity. Activity only records the time;
/// the timer is reset when it fires, not at each event.
#[derive(Debug)]
pub(crate) struct InactivityTimer {
    limit: Option<Duration>,
    last_activity: Instant,
    timer: Option<Timer>,
}

impl InactivityTimer {
    /// Creates a timeout of `limit` that starts now; without a limit it never completes.
    pub fn new(limit: Option<Duration>) -> Self {
        Self {
            limit,
            last_activity: Instant::now(),
            timer: None,
        }
    }

    /// Records activity.
    pub fn reset(&mut self) {
        self.last_activity = Instant::now();
    }
}

impl Future for InactivityTimer {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let Some(limit) = self.limit else {
            return Poll::Pending;
        };
        loop {
            let ends = self.last_activity + limit;
            let timer = self.timer.get_or_insert_with(|| Timer::at(ends));
            if Pin::new(&mut *timer).poll(context).is_pending() {
                return Poll::Pending;
            }
            if Instant::now() >= ends {
                return Poll::Ready(());
            }
            timer.set_at(ends);
        }
    }
}
