//! Durations written as a number and a unit.

use std::time::Duration;

use derive_more::{Display, Error};

/// Units with their length in microseconds, longest first.
const UNITS: [(&str, u64); 5] = [
    ("h", 3_600_000_000),
    ("min", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

/// Why a text is not a valid duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum DurationError {
    /// The text does not start with a whole number.
    #[display("a duration starts with a whole number, such as \"250ms\"")]
    Number,
    /// The unit is missing or unknown.
    #[display("a duration ends with one of the units us, ms, s, min, h")]
    Unit,
    /// The duration is too long to be represented in microseconds.
    #[display("the duration is too long")]
    TooLong,
}

/// Parses a duration such as `250ms`, `8s` or `2min`.
///
/// # Errors
/// When the number or the unit is missing or invalid, or the duration is too long.
pub fn parse_duration(text: &str) -> Result<Duration, DurationError> {
    let end = text
        .find(|character: char| !character.is_ascii_digit())
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(end);
    if number.is_empty() {
        return Err(DurationError::Number);
    }
    let number: u64 = number.parse().map_err(|_| DurationError::TooLong)?;
    let unit = unit.trim_start();
    let known = UNITS.iter().find(|(name, _)| *name == unit);
    let (_, micros) = known.ok_or(DurationError::Unit)?;
    let micros = number.checked_mul(*micros).ok_or(DurationError::TooLong)?;
    Ok(Duration::from_micros(micros))
}

/// Formats a duration in the longest unit that divides it without a remainder,
/// truncated to microseconds.
#[must_use]
pub fn format_duration(duration: Duration) -> String {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    if micros == 0 {
        return "0s".to_owned();
    }
    let fitting = UNITS.iter().find(|(_, length)| micros % length == 0);
    let (unit, length) = fitting.unwrap_or(&("us", 1));
    format!("{}{unit}", micros / length)
}
