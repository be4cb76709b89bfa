//! File names and the changes to them that a crash may lose.

use std::collections::BTreeMap;

/// A change to file names that is not yet durable.
#[derive(Clone, Debug)]
pub(super) enum NameChange {
    Create {
        file: String,
        content: u64,
    },
    Rename {
        from: String,
        to: String,
        content: u64,
    },
    Remove {
        file: String,
    },
}

impl NameChange {
    /// Returns the directory of the change.
    pub(super) fn directory(&self) -> &str {
        match self {
            Self::Create { file, .. } | Self::Remove { file } => directory_of(file),
            Self::Rename { to, .. } => directory_of(to),
        }
    }

    /// Whether the change gives a name to `content`.
    pub(super) fn names(&self, content: u64) -> bool {
        match self {
            Self::Create { content: named, .. } | Self::Rename { content: named, .. } => {
                *named == content
            }
            Self::Remove { .. } => false,
        }
    }

    /// Applies the change to `names`.
    pub(super) fn apply(&self, names: &mut BTreeMap<String, u64>) {
        match self {
            Self::Create { file, content } => {
                names.insert(file.clone(), *content);
            }
            Self::Rename { from, to, content } => {
                names.remove(from);
                names.insert(to.clone(), *content);
            }
            Self::Remove { file } => {
                names.remove(file);
            }
        }
    }
}

/// Returns the directory of a file; empty for the data folder itself.
pub(super) fn directory_of(file: &str) -> &str {
    file.rsplit_once('/').map_or("", |(directory, _)| directory)
}
