//! Admission of completions.

use molespan_types::Timestamp;

use super::{EngineCore, Refusal, Sequence, Submission};

impl EngineCore {
    /// Submits a completion.
    ///
    /// # Errors
    /// A [`Refusal`]; its outcome states whether the request ran.
    pub fn submit(&mut self, now: Timestamp, submission: Submission) -> Result<(), Refusal> {
        self.observe_load(now);
        self.check_not_submitted(now, &submission.attempt)?;
        self.check_admissible(&submission)?;
        let attempt = submission.attempt.clone();
        let sequence = Sequence::new(submission);
        self.check_size(&sequence)?;
        let id = self.scheduler.add(sequence);
        self.live.insert(attempt, id);
        self.start_step(now);
        Ok(())
    }

    /// Rejects an attempt that was submitted before. Invariant: an attempt
    /// identifier runs at most once per incarnation.
    fn check_not_submitted(&mut self, now: Timestamp, attempt: &str) -> Result<(), Refusal> {
        match self.status(now, attempt) {
            Ok(status) => Err(Refusal::Duplicate {
                state: status.state,
            }),
            Err(Refusal::Forgotten) if self.finished.has_existed(attempt) => {
                Err(Refusal::Forgotten)
            }
            Err(_) => Ok(()),
        }
    }

    fn check_admissible(&self, submission: &Submission) -> Result<(), Refusal> {
        let loaded = self.orders.loaded();
        if self.faults.refuse {
            return Err(Refusal::Refusing);
        }
        if loaded.leaving {
            return Err(Refusal::Leaving);
        }
        if !loaded.models.contains_key(&submission.model) {
            return Err(Refusal::ModelNotLoaded {
                model: submission.model.clone(),
            });
        }
        if let Some(adapter) = &submission.adapter
            && !loaded.adapters.contains(adapter)
        {
            return Err(Refusal::AdapterNotLoaded {
                adapter: adapter.clone(),
            });
        }
        if self.scheduler.waiting() >= self.settings.model.max_waiting as usize {
            return Err(Refusal::QueueFull);
        }
        Ok(())
    }

    fn check_size(&self, sequence: &Sequence) -> Result<(), Refusal> {
        let needed = sequence.max_blocks();
        let capacity = self.scheduler.memory().capacity();
        if needed > capacity {
            return Err(Refusal::TooLarge { needed, capacity });
        }
        Ok(())
    }
}
