//! Inputs of a decision.

use std::borrow::Cow;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// The value of an input.
#[derive(Clone, Debug, PartialEq, Display, From, Serialize, Deserialize)]
#[serde(untagged)]
pub enum EventValue {
    /// A boolean.
    #[from(bool)]
    Flag(bool),
    /// A whole number.
    #[from(i64, i32, u8, u16, u32)]
    Integer(i64),
    /// Any other number.
    #[from(f64)]
    Number(f64),
    /// Text.
    #[from(String, &str)]
    Text(String),
}

impl From<u64> for EventValue {
    fn from(value: u64) -> Self {
        // Numbers that need more than 63 bits, such as digests, become text.
        i64::try_from(value).map_or_else(|_| Self::Text(value.to_string()), Self::Integer)
    }
}

impl From<usize> for EventValue {
    fn from(value: usize) -> Self {
        Self::from(value as u64)
    }
}

/// A named input of a decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EventInput {
    /// Name in snake case.
    pub name: Cow<'static, str>,
    /// Value.
    pub value: EventValue,
}

impl EventInput {
    /// Creates an input.
    #[must_use]
    pub fn new(name: &'static str, value: impl Into<EventValue>) -> Self {
        Self {
            name: Cow::Borrowed(name),
            value: value.into(),
        }
    }
}

/// Creates several inputs with values of different types.
#[must_use]
pub fn inputs<const COUNT: usize>(pairs: [(&'static str, EventValue); COUNT]) -> Vec<EventInput> {
    pairs
        .into_iter()
        .map(|(name, value)| EventInput::new(name, value))
        .collect()
}
