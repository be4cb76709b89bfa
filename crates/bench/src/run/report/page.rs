//! Markdown report.

use std::fmt::Write;

use crate::run::account::{Account, Counts};
use crate::run::direct::{DirectFigures, PairFigures};
use crate::run::faults::FaultFigures;
use crate::run::figures::{ArmFigures, RunFigures, RunSummary, Sharing};
use crate::run::measure::latency::Quantiles;

/// Placeholder for a missing figure.
const MISSING: &str = "–";
/// Timer lateness in milliseconds above which the machine is reported as busy.
const BUSY_LATENESS_MS: f64 = 3.0;

/// Renders the report of a run.
#[must_use]
pub fn page(figures: &RunFigures) -> String {
    let summary = figures.summary();
    let mut page = String::new();
    heading(&mut page, figures, &summary);
    sharing_table(&mut page, figures, &summary);
    counts_table(&mut page, figures);
    latency_table(&mut page, figures);
    use_table(&mut page, figures);
    let arms = figures.arms.values();
    for arm in arms {
        if let Some(direct) = &arm.direct {
            direct_table(&mut page, direct);
        }
        if let Some(faults) = &arm.faults {
            fault_list(&mut page, faults);
        }
    }
    incident_list(&mut page, figures);
    page
}

// Writing to a string cannot fail, so errors are ignored.

fn line(page: &mut String, text: impl AsRef<str>) {
    let _ = writeln!(page, "{}", text.as_ref());
}

fn heading(page: &mut String, figures: &RunFigures, summary: &RunSummary) {
    line(page, format!("# Profile {}", figures.profile));
    line(page, "");
    line(
        page,
        format!(
            "Seed {}. Lateness of the bench's timers, largest p99 of an arm: {:.2} ms{}.",
            figures.seed,
            summary.timer_lateness_p99_ms,
            busy_note(summary.timer_lateness_p99_ms),
        ),
    );
    line(page, "");
}

fn busy_note(lateness_ms: f64) -> &'static str {
    match lateness_ms > BUSY_LATENESS_MS {
        true => " (the machine was busy: read times with care)",
        false => "",
    }
}

fn sharing_table(page: &mut String, figures: &RunFigures, summary: &RunSummary) {
    line(page, "## Batch and online together");
    line(page, "");
    line(
        page,
        "| policies | interference | idle utilization | by slots | score |",
    );
    line(page, "|---|---|---|---|---|");
    if figures.arms.contains_key("both") {
        sharing_row(page, "molespan", &summary.molespan);
    }
    for (name, sharing) in summary.knob_ends.iter().chain(&summary.baselines) {
        sharing_row(page, name, sharing);
    }
    line(page, "");
}

fn sharing_row(page: &mut String, name: &str, sharing: &Sharing) {
    let cells = [
        sharing.interference,
        sharing.idle_utilization,
        sharing.idle_utilization_by_slots,
        sharing.score,
    ];
    let cells = cells.map(number).join(" | ");
    line(page, format!("| {name} | {cells} |"));
}

fn counts_table(page: &mut String, figures: &RunFigures) {
    line(page, "## What befell requests and items");
    line(page, "");
    line(
        page,
        "| arm | class | offered | completed | refused | unknown | cancelled | lost | duplicated | corrupted | false not-run |",
    );
    line(page, "|---|---|---|---|---|---|---|---|---|---|---|");
    for (name, arm) in &figures.arms {
        let Account {
            online,
            application,
            batch,
            ..
        } = &arm.account;
        let classes = [
            ("online", online),
            ("application", application),
            ("batch", batch),
        ];
        for (class, counts) in classes {
            if counts.offered > 0 {
                counts_row(page, name, class, counts);
            }
        }
    }
    line(page, "");
}

fn counts_row(page: &mut String, arm: &str, class: &str, counts: &Counts) {
    let cells = [
        counts.offered,
        counts.completed,
        counts.refused,
        counts.unknown,
        counts.cancelled,
        counts.lost,
        counts.duplicated,
        counts.corrupted,
        counts.false_not_run,
    ];
    let cells = cells.map(|count| count.to_string()).join(" | ");
    line(page, format!("| {arm} | {class} | {cells} |"));
}

