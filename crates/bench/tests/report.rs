//! Figures, Markdown report and plots of a synthetic run.

use std::collections::BTreeMap;
use std::time::Duration;

use expect_test::expect;
use molespan_bench::run::account::{Account, Counts};
use molespan_bench::run::direct::{DirectFigures, PairFigures};
use molespan_bench::run::faults::FaultFigures;
use molespan_bench::run::figures::{ArmFigures, ProgressPoint, RunFigures};
use molespan_bench::run::load::batch::{ProgressSample, items_per_second};
use molespan_bench::run::measure::engines::EngineUse;
use molespan_bench::run::measure::latency::{Durations, Quantiles};
use molespan_bench::run::report;

fn quantiles(p99_ms: f64) -> Quantiles {
    Quantiles {
        count: 100,
        mean_ms: p99_ms / 2.0,
        p50_ms: p99_ms / 2.0,
        p95_ms: p99_ms * 0.75,
        p99_ms,
        max_ms: p99_ms * 2.0,
    }
}

fn arm(p99_ms: f64, items: f64) -> ArmFigures {
    let mut account = Account {
        online: Counts {
            offered: 100,
            completed: 99,
            refused: 1,
            ..Counts::default()
        },
        ..Account::default()
    };
    account.record_incident("online refused busy (not-run)");
    ArmFigures {
        measured_s: 16.0,
        first_token: quantiles(p99_ms),
        first_token_curve_ms: vec![p99_ms / 2.0, p99_ms],
        batch_items_per_second: items,
        batch_progress: vec![
            ProgressPoint {
                at_s: 0.0,
                completed: 0,
            },
            ProgressPoint {
                at_s: 16.0,
                completed: 1_600,
            },
        ],
        account,
        ..ArmFigures::default()
    }
}

fn figures() -> RunFigures {
    let mut online = arm(20.0, 0.0);
    online.engines = EngineUse {
        samples: 100,
        online_time: 0.4,
        online_slots: 0.1,
        ..EngineUse::default()
    };
    let mut faults = arm(30.0, 50.0);
    faults.faults = Some(FaultFigures {
        leaving_last_request_s: Some(2.5),
        leaving_requests: 12,
        gateway_stop_s: Some(3.25),
        gateway_stop_clean: true,
        problems: Vec::new(),
    });
    let direct = ArmFigures {
        direct: Some(DirectFigures {
            completion: PairFigures {
                direct: quantiles(4.0),
                through: quantiles(4.5),
                added_p50_ms: 0.25,
                added_p99_ms: 0.5,
            },
            busy_requests_per_second: 9_000.0,
            requests_per_core_second: 7_000.0,
            ..DirectFigures::default()
        }),
        ..ArmFigures::default()
    };
    let arms = [
        ("direct", direct),
        ("online", online),
        ("batch", arm(0.0, 100.0)),
        ("both", arm(21.0, 57.0)),
        ("round-robin", arm(40.0, 57.0)),
        ("faults", faults),
    ];
    RunFigures {
        profile: "archive".to_owned(),
        seed: 1,
        throughput_weight: 0.6,
        arms: BTreeMap::from(arms.map(|(name, arm)| (name.to_owned(), arm))),
    }
}

