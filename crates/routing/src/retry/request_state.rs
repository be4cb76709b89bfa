//! State machine of one online request, from its arrival to its outcome.

use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{AttemptId, BackendId, Incarnation, RunOutcome, Timestamp};

use super::RetryBudget;

/// Most attempts for one request, including the first.
const MAX_ATTEMPTS: u32 = 4;
/// Most times that one attempt is resumed.
const MAX_RESUMES: u32 = 3;
/// Most status queries to an engine for one attempt.
const MAX_STATUS_QUERIES: u32 = 5;

/// Properties of a request that determine how it may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKind {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether its backend can report the status of attempts and resume their streams.
    pub resumable: bool,
}

/// An attempt and the backend that it was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptRef {
    /// Attempt identifier.
    pub attempt: AttemptId,
    /// Backend.
    pub backend: BackendId,
    /// Incarnation of the backend.
    pub incarnation: Incarnation,
}

/// Result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The request may run.
    Granted,
    /// Another request with this key holds the claim and has not ended.
    Held,
    /// A request with this key has ended; its answer is on record.
    Settled(RunOutcome),
    /// The key was used for a different body.
    KeyConflict,
    /// The replica group could not be reached, or the state of the claim is unknown. The
    /// caller settles the claim as not run.
    Failed,
}

/// How an attempt, or an attempt to resume it, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The complete answer was received and passed its checks.
    Completed,
    /// No byte of the request was sent to the backend.
    NotSent,
    /// The backend itself declared that this attempt did not run.
    DeclaredNotRun,
    /// The connection broke or timed out, or the answer failed its checks, after some byte
    /// of the request was sent.
    Broken,
    /// The backend restarted, or no longer has an attempt that had run.
    Lost,
}

/// Response of an engine to a status query for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusAnswer {
    /// The attempt waits, runs, is held back or has completed, so its answer can be
    /// fetched.
    Present,
    /// The attempt was stopped before it completed.
    Cancelled,
    /// The incarnation that the attempt was sent to never received it.
    NeverSeen,
    /// Another incarnation of the engine responded, which has no record of the attempt.
    OtherLife,
    /// No response.
    NoAnswer,
}

/// Next action for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Claim the key, and dispatch only once the claim is granted.
    Claim,
    /// Choose a backend and send the request.
    Dispatch,
    /// Choose another backend and send the request again as a new attempt.
    Retry {
        /// Backends that failed the request.
        exclude: Vec<BackendId>,
    },
    /// Fetch the rest of the answer from the backend that runs the attempt.
    Resume {
        /// Attempt to resume.
        attempt: AttemptRef,
        /// Offset of the first token to fetch.
        offset: u32,
    },
    /// Query the engine for the status of the attempt.
    AskStatus {
        /// Attempt to ask about.
        attempt: AttemptRef,
    },
    /// Return the recorded outcome and answer of the key to the caller.
    Replay {
        /// Recorded outcome.
        outcome: RunOutcome,
    },
    /// The complete answer was passed on; settle the claim, if there is one.
    Done,
    /// Report to the caller that the request failed, and whether it ran; settle the claim.
    Fail {
        /// Whether the request ran.
        outcome: RunOutcome,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    New,
    Claiming,
    Ready,
    Dispatched,
    QueryingStatus,
    Ended,
}

/// State of one online request.
#[derive(Clone, Debug)]
pub struct RequestState {
    kind: RequestKind,
    phase: Phase,
    current: Option<AttemptRef>,
    attempts: u32,
    resumes: u32,
    status_queries: u32,
    /// Tokens or bytes of the answer that were passed on to the caller.
    passed: u32,
    /// Whether some attempt may have run; never reset.
    may_have_run: bool,
    excluded: Vec<BackendId>,
}

impl RequestState {
    /// Returns the state of an admitted request.
    #[must_use]
    pub fn new(kind: RequestKind) -> Self {
        Self {
            kind,
            phase: Phase::New,
            current: None,
            attempts: 0,
            resumes: 0,
            status_queries: 0,
            passed: 0,
            may_have_run: false,
            excluded: Vec::new(),
        }
    }

    /// Starts the request and returns its first step.
    pub fn begin(&mut self) -> NextStep {
        let claim = !self.kind.repeatable && enabled(Mechanism::ClaimBeforeDispatch);
        if claim {
            self.phase = Phase::Claiming;
            return NextStep::Claim;
        }
        self.phase = Phase::Ready;
        NextStep::Dispatch
    }

    /// Records the result of the claim.
    pub fn claim_answered(&mut self, answer: ClaimAnswer) -> NextStep {
        match answer {
            ClaimAnswer::Granted => {
                self.phase = Phase::Ready;
                NextStep::Dispatch
            }
            ClaimAnswer::Settled(outcome) => {
                self.phase = Phase::Ended;
                NextStep::Replay { outcome }
            }
            // This request did not run, but the one that holds the key may.
            ClaimAnswer::Held => {
                self.may_have_run = true;
                self.fail()
            }
            ClaimAnswer::KeyConflict | ClaimAnswer::Failed => self.fail(),
        }
    }

