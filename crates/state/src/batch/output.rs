//! The output of an item at the gateway that runs it, and how much of it the
//! batch group keeps.

use super::command::{ItemCheckpoint, ItemReference};
use super::job::ItemProgress;
use super::packed::PackedText;

/// The output of an item so far.
///
/// What [`Output::checkpoint`] gives may be committed late or although the gateway
/// never hears of it, and another gateway may have kept more. Whenever the batch
/// group may keep something else than this one believes, the next checkpoint is
/// whole: it is taken whatever is kept by then.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    last_event: Option<u64>,
    /// Data of the events in order; what came back from the batch group stands
    /// in pieces of several events.
    data: Vec<String>,
    kept: Kept,
}

/// The part of an output, from its beginning, that the batch group keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Kept {
    last_event: Option<u64>,
    pieces: usize,
}

impl Output {
    /// What the batch group keeps of an earlier run. Nothing when it cannot be
    /// read: then the item runs anew.
    #[must_use]
    pub fn resume(progress: &ItemProgress) -> Self {
        let data: Option<Vec<String>> = progress.pieces.iter().map(PackedText::unpack).collect();
        let Some(data) = data else {
            return Self::default();
        };
        let kept = Kept {
            last_event: progress.last_event,
            pieces: data.len(),
        };
        Self {
            last_event: progress.last_event,
            data,
            kept,
        }
    }

    /// Number of the last event that is there; a run goes on behind it.
    #[must_use]
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Takes an event in.
    pub fn push(&mut self, id: Option<u64>, data: String) {
        self.last_event = id.or(self.last_event);
        self.data.push(data);
    }

    /// The whole output.
    #[must_use]
    pub fn text(&self) -> PackedText {
        PackedText::pack(&self.data.join("\n"))
    }

    /// What the batch group does not keep yet, and what it keeps with it; `None`
    /// when it keeps everything.
    #[must_use]
    pub fn checkpoint(&self, item: ItemReference) -> Option<(ItemCheckpoint, Kept)> {
        let last_event = self.last_event?;
        if self.kept.last_event.is_some_and(|kept| kept >= last_event) {
            return None;
        }
        let checkpoint = ItemCheckpoint {
            item,
            after: self.kept.last_event,
            last_event,
            text: PackedText::pack(&self.data[self.kept.pieces..].join("\n")),
        };
        let kept = Kept {
            last_event: Some(last_event),
            pieces: self.data.len(),
        };
        Some((checkpoint, kept))
    }

    /// The batch group took a checkpoint in that would make it keep `kept`, and
    /// answers the last event that it does keep.
    pub fn note_kept(&mut self, kept: Kept, last_event: Option<u64>) {
        match last_event == kept.last_event {
            true => self.kept = kept,
            false => self.forget_kept(),
        }
    }

    /// It is not known what the batch group keeps.
    pub fn forget_kept(&mut self) {
        self.kept = Kept::default();
    }
}
