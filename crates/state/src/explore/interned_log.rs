//! A payload log that stores equal payloads once, used only for exploration.
//!
//! States that differ only in the order of appended payloads become equal, which keeps the
//! number of states small.

use std::cell::RefCell;
use std::rc::Rc;

use crate::payload::{PayloadError, PayloadLocation, PayloadLog};

/// Payloads shared by all states of one search.
#[derive(Clone, Debug, Default)]
pub(crate) struct InternedLog {
    payloads: Rc<RefCell<Vec<Vec<u8>>>>,
}

impl PayloadLog for InternedLog {
    fn append(&mut self, payload: &[u8]) -> Result<PayloadLocation, PayloadError> {
        let mut payloads = self.payloads.borrow_mut();
        let known = payloads.iter().position(|known| known == payload);
        let position = known.unwrap_or_else(|| {
            payloads.push(payload.to_vec());
            payloads.len() - 1
        });
        Ok(PayloadLocation {
            offset: position as u64,
            length: payload.len() as u32,
        })
    }

    fn read(&self, location: PayloadLocation) -> Result<Vec<u8>, PayloadError> {
        let payloads = self.payloads.borrow();
        let payload = payloads.get(location.offset as usize);
        payload.cloned().ok_or(PayloadError::Missing {
            offset: location.offset,
        })
    }

    fn length(&self) -> u64 {
        self.payloads.borrow().len() as u64
    }
}
