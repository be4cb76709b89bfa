//! Claims on non-repeatable requests.
//!
//! A claim is open from its grant until it is settled. Settled claims are kept forever: the
//! newest in memory, the rest in the [`ClaimArchive`]. The outcome `NotRun` releases a
//! claim instead of settling it. The leader settles a claim that was open for too long as
//! `Unknown`.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};
use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{AttemptId, Digest, RunOutcome, TenantId};

use super::claim_archive::ClaimArchive;
use super::claim_entry::{ClaimHash, SettledClaim, SettledRecord};
use super::command::{ClaimReply, ClaimRequest, JobReply, SettleClaim};
use super::query::OpenClaimRecord;
use crate::codec::{decode, encode};
use crate::payload::{PayloadError, PayloadLog};

/// Number of settled claims in memory at which they are written to the archive.
const MAX_RECENT_CLAIMS: usize = 8_192;

/// Identifies a claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
struct ClaimKey {
    #[n(0)]
    tenant: TenantId,
    #[n(1)]
    key: String,
}

/// A claim that was granted and not settled yet; its request may be running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
struct OpenClaim {
    #[n(0)]
    digest: Digest,
    /// Attempt that holds the claim.
    #[n(1)]
    attempt: AttemptId,
}

/// Claims of a job group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Claims {
    #[n(0)]
    open: BTreeMap<ClaimKey, OpenClaim>,
    #[n(1)]
    recent: BTreeMap<ClaimHash, SettledClaim>,
    #[n(2)]
    archive: ClaimArchive,
}

impl Claims {
    /// Returns the open claims, ordered by tenant and key.
    pub(crate) fn open(&self) -> impl Iterator<Item = OpenClaimRecord> {
        self.open.iter().map(|(key, claim)| OpenClaimRecord {
            tenant: key.tenant.clone(),
            key: key.key.clone(),
            attempt: claim.attempt,
        })
    }

    /// Grants the claim, or reports the state of an earlier claim of the same key.
    pub(crate) fn claim(
        &mut self,
        request: &ClaimRequest,
        payloads: &dyn PayloadLog,
    ) -> Result<ClaimReply, PayloadError> {
        let earlier = if enabled(Mechanism::ClaimBeforeDispatch) {
            self.find(request, payloads)?
        } else {
            None
        };
        if let Some(reply) = earlier {
            return Ok(reply);
        }
        let key = ClaimKey {
            tenant: request.tenant.clone(),
            key: request.key.clone(),
        };
        let claim = OpenClaim {
            digest: request.digest,
            attempt: request.attempt,
        };
        self.open.insert(key, claim);
        Ok(ClaimReply::Granted)
    }

    /// Returns the reply for an earlier claim of the same key, if there is one.
    fn find(
        &self,
        request: &ClaimRequest,
        payloads: &dyn PayloadLog,
    ) -> Result<Option<ClaimReply>, PayloadError> {
        let key = ClaimKey {
            tenant: request.tenant.clone(),
            key: request.key.clone(),
        };
        if let Some(claim) = self.open.get(&key) {
            return Ok(Some(reply_open(claim, request)));
        }
        match self.find_settled(&key, payloads)? {
            None => Ok(None),
            Some(claim) => reply_settled(&claim, request, payloads).map(Some),
        }
    }

    /// Looks up a settled claim in memory, then in the archive.
    fn find_settled(
        &self,
        key: &ClaimKey,
        payloads: &dyn PayloadLog,
    ) -> Result<Option<SettledClaim>, PayloadError> {
        let hash = ClaimHash::of(&key.tenant, &key.key);
        match self.recent.get(&hash) {
            Some(claim) => Ok(Some(*claim)),
            None => self.archive.find(hash, payloads),
        }
    }

    /// Records the outcome of the claimed request. The first settlement wins.
    pub(crate) fn settle(
        &mut self,
        settle: &SettleClaim,
        payloads: &mut dyn PayloadLog,
    ) -> Result<JobReply, PayloadError> {
        let key = ClaimKey {
            tenant: settle.tenant.clone(),
            key: settle.key.clone(),
        };
        let Some(claim) = self.open.get(&key).copied() else {
            return self.reply_not_open(&key, settle.outcome, payloads);
        };
        if claim.attempt != settle.attempt {
            return Ok(JobReply::ClaimNotHeld);
        }
        self.open.remove(&key);
        if settle.outcome != RunOutcome::NotRun {
            self.store_settled(key, claim.digest, settle, payloads)?;
        }
        Ok(JobReply::Settled {
            outcome: settle.outcome,
        })
    }

    /// Returns the reply to a settlement without an open claim. A retried `NotRun` is such
    /// a settlement, since the first one released the claim.
    fn reply_not_open(
        &self,
        key: &ClaimKey,
        outcome: RunOutcome,
        payloads: &dyn PayloadLog,
    ) -> Result<JobReply, PayloadError> {
        if let Some(settled) = self.find_settled(key, payloads)? {
            return Ok(JobReply::Settled {
                outcome: settled.outcome,
            });
        }
        Ok(match outcome {
            RunOutcome::NotRun => JobReply::Settled { outcome },
            RunOutcome::Completed | RunOutcome::Unknown => JobReply::ClaimNotHeld,
        })
    }

    /// Stores a settled claim permanently.
    fn store_settled(
        &mut self,
        key: ClaimKey,
        digest: Digest,
        settle: &SettleClaim,
        payloads: &mut dyn PayloadLog,
    ) -> Result<(), PayloadError> {
        let hash = ClaimHash::of(&key.tenant, &key.key);
        let record = SettledRecord {
            tenant: key.tenant,
            key: key.key,
            answer: settle.answer.clone(),
        };
        let claim = SettledClaim {
            digest,
            outcome: settle.outcome,
            record: payloads.append(&encode(&record))?,
        };
        self.recent.insert(hash, claim);
        if self.recent.len() >= MAX_RECENT_CLAIMS {
            let full = std::mem::take(&mut self.recent);
            self.archive.add(&full, payloads)?;
        }
        Ok(())
    }
}

/// Returns the reply to a claim whose key is already held by an open claim.
fn reply_open(claim: &OpenClaim, request: &ClaimRequest) -> ClaimReply {
    if claim.digest != request.digest {
        return ClaimReply::KeyConflict;
    }
    if claim.attempt == request.attempt {
        return ClaimReply::Granted;
    }
    ClaimReply::Held {
        attempt: claim.attempt,
    }
}

/// Returns the reply to a claim whose key is already settled.
fn reply_settled(
    claim: &SettledClaim,
    request: &ClaimRequest,
    payloads: &dyn PayloadLog,
) -> Result<ClaimReply, PayloadError> {
    let bytes = payloads.read(claim.record)?;
    let record: SettledRecord = decode(&bytes).map_err(|_| PayloadError::Corrupt {
        offset: claim.record.offset,
    })?;
    // Two keys can have the same hash: never return the answer of one tenant to another.
    let same_key = record.tenant == request.tenant && record.key == request.key;
    if !same_key || claim.digest != request.digest {
        return Ok(ClaimReply::KeyConflict);
    }
    Ok(ClaimReply::Settled {
        outcome: claim.outcome,
        answer: record.answer,
    })
}
