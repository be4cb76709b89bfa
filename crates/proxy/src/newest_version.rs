//! Confirms that the configuration of this gateway is the newest one.
//!
//! That a route is gone is a statement about the newest configuration. A gateway that has not
//! received that yet lacks routes that were added lately, and jobs of these were accepted by
//! others.

use std::time::Duration;

use molespan_types::Timestamp;
use slog::warn;

use crate::state::GatewayState;

/// Timeout of a query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// What the control group last answered, shared by all who ask meanwhile.
#[derive(Default)]
pub(crate) struct NewestVersion(async_lock::Mutex<Option<Known>>);

#[derive(Clone, Copy)]
struct Known {
    /// When the query began, or when it failed.
    at: Timestamp,
    /// The newest version; `None` if the control group did not answer.
    version: Option<u64>,
}

impl GatewayState {
    /// Whether no configuration newer than `version` had been acknowledged at some moment
    /// after `since`. An unanswered query counts as no.
    pub async fn is_newest_version(&self, version: u64, since: Timestamp) -> bool {
        let mut known = self.newest_version.0.lock().await;
        let answer = match known.filter(|known| known.at > since) {
            Some(known) => known,
            None => {
                let answer = self.query_newest_version().await;
                *known = Some(answer);
                answer
            }
        };
        answer.version.is_some_and(|newest| newest <= version)
    }

    async fn query_newest_version(&self) -> Known {
        let began = self.now();
        match self.control.declared_version(QUERY_TIMEOUT).await {
            Ok(version) => Known {
                at: began,
                version: Some(version),
            },
            Err(error) => {
                warn!(self.logger, "newest version not known"; "error" => %error);
                // Dated to its end, so that those who waited for it do not ask one by one.
                Known {
                    at: self.now(),
                    version: None,
                }
            }
        }
    }
}
