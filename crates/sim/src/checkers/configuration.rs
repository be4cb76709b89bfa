//! Checks that the configuration never reverts, stays within its currency bound and
//! is never lost.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_state::control::ConfirmReply;
use molespan_types::{ConfigVersion, Timestamp};

use super::Findings;
use crate::history::ConfirmRecord;
use crate::scenario::CURRENCY_BOUND;
use crate::world::World;

/// Allowed lag of a gateway that admits work: the currency bound, as measured by
/// the slowest clock.
const LAG: Duration = CURRENCY_BOUND
    .saturating_mul(5)
    .checked_div(4)
    .expect("not zero");

/// Checks that the version in force never decreases on a gateway, and that it lags
/// by no more than the bound when work is admitted.
pub(super) fn check(world: &World, findings: &mut Findings) {
    let history = &world.context.history;
    let mut latest: BTreeMap<u32, ConfigVersion> = BTreeMap::new();
    for record in &history.in_force {
        let before = latest.insert(record.gateway, record.version);
        if let Some(before) = before.filter(|before| *before > record.version) {
            let message = format!(
                "gateway {} went back from version {before} to {}",
                record.gateway, record.version
            );
            findings.add(record.at, message);
        }
    }
    let confirmed = confirmed(&history.confirms);
    for admission in &history.admissions {
        let at = Timestamp(admission.at.0.saturating_sub(LAG.as_micros() as u64));
        let due = newest(&confirmed, at);
        if admission.version < due {
            let message = format!(
                "gateway {} admitted work under version {} long after {due} was confirmed",
                admission.gateway, admission.version
            );
            findings.add(admission.at, message);
        }
    }
}

/// Returns the confirmed versions and when their operators received the
/// confirmation.
fn confirmed(confirms: &[ConfirmRecord]) -> Vec<(Timestamp, ConfigVersion)> {
    let known = confirms.iter().filter_map(|record| match record.reply {
        ConfirmReply::Confirmed { version } => Some((record.answered, version)),
        _ => None,
    });
    let mut known: Vec<(Timestamp, ConfigVersion)> = known.collect();
    known.sort();
    known
}

/// Returns the newest version that was known to be confirmed before `time`.
fn newest(confirmed: &[(Timestamp, ConfigVersion)], time: Timestamp) -> ConfigVersion {
    let earlier = confirmed.iter().take_while(|(at, _)| *at < time);
    let versions = earlier.map(|(_, version)| *version);
    versions.max().unwrap_or_default()
}

/// Checks that confirmed versions stay confirmed and that every later read observes
/// them.
pub(super) fn check_committed(world: &World, findings: &mut Findings) {
    let history = &world.context.history;
    check_winners(&history.confirms, findings);
    let confirmed = confirmed(&history.confirms);
    let mut reads: Vec<_> = history
        .reads
        .iter()
        .map(|read| (read.answered, read.version))
        .collect();
    reads.sort();
    for read in &history.reads {
        let due = newest(&confirmed, read.sent).max(newest(&reads, read.sent));
        if read.version < due {
            let message = format!(
                "a linearizable read saw version {} after {due} was known",
                read.version
            );
            findings.add(read.answered, message);
        }
    }
}

/// Checks that each intent number has one winner, whose answer never changes.
fn check_winners(confirms: &[ConfirmRecord], findings: &mut Findings) {
    let mut winners: BTreeMap<u64, (&str, ConfigVersion)> = BTreeMap::new();
    let mut numbers: BTreeMap<ConfigVersion, u64> = BTreeMap::new();
    for record in confirms {
        let known = winners.get(&record.number).copied();
        match &record.reply {
            ConfirmReply::Confirmed { version } => {
                let own = (record.operator.as_str(), *version);
                let first = *winners.entry(record.number).or_insert(own);
                if first != own {
                    let message = format!(
                        "intent {} was confirmed for {} as version {} and for {} as {}",
                        record.number, first.0, first.1, own.0, own.1
                    );
                    findings.add(record.answered, message);
                }
                let number = *numbers.entry(*version).or_insert(record.number);
                if number != record.number {
                    let message = format!(
                        "version {version} came from intents {number} and {}",
                        record.number
                    );
                    findings.add(record.answered, message);
                }
            }
            other => {
                let won = known.is_some_and(|(winner, _)| winner == record.operator);
                if won {
                    let message = format!(
                        "intent {} of {} was confirmed once, and then {other:?}",
                        record.number, record.operator
                    );
                    findings.add(record.answered, message);
                }
            }
        }
    }
}
