//! The states of one online request, from its arrival to its outcome.

use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{AttemptId, BackendId, Incarnation, RunOutcome, Timestamp};

use super::RetryBudget;

/// Most attempts at one request, with the first.
const MOST_ATTEMPTS: u32 = 4;
/// Most times that one attempt is resumed.
const MOST_RESUMES: u32 = 3;
/// Most times that an engine is asked about one attempt.
const MOST_QUESTIONS: u32 = 5;

/// What kind of request it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKind {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether its back end can tell about attempts and resume their streams.
    pub resumable: bool,
}

/// One attempt and where it went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptRef {
    /// Attempt.
    pub attempt: AttemptId,
    /// Back end.
    pub backend: BackendId,
    /// Life of it.
    pub incarnation: Incarnation,
}

/// How a claim was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// This request may run.
    Granted,
    /// Another one with this key holds the claim and has not ended.
    Held,
    /// The request ended before; its answer is on record.
    Settled(RunOutcome),
    /// The key was used for another body.
    KeyConflict,
    /// The group could not be reached, or the fate of the claim is not known.
    /// The caller settles the claim as not run.
    Failed,
}

/// How an attempt, or a try to resume it, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer came, checked.
    Completed,
    /// No byte of the request left for the back end.
    NotSent,
    /// The back end itself said, for this attempt, that it did not run.
    DeclaredNotRun,
    /// The connection broke, timed out, or the answer failed its checks after
    /// some byte of the request was sent.
    Broken,
    /// The back end restarted, or no longer knows an attempt that had run.
    Lost,
}

/// What an engine said about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusAnswer {
    /// It waits, runs, is held back or has completed: its answer can be had.
    Present,
    /// It was stopped before its end.
    Cancelled,
    /// The engine, in the life it was sent to, never saw it.
    NeverSeen,
    /// Another life of the engine answered, so it cannot know.
    OtherLife,
    /// No answer.
    NoAnswer,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Claim the key, and dispatch only once that is granted.
    Claim,
    /// Choose a back end and send the request.
    Dispatch,
    /// Choose another back end and send the request again as a new attempt.
    Retry {
        /// Back ends that failed it.
        exclude: Vec<BackendId>,
    },
    /// Fetch the rest of the answer from where it runs.
    Resume {
        /// The attempt.
        attempt: AttemptRef,
        /// Token to start from.
        offset: u32,
    },
    /// Ask the engine what became of the attempt.
    AskStatus {
        /// The attempt.
        attempt: AttemptRef,
    },
    /// Pass the recorded outcome and answer of the key on.
    Replay {
        /// Outcome on record.
        outcome: RunOutcome,
    },
    /// The answer was passed on whole; settle the claim, if any.
    Done,
    /// Tell the caller that it failed, and whether it ran; settle the claim.
    Fail {
        /// Whether it ran.
        outcome: RunOutcome,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    New,
    Claiming,
    Ready,
    Dispatched,
    Asking,
    Ended,
}

/// One online request.
#[derive(Clone, Debug)]
pub struct RequestState {
    kind: RequestKind,
    phase: Phase,
    current: Option<AttemptRef>,
    attempts: u32,
    resumes: u32,
    questions: u32,
    /// Tokens or bytes of the answer that the caller has seen.
    passed: u32,
    /// Whether some attempt may have run, which no later one takes back.
    may_have_run: bool,
    excluded: Vec<BackendId>,
}

impl RequestState {
    /// A request that was admitted.
    #[must_use]
    pub fn new(kind: RequestKind) -> Self {
        Self {
            kind,
            phase: Phase::New,
            current: None,
            attempts: 0,
            resumes: 0,
            questions: 0,
            passed: 0,
            may_have_run: false,
            excluded: Vec::new(),
        }
    }

    /// The first step.
    pub fn begin(&mut self) -> NextStep {
        let claim = !self.kind.repeatable && enabled(Mechanism::ClaimBeforeDispatch);
        if claim {
            self.phase = Phase::Claiming;
            return NextStep::Claim;
        }
        self.phase = Phase::Ready;
        NextStep::Dispatch
    }

