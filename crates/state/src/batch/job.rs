//! A job and its items.

use std::collections::BTreeMap;

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};

use super::command::{ItemCheckpoint, Mark, RunId};
use super::packed::PackedText;
use crate::codec::{decode, encode};
use crate::payload::{PayloadError, PayloadLocation, PayloadLog};

/// A request that is run for a job.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct BatchItem {
    /// Identifier that the caller chose.
    #[n(0)]
    pub id: String,
    /// Path of the request.
    #[n(1)]
    pub path: String,
    /// Headers of the request.
    #[n(2)]
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    #[n(3)]
    pub body: ByteVec,
    /// Tokens of the prompt and the most that are generated.
    #[n(4)]
    pub tokens: u64,
}

/// Tokens of one item that count at the most. A declared number has no bound;
/// with this one all sums are exact.
const MOST_TOKENS: u64 = 1 << 40;

impl BatchItem {
    /// Its tokens as they count against limits.
    #[must_use]
    pub fn counted_tokens(&self) -> u64 {
        self.tokens.min(MOST_TOKENS)
    }
}

/// How far runs of an item came, as far as it is kept. Another run goes on
/// behind it when a gateway is lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ItemProgress {
    /// Number of the last event that is kept.
    #[n(0)]
    pub last_event: Option<u64>,
    /// Data of the events so far in pieces, with line feeds between them.
    #[n(1)]
    pub pieces: Vec<PackedText>,
    /// The run that made the last event.
    #[n(2)]
    #[cbor(default)]
    pub run: RunId,
}

impl ItemProgress {
    /// How far it goes; `None` when nothing is kept.
    #[must_use]
    pub fn mark(&self) -> Option<Mark> {
        let run = self.run;
        self.last_event.map(|last_event| Mark { last_event, run })
    }
}

/// What became of an item.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ItemOutcome {
    /// It ran to its end.
    #[n(0)]
    Completed {
        /// Its whole output.
        #[n(0)]
        text: PackedText,
    },
    /// It was given up.
    #[n(1)]
    DeadLettered,
}

/// An outcome as a replica keeps it. Outputs lie in its payload log: in memory they would
/// take as much as all jobs together made in the time for which these are kept.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(super) enum KeptOutcome {
    /// It ran to its end, and its output is in memory: until it is logged, and in
    /// snapshots of before there was a log.
    #[n(0)]
    Completed {
        /// Its whole output.
        #[n(0)]
        text: PackedText,
    },
    /// It was given up.
    #[n(1)]
    DeadLettered,
    /// It ran to its end, and its output is in the payload log.
    #[n(2)]
    Logged {
        /// Length of the output in bytes.
        #[n(0)]
        length: u64,
        /// Where the packed output lies in the log of this replica.
        #[n(1)]
        at: PayloadLocation,
    },
}

impl KeptOutcome {
    fn of(outcome: &ItemOutcome) -> Self {
        match outcome {
            ItemOutcome::Completed { text } => Self::Completed { text: text.clone() },
            ItemOutcome::DeadLettered => Self::DeadLettered,
        }
    }

    /// Length of the output in bytes.
    pub fn length(&self) -> u64 {
        match self {
            Self::Completed { text } => text.length(),
            Self::DeadLettered => 0,
            Self::Logged { length, .. } => *length,
        }
    }

    /// The outcome with its output.
    ///
    /// # Errors
    /// When the log does not give it.
    pub fn read(&self, payloads: &dyn PayloadLog) -> Result<ItemOutcome, PayloadError> {
        match self {
            Self::Completed { text } => Ok(ItemOutcome::Completed { text: text.clone() }),
            Self::DeadLettered => Ok(ItemOutcome::DeadLettered),
            Self::Logged { at, .. } => {
                let bytes = payloads.read(*at)?;
                let corrupt = |_| PayloadError::Corrupt { offset: at.offset };
                let text = decode(&bytes).map_err(corrupt)?;
                Ok(ItemOutcome::Completed { text })
            }
        }
    }

    /// Moves an output that is in memory to the log.
    fn log(&mut self, payloads: &mut dyn PayloadLog) -> Result<(), PayloadError> {
        if let Self::Completed { text } = self {
            let length = text.length();
            let at = payloads.append(&encode(text))?;
            *self = Self::Logged { length, at };
        }
        Ok(())
    }
}

