//! The gateway's clock.

use std::time::Duration;

use molespan_types::Timestamp;

use crate::boot_clock::BootClock;

/// Clock value at the gateway's start, so that earlier times can be represented.
const START_TIME: Duration = Duration::from_secs(1);

/// The clock of every decision core of this gateway. It keeps counting while the machine
/// is suspended, because leases held by this node expire elsewhere in the meantime.
#[derive(Clone, Debug)]
pub(super) struct Clock {
    boot: BootClock,
    /// Value of `boot` when this clock was created.
    started: Timestamp,
}

impl Clock {
    /// Creates a clock that starts at one second.
    pub(super) fn new(boot: BootClock) -> Self {
        let started = boot.now();
        Self { boot, started }
    }

    /// Returns the current time.
    pub(super) fn now(&self) -> Timestamp {
        let passed = self.boot.now().since(self.started);
        Timestamp::ZERO + START_TIME + passed
    }
}