    /// The claim was answered.
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
            // This arrival did not run, but the request under its key may.
            ClaimAnswer::Held => {
                self.may_have_run = true;
                self.fail()
            }
            ClaimAnswer::KeyConflict | ClaimAnswer::Failed => self.fail(),
        }
    }

    /// Whether a byte of the request may be sent now.
    #[must_use]
    pub fn may_dispatch(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// An attempt is about to be sent. Returns false, and nothing may be sent,
    /// unless [`RequestState::may_dispatch`].
    #[must_use]
    pub fn dispatched(&mut self, attempt: AttemptRef) -> bool {
        if !self.may_dispatch() {
            return false;
        }
        self.phase = Phase::Dispatched;
        self.current = Some(attempt);
        self.attempts += 1;
        self.resumes = 0;
        self.questions = 0;
        true
    }

    /// No back end could be chosen.
    pub fn no_backend(&mut self) -> NextStep {
        self.fail()
    }

    /// The caller has seen the answer up to `offset`, in tokens of a stream or
    /// bytes of a plain answer.
    pub fn passed(&mut self, offset: u32) {
        self.passed = self.passed.max(offset);
    }

    /// The attempt, or a try to resume it, ended.
    pub fn ended(&mut self, now: Timestamp, end: AttemptEnd, budget: &mut RetryBudget) -> NextStep {
        match end {
            AttemptEnd::Completed => {
                self.phase = Phase::Ended;
                NextStep::Done
            }
            AttemptEnd::NotSent if self.was_sent() => self.broken(now, budget),
            AttemptEnd::DeclaredNotRun if self.was_sent() => self.ambiguous(now, budget),
            AttemptEnd::NotSent | AttemptEnd::DeclaredNotRun => self.retry(now, budget),
            AttemptEnd::Broken => self.broken(now, budget),
            AttemptEnd::Lost => self.ambiguous(now, budget),
        }
    }

    /// The engine was asked about the attempt.
    pub fn status(
        &mut self,
        now: Timestamp,
        answer: StatusAnswer,
        budget: &mut RetryBudget,
    ) -> NextStep {
        match answer {
            StatusAnswer::Present => self.resume().unwrap_or_else(|| self.fail_unknown()),
            // Its bytes may still be on their way, so this is no proof.
            StatusAnswer::NeverSeen => self.ask().unwrap_or_else(|| self.ambiguous(now, budget)),
            StatusAnswer::Cancelled | StatusAnswer::OtherLife => self.ambiguous(now, budget),
            StatusAnswer::NoAnswer => self.ask().unwrap_or_else(|| self.fail_unknown()),
        }
    }

    /// Whether the request ran, as far as is known now.
    #[must_use]
    pub fn outcome(&self) -> RunOutcome {
        let in_doubt = matches!(self.phase, Phase::Dispatched | Phase::Asking);
        if self.may_have_run || in_doubt {
            RunOutcome::Unknown
        } else {
            RunOutcome::NotRun
        }
    }

    /// Whether bytes of the current attempt may have left, so that a failure to
    /// reach its answer says nothing about whether it ran.
    fn was_sent(&self) -> bool {
        self.passed > 0 || self.resumes > 0 || self.questions > 0
    }

    /// The attempt may have run.
    fn broken(&mut self, now: Timestamp, budget: &mut RetryBudget) -> NextStep {
        // Nothing may be called not run once a byte of it was sent.
        if !enabled(Mechanism::TruthfulNotRun) {
            return self.retry(now, budget);
        }
        self.may_have_run = true;
        if self.resumes > 0 && !self.can_resume() {
            return self.ambiguous(now, budget);
        }
        let asks_first = !self.kind.repeatable && self.passed == 0;
        let next = if asks_first {
            self.ask()
        } else {
            self.resume()
        };
        next.unwrap_or_else(|| self.ambiguous(now, budget))
    }

    /// The attempt may have run and its answer cannot be had.
    fn ambiguous(&mut self, now: Timestamp, budget: &mut RetryBudget) -> NextStep {
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
        if self.attempts >= MOST_ATTEMPTS || !budget.spend(now) {
            return self.fail();
        }
        self.phase = Phase::Ready;
        NextStep::Retry {
            exclude: self.excluded.clone(),
        }
    }

    fn can_resume(&self) -> bool {
        self.kind.resumable && self.resumes < MOST_RESUMES
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

    fn ask(&mut self) -> Option<NextStep> {
        let may_ask = self.kind.resumable && self.questions < MOST_QUESTIONS;
        let attempt = self.current.filter(|_| may_ask)?;
        self.questions += 1;
        self.phase = Phase::Asking;
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
