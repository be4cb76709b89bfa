//! Checks that a leaving engine gets no new work once its bound has passed.

use std::time::Duration;

use super::Findings;
use crate::history::{DispatchRecord, History, LeavingRecord};
use crate::scenario::Scenario;
use crate::world::World;

/// Time after which every gateway should know: the maximum lag of the list, the
/// interval between two list requests, and a margin for lost messages.
const KNOWN_WITHIN: Duration = Duration::from_secs(4);
/// Time without faults that is required before a dispatch is judged regardless of
/// what its gateway was told.
const CALM_FOR: Duration = Duration::from_secs(5);

pub(super) fn check(world: &World, findings: &mut Findings) {
    let history = &world.context.history;
    for leaving in &history.leaving {
        for dispatch in &history.dispatches {
            let same =
                dispatch.backend == leaving.backend && dispatch.incarnation == leaving.incarnation;
            if !same || dispatch.at <= leaving.at + KNOWN_WITHIN {
                continue;
            }
            let was_notified = was_notified(history, leaving, dispatch);
            if was_notified || is_calm(&world.scenario, dispatch) {
                let message = format!(
                    "gateway {} sent new work to engine {}, which {}",
                    dispatch.gateway,
                    dispatch.backend,
                    if was_notified {
                        "it knew to be leaving"
                    } else {
                        "has been leaving for a long time"
                    }
                );
                findings.add(dispatch.at, message);
            }
        }
    }
}

/// Whether the gateway had been told that the engine is leaving.
fn was_notified(history: &History, leaving: &LeavingRecord, dispatch: &DispatchRecord) -> bool {
    history.leaving_notices.iter().any(|notice| {
        (notice.gateway, notice.gateway_incarnation)
            == (dispatch.gateway, dispatch.gateway_incarnation)
            && (notice.backend, notice.incarnation) == (leaving.backend, leaving.incarnation)
            && notice.at < dispatch.at
    })
}

/// Whether no fault was active shortly before the dispatch, except leaving machines
/// and stale lists.
fn is_calm(scenario: &Scenario, dispatch: &DispatchRecord) -> bool {
    scenario.faults.iter().flatten().all(|fault| {
        let harmless = matches!(
            fault.kind,
            crate::fault::FaultKind::Leave(_) | crate::fault::FaultKind::OldLists
        );
        harmless || fault.begins > dispatch.at || fault.ends + CALM_FOR < dispatch.at
    })
}
