//! Holds the origins of streams that gateways report, for the gateways at which callers
//! take those streams up. In memory only: gateways repeat their running streams.

use std::sync::{Mutex, MutexGuard, PoisonError};

use molespan_daemon::boot_clock::BootClock;
use molespan_routing::streams::{OriginReport, Origins};
use molespan_state::declared::StreamKey;
use molespan_types::{NodeId, RunOutcome};
use molespan_wire::Response;
use slog::{Logger, info};

use crate::notification;

/// The origins that this node holds.
#[derive(Debug)]
pub(super) struct HeldStreams {
    clock: BootClock,
    origins: Mutex<Origins>,
    logger: Logger,
}

impl HeldStreams {
    /// Creates a holder without any origin.
    pub fn new(logger: Logger) -> Self {
        Self {
            clock: BootClock::start(),
            origins: Mutex::default(),
            logger,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Origins> {
        self.origins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a gateway's reports.
    pub fn record(&self, from: NodeId, streams: &[u8]) {
        let reports = notification::decode_or_log::<Vec<OriginReport>>(
            &self.logger,
            from,
            "streams that began",
            streams,
        );
        let now = self.clock.now();
        let mut origins = self.lock();
        for report in reports.iter().flatten() {
            origins.record_report(report, now);
        }
    }

    /// Answers a search for the origin of a stream.
    pub fn find(&self, stream: &[u8]) -> Response {
        let Ok(stream) = molespan_state::decode::<StreamKey>(stream) else {
            return Response::Refused {
                outcome: RunOutcome::NotRun,
                message: "malformed key of a stream".to_owned(),
                retry_after_ms: 0,
            };
        };
        let known = self.lock().find(stream, self.clock.now());
        let age_ms = known.as_ref().map(|known| known.age.as_millis() as u64);
        info!(self.logger, "stream searched"; "stream" => %stream,
            "version" => known.as_ref().map(|known| known.origin.version.as_str()),
            "reported_ms_ago" => age_ms);
        Response::StreamOrigin {
            origin: known.map(|known| molespan_state::encode(&known.origin).into()),
            age_ms: age_ms.unwrap_or_default(),
        }
    }
}
