//! A leaving engine gets nothing new after its bound.

use std::time::Duration;

use super::Findings;
use crate::history::{DispatchRecord, History, LeavingRecord};
use crate::scenario::Scenario;
use crate::world::World;

/// Time after which everyone should know: the greatest lag of the list, the
/// time between two questions for it, and some for lost messages.
const KNOWN_WITHIN: Duration = Duration::from_secs(4);
/// Time for which nothing may have gone wrong before a dispatch is judged
/// without regard to what its gateway heard.
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
            let knew = knew(history, leaving, dispatch);
            if knew || is_calm(&world.scenario, dispatch) {
                let message = format!(
                    "gateway {} sent new work to engine {}, which {}",
                    dispatch.gateway,
                    dispatch.backend,
                    if knew {
                        "it knew to be leaving"
                    } else {
                        "has been leaving for long"
                    }
                );
                findings.add(dispatch.at, message);
            }
        }
    }
}

/// Whether the gateway had heard that the engine is leaving.
fn knew(history: &History, leaving: &LeavingRecord, dispatch: &DispatchRecord) -> bool {
    history.told.iter().any(|told| {
        (told.gateway, told.gateway_life) == (dispatch.gateway, dispatch.gateway_life)
            && (told.backend, told.incarnation) == (leaving.backend, leaving.incarnation)
            && told.at < dispatch.at
    })
}

/// Whether no fault lay close before the dispatch, but for machines that
/// leave and lists that go back.
fn is_calm(scenario: &Scenario, dispatch: &DispatchRecord) -> bool {
    scenario.faults.iter().flatten().all(|fault| {
        let harmless = matches!(
            fault.kind,
            crate::fault::FaultKind::Leave(_) | crate::fault::FaultKind::OldLists
        );
        harmless || fault.begins > dispatch.at || fault.ends + CALM_FOR < dispatch.at
    })
}
