//! Bounds on time that cost nothing while things go on.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_io::Timer;

/// Ready once nothing was heard for a while. Hearing something only notes the
/// time; the timer is set anew when it fires, not at each event.
#[derive(Debug)]
pub(crate) struct Silence {
    limit: Option<Duration>,
    heard: Instant,
    timer: Option<Timer>,
}

impl Silence {
    /// Silence for `limit` from now on; never without a limit.
    pub fn new(limit: Option<Duration>) -> Self {
        Self {
            limit,
            heard: Instant::now(),
            timer: None,
        }
    }

    /// Something was heard.
    pub fn heard(&mut self) {
        self.heard = Instant::now();
    }
}

impl Future for Silence {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let Some(limit) = self.limit else {
            return Poll::Pending;
        };
        loop {
            let ends = self.heard + limit;
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