/// Names a job among all. Tenants choose identifiers without knowing of each
/// other, so that two may choose the same one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
#[cbor(transparent)]
pub(super) struct JobName(#[n(0)] String);

impl JobName {
    /// Of a job of `tenant`. Without one it is the identifier itself, as in
    /// snapshots from before there were tenants. No header has a line feed in it.
    pub fn new(tenant: Option<&str>, id: &str) -> Self {
        match tenant {
            Some(tenant) => Self(format!("{tenant}\n{id}")),
            None => Self(id.to_owned()),
        }
    }
}

/// A job, with the outcomes of its items.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct BatchJob {
    /// Identifier that the caller chose.
    #[n(0)]
    pub id: String,
    /// Host of its route.
    #[n(1)]
    pub host: String,
    /// Path that it was sent to.
    #[n(2)]
    pub path: String,
    /// Milliseconds since 1970 at the gateway that took it first.
    #[n(3)]
    pub submitted_ms: u64,
    /// Items.
    #[n(4)]
    pub items: Vec<BatchItem>,
    /// Outcome of each item, once there is one.
    #[n(5)]
    pub(super) outcomes: Vec<Option<KeptOutcome>>,
    /// Places of the items in the order in which their outcomes were recorded.
    #[n(6)]
    pub listed: Vec<u32>,
    /// Whether the caller ended it.
    #[n(7)]
    pub ended: bool,
    /// How far items without an outcome came, by their places.
    #[n(8)]
    pub progress: BTreeMap<u32, ItemProgress>,
    /// Milliseconds since 1970 by which all of it is to be done, if its route
    /// says.
    #[n(9)]
    pub due_ms: Option<u64>,
    /// Whose waiting tokens are counted together: its tenant and route.
    #[n(10)]
    pub queue: String,
    /// Tenant whose job it is, where there are tenants.
    #[n(11)]
    pub tenant: Option<String>,
}

impl BatchJob {
    pub(super) fn name(&self) -> JobName {
        JobName::new(self.tenant.as_deref(), &self.id)
    }

    /// Whether items are left to run.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.ended && self.listed.len() < self.items.len()
    }

    /// Tokens of the items that wait for an outcome; none of an ended job.
    pub(super) fn waiting_tokens(&self) -> u64 {
        let places = self.open_places();
        places
            .map(|place| self.items[place as usize].counted_tokens())
            .sum()
    }

    /// Records an outcome unless there is one. Gives the tokens that wait no more;
    /// those of an ended job did not.
    pub(super) fn record(&mut self, place: u32, outcome: &ItemOutcome) -> u64 {
        let Some(slot) = self.outcomes.get_mut(place as usize) else {
            return 0;
        };
        if slot.is_some() {
            return 0;
        }
        *slot = Some(KeptOutcome::of(outcome));
        // Only items without an outcome run, and only their bodies are asked for.
        let item = &mut self.items[place as usize];
        item.headers = Vec::new();
        item.body = Vec::new().into();
        self.listed.push(place);
        self.progress.remove(&place);
        match self.ended {
            true => 0,
            false => item.counted_tokens(),
        }
    }

    /// Moves the output of an item to the log.
    pub(super) fn log_output(
        &mut self,
        place: u32,
        payloads: &mut dyn PayloadLog,
    ) -> Result<(), PayloadError> {
        let kept = self.outcomes.get_mut(place as usize);
        match kept.and_then(Option::as_mut) {
            Some(kept) => kept.log(payloads),
            None => Ok(()),
        }
    }

    /// Where the first of its outputs lies in the log.
    pub(super) fn oldest_payload(&self) -> Option<u64> {
        let kept = self.outcomes.iter().flatten();
        let offsets = kept.filter_map(|kept| match kept {
            KeptOutcome::Logged { at, .. } => Some(at.offset),
            KeptOutcome::Completed { .. } | KeptOutcome::DeadLettered => None,
        });
        offsets.min()
    }

    /// Where its outputs lie in the log.
    pub(super) fn locations(&mut self) -> impl Iterator<Item = &mut PayloadLocation> {
        let kept = self.outcomes.iter_mut().flatten();
        kept.filter_map(|kept| match kept {
            KeptOutcome::Logged { at, .. } => Some(at),
            KeptOutcome::Completed { .. } | KeptOutcome::DeadLettered => None,
        })
    }

    /// Keeps what a run has made, unless the item has an outcome. What does not
    /// follow on what is kept comes from another run, and counts only if it is
    /// whole and goes further. Says how far the item is kept then.
    pub(super) fn keep(&mut self, checkpoint: &ItemCheckpoint) -> Option<Mark> {
        let place = checkpoint.item.place;
        self.outcomes
            .get(place as usize)
            .filter(|outcome| outcome.is_none())?;
        let kept = self.progress.get(&place).and_then(|kept| kept.last_event);
        // Each number is reached by one run alone, since what is kept only grows,
        // and only whoever heard that its own events are kept follows on them.
        let follows = checkpoint.after == kept;
        let goes_further = kept.is_none_or(|kept| checkpoint.last_event > kept);
        if goes_further && (follows || checkpoint.after.is_none()) {
            let progress = self.progress.entry(place).or_default();
            if !follows {
                progress.pieces.clear();
            }
            progress.pieces.push(checkpoint.text.clone());
            progress.last_event = Some(checkpoint.last_event);
            progress.run = checkpoint.run;
        }
        self.progress.get(&place).and_then(ItemProgress::mark)
    }

    /// Places of items without an outcome.
    pub(super) fn open_places(&self) -> impl Iterator<Item = u32> {
        let open = !self.ended;
        let places = (0u32..).zip(&self.outcomes);
        places
            .filter(move |(_, outcome)| open && outcome.is_none())
            .map(|(place, _)| place)
    }
}
