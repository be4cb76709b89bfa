//! Keeps the origins of streams that gateways report, for the gateways at which callers
//! take those streams up. Kept in memory only: gateways repeat their running streams.

use std::sync::{Mutex, MutexGuard, PoisonError};

use molespan_daemon::boot_clock::BootClock;
use molespan_routing::streams::{OriginReport, Origins};
use molespan_state::declared::{StreamKey, StreamOrigin};
use molespan_types::{NodeId, RunOutcome};
use molespan_wire::Response;
use slog::{Logger, info};

use crate::notification;

/// The origins that this node keeps.
#[derive(Debug)]
pub(super) struct StreamKeeper {
    clock: BootClock,
    origins: Mutex<Origins>,
    logger: Logger,
}

impl StreamKeeper {
    /// Creates a keeper without any origin.
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
        let origin = self.lock().find(stream).cloned();
        info!(self.logger, "stream searched"; "stream" => %stream,
            "version" => origin.as_ref().map(|origin| origin.version.as_str()));
        let encoded = |origin: StreamOrigin| molespan_state::encode(&origin).into();
        Response::StreamOrigin {
            origin: origin.map(encoded),
        }
    }
}
