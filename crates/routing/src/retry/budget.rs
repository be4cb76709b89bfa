//! Retry budget of a service.

use molespan_types::Timestamp;

/// Settings of a retry budget.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries allowed for each first attempt.
    pub ratio: f64,
    /// Retries per second that are always allowed, for services with few requests.
    pub reserve_per_second: f64,
    /// Most retries that can accumulate.
    pub max_tokens: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            reserve_per_second: 1.0,
            max_tokens: 20.0,
        }
    }
}

/// Token bucket for retries: first attempts earn tokens, retries spend them.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    tokens: f64,
    updated: Timestamp,
}

impl RetryBudget {
    /// Returns a full budget.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            tokens: settings.max_tokens,
            settings,
            updated: Timestamp::ZERO,
        }
    }

    /// Records a first attempt.
    pub fn earn(&mut self) {
        self.add(self.settings.ratio);
    }

    /// Takes a token for a retry. Returns `false` if there is none.
    pub fn spend(&mut self, now: Timestamp) -> bool {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.add(elapsed * self.settings.reserve_per_second);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.settings.max_tokens);
    }
}
