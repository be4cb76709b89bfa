//! The output of an item at the gateway that runs it, and how much of it the
//! batch group keeps.

use super::command::{ItemCheckpoint, ItemReference, Mark, RunId};
use super::job::ItemProgress;
use super::packed::PackedText;

/// The output of an item so far.
///
/// What [`Output::checkpoint`] gives may be committed late or although the gateway
/// never hears of it, and another gateway may have kept more. Whenever the batch
/// group may keep something else than this one believes, the next checkpoint is
/// whole: it is taken whatever is kept by then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    run: RunId,
    last_event: Option<u64>,
    /// Data of the events in order; what came back from the batch group stands
    /// in pieces of several events.
    data: Vec<String>,
    kept: Kept,
}

/// The part of an output, from its beginning, that the batch group keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Kept {
    mark: Option<Mark>,
    pieces: usize,
}

impl Output {
    /// Nothing yet, of a run that begins with the first event.
    #[must_use]
    pub fn begin(run: RunId) -> Self {
        Self {
            run,
            last_event: None,
            data: Vec::new(),
            kept: Kept::default(),
        }
    }

    /// What the batch group keeps of an earlier run, behind which `run` goes on.
    /// Nothing when it cannot be read: then the item runs anew.
    #[must_use]
    pub fn resume(progress: &ItemProgress, run: RunId) -> Self {
        let data: Option<Vec<String>> = progress.pieces.iter().map(PackedText::unpack).collect();
        let Some(data) = data else {
            return Self::begin(run);
        };
        let kept = Kept {
            mark: progress.mark(),
            pieces: data.len(),
        };
        Self {
            run,
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
        let after = self.kept.mark;
        if after.is_some_and(|kept| kept.last_event >= last_event) {
            return None;
        }
        let run = self.run;
        let checkpoint = ItemCheckpoint {
            item,
            after: after.map(|kept| kept.last_event),
            last_event,
            text: PackedText::pack(&self.data[self.kept.pieces..].join("\n")),
            run,
        };
        let kept = Kept {
            mark: Some(Mark { last_event, run }),
            pieces: self.data.len(),
        };
        Some((checkpoint, kept))
    }

    /// The batch group took a checkpoint in that would make it keep `kept`, and
    /// answers how far it does keep the item.
    pub fn note_kept(&mut self, kept: Kept, mark: Option<Mark>) {
        match mark == kept.mark {
            true => self.kept = kept,
            false => self.forget_kept(),
        }
    }

    /// It is not known what the batch group keeps.
    pub fn forget_kept(&mut self) {
        self.kept = Kept::default();
    }
}