fn latency_table(page: &mut String, figures: &RunFigures) {
    line(page, "## Times in milliseconds");
    line(page, "");
    line(page, "| arm | time | count | p50 | p95 | p99 | max |");
    line(page, "|---|---|---|---|---|---|---|");
    for (name, arm) in &figures.arms {
        let times = [
            ("first token", &arm.first_token),
            ("whole online answer", &arm.online_whole),
            ("between tokens", &arm.token_gap),
            ("application call", &arm.application_whole),
        ];
        for (what, quantiles) in times {
            if quantiles.count > 0 {
                quantiles_row(page, name, what, quantiles);
            }
        }
    }
    line(page, "");
}

fn quantiles_row(page: &mut String, arm: &str, what: &str, quantiles: &Quantiles) {
    let Quantiles {
        count,
        p50_ms,
        p95_ms,
        p99_ms,
        max_ms,
        ..
    } = quantiles;
    line(
        page,
        format!(
            "| {arm} | {what} | {count} | {p50_ms:.2} | {p95_ms:.2} | {p99_ms:.2} | {max_ms:.2} |"
        ),
    );
}

fn use_table(page: &mut String, figures: &RunFigures) {
    line(page, "## Batch work, engines and processors");
    line(page, "");
    line(
        page,
        "| arm | seconds | batch items/s | online time | online slots | batch slots | gateway cores | replica cores | load average | timers late p99 ms |",
    );
    line(page, "|---|---|---|---|---|---|---|---|---|---|");
    for (name, arm) in &figures.arms {
        use_row(page, name, arm);
    }
    line(page, "");
}

fn use_row(page: &mut String, name: &str, arm: &ArmFigures) {
    let engines = &arm.engines;
    line(
        page,
        format!(
            "| {name} | {:.0} | {:.1} | {:.3} | {:.3} | {:.3} | {:.2} | {:.2} | {:.1} of {} | {:.2} |",
            arm.measured_s,
            arm.batch_items_per_second,
            engines.online_time,
            engines.online_slots,
            engines.batch_slots,
            arm.gateway_cores,
            arm.replica_cores,
            arm.machine.load_average,
            arm.machine.processors,
            arm.machine.timer_lateness.p99_ms,
        ),
    );
}

fn direct_table(page: &mut String, direct: &DirectFigures) {
    line(page, "## What a gateway adds");
    line(page, "");
    line(
        page,
        "| call | pairs | direct p50 | through p50 | added p50 | direct p99 | through p99 | added p99 |",
    );
    line(page, "|---|---|---|---|---|---|---|---|");
    pair_row(page, "first token", &direct.completion);
    pair_row(page, "application call", &direct.application);
    line(page, "");
    line(
        page,
        format!(
            "Kept busy, one gateway carried {:.0} application calls a second, {:.0} in a second of its processor time.",
            direct.busy_requests_per_second, direct.requests_per_core_second
        ),
    );
    line(page, "");
}

fn pair_row(page: &mut String, what: &str, pair: &PairFigures) {
    let PairFigures {
        direct,
        through,
        added_p50_ms,
        added_p99_ms,
    } = pair;
    line(
        page,
        format!(
            "| {what} | {} | {:.2} | {:.2} | {added_p50_ms:.2} | {:.2} | {:.2} | {added_p99_ms:.2} |",
            through.count, direct.p50_ms, through.p50_ms, direct.p99_ms, through.p99_ms,
        ),
    );
}

fn fault_list(page: &mut String, faults: &FaultFigures) {
    line(page, "## Faults");
    line(page, "");
    line(
        page,
        format!(
            "- Last new request of the leaving engine: {} s after the note ({} requests while watched).",
            number(faults.leaving_last_request_s),
            faults.leaving_requests
        ),
    );
    line(
        page,
        format!(
            "- Planned stop of a gateway: {} s, {}.",
            number(faults.gateway_stop_s),
            match faults.gateway_stop_clean {
                true => "ended without an error",
                false => "did not end without an error",
            }
        ),
    );
    for problem in &faults.problems {
        line(page, format!("- Not made: {problem}."));
    }
    line(page, "");
}

fn incident_list(page: &mut String, figures: &RunFigures) {
    line(page, "## Incidents");
    line(page, "");
    let mut any = false;
    for (name, arm) in &figures.arms {
        for (incident, count) in &arm.account.incidents {
            any = true;
            line(page, format!("- {name}: {count} × {incident}"));
        }
        if arm.account.forgotten_runs > 0 {
            any = true;
            let forgotten = arm.account.forgotten_runs;
            line(page, format!("- {name}: back ends forgot {forgotten} runs"));
        }
    }
    if !any {
        line(page, "None.");
    }
}

fn number(value: Option<f64>) -> String {
    value.map_or_else(|| MISSING.to_owned(), |value| format!("{value:.3}"))
}