#[test]
fn the_summary_has_the_promised_figures() {
    let summary = serde_json::to_string(&figures().summary()).expect("a summary is plain data");
    expect![[r#"{"profile":"archive","interference":1.05,"idle_utilization":0.95,"idle_utilization_by_slots":0.6333333333333333,"score":0.9509516658320812,"knob_ends":{},"baselines":{"round-robin":{"interference":2.0,"idle_utilization":0.95,"idle_utilization_by_slots":0.6333333333333333,"score":0.7348897074968568}},"lost":0,"duplicated":0,"corrupted":0,"false_not_run":0,"refused":5,"unknown":0,"gateway_added_p99_ms":0.5,"requests_per_core_second":7000.0,"leaving_last_request_s":2.5,"gateway_stop_s":3.25,"timer_lateness_p99_ms":0.0}"#]].assert_eq(&summary);
}

#[test]
fn the_page_shows_every_table() {
    expect![[r#"
        # Profile archive

        Seed 1. Lateness of the bench's timers, largest p99 of an arm: 0.00 ms.

        ## Batch and online together

        | policies | interference | idle utilization | by slots | score |
        |---|---|---|---|---|
        | molespan | 1.050 | 0.950 | 0.633 | 0.951 |
        | round-robin | 2.000 | 0.950 | 0.633 | 0.735 |

        ## What befell requests and items

        | arm | class | offered | completed | refused | unknown | cancelled | lost | duplicated | corrupted | false not-run |
        |---|---|---|---|---|---|---|---|---|---|---|
        | batch | online | 100 | 99 | 1 | 0 | 0 | 0 | 0 | 0 | 0 |
        | both | online | 100 | 99 | 1 | 0 | 0 | 0 | 0 | 0 | 0 |
        | faults | online | 100 | 99 | 1 | 0 | 0 | 0 | 0 | 0 | 0 |
        | online | online | 100 | 99 | 1 | 0 | 0 | 0 | 0 | 0 | 0 |
        | round-robin | online | 100 | 99 | 1 | 0 | 0 | 0 | 0 | 0 | 0 |

        ## Times in milliseconds

        | arm | time | count | p50 | p95 | p99 | max |
        |---|---|---|---|---|---|---|
        | batch | first token | 100 | 0.00 | 0.00 | 0.00 | 0.00 |
        | both | first token | 100 | 10.50 | 15.75 | 21.00 | 42.00 |
        | faults | first token | 100 | 15.00 | 22.50 | 30.00 | 60.00 |
        | online | first token | 100 | 10.00 | 15.00 | 20.00 | 40.00 |
        | round-robin | first token | 100 | 20.00 | 30.00 | 40.00 | 80.00 |

        ## Batch work, engines and processors

        | arm | seconds | batch items/s | online time | online slots | batch slots | gateway cores | replica cores | load average | timers late p99 ms |
        |---|---|---|---|---|---|---|---|---|---|
        | batch | 16 | 100.0 | 0.000 | 0.000 | 0.000 | 0.00 | 0.00 | 0.0 of 0 | 0.00 |
        | both | 16 | 57.0 | 0.000 | 0.000 | 0.000 | 0.00 | 0.00 | 0.0 of 0 | 0.00 |
        | direct | 0 | 0.0 | 0.000 | 0.000 | 0.000 | 0.00 | 0.00 | 0.0 of 0 | 0.00 |
        | faults | 16 | 50.0 | 0.000 | 0.000 | 0.000 | 0.00 | 0.00 | 0.0 of 0 | 0.00 |
        | online | 16 | 0.0 | 0.400 | 0.100 | 0.000 | 0.00 | 0.00 | 0.0 of 0 | 0.00 |
        | round-robin | 16 | 57.0 | 0.000 | 0.000 | 0.000 | 0.00 | 0.00 | 0.0 of 0 | 0.00 |

        ## What a gateway adds

        | call | pairs | direct p50 | through p50 | added p50 | direct p99 | through p99 | added p99 |
        |---|---|---|---|---|---|---|---|
        | first token | 100 | 2.00 | 2.25 | 0.25 | 4.00 | 4.50 | 0.50 |
        | application call | 0 | 0.00 | 0.00 | 0.00 | 0.00 | 0.00 | 0.00 |

        Kept busy, one gateway carried 9000 application calls a second, 7000 in a second of its processor time.

        ## Faults

        - Last new request of the leaving engine: 2.500 s after the note (12 requests while watched).
        - Planned stop of a gateway: 3.250 s, ended without an error.

        ## Incidents

        - batch: 1 × online refused busy (not-run)
        - both: 1 × online refused busy (not-run)
        - faults: 1 × online refused busy (not-run)
        - online: 1 × online refused busy (not-run)
        - round-robin: 1 × online refused busy (not-run)
    "#]].assert_eq(&report::page::page(&figures()));
}

#[test]
fn a_report_is_written_with_its_plots() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    report::write(&figures(), folder.path()).expect("the report is written");
    let json = std::fs::read(folder.path().join("report.json")).expect("report.json");
    let json: serde_json::Value = serde_json::from_slice(&json).expect("report.json is JSON");
    let read: RunFigures = serde_json::from_value(json["run"].clone()).expect("figures");
    assert_eq!(read, figures());
    for plot in ["first-token.png", "batch-progress.png"] {
        let bytes = std::fs::read(folder.path().join(plot)).expect(plot);
        assert!(bytes.starts_with(b"\x89PNG"), "{plot}");
    }
}

#[test]
fn missing_references_give_no_ratio() {
    let mut figures = figures();
    figures.arms.remove("online");
    let summary = figures.summary();
    assert_eq!(summary.molespan.interference, None);
    assert_eq!(summary.molespan.idle_utilization, None);
}

#[test]
fn rates_are_interpolated_between_samples() {
    let sample = |millis, completed| ProgressSample {
        at: Duration::from_millis(millis),
        completed,
    };
    let samples = [sample(0, 0), sample(1_000, 100), sample(3_000, 500)];
    let rate = |from, until| {
        let (from, until) = (Duration::from_millis(from), Duration::from_millis(until));
        items_per_second(&samples, from, until)
    };
    assert_eq!(rate(1_000, 3_000), 200.0);
    assert_eq!(rate(500, 2_000), (300.0 - 50.0) / 1.5);
    assert_eq!(rate(2_000, 2_000), 0.0);
}

#[test]
fn quantiles_of_known_durations() {
    let values = (1..=1_000).map(Duration::from_millis);
    let quantiles = Durations::of(values).quantiles();
    assert_eq!(quantiles.count, 1_000);
    assert!((quantiles.p50_ms - 500.0).abs() < 1.0, "{quantiles:?}");
    assert!((quantiles.p99_ms - 990.0).abs() < 1.0, "{quantiles:?}");
    assert_eq!(Durations::of([]).quantiles(), Quantiles::default());
}
