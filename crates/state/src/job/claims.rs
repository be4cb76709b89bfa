//! Claims on non-repeatable requests.

use std::collections::BTreeMap;

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};
use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{AttemptId, Digest, RunOutcome, TenantId};

use super::command::{ClaimReply, ClaimRequest, JobReply, SettleClaim};
use super::payloads::{read, store};
use crate::payload::{PayloadError, PayloadLocation, PayloadLog};

/// Names a claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
struct ClaimKey {
    #[n(0)]
    tenant: TenantId,
    #[n(1)]
    key: String,
}

/// How a claimed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
struct Settlement {
    #[n(0)]
    outcome: RunOutcome,
    #[n(1)]
    answer: PayloadLocation,
}

/// A claim that was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
struct Claim {
    #[n(0)]
    digest: Digest,
    /// Attempt that it was granted to.
    #[n(1)]
    attempt: AttemptId,
    /// How it ended; `None` while it may be running.
    #[n(2)]
    settlement: Option<Settlement>,
}

/// The claims of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Claims {
    #[n(0)]
    claims: BTreeMap<ClaimKey, Claim>,
}

impl Claims {
    /// Grants the claim or says what became of it.
    pub(crate) fn claim(
        &mut self,
        request: &ClaimRequest,
        payloads: &dyn PayloadLog,
    ) -> Result<ClaimReply, PayloadError> {
        let key = ClaimKey {
            tenant: request.tenant.clone(),
            key: request.key.clone(),
        };
        let Some(claim) = self.claims.get(&key).filter(|_| claims_bind()) else {
            let claim = Claim {
                digest: request.digest,
                attempt: request.attempt,
                settlement: None,
            };
            self.claims.insert(key, claim);
            return Ok(ClaimReply::Granted);
        };
        if claim.digest != request.digest {
            return Ok(ClaimReply::KeyConflict);
        }
        match claim.settlement {
            None if claim.attempt == request.attempt => Ok(ClaimReply::Granted),
            None => Ok(ClaimReply::Held {
                attempt: claim.attempt,
            }),
            Some(settlement) => Ok(ClaimReply::Settled {
                outcome: settlement.outcome,
                answer: ByteVec::from(read(settlement.answer, payloads)?),
            }),
        }
    }

    /// Records how the claimed request ended. The first settlement stands.
    pub(crate) fn settle(
        &mut self,
        settle: &SettleClaim,
        payloads: &mut dyn PayloadLog,
    ) -> Result<JobReply, PayloadError> {
        let key = ClaimKey {
            tenant: settle.tenant.clone(),
            key: settle.key.clone(),
        };
        let Some(claim) = self.claims.get_mut(&key) else {
            return Ok(settle_without_claim(settle.outcome));
        };
        if let Some(settlement) = claim.settlement {
            return Ok(JobReply::Settled {
                outcome: settlement.outcome,
            });
        }
        if claim.attempt != settle.attempt {
            return Ok(JobReply::ClaimNotHeld);
        }
        if settle.outcome == RunOutcome::NotRun {
            self.claims.remove(&key);
        } else {
            claim.settlement = Some(Settlement {
                outcome: settle.outcome,
                answer: store(&settle.answer, payloads)?,
            });
        }
        Ok(JobReply::Settled {
            outcome: settle.outcome,
        })
    }
}

/// Whether a granted claim keeps other attempts out.
fn claims_bind() -> bool {
    enabled(Mechanism::ClaimBeforeDispatch)
}

/// The reply to a settlement that finds no claim. A resent `NotRun` is one,
/// since the first freed the claim.
fn settle_without_claim(outcome: RunOutcome) -> JobReply {
    match outcome {
        RunOutcome::NotRun => JobReply::Settled { outcome },
        RunOutcome::Completed | RunOutcome::Unknown => JobReply::ClaimNotHeld,
    }
}
