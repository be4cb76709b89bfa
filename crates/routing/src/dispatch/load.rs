//! Load reports of engines.

/// Most requests that a valid report may contain.
const MAX_REQUESTS: u32 = 1_000_000;
/// Most slots that a valid report may contain.
const MAX_SLOTS: u32 = 100_000;
/// Highest valid pace, in hundredths of the usual time.
const MAX_PACE: u32 = 10_000;

/// Load that an engine reports in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLoad {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Requests that can run concurrently.
    pub slots: u32,
    /// Current pace, in hundredths of the usual time there, if the engine reports it.
    pub pace: Option<u32>,
}

/// Fault of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadFault {
    /// Requests or slots are missing or out of range; nothing of the report is used.
    Load,
    /// The pace is missing or out of range; the rest is used.
    Pace,
}

/// The valid part of a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// The load, if it is valid.
    pub load: Option<EngineLoad>,
    /// The fault, if there is one.
    pub fault: Option<LoadFault>,
}

impl LoadReport {
    /// Parses the figures of a report: running requests, waiting requests, slots, and
    /// optionally the pace. A figure that is not a whole number of 0 or more is `None`.
    #[must_use]
    pub fn from_values(figures: &[Option<u32>]) -> Self {
        let figure = |place: usize, max: u32| {
            let figure = figures.get(place).copied().flatten();
            figure.filter(|figure| *figure <= max)
        };
        let requests = figure(0, MAX_REQUESTS).zip(figure(1, MAX_REQUESTS));
        let Some(((running, waiting), slots)) = requests.zip(figure(2, MAX_SLOTS)) else {
            return Self {
                load: None,
                fault: Some(LoadFault::Load),
            };
        };
        let pace = figure(3, MAX_PACE).filter(|pace| *pace > 0);
        let bad_pace = figures.len() > 3 && pace.is_none();
        Self {
            load: Some(EngineLoad {
                running,
                waiting,
                slots,
                pace,
            }),
            fault: bad_pace.then_some(LoadFault::Pace),
        }
    }
}
