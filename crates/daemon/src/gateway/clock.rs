//! The clock that decisions see.

use std::time::Duration;

use molespan_types::Timestamp;

use crate::boot_clock::BootClock;

/// Time of the clock at the gateway's start, so that a time shortly before it can be told.
const AHEAD: Duration = Duration::from_secs(1);

/// The clock that every decision core of this gateway sees. It goes on while the machine
/// is suspended: leases that it holds run out elsewhere meanwhile.
#[derive(Clone, Debug)]
pub(super) struct Clock {
    boot: BootClock,
    /// What `boot` said when this one began.
    began: Timestamp,
}

impl Clock {
    /// A clock that starts one second after zero.
    pub(super) fn new(boot: BootClock) -> Self {
        let began = boot.now();
        Self { boot, began }
    }

    /// The time now.
    pub(super) fn now(&self) -> Timestamp {
        let passed = self.boot.now().since(self.began);
        Timestamp::ZERO + AHEAD + passed
    }
}
