//! Fenced orders to back ends.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};
use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{BackendId, FencingToken};

use super::command::{ControlReply, IssueOrder};
use super::query::IssuedOrder;

/// The latest order of each back end. Tokens increase across all back ends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Orders {
    #[n(0)]
    latest: BTreeMap<BackendId, IssuedOrder>,
    #[n(1)]
    last_token: FencingToken,
}

impl Orders {
    /// Returns the latest order of each back end.
    pub(crate) fn latest(&self) -> &BTreeMap<BackendId, IssuedOrder> {
        &self.latest
    }

    /// Issues an order if the issuer knows the latest token. A retry of the latest order
    /// returns the same token.
    pub(crate) fn issue(&mut self, order: &IssueOrder) -> ControlReply {
        let latest = self.latest.get(&order.backend);
        if let Some(retried) = latest.filter(|latest| latest.order == *order) {
            return ControlReply::OrderIssued {
                token: retried.token,
            };
        }
        let current = latest.map(|latest| latest.token).unwrap_or_default();
        if order.expected_token != current {
            return ControlReply::OrderConflict { current };
        }
        if enabled(Mechanism::FencingTokens) {
            self.last_token = self.last_token.next();
        }
        let issued = IssuedOrder {
            token: self.last_token,
            order: order.clone(),
        };
        self.latest.insert(order.backend, issued);
        ControlReply::OrderIssued {
            token: self.last_token,
        }
    }
}
