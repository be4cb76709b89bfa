//! Retained confirmations of intents.
//!
//! A confirmation takes about 60 bytes. The [`MAX_CONFIRMATIONS`] highest numbers
//! are retained. A lower number is rejected as too old and never applied, whether it was
//! confirmed before or not. Operators with increasing numbers, such as counters or dates,
//! are not affected.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};
use molespan_types::{ConfigVersion, Digest};

use super::command::{ConfirmIntent, ConfirmReply, IntentNumber};

/// Maximum number of retained confirmations: about eleven days at 12,000 changes per day.
pub(crate) const MAX_CONFIRMATIONS: usize = 131_072;

/// Identity of a confirmed intent, and the version it produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
struct Confirmation {
    /// Index into the list of operators.
    #[n(0)]
    operator: u32,
    #[n(1)]
    digest: Digest,
    #[n(2)]
    base_version: ConfigVersion,
    #[n(3)]
    version: ConfigVersion,
}

/// Confirmed intents by number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Confirmations {
    /// Distinct operator names.
    #[n(0)]
    operators: Vec<String>,
    #[n(1)]
    by_number: BTreeMap<IntentNumber, Confirmation>,
    /// Lowest number that is accepted.
    #[n(2)]
    floor: IntentNumber,
}

impl Confirmations {
    /// Returns the reply to an intent whose number is already used or too old.
    pub(crate) fn find(&self, intent: &ConfirmIntent, digest: Digest) -> Option<ConfirmReply> {
        if intent.number < self.floor {
            return Some(ConfirmReply::TooOld { floor: self.floor });
        }
        let first = self.by_number.get(&intent.number)?;
        let operator = self.operator(first.operator);
        let retried = operator == intent.operator
            && first.digest == digest
            && first.base_version == intent.base_version;
        if retried {
            return Some(ConfirmReply::Confirmed {
                version: first.version,
            });
        }
        Some(ConfirmReply::NumberTaken {
            winner: operator.to_owned(),
            version: first.version,
            digest: first.digest,
        })
    }

    /// Records that `intent` produced `version`.
    pub(crate) fn record(
        &mut self,
        intent: &ConfirmIntent,
        digest: Digest,
        version: ConfigVersion,
    ) {
        let confirmation = Confirmation {
            operator: self.operator_position(&intent.operator),
            digest,
            base_version: intent.base_version,
            version,
        };
        self.by_number.insert(intent.number, confirmation);
        if self.by_number.len() > MAX_CONFIRMATIONS {
            self.by_number.pop_first();
        }
        if self.by_number.len() == MAX_CONFIRMATIONS
            && let Some((&lowest, _)) = self.by_number.first_key_value()
        {
            self.floor = lowest;
        }
    }

    /// Returns the name of the operator at index `position`.
    fn operator(&self, position: u32) -> &str {
        self.operators
            .get(position as usize)
            .map_or("", String::as_str)
    }

    /// Returns the index of an operator name, adding the name if it is new.
    fn operator_position(&mut self, name: &str) -> u32 {
        let known = self.operators.iter().position(|operator| operator == name);
        let position = known.unwrap_or_else(|| {
            self.operators.push(name.to_owned());
            self.operators.len() - 1
        });
        position as u32
    }
}
