//! Batch jobs and their items.

use std::collections::BTreeMap;

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};

use super::command::{ItemCheckpoint, RunId, StoredProgress};
use super::packed::CompressedText;
use crate::codec::{decode, encode};
use crate::declared::StreamOrigin;
use crate::payload::{PayloadError, PayloadLocation, PayloadLog};

/// A request of a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct BatchItem {
    /// Identifier chosen by the caller.
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
    /// Number of prompt tokens plus the maximum number of generated tokens.
    #[n(4)]
    pub tokens: u64,
}

/// Maximum number of tokens counted for one item. The declared number is unbounded; this
/// cap keeps all sums exact.
const MAX_COUNTED_TOKENS: u64 = 1 << 40;

impl BatchItem {
    /// Returns the number of tokens that count against limits.
    #[must_use]
    pub fn counted_tokens(&self) -> u64 {
        self.tokens.min(MAX_COUNTED_TOKENS)
    }
}

/// Stored progress of the runs of an item. If a gateway is lost, another run resumes from
/// it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ItemProgress {
    /// Number of the last stored event.
    #[n(0)]
    pub last_event: Option<u64>,
    /// Data of the stored events in pieces; events are separated by line feeds.
    #[n(1)]
    pub pieces: Vec<CompressedText>,
    /// Run that produced the last event.
    #[n(2)]
    #[cbor(default)]
    pub run: RunId,
    /// Where the output began; `None` if it is unknown, or stored by an older build.
    #[n(3)]
    #[cbor(default)]
    pub origin: Option<StreamOrigin>,
}

impl ItemProgress {
    /// Returns the stored progress, or `None` if nothing is stored.
    #[must_use]
    pub fn stored(&self) -> Option<StoredProgress> {
        let run = self.run;
        self.last_event
            .map(|last_event| StoredProgress { last_event, run })
    }
}

/// Outcome of an item.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ItemOutcome {
    /// The item completed.
    #[n(0)]
    Completed {
        /// Complete output.
        #[n(0)]
        text: CompressedText,
    },
    /// The item was given up without an answer.
    #[n(1)]
    DeadLettered,
}

/// An outcome as stored by a replica. Outputs are stored in the payload log: in memory they
/// would take as much space as the output of all jobs within their retention time.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(super) enum StoredOutcome {
    /// The item completed and its output is in memory: before it is moved to the log, and
    /// in snapshots written before the log existed.
    #[n(0)]
    Completed {
        /// Complete output.
        #[n(0)]
        text: CompressedText,
    },
    /// The item was given up without an answer.
    #[n(1)]
    DeadLettered,
    /// The item completed and its output is in the payload log.
    #[n(2)]
    Logged {
        /// Length of the uncompressed output in bytes.
        #[n(0)]
        length: u64,
        /// Location of the compressed output in the log of this replica.
        #[n(1)]
        at: PayloadLocation,
    },
}

impl StoredOutcome {
    fn of(outcome: &ItemOutcome) -> Self {
        match outcome {
            ItemOutcome::Completed { text } => Self::Completed { text: text.clone() },
            ItemOutcome::DeadLettered => Self::DeadLettered,
        }
    }

    /// Returns the length of the uncompressed output in bytes.
    pub fn length(&self) -> u64 {
        match self {
            Self::Completed { text } => text.length(),
            Self::DeadLettered => 0,
            Self::Logged { length, .. } => *length,
        }
    }

    /// Returns the outcome with its output.
    ///
    /// # Errors
    /// Fails if the output cannot be read from the log.
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

/// Unique key of a job. Tenants choose identifiers independently, so two tenants may choose
/// the same one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
#[cbor(transparent)]
pub(super) struct JobKey(#[n(0)] String);

impl JobKey {
    /// Creates the key of a job of `tenant`. Without a tenant it is the identifier itself,
    /// as in snapshots written before tenants existed. The separator is unambiguous because
    /// headers cannot contain a line feed.
    pub fn new(tenant: Option<&str>, id: &str) -> Self {
        match tenant {
            Some(tenant) => Self(format!("{tenant}\n{id}")),
            None => Self(id.to_owned()),
        }
    }
}

/// A batch job with the outcomes of its items.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct BatchJob {
    /// Identifier chosen by the caller.
    #[n(0)]
    pub id: String,
    /// Host of the route.
    #[n(1)]
    pub host: String,
    /// Path of the request.
    #[n(2)]
    pub path: String,
    /// Submission time at the first gateway, in milliseconds since 1970.
    #[n(3)]
    pub submitted_ms: u64,
    /// Items.
    #[n(4)]
    pub items: Vec<BatchItem>,
    /// Outcome of each item; `None` while it is open.
    #[n(5)]
    pub(super) outcomes: Vec<Option<StoredOutcome>>,
    /// Indexes of the items in the order in which their outcomes were recorded.
    #[n(6)]
    pub result_order: Vec<u32>,
    /// Whether the caller ended the job.
    #[n(7)]
    pub ended: bool,
    /// Stored progress of items without an outcome, by item index.
    #[n(8)]
    pub progress: BTreeMap<u32, ItemProgress>,
    /// Completion deadline in milliseconds since 1970, if the route has one.
    #[n(9)]
    pub due_ms: Option<u64>,
    /// Queue whose waiting tokens are counted together, derived from tenant and route.
    #[n(10)]
    pub queue: String,
    /// Tenant that owns the job, if tenants are configured.
    #[n(11)]
    pub tenant: Option<String>,
}

impl BatchJob {
    pub(super) fn key(&self) -> JobKey {
        JobKey::new(self.tenant.as_deref(), &self.id)
    }

