//! Output of an item at the gateway that runs it, and tracking of the part that the batch
//! group has stored.

use super::command::{ItemCheckpoint, ItemReference, RunId, StoredProgress};
use super::job::ItemProgress;
use super::packed::CompressedText;
use crate::declared::StreamOrigin;

/// The output of an item so far.
///
/// A checkpoint from [`Output::checkpoint`] may be committed late or without the gateway
/// receiving the reply, and another gateway may have stored more. If the stored progress
/// may differ from the expected one, the next checkpoint contains the whole output, which
/// does not depend on what is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    run: RunId,
    last_event: Option<u64>,
    /// Data of the events in order. Data restored from the batch group is in pieces of
    /// several events each.
    data: Vec<String>,
    /// Where the output began; `None` if there is none yet or it is unknown.
    origin: Option<StreamOrigin>,
    prefix: StoredPrefix,
}

/// The prefix of an output that the batch group has stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoredPrefix {
    stored: Option<StoredProgress>,
    pieces: usize,
}

impl Output {
    /// Creates an empty output of a run that starts at the first event.
    #[must_use]
    pub fn begin(run: RunId) -> Self {
        Self {
            run,
            last_event: None,
            data: Vec::new(),
            origin: None,
            prefix: StoredPrefix::default(),
        }
    }

    /// Discards the output, since nothing may go on with it; `run` starts at the first
    /// event.
    pub fn restart(&mut self, run: RunId) {
        *self = Self::begin(run);
    }

    /// Returns where the output began, if that is known.
    #[must_use]
    pub fn origin(&self) -> Option<&StreamOrigin> {
        self.origin.as_ref()
    }

    /// Records the origin of the events that follow. The origin of an output with others
    /// before them is unknown.
    pub fn continue_from(&mut self, origin: Option<StreamOrigin>) {
        match self.last_event {
            Some(_) if self.origin != origin => self.origin = None,
            _ => self.origin = origin,
        }
    }

    /// Restores the stored output of an earlier run, which `run` resumes. The output is
    /// empty if the stored data cannot be decoded; the item then runs from the start.
    #[must_use]
    pub fn resume(progress: &ItemProgress, run: RunId) -> Self {
        let data: Option<Vec<String>> = progress
            .pieces
            .iter()
            .map(CompressedText::decompress)
            .collect();
        let Some(data) = data else {
            return Self::begin(run);
        };
        let prefix = StoredPrefix {
            stored: progress.stored(),
            pieces: data.len(),
        };
        Self {
            run,
            last_event: progress.last_event,
            data,
            origin: progress.origin.clone(),
            prefix,
        }
    }

    /// Returns the number of the last event; a run resumes after it.
    #[must_use]
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Returns the size of the output so far, in bytes.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.data.iter().map(|data| data.len() as u64).sum()
    }

    /// Appends an event.
    pub fn push(&mut self, id: Option<u64>, data: String) {
        self.last_event = id.or(self.last_event);
        self.data.push(data);
    }

    /// Returns the whole output.
    #[must_use]
    pub fn text(&self) -> CompressedText {
        CompressedText::compress(&self.data.join("\n"))
    }

    /// Returns a checkpoint of the output that the batch group has not stored yet, and the
    /// stored prefix after it is committed; `None` if everything is stored.
    #[must_use]
    pub fn checkpoint(&self, item: ItemReference) -> Option<(ItemCheckpoint, StoredPrefix)> {
        let last_event = self.last_event?;
        let after = self.prefix.stored;
        if after.is_some_and(|stored| stored.last_event >= last_event) {
            return None;
        }
        let run = self.run;
        let checkpoint = ItemCheckpoint {
            item,
            after: after.map(|stored| stored.last_event),
            last_event,
            text: CompressedText::compress(&self.data[self.prefix.pieces..].join("\n")),
            run,
            origin: self.origin.clone(),
        };
        let prefix = StoredPrefix {
            stored: Some(StoredProgress { last_event, run }),
            pieces: self.data.len(),
        };
        Some((checkpoint, prefix))
    }

    /// Records the reply to a checkpoint: `prefix` is the expected prefix, `stored` the
    /// progress that the batch group reports. A reply to a checkpoint of an output that was
    /// discarded says nothing of the present one.
    pub fn record_stored(&mut self, prefix: StoredPrefix, stored: Option<StoredProgress>) {
        let of_this_run = stored.is_some_and(|stored| stored.run == self.run);
        match of_this_run && stored == prefix.stored {
            true => self.prefix = prefix,
            false => self.reset_stored(),
        }
    }

    /// Resets the stored prefix when it is unknown what the batch group has stored.
    pub fn reset_stored(&mut self) {
        self.prefix = StoredPrefix::default();
    }
}
