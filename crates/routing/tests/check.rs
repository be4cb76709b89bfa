//! Tests the checks against answers that are crossed between attempts, truncated,
//! duplicated or out of order.

use molespan_engine_api::{CompletionChunk, FinishReason};
use molespan_routing::retry::{ResponseError, StreamCheck, check_attempt, check_length};
use molespan_types::AttemptId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const OWN: AttemptId = AttemptId {
    node: 1,
    sequence: 10,
};
const OTHER: AttemptId = AttemptId {
    node: 1,
    sequence: 11,
};

fn chunk(id: AttemptId, offset: u32, last: bool) -> CompletionChunk {
    CompletionChunk {
        id: id.to_string(),
        offset,
        text: format!(" w{offset}"),
        finish_reason: last.then_some(FinishReason::Length),
        usage: None,
    }
}

fn answer(tokens: u32, from: u32) -> Vec<CompletionChunk> {
    (from..tokens)
        .map(|offset| chunk(OWN, offset, offset + 1 == tokens))
        .collect()
}

/// Returns the number of chunks that may be passed on, and how the stream ended.
fn check_stream(
    chunks: &[CompletionChunk],
    from: u32,
    terminated: bool,
) -> (usize, Result<(), ResponseError>) {
    let mut check = StreamCheck::new(OWN, from);
    for (position, chunk) in chunks.iter().enumerate() {
        if let Err(error) = check.chunk(chunk) {
            return (position, Err(error));
        }
    }
    if terminated {
        check.terminator();
    }
    (chunks.len(), check.end())
}

#[test]
fn attempt_and_length_are_checked() {
    let own = OWN.to_string();
    let other = OTHER.to_string();
    assert_eq!(check_attempt(OWN, Some(&own)), Ok(()));
    assert_eq!(check_attempt(OWN, None), Err(ResponseError::NoAttempt));
    let crossed = ResponseError::CrossedAttempt {
        echoed: other.clone(),
    };
    assert_eq!(check_attempt(OWN, Some(&other)), Err(crossed));
    // A longer string that starts with the attempt names another attempt.
    assert!(check_attempt(OWN, Some(&format!("{own}0"))).is_err());

    let wrong = |declared, received| Err(ResponseError::WrongLength { declared, received });
    let cases = [
        (Some(5), 5, false, Ok(())),
        (Some(5), 4, true, wrong(5, 4)),
        (Some(5), 6, true, wrong(5, 6)),
        (Some(0), 0, false, Ok(())),
        (None, 9, true, Ok(())),
        (None, 9, false, Err(ResponseError::NoEnd { tokens: 0 })),
    ];
    for (declared, received, terminated, expected) in cases {
        assert_eq!(check_length(declared, received, terminated), expected);
    }
}

#[test]
fn faulty_streams_are_rejected() {
    let whole = answer(4, 0);
    let without = |position: usize| {
        let mut chunks = whole.clone();
        chunks.remove(position);
        chunks
    };
    let duplicated = [&whole[..2], &whole[1..]].concat();
    let after_end = [&whole[..], &whole[3..]].concat();
    let crossed = [&whole[..2], &[chunk(OTHER, 2, false)]].concat();
    let gap = |expected, offset| ResponseError::WrongOffset { expected, offset };
    let no_end = |tokens| ResponseError::NoEnd { tokens };
    let cases = [
        ("first chunk lost", without(0), true, 0, gap(0, 1)),
        ("middle chunk lost", without(2), true, 2, gap(2, 3)),
        ("last chunk lost", without(3), true, 3, no_end(3)),
        ("cut off", whole[..2].to_vec(), false, 2, no_end(2)),
        ("end not marked", whole.clone(), false, 4, no_end(4)),
        ("duplicated chunk", duplicated, true, 2, gap(2, 1)),
        (
            "goes on after the end",
            after_end,
            true,
            4,
            ResponseError::AfterEnd,
        ),
        (
            "chunk of another attempt",
            crossed,
            true,
            2,
            ResponseError::CrossedAttempt {
                echoed: OTHER.to_string(),
            },
        ),
        ("no chunks", Vec::new(), true, 0, no_end(0)),
    ];
    for (name, chunks, terminated, passed, error) in cases {
        let expected = (passed, Err(error));
        assert_eq!(check_stream(&chunks, 0, terminated), expected, "{name}");
    }
    assert_eq!(check_stream(&whole, 0, true), (4, Ok(())));
}

#[test]
fn resumed_stream_starts_at_offset() {
    let mut check = StreamCheck::new(OWN, 2);
    assert!(check.chunk(&chunk(OWN, 1, false)).is_err());
    assert!(check.chunk(&chunk(OWN, 2, false)).is_ok());
    assert_eq!(check.next_offset(), 3);
    assert!(check.chunk(&chunk(OWN, 3, true)).is_ok());
    check.terminator();
    assert_eq!(
        check.chunk(&chunk(OWN, 4, false)),
        Err(ResponseError::AfterEnd)
    );
    assert_eq!(check.end(), Ok(()));
}

/// Fault of a stream in transit.
#[derive(Clone, Debug)]
enum Fault {
    Drop(usize),
    Duplicate(usize),
    Swap(usize),
    ReplaceAttempt(usize),
    Truncate(usize),
}

fn fault() -> impl Strategy<Value = Fault> {
    let position = 0_usize..16;
    prop_oneof![
        position.clone().prop_map(Fault::Drop),
        position.clone().prop_map(Fault::Duplicate),
        position.clone().prop_map(Fault::Swap),
        position.clone().prop_map(Fault::ReplaceAttempt),
        position.prop_map(Fault::Truncate),
    ]
}

fn apply(chunks: &mut Vec<CompletionChunk>, fault: &Fault) {
    let length = chunks.len();
    if length == 0 {
        return;
    }
    match fault {
        Fault::Drop(position) => drop(chunks.remove(position % length)),
        Fault::Duplicate(position) => {
            chunks.insert(position % length, chunks[position % length].clone())
        }
        Fault::Swap(position) => chunks.swap(position % length, (position + 1) % length),
        Fault::ReplaceAttempt(position) => chunks[position % length].id = OTHER.to_string(),
        Fault::Truncate(position) => chunks.truncate(position % length),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    /// Whatever faults occur in transit, the chunks passed on are a prefix of the answer,
    /// and only the complete answer is accepted as complete.
    #[test]
    fn only_prefix_of_own_answer_is_passed_on(
        tokens in 1_u32..12,
        skipped in 0_u32..12,
        faults in prop::collection::vec(fault(), 0..3),
        terminated: bool,
    ) {
        let from = skipped.min(tokens - 1);
        let original = answer(tokens, from);
        let mut chunks = original.clone();
        for fault in &faults {
            apply(&mut chunks, fault);
        }
        let (passed, end) = check_stream(&chunks, from, terminated);
        prop_assert!(passed <= original.len());
        prop_assert_eq!(&chunks[..passed], &original[..passed]);
        let whole = chunks == original && terminated;
        prop_assert_eq!(end.is_ok(), whole);
    }
}