    /// Whether any item still has to run.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.ended && self.result_order.len() < self.items.len()
    }

    /// Returns the number of tokens of items without an outcome; 0 for an ended job.
    pub(super) fn waiting_tokens(&self) -> u64 {
        let places = self.open_places();
        places
            .map(|place| self.items[place as usize].counted_tokens())
            .sum()
    }

    /// Records an outcome unless the item already has one. Returns the number of tokens
    /// that stop waiting; 0 for an ended job, whose tokens were not waiting.
    pub(super) fn record(&mut self, place: u32, outcome: &ItemOutcome) -> u64 {
        let Some(slot) = self.outcomes.get_mut(place as usize) else {
            return 0;
        };
        if slot.is_some() {
            return 0;
        }
        *slot = Some(StoredOutcome::of(outcome));
        // Headers and body are only needed until the item has an outcome.
        let item = &mut self.items[place as usize];
        item.headers = Vec::new();
        item.body = Vec::new().into();
        self.result_order.push(place);
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

    /// Returns the lowest log offset of its outputs.
    pub(super) fn oldest_payload(&self) -> Option<u64> {
        let kept = self.outcomes.iter().flatten();
        let offsets = kept.filter_map(|kept| match kept {
            StoredOutcome::Logged { at, .. } => Some(at.offset),
            StoredOutcome::Completed { .. } | StoredOutcome::DeadLettered => None,
        });
        offsets.min()
    }

    /// Iterates over the log locations of its outputs.
    pub(super) fn locations(&mut self) -> impl Iterator<Item = &mut PayloadLocation> {
        let kept = self.outcomes.iter_mut().flatten();
        kept.filter_map(|kept| match kept {
            StoredOutcome::Logged { at, .. } => Some(at),
            StoredOutcome::Completed { .. } | StoredOutcome::DeadLettered => None,
        })
    }

    /// Stores the output of a run unless the item has an outcome. A checkpoint that does
    /// not continue the stored progress comes from another run; it replaces the progress
    /// only if it starts at the first event and ends at a later one. Returns the stored
    /// progress afterwards.
    pub(super) fn store_checkpoint(
        &mut self,
        checkpoint: &ItemCheckpoint,
    ) -> Option<StoredProgress> {
        let place = checkpoint.item.place;
        self.outcomes
            .get(place as usize)
            .filter(|outcome| outcome.is_none())?;
        let kept = self.progress.get(&place).and_then(|kept| kept.last_event);
        // Each event number is stored by only one run, since stored progress only grows,
        // and a run only continues it after confirmation that its own events are stored.
        let continues = checkpoint.after == kept;
        let is_longer = kept.is_none_or(|kept| checkpoint.last_event > kept);
        if is_longer && (continues || checkpoint.after.is_none()) {
            let progress = self.progress.entry(place).or_default();
            if !continues || kept.is_none() {
                progress.pieces.clear();
                progress.origin = checkpoint.origin.clone();
            } else if progress.origin != checkpoint.origin {
                // The run does not know what it continued, so nobody may go on with it.
                progress.origin = None;
            }
            progress.pieces.push(checkpoint.text.clone());
            progress.last_event = Some(checkpoint.last_event);
            progress.run = checkpoint.run;
        }
        self.progress.get(&place).and_then(ItemProgress::stored)
    }

    /// Returns the path prefix of the route that accepted the job, after which its queue is
    /// named; `None` for a queue of another name.
    pub(super) fn route_prefix(&self) -> Option<&str> {
        let route = self.queue.rsplit('\n').next()?;
        let prefix = route.strip_prefix(self.host.as_str())?;
        self.path.starts_with(prefix).then_some(prefix)
    }

    /// Iterates over the indexes of items that still have to run.
    pub(super) fn open_places(&self) -> impl Iterator<Item = u32> {
        let open = !self.ended;
        let places = (0u32..).zip(&self.outcomes);
        places
            .filter(move |(_, outcome)| open && outcome.is_none())
            .map(|(place, _)| place)
    }
}
