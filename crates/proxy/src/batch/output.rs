//! What is there of an item's output while it runs.

use molespan_state::batch::{ItemCheckpoint, ItemProgress, ItemReference, PackedText};

/// The output of an item so far, and how much of it the batch group keeps.
#[derive(Clone, Debug, Default)]
pub(super) struct Output {
    /// Number of the last event that is there.
    pub last_event: Option<u64>,
    /// Data of the events in order; what came back from the batch group stands
    /// in pieces of several events.
    data: Vec<String>,
    /// The part that the batch group keeps.
    kept: Kept,
}

/// A part of an output, from its beginning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Kept {
    last_event: Option<u64>,
    pieces: usize,
}

impl Output {
    /// What the batch group keeps of an earlier run. Nothing when it cannot be
    /// read: then the item runs anew.
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

    /// Takes an event in.
    pub fn push(&mut self, id: Option<u64>, data: String) {
        self.last_event = id.or(self.last_event);
        self.data.push(data);
    }

    /// The whole output.
    pub fn text(&self) -> PackedText {
        PackedText::pack(&self.data.join("\n"))
    }

    /// What the batch group does not keep yet, and what it will keep with it.
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

    /// The batch group keeps that much.
    pub fn note_kept(&mut self, kept: Kept) {
        self.kept = kept;
    }
}
