//! What an engine tells of its load.

/// Most requests that an engine may tell of; more make no sense.
const MOST_REQUESTS: u32 = 1_000_000;
/// Most slots that an engine may tell of.
const MOST_SLOTS: u32 = 100_000;
/// Longest time that work may take there, in hundredths of what is usual.
const MOST_PACE: u32 = 10_000;

/// Load that an engine tells in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
    /// How long work takes there now, in hundredths of what is usual there, where it
    /// tells that.
    pub pace: Option<u32>,
}

/// What is wrong with a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadFault {
    /// Requests or slots are missing or make no sense: it says nothing.
    Load,
    /// How long work takes makes no sense; the rest holds.
    Pace,
}

/// A report as far as it makes sense.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// What it says.
    pub load: Option<EngineLoad>,
    /// What is wrong with it.
    pub fault: Option<LoadFault>,
}

impl LoadReport {
    /// A report of these figures: requests that run and that wait, slots, and how long
    /// work takes. One that is no whole number from 0 on is `None`.
    #[must_use]
    pub fn read(figures: &[Option<u32>]) -> Self {
        let figure = |place: usize, most: u32| {
            let figure = figures.get(place).copied().flatten();
            figure.filter(|figure| *figure <= most)
        };
        let requests = figure(0, MOST_REQUESTS).zip(figure(1, MOST_REQUESTS));
        let Some(((running, waiting), slots)) = requests.zip(figure(2, MOST_SLOTS)) else {
            return Self {
                load: None,
                fault: Some(LoadFault::Load),
            };
        };
        let pace = figure(3, MOST_PACE).filter(|pace| *pace > 0);
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
