//! Which requests are blamed when engines end, and which of them are guilty.

use std::time::Duration;

use minicbor::{Decode, Encode};
use molespan_routing::suspects::{
    Blame, FeatureDigest, Features, Progress, Shared, SharedBlame, SuspectTable, Verdict,
    engine_key,
};
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
        table.verdict(request(one), now(millis)),
        Verdict::Barred { .. }
    )
}

#[test]
fn three_crashes_not_shared_with_others_make_a_request_guilty_and_two_do_not() {
    let mut table = table(&[(1, 1, 0), (1, 2, 1_000)]);
    assert_eq!(
        table.verdict(request(1), now(5_000)),
        Verdict::Suspect { crashes: 2 }
    );
    assert_eq!(table.blame(request(1), engine(3), now(6_000)), Some(3));
    assert_eq!(
        table.verdict(request(1), now(6_000)),
        Verdict::Unsettled { until: now(6_400) }
    );
    assert!(is_barred(&table, 1, 6_000 + SETTLED_MS));
    assert_eq!(table.verdict(request(2), now(9_000)), Verdict::Free);
}

#[test]
fn a_crash_counts_once_however_often_and_by_whomever_it_is_reported() {
    let mut table = table(&[(1, 1, 0)]);
    let reported = Blame {
        request: request(1),
        engine: engine(1),
        age_ms: 50,
        cleared: false,
        shared: None,
        progress: None,
    };
    for millis in [100, 200, 90_000] {
        assert!(!table.note(&[reported.clone(), reported.clone()], now(millis)));
    }
    assert_eq!(table.blame(request(1), engine(1), now(300)), None);
    assert_eq!(table.crashes(&request(1)), 1);
}

#[test]
fn a_complete_answer_clears_a_request_and_late_reports_do_not_blame_it_again() {
    let mut table = table(&[(1, 1, 0), (1, 2, 10)]);
    let before = table.blames_to_send(now(20));
    assert!(table.answered(request(1), now(25)));
    assert!(
        !table.answered(request(1), now(25)),
        "nothing was left to clear"
    );
    table.note(&before, now(30));
    assert_eq!(table.verdict(request(1), now(40)), Verdict::Free);
    // Others learn that it is cleared, including those that blame it themselves.
    let mut other = self::table(&[(1, 1, 0), (1, 2, 10), (1, 3, 20)]);
    other.note(&table.blames_to_send(now(50)), now(60));
    assert_eq!(other.crashes(&request(1)), 1);
}

/// A table of engines that ended one after another under one request, whose answer had got so
/// far: (number of the last event before the run, number of events in the run), with an event
/// each 50 ms.
fn table_of_runs(runs: &[(u64, u64)]) -> SuspectTable {
    let mut table = SuspectTable::default();
    for (number, &(resumed_after, events)) in (1_u64..).zip(runs) {
        let progress = Progress {
            resumed_after,
            events,
            written_ms: events.saturating_sub(1) * 50,
        };
        let at = now(number * 1_000);
        table.blame_within(request(1), engine(number), progress, at);
    }
    table
}

// Guards against giving up a sound item that goes on from engine to engine as each one ends.
#[test]
fn a_request_that_gets_further_at_each_engine_that_ends_collects_no_crashes() {
    let runs = [(0, 31), (31, 28), (59, 3), (62, 40), (102, 25)];
    let mut table = table_of_runs(&runs);
    assert_eq!(table.crashes(&request(1)), 1);
    assert!(!is_barred(&table, 1, 9_000));
    // Others learn of it, in whatever order the reports arrive.
    let mut blames = table.blames_to_send(now(9_000));
    blames.reverse();
    let mut other = SuspectTable::default();
    other.note(&blames, now(9_100));
    assert_eq!(other.crashes(&request(1)), 1);
    assert!(!is_barred(&other, 1, 99_000));
}

