//! Configuration changes as made by operators.

use std::error::Error;

use molespan_state::control::{
    Change, ConfirmIntent, ConfirmReply, ControlCommand, ControlReply, IntentNumber, Policy,
};
use molespan_types::ConfigVersion;

use crate::fleet::{Client, reply};

/// Returns an encoded intent that changes the policy, based on version `number - 1`.
pub fn intent(number: u64) -> Vec<u8> {
    let policy = Policy {
        tail_protection: (number % 100) as u8,
    };
    let confirm = ConfirmIntent {
        number: IntentNumber(number),
        operator: "operator".to_owned(),
        base_version: ConfigVersion(number - 1),
        changes: vec![Change::PutPolicy { policy }],
    };
    molespan_state::encode(&ControlCommand::Confirm(confirm))
}

/// Confirms intents one after another.
pub fn confirm_all(
    client: &Client,
    numbers: impl Iterator<Item = u64>,
) -> Result<(), Box<dyn Error>> {
    for number in numbers {
        let reply = reply(&client.propose(intent(number)))?;
        match molespan_state::decode(&reply)? {
            ControlReply::Confirm(ConfirmReply::Confirmed { .. }) => {}
            other => return Err(format!("{other:?}").into()),
        }
    }
    Ok(())
}
