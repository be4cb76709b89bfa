//! Checks that every accepted item has one complete result that stays readable.

use molespan_state::job::{ItemOutcome, ItemRecord, JobPhase};

use super::Findings;
use crate::history::{JobRecord, PhaseRecord, Reading};
use crate::workload::JobPlan;
use crate::world::World;

pub(super) fn check(world: &World, findings: &mut Findings) {
    for record in world.context.history.jobs.values() {
        check_phases(record, findings);
        for reading in &record.readings {
            check_reading(&record.plan, reading, findings);
        }
        check_stable(record, findings);
    }
}

/// Returns a number that orders the phases of a job.
fn progress(phase: JobPhase) -> u8 {
    match phase {
        JobPhase::Submitting => 0,
        JobPhase::Running => 1,
        JobPhase::Cancelling => 2,
        JobPhase::Cancelled | JobPhase::Completed => 3,
    }
}

/// Checks that a job never reverts to an earlier phase. Two reports are comparable
/// only if one was requested after the other was answered.
fn check_phases(record: &JobRecord, findings: &mut Findings) {
    let mut furthest: Option<&PhaseRecord> = None;
    let mut by_answer: Vec<&PhaseRecord> = record.phases.iter().collect();
    by_answer.sort_by_key(|phase| phase.answered);
    let mut by_sending: Vec<&PhaseRecord> = record.phases.iter().collect();
    by_sending.sort_by_key(|phase| phase.sent);
    let mut answered = by_answer.into_iter().peekable();
    for later in by_sending {
        while let Some(earlier) = answered.next_if(|one| one.answered <= later.sent) {
            let further = furthest.is_none_or(|one| progress(one.phase) < progress(earlier.phase));
            if further {
                furthest = Some(earlier);
            }
        }
        let Some(earlier) = furthest else {
            continue;
        };
        let both_final = progress(earlier.phase) == 3 && earlier.phase != later.phase;
        if progress(later.phase) < progress(earlier.phase) || both_final {
            let message = format!(
                "{} went back from {} to {}",
                record.plan.key, earlier.phase, later.phase
            );
            findings.add(later.answered, message);
        }
    }
}

fn check_reading(plan: &JobPlan, reading: &Reading, findings: &mut Findings) {
    for item in 0..plan.items {
        let found = reading.results.iter().filter(|one| one.item.0 == item);
        let found: Vec<&ItemRecord> = found.collect();
        if found.len() != 1 {
            let message = format!("{} item {item} has {} results", plan.key, found.len());
            findings.add(reading.at, message);
            return;
        }
        if let Some(problem) = problem(plan, item, found[0]) {
            findings.add(reading.at, format!("{} item {item} {problem}", plan.key));
            return;
        }
    }
}

fn problem(plan: &JobPlan, item: u32, record: &ItemRecord) -> Option<&'static str> {
    match record.outcome {
        ItemOutcome::Completed if *record.payload != *plan.answer(item).into_bytes() => {
            Some("has an answer other than its own")
        }
        ItemOutcome::Completed => None,
        ItemOutcome::Unknown if !plan.repeatable => None,
        ItemOutcome::Unknown => Some("may run again but was left unknown"),
        ItemOutcome::Failed => Some("was refused permanently"),
    }
}

/// Checks that the results of a job are the same in every reading.
fn check_stable(record: &JobRecord, findings: &mut Findings) {
    for pair in record.readings.windows(2) {
        if pair[0].results != pair[1].results {
            let message = format!(
                "{} has results that differ from those read before",
                record.plan.key
            );
            findings.add(pair[1].at, message);
        }
    }
}
