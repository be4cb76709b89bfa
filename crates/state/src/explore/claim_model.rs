//! Model of claims: one key, three attempts and two bodies, with every command possible in
//! every state.

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};
use molespan_types::{AttemptId, Digest, RunOutcome, TenantId};

use super::Model;
use super::interned_log::InternedLog;
use crate::codec::encode;
use crate::job::{ClaimReply, ClaimRequest, JobCommand, JobMachine, JobReply, SettleClaim};

/// Number of attempts that compete for the claim.
const ATTEMPTS: u64 = 3;
/// Digests of two different bodies sent with the same key.
const BODIES: [Digest; 2] = [Digest(1), Digest(2)];
const OUTCOMES: [RunOutcome; 3] = [
    RunOutcome::Completed,
    RunOutcome::NotRun,
    RunOutcome::Unknown,
];

/// Model of a single claim.
#[derive(Debug, Default)]
pub struct ClaimModel;

/// Reference state: the guarantees given by earlier replies.
#[derive(Clone, Debug, Default, Encode, Decode)]
struct ReferenceState {
    /// Attempt that holds the claim, and the digest of its body.
    #[n(0)]
    holder: Option<(AttemptId, Digest)>,
    /// Outcome and answer of the settled claim.
    #[n(1)]
    settled: Option<(RunOutcome, ByteVec)>,
}

/// The machine and its reference state.
#[derive(Clone, Debug)]
pub struct ClaimState {
    machine: JobMachine,
    payloads: InternedLog,
    reference: ReferenceState,
}

impl Model for ClaimModel {
    type State = ClaimState;

    fn initial(&self) -> ClaimState {
        ClaimState {
            machine: JobMachine::new(),
            payloads: InternedLog::default(),
            reference: ReferenceState::default(),
        }
    }

    fn commands(&self, _state: &ClaimState) -> Vec<JobCommand> {
        let mut commands = Vec::new();
        for number in 1..=ATTEMPTS {
            let attempt = AttemptId {
                node: number,
                sequence: 1,
            };
            for digest in BODIES {
                commands.push(claim(attempt, digest));
            }
            for outcome in OUTCOMES {
                commands.push(settle(attempt, outcome));
            }
        }
        commands
    }

    fn step(&self, state: &ClaimState, command: &JobCommand) -> Result<ClaimState, &'static str> {
        let mut after = state.clone();
        let reply = after
            .machine
            .apply(command, &mut after.payloads)
            .map_err(|_| "a payload is lost")?;
        match (command, reply) {
            (JobCommand::Claim(request), JobReply::Claim(reply)) => {
                after.reference.check_claim(request, reply)?;
            }
            (JobCommand::Settle(settle), JobReply::Settled { outcome }) => {
                after.reference.check_settled(settle, outcome)?;
            }
            (JobCommand::Settle(_), JobReply::ClaimNotHeld) => {}
            _ => return Err("the reply does not match the command"),
        }
        Ok(after)
    }

    fn key(&self, state: &ClaimState) -> Vec<u8> {
        let mut key = state.machine.snapshot();
        key.extend(encode(&state.reference));
        key
    }
}

impl ReferenceState {
    /// Checks the reply to a claim.
    fn check_claim(
        &mut self,
        request: &ClaimRequest,
        reply: ClaimReply,
    ) -> Result<(), &'static str> {
        match reply {
            ClaimReply::Granted => {
                if self.settled.is_some() {
                    return Err("a claim is granted after the request ended");
                }
                let claimed = (request.attempt, request.digest);
                if self.holder.is_some_and(|holder| holder != claimed) {
                    return Err("a claim is granted to two attempts");
                }
                self.holder = Some(claimed);
                Ok(())
            }
            ClaimReply::Held { attempt } => match self.holder {
                Some((holder, digest)) if holder == attempt && digest == request.digest => Ok(()),
                _ => Err("a claim is said to be held by an attempt that does not hold it"),
            },
            ClaimReply::Settled { outcome, answer } => {
                if self.settled == Some((outcome, answer)) {
                    Ok(())
                } else {
                    Err("a settled claim changes its answer")
                }
            }
            ClaimReply::KeyConflict => match self.holder {
                Some((_, digest)) if digest != request.digest => Ok(()),
                _ => Err("a key conflicts with the same body"),
            },
        }
    }

    /// Checks the reply to a settlement.
    fn check_settled(
        &mut self,
        settle: &SettleClaim,
        outcome: RunOutcome,
    ) -> Result<(), &'static str> {
        if let Some((first, _)) = &self.settled {
            if *first == outcome {
                return Ok(());
            }
            return Err("a second settlement replaces the first");
        }
        let by_holder = self
            .holder
            .is_some_and(|(holder, _)| holder == settle.attempt);
        match (by_holder, outcome) {
            (true, RunOutcome::NotRun) => {
                self.holder = None;
                Ok(())
            }
            (true, _) => {
                self.settled = Some((outcome, settle.answer.clone()));
                Ok(())
            }
            (false, RunOutcome::NotRun) if self.holder.is_none() => Ok(()),
            (false, _) => Err("an attempt settles a claim that it does not hold"),
        }
    }
}

/// Creates a claim command.
fn claim(attempt: AttemptId, digest: Digest) -> JobCommand {
    JobCommand::Claim(ClaimRequest {
        tenant: TenantId::default(),
        key: String::new(),
        digest,
        attempt,
    })
}

/// Creates a settlement by `attempt`; its answer encodes the attempt.
fn settle(attempt: AttemptId, outcome: RunOutcome) -> JobCommand {
    JobCommand::Settle(SettleClaim {
        tenant: TenantId::default(),
        key: String::new(),
        attempt,
        outcome,
        answer: ByteVec::from(encode(&attempt)),
    })
}