// Guards against taking the first events of each run for progress: what ends engines soon after
// they begin would never be barred.
#[test]
fn a_request_that_ends_engines_as_they_begin_is_guilty_wherever_it_goes_on() {
    for runs in [
        [(0, 2), (2, 2), (4, 1)],
        [(0, 1), (1, 9), (10, 14)],
        [(0, 50), (50, 0), (50, 1)],
        // From the beginning each time, and then always at about the same event.
        [(0, 50), (0, 51), (0, 60)],
    ] {
        assert!(is_barred(&table_of_runs(&runs), 1, 9_000), "{runs:?}");
    }
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

fn part(name: &str) -> FeatureDigest {
    FeatureDigest::of_prompt_part(name)
}

/// A request with these shared parts in its prompt.
fn with_parts(number: u64, parts: &[&str]) -> Features {
    Features {
        request: request(number),
        shared: Shared {
            tenant: None,
            parts: parts.iter().copied().map(part).collect(),
            service: None,
        },
    }
}

fn of_tenant(tenant: &str, features: Features) -> Features {
    let tenant = Some(FeatureDigest::of_tenant(tenant));
    Features {
        shared: Shared {
            tenant,
            ..features.shared
        },
        ..features
    }
}

fn is_kept_off(table: &SuspectTable, features: &Features, millis: u64) -> bool {
    matches!(table.verdict(features, now(millis)), Verdict::Barred { .. })
}

/// A table of engines that ended 0.2 s apart under different requests, one each, with these
/// parts; another request was answered since.
fn table_of_parts<P: AsRef<[&'static str]>>(requests: &[P]) -> SuspectTable {
    let mut table = SuspectTable::default();
    for (number, parts) in (1_u64..).zip(requests) {
        let features = with_parts(number, parts.as_ref());
        table.blame(features, engine(number), now(number * 200));
    }
    table.answered(request(0), now(requests.len() as u64 * 200 + 50));
    table
}

#[test]
fn three_crashes_under_one_part_bar_requests_with_it_and_no_others() {
    let table = table_of_parts(&[["a", "bad"], ["b", "bad"], ["c", "bad"]]);
    assert!(is_kept_off(&table, &with_parts(9, &["d", "bad"]), 1_000));
    assert!(!is_kept_off(&table, &with_parts(9, &["a", "sound"]), 1_000));
    assert!(!is_kept_off(&table, &with_parts(9, &[]), 1_000));
    assert_eq!(table.to_bar(now(2_000)), [(part("bad"), 3)]);
}

#[test]
fn parts_that_cannot_be_told_apart_bar_only_requests_with_all_of_them() {
    let mut table = table_of_parts(&[["first", "bad"]; 3]);
    assert!(is_kept_off(
        &table,
        &with_parts(9, &["first", "bad"]),
        1_000
    ));
    for some in [&["first", "sound"], &["other", "bad"]] {
        assert!(
            !is_kept_off(&table, &with_parts(9, some), 1_000),
            "{some:?}"
        );
    }
    // A sound request completes: the other part is left.
    table.answered(with_parts(9, &["first", "sound"]), now(1_000));
    assert!(is_kept_off(
        &table,
        &with_parts(9, &["other", "bad"]),
        1_000
    ));
    // Or others with part of them crash as well.
    let mut table = table_of_parts(&[["first", "bad"]; 3]);
    for (number, first) in (4..).zip(["second", "third", "fourth"]) {
        let features = with_parts(number, &[first, "bad"]);
        table.blame(features, engine(number), now(number * 200));
    }
    assert!(is_kept_off(
        &table,
        &with_parts(9, &["fifth", "bad"]),
        1_700
    ));
}

#[test]
fn a_part_that_completes_is_cleared_of_earlier_crashes_and_blamed_for_later_ones() {
    let mut table = table_of_parts(&[["a", "turns"], ["b", "turns"], ["c", "turns"]]);
    let mut other = table.clone();
    let completed = with_parts(9, &["d", "turns"]);
    assert!(table.answered(&completed, now(700)));
    assert!(!is_kept_off(&table, &completed, 1_000));
    // Others hear of it, and reports that were under way do not blame it again.
    other.note(&table.blames_to_send(now(710)), now(750));
    assert!(!is_kept_off(&other, &completed, 2_000));
    let late = Blame {
        request: request(5),
        engine: engine(5),
        age_ms: 400,
        cleared: false,
        shared: Some(with_parts(5, &["e", "turns"]).shared.into()),
        progress: None,
    };
    table.note(&[late], now(800));
    assert!(!is_kept_off(&table, &completed, 2_000));
    // The crashes that nothing explains any more ask for more proof.
    for (number, first) in (11..).zip(["f", "g", "h", "i", "j"]) {
        let features = with_parts(number, &[first, "turns"]);
        table.blame(features, engine(number), now(1_000));
    }
    table.answered(request(0), now(1_100));
    assert!(is_kept_off(&table, &completed, 2_200));
}

#[test]
fn engines_that_end_together_prove_nothing_until_others_are_served_for_a_while() {
    let mut table = SuspectTable::default();
    for at in 1..=6 {
        let features = with_parts(at, &["popular"]);
        table.blame(features, engine(at), now(at));
    }
    let popular = with_parts(9, &["popular"]);
    assert!(!is_kept_off(&table, &popular, 60_000), "no engine is back");
    table.answered(request(0), now(60_000));
    assert!(!is_kept_off(&table, &popular, 60_900));
    assert_eq!(table.to_bar(now(60_900)), []);
    let mut served = table.clone();
    served.answered(&popular, now(60_950));
    assert!(!is_kept_off(&served, &popular, 70_000));
    assert!(is_kept_off(&table, &popular, 61_000));
}

// Guards against a kind of request that is refused since all engines of its service ended
// together, while another service went on answering.
#[test]
fn answers_of_another_service_prove_nothing_about_engines_that_end_together() {
    let of_service = |name: &str, features: Features| Features {
        shared: Shared {
            service: Some(FeatureDigest::of_service(name)),
            ..features.shared
        },
        ..features
    };
    let mut table = SuspectTable::default();
    for at in 1..=6 {
        let features = of_service("llm", with_parts(at, &["popular"]));
        table.blame(features, engine(at), now(at));
    }
    let popular = of_service("llm", with_parts(9, &["popular"]));
    for millis in (100..5_000).step_by(100) {
        table.answered(of_service("app", with_parts(20, &[])), now(millis));
        assert!(!is_kept_off(&table, &popular, millis + 50), "{millis}");
        assert_eq!(table.to_bar(now(millis + 50)), []);
    }
    // Once engines of its own service answer others for a while, and none with the part, it is
    // the cause.
    table.answered(of_service("llm", with_parts(21, &["other"])), now(5_000));
    assert!(!is_kept_off(&table, &popular, 5_900));
    assert!(is_kept_off(&table, &popular, 6_000));
}

#[test]
fn repeats_of_one_request_bar_none_of_its_parts() {
    let mut table = SuspectTable::default();
    for at in 1..=3 {
        table.blame(with_parts(1, &["a", "b"]), engine(at), now(at));
    }
    assert!(is_kept_off(&table, &with_parts(1, &["a", "b"]), 2_000));
    assert!(!is_kept_off(&table, &with_parts(2, &["a", "b"]), 2_000));
    assert_eq!(table.to_bar(now(2_000)), [(request(1), 3)]);
}

#[test]
fn a_request_that_was_at_the_crashes_of_a_part_is_not_guilty() {
    let mut table = table_of_parts(&[["a", "bad"], ["b", "bad"], ["c", "bad"]]);
    for at in 1..=3 {
        table.blame(with_parts(7, &["x", "y"]), engine(at), now(at * 200));
    }
    assert!(!is_kept_off(&table, &with_parts(7, &["x", "y"]), 1_000));
    table.blame(with_parts(4, &["d", "bad"]), engine(4), now(800));
    assert!(is_kept_off(&table, &with_parts(9, &["e", "bad"]), 1_300));
    assert!(!is_kept_off(&table, &with_parts(7, &["x", "y"]), 1_300));
}

#[test]
fn a_tenant_bars_no_part_for_others() {
    let mut table = SuspectTable::default();
    for at in 1..=4 {
        let crashing = of_tenant("one", with_parts(at, &["shared"]));
        table.blame(crashing, engine(at), now(at * 200));
    }
    table.answered(request(0), now(850));
    let of_one = of_tenant("one", with_parts(9, &["shared"]));
    let of_other = of_tenant("other", with_parts(9, &["shared"]));
    assert!(is_kept_off(&table, &of_one, 1_300));
    assert!(!is_kept_off(&table, &of_other, 1_300));
    let bars = table.to_bar(now(2_000));
    let mut elsewhere = SuspectTable::default();
    for (barred, _) in &bars {
        elsewhere.bar(*barred, now(3_600_000));
    }
    assert!(is_kept_off(&elsewhere, &of_one, 3_000));
    assert!(!is_kept_off(&elsewhere, &of_other, 3_000));
    // Engines end under the part in requests of another tenant too.
    table.blame(
        of_tenant("other", with_parts(5, &["shared"])),
        engine(5),
        now(3_000),
    );
    assert!(is_kept_off(&table, &of_other, 4_000));
    // An operator lifts the bar.
    for (barred, _) in &bars {
        table.bar(*barred, now(3_600_000));
        table.lift(barred);
    }
    assert!(!is_kept_off(&table, &of_one, 5_000));
}

#[test]
fn requests_with_a_suspected_part_are_tried_one_at_a_time() {
    let mut table = table_of_parts(&[["a", "bad"]]);
    let features = with_parts(9, &["b", "bad"]);
    assert_eq!(table.trial(&features, now(10)), None);
    table.blame(with_parts(2, &["c", "bad"]), engine(2), now(20));
    assert_eq!(table.trial(&features, now(30)), Some(part("bad")));
    assert_eq!(table.trial(&with_parts(9, &["a"]), now(30)), None);
}

#[test]
fn a_prompt_of_many_parts_costs_no_more_than_one_of_some() {
    let prompt: Vec<_> = (0..10_000)
        .map(|number| molespan_routing::dispatch::PromptPart {
            id: number.to_string(),
            tokens: 1,
        })
        .collect();
    assert_eq!(Shared::of("s", None, &prompt).parts.len(), 16);
    assert_eq!(Shared::of("s", None, &prompt[..1]).parts, []);
    assert_eq!(Shared::of("s", None, &prompt[..3]).parts.len(), 2);
}

/// A blame as nodes of the build before parts were blamed encode it.
#[derive(Debug, PartialEq, Eq, Encode, Decode)]
struct BlameBeforeParts {
    #[n(0)]
    request: RequestDigest,
    #[n(1)]
    engine: u64,
    #[n(2)]
    age_ms: u64,
    #[n(3)]
    cleared: bool,
}

fn before_parts(blame: &Blame) -> BlameBeforeParts {
    BlameBeforeParts {
        request: blame.request,
        engine: blame.engine,
        age_ms: blame.age_ms,
        cleared: blame.cleared,
    }
}

#[test]
fn blames_of_nodes_without_parts_are_read_and_they_read_those_with_parts() {
    let with = Blame {
        request: request(1),
        engine: engine(1),
        age_ms: 7,
        cleared: true,
        shared: Some(SharedBlame {
            shared: of_tenant("one", with_parts(1, &["a", "b"])).shared,
            cleared: 2,
        }),
        progress: None,
    };
    let bytes = molespan_state::encode(&vec![with.clone()]);
    let read: Vec<BlameBeforeParts> = minicbor::decode(&bytes).expect("a blame");
    assert_eq!(read, [before_parts(&with)]);
    let read: Vec<Blame> = minicbor::decode(&bytes).expect("a blame");
    assert_eq!(read, std::slice::from_ref(&with));
    let bytes = molespan_state::encode(&vec![before_parts(&with)]);
    let read: Vec<Blame> = minicbor::decode(&bytes).expect("a blame");
    assert_eq!(
        read,
        [Blame {
            shared: None,
            ..with
        }]
    );
}

fn blames() -> impl Strategy<Value = Vec<Blame>> {
    let parts = (any::<bool>(), 0..4_u32);
    let blame = (0..4_u64, 0..6_u64, any::<bool>(), parts).prop_map(
        |(one, at, cleared, (has_parts, parts_cleared))| Blame {
            request: request(one),
            engine: engine(at),
            age_ms: 0,
            cleared,
            shared: has_parts.then(|| SharedBlame {
                shared: with_parts(one, &["first", ["a", "b"][one as usize % 2]]).shared,
                cleared: parts_cleared,
            }),
            progress: None,
        },
    );
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
        let all: Vec<Blame> = reported.iter().chain(&shuffled).cloned().collect();
        let mut one = SuspectTable::default();
        one.note(&all, now(0));
        let mut other = SuspectTable::default();
        for blame in all.iter().rev().chain(&all) {
            other.note(std::slice::from_ref(blame), now(0));
        }
        one.answered(request(9), now(5_000));
        other.answered(request(9), now(5_000));
        for number in 0..4 {
            prop_assert_eq!(one.crashes(&request(number)), other.crashes(&request(number)));
            let at = now(10_000);
            prop_assert_eq!(one.verdict(request(number), at), other.verdict(request(number), at));
            let features = with_parts(number, &["first", ["a", "b"][number as usize % 2]]);
            prop_assert_eq!(one.verdict(&features, at), other.verdict(&features, at));
        }
    }
}