    /// Whether the request may be sent now.
    #[must_use]
    pub fn may_dispatch(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Records that an attempt is about to be sent. Returns `false`, and nothing may be
    /// sent, unless [`RequestState::may_dispatch`].
    #[must_use]
    pub fn dispatched(&mut self, attempt: AttemptRef) -> bool {
        if !self.may_dispatch() {
            return false;
        }
        self.phase = Phase::Dispatched;
        self.current = Some(attempt);
        self.attempts += 1;
        self.resumes = 0;
        self.status_queries = 0;
        true
    }

    /// Records that no backend could be chosen.
    pub fn no_backend(&mut self) -> NextStep {
        self.fail()
    }

    /// Records that the answer up to `offset` was passed on to the caller, in tokens of a
    /// stream or bytes of a plain answer.
    pub fn passed(&mut self, offset: u32) {
        self.passed = self.passed.max(offset);
    }

    /// Records the end of an attempt, or of an attempt to resume it.
    pub fn ended(&mut self, now: Timestamp, end: AttemptEnd, budget: &mut RetryBudget) -> NextStep {
        match end {
            AttemptEnd::Completed => {
                self.phase = Phase::Ended;
                NextStep::Done
            }
            AttemptEnd::NotSent if self.was_sent() => self.handle_broken(now, budget),
            AttemptEnd::DeclaredNotRun if self.was_sent() => self.handle_ambiguous(now, budget),
            AttemptEnd::NotSent | AttemptEnd::DeclaredNotRun => self.retry(now, budget),
            AttemptEnd::Broken => self.handle_broken(now, budget),
            AttemptEnd::Lost => self.handle_ambiguous(now, budget),
        }
    }

    /// Records the response of the engine to a status query for the attempt.
    pub fn status(
        &mut self,
        now: Timestamp,
        answer: StatusAnswer,
        budget: &mut RetryBudget,
    ) -> NextStep {
        match answer {
            StatusAnswer::Present => self.resume().unwrap_or_else(|| self.fail_unknown()),
            // The request may still be in transit, so this does not prove that it won't
            // run.
            StatusAnswer::NeverSeen => self
                .query_status()
                .unwrap_or_else(|| self.handle_ambiguous(now, budget)),
            StatusAnswer::Cancelled | StatusAnswer::OtherLife => self.handle_ambiguous(now, budget),
            StatusAnswer::NoAnswer => self.query_status().unwrap_or_else(|| self.fail_unknown()),
        }
    }

    /// Returns whether the request ran, as far as is known now.
    #[must_use]
    pub fn outcome(&self) -> RunOutcome {
        let in_flight = matches!(self.phase, Phase::Dispatched | Phase::QueryingStatus);
        if self.may_have_run || in_flight {
            RunOutcome::Unknown
        } else {
            RunOutcome::NotRun
        }
    }

    /// Whether bytes of the current attempt may have been sent, so that a failure to reach
    /// its answer does not reveal whether it ran.
    fn was_sent(&self) -> bool {
        self.passed > 0 || self.resumes > 0 || self.status_queries > 0
    }

    /// Handles an attempt that may have run.
    fn handle_broken(&mut self, now: Timestamp, budget: &mut RetryBudget) -> NextStep {
        // A request must not be reported as not run once a byte of it was sent.
        if !enabled(Mechanism::TruthfulNotRun) {
            return self.retry(now, budget);
        }
        self.may_have_run = true;
        if self.resumes > 0 && !self.can_resume() {
            return self.handle_ambiguous(now, budget);
        }
        let query_first = !self.kind.repeatable && self.passed == 0;
        let next = if query_first {
            self.query_status()
        } else {
            self.resume()
        };
        next.unwrap_or_else(|| self.handle_ambiguous(now, budget))
    }

    /// Handles an attempt that may have run and whose answer can't be fetched.
    fn handle_ambiguous(&mut self, now: Timestamp, budget: &mut RetryBudget) -> NextStep {
        self.may_have_run = true;
        let may_repeat = self.kind.repeatable || !enabled(Mechanism::NoRetryAfterAmbiguity);
        if may_repeat && self.passed == 0 {
            return self.retry(now, budget);
        }
        self.fail()
    }

    fn retry(&mut self, now: Timestamp, budget: &mut RetryBudget) -> NextStep {
        if let Some(current) = self.current.take() {
            self.excluded.push(current.backend);
        }
        if self.attempts >= MAX_ATTEMPTS || !budget.spend(now) {
            return self.fail();
        }
        self.phase = Phase::Ready;
        NextStep::Retry {
            exclude: self.excluded.clone(),
        }
    }

    fn can_resume(&self) -> bool {
        self.kind.resumable && self.resumes < MAX_RESUMES
    }

    fn resume(&mut self) -> Option<NextStep> {
        let attempt = self.current.filter(|_| self.can_resume())?;
        self.resumes += 1;
        self.phase = Phase::Dispatched;
        Some(NextStep::Resume {
            attempt,
            offset: self.passed,
        })
    }

    fn query_status(&mut self) -> Option<NextStep> {
        let may_query = self.kind.resumable && self.status_queries < MAX_STATUS_QUERIES;
        let attempt = self.current.filter(|_| may_query)?;
        self.status_queries += 1;
        self.phase = Phase::QueryingStatus;
        Some(NextStep::AskStatus { attempt })
    }

    fn fail_unknown(&mut self) -> NextStep {
        self.may_have_run = true;
        self.fail()
    }

    fn fail(&mut self) -> NextStep {
        self.phase = Phase::Ended;
        NextStep::Fail {
            outcome: self.outcome(),
        }
    }
}
