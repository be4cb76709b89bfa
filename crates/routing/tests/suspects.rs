//! Which requests are blamed when engines end, and which of them are guilty.

use std::time::Duration;

use molespan_routing::suspects::{Blame, SuspectTable, Verdict, engine_key};
use molespan_state::declared::{RequestDigest, RequestParts};
use molespan_types::Timestamp;
use proptest::prelude::*;

/// Time after which all gateways have reported what they had.
const SETTLED_MS: u64 = 500;

fn request(number: u64) -> RequestDigest {
    RequestDigest::of(&RequestParts {
        tenant: None,
        host: "h.example",
        method: "POST",
        target: "/x",
        body: &number.to_be_bytes(),
    })
}

fn now(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn engine(number: u64) -> u64 {
    engine_key(&format!("i-{number}"))
}

/// A table of requests that were running on engines when these ended: (request, engine,
/// time).
fn table(crashes: &[(u64, u64, u64)]) -> SuspectTable {
    let mut table = SuspectTable::default();
    for &(one, at, millis) in crashes {
        table.blame(request(one), engine(at), now(millis));
    }
    table
}

fn is_barred(table: &SuspectTable, one: u64, millis: u64) -> bool {
    matches!(
        table.verdict(&request(one), now(millis)),
        Verdict::Barred { .. }
    )
}

#[test]
fn three_crashes_not_shared_with_others_make_a_request_guilty_and_two_do_not() {
    let mut table = table(&[(1, 1, 0), (1, 2, 1_000)]);
    assert_eq!(
        table.verdict(&request(1), now(5_000)),
        Verdict::Suspect { crashes: 2 }
    );
    assert_eq!(table.blame(request(1), engine(3), now(6_000)), Some(3));
    assert_eq!(
        table.verdict(&request(1), now(6_000)),
        Verdict::Unsettled { until: now(6_400) }
    );
    assert!(is_barred(&table, 1, 6_000 + SETTLED_MS));
    assert_eq!(table.verdict(&request(2), now(9_000)), Verdict::Free);
}

#[test]
fn a_crash_counts_once_however_often_and_by_whomever_it_is_reported() {
    let mut table = table(&[(1, 1, 0)]);
    let reported = Blame {
        request: request(1),
        engine: engine(1),
        age_ms: 50,
        cleared: false,
    };
    for millis in [100, 200, 90_000] {
        assert!(!table.note(&[reported, reported], now(millis)));
    }
    assert_eq!(table.blame(request(1), engine(1), now(300)), None);
    assert_eq!(table.crashes(&request(1)), 1);
}

#[test]
fn a_complete_answer_clears_a_request_and_late_reports_do_not_blame_it_again() {
    let mut table = table(&[(1, 1, 0), (1, 2, 10)]);
    let before = table.blames_to_send(now(20));
    assert!(table.answered(&request(1)));
    assert!(!table.answered(&request(1)), "nothing was left to clear");
    table.note(&before, now(30));
    assert_eq!(table.verdict(&request(1), now(40)), Verdict::Free);
    // Others learn that it is cleared, including those that blame it themselves.
    let mut other = self::table(&[(1, 1, 0), (1, 2, 10), (1, 3, 20)]);
    other.note(&table.blames_to_send(now(50)), now(60));
    assert_eq!(other.crashes(&request(1)), 1);
}

#[test]
fn a_request_that_ran_beside_a_guilty_one_each_time_is_not_guilty() {
    // The same three engines ended with both requests: neither can be identified yet.
    let shared = [
        (1, 1, 0),
        (2, 1, 0),
        (1, 2, 500),
        (2, 2, 500),
        (1, 3, 900),
        (2, 3, 900),
    ];
    let mut table = table(&shared);
    assert!(!is_barred(&table, 1, 2_000));
    assert!(!is_barred(&table, 2, 2_000));
    // The next engine ends with the first request only.
    table.blame(request(1), engine(4), now(2_500));
    assert!(is_barred(&table, 1, 4_000));
    assert!(!is_barred(&table, 2, 4_000));
    table.bar(request(1), now(3_600_000));
    assert!(!is_barred(&table, 2, 5_000));
}

#[test]
fn the_fifth_crash_bars_a_request_whatever_else_may_explain_it() {
    let both: Vec<(u64, u64, u64)> = (1..=5)
        .flat_map(|at| [(1, at, at * 100), (2, at, at * 100)])
        .collect();
    let table = table(&both);
    assert!(is_barred(&table, 1, 2_000));
}

#[test]
fn three_crashes_are_no_proof_while_engines_end_for_other_reasons() {
    // A rack is lost, with one request on each engine.
    let mut crashes: Vec<(u64, u64, u64)> = (10..14).map(|one| (one, one, 100)).collect();
    crashes.extend([(1, 1, 200), (1, 2, 700), (1, 3, 900)]);
    let mut table = table(&crashes);
    assert!(!is_barred(&table, 1, 2_000));
    // A minute later the loss of the rack no longer counts.
    assert!(is_barred(&table, 1, 62_000));
    table.blame(request(1), engine(4), now(2_500));
    table.blame(request(1), engine(5), now(2_600));
    assert!(is_barred(&table, 1, 4_000));
}

#[test]
fn a_bar_of_the_control_group_holds_without_a_crash_known_here_until_it_ends_or_is_lifted() {
    let mut table = SuspectTable::default();
    assert!(table.is_empty());
    table.bar(request(1), now(10_000));
    assert!(!table.is_empty());
    assert!(is_barred(&table, 1, 9_999));
    assert!(!is_barred(&table, 1, 10_000));
    table.bar(request(1), now(90_000));
    for at in 1..=3 {
        table.blame(request(1), engine(at), now(11_000));
    }
    table.lift(&request(1));
    assert!(
        !is_barred(&table, 1, 20_000),
        "what was known before no longer counts"
    );
    for at in 4..=6 {
        table.blame(request(1), engine(at), now(21_000));
    }
    assert!(is_barred(&table, 1, 22_000), "new crashes count");
}

#[test]
fn gateways_that_observed_a_crash_ask_for_the_bar_before_the_others() {
    let own = table(&[(1, 1, 0), (1, 2, 100), (1, 3, 200)]);
    assert_eq!(own.to_bar(now(200 + SETTLED_MS)), [(request(1), 3)]);
    let mut sender = own.clone();
    let mut other = SuspectTable::default();
    other.note(&sender.blames_to_send(now(250)), now(260));
    assert!(other.has_candidates(now(300)));
    assert_eq!(other.to_bar(now(1_000)), []);
    assert_eq!(other.to_bar(now(3_300)), [(request(1), 3)]);
    other.bar(request(1), now(3_600_000));
    assert_eq!(other.to_bar(now(9_000)), []);
    assert!(!other.has_candidates(now(9_000)));
}

#[test]
fn a_batch_item_waits_after_its_second_crash() {
    let mut table = table(&[(1, 1, 0)]);
    assert_eq!(table.item_waits(&request(1), now(10)), None);
    table.blame(request(1), engine(2), now(100));
    assert_eq!(table.item_waits(&request(1), now(200)), Some(now(3_100)));
    assert_eq!(table.item_waits(&request(1), now(3_100)), None);
}

#[test]
fn new_blames_are_sent_three_times_and_the_others_in_rotation() {
    let mut table = SuspectTable::default();
    for one in 0..40 {
        table.blame(request(one), engine(one), now(0));
    }
    for _ in 0..3 {
        assert!(table.has_news());
        assert_eq!(table.blames_to_send(now(100)).len(), 40);
    }
    assert!(!table.has_news());
    assert_eq!(table.blames_to_send(now(200)), []);
    // Within some seconds a node that was cut off receives all of them.
    let mut other = SuspectTable::default();
    for second in 2..9 {
        other.note(
            &table.blames_to_send(now(second * 1_000)),
            now(second * 1_000),
        );
    }
    assert_eq!(other.len(), 40);
}

#[test]
fn a_flood_of_crashing_requests_evicts_those_with_the_fewest_crashes() {
    let mut table = table(&[(1, 1, 0), (1, 2, 10)]);
    for one in 100..5_100 {
        table.blame(request(one), engine(one), now(one));
    }
    assert_eq!(table.len(), 4_096);
    assert_eq!(table.crashes(&request(1)), 2);
    assert_eq!(table.crashes(&request(100)), 0, "the oldest of the others");
}

#[test]
fn crashes_are_forgotten_after_hours() {
    let mut table = table(&[(1, 1, 0)]);
    table.expire(now(0) + Duration::from_secs(2 * 3_600));
    assert_eq!(table.len(), 1);
    table.expire(now(0) + Duration::from_secs(3 * 3_600));
    assert!(table.is_empty());
}

#[test]
fn digests_distinguish_all_parts_of_a_request() {
    let parts = RequestParts {
        tenant: None,
        host: "h",
        method: "POST",
        target: "/ab",
        body: b"c",
    };
    let of = RequestDigest::of;
    let same = of(&parts);
    let others = [
        RequestParts {
            tenant: Some("h"),
            ..parts
        },
        RequestParts {
            tenant: Some(""),
            ..parts
        },
        RequestParts { host: "i", ..parts },
        RequestParts {
            method: "PUT",
            ..parts
        },
        RequestParts {
            target: "/a",
            body: b"bc",
            ..parts
        },
        RequestParts {
            body: b"d",
            ..parts
        },
    ];
    for other in others {
        assert_ne!(of(&other), same);
    }
    assert_eq!(RequestDigest::parse(&same.to_string()), Some(same));
    assert_eq!(RequestDigest::parse("xyz"), None);
    assert_eq!(format!("{same:?}"), same.to_string());
}

fn blames() -> impl Strategy<Value = Vec<Blame>> {
    let blame = (0..4_u64, 0..6_u64, any::<bool>()).prop_map(|(one, at, cleared)| Blame {
        request: request(one),
        engine: engine(at),
        age_ms: 0,
        cleared,
    });
    proptest::collection::vec(blame, 0..30)
}

proptest! {
    /// What a table knows depends on what was reported, not on the order or on
    /// repetitions.
    #[test]
    fn blames_may_arrive_in_any_order_and_twice(
        reported in blames(),
        shuffled in blames().prop_shuffle(),
    ) {
        let all: Vec<Blame> = reported.iter().chain(&shuffled).copied().collect();
        let mut one = SuspectTable::default();
        one.note(&all, now(0));
        let mut other = SuspectTable::default();
        for blame in all.iter().rev().chain(&all) {
            other.note(&[*blame], now(0));
        }
        for number in 0..4 {
            prop_assert_eq!(one.crashes(&request(number)), other.crashes(&request(number)));
            let at = now(10_000);
            prop_assert_eq!(one.verdict(&request(number), at), other.verdict(&request(number), at));
        }
    }
}
