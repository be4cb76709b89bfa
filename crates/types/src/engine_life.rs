//! Which life of an engine an identifier names.

use std::collections::BTreeMap;

/// Stands between the name and the start. No name has it: a path ends before it.
const SEPARATOR: char = '#';
/// The character behind it, for ranges of identifiers.
const BEHIND_SEPARATOR: char = '$';

/// One life of an engine that may start again under its name. Its identifier, by which
/// every table goes, is the name and the start; the name alone where no start was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLife<'a> {
    /// What the engine calls itself in each of its lives.
    pub name: &'a str,
    /// Milliseconds since 1970 at which it started, if it says so.
    pub born: Option<u64>,
}

impl<'a> EngineLife<'a> {
    /// The life that an identifier names.
    #[must_use]
    pub fn of(id: &'a str) -> Self {
        let parts = id.rsplit_once(SEPARATOR);
        let life = parts.and_then(|(name, born)| {
            let born = born.parse().ok()?;
            Some(Self {
                name,
                born: Some(born),
            })
        });
        life.unwrap_or(Self {
            name: id,
            born: None,
        })
    }

    /// Whether an engine may call itself so.
    #[must_use]
    pub fn is_name(name: &str) -> bool {
        !name.is_empty() && !name.contains(SEPARATOR)
    }

    /// The identifier.
    #[must_use]
    pub fn id(&self) -> String {
        match self.born {
            Some(born) => format!("{}{SEPARATOR}{born}", self.name),
            None => self.name.to_owned(),
        }
    }

    /// Whether it ended before `other` began: one engine lives once at a time. A life
    /// without a start is taken for the earliest.
    #[must_use]
    pub fn is_before(&self, other: &EngineLife<'_>) -> bool {
        self.name == other.name && self.born < other.born
    }

    /// Whether the departure of `departed` is this one's too: it or a later life left.
    #[must_use]
    pub fn is_bound_by(&self, departed: &EngineLife<'_>) -> bool {
        self.name == departed.name && self.born <= departed.born
    }
}

/// What a map by identifier holds of the lives of one engine.
pub fn lives_of<'m, V>(
    map: &'m BTreeMap<String, V>,
    name: &str,
) -> impl Iterator<Item = (&'m String, &'m V)> + use<'m, V> {
    let from = format!("{name}{SEPARATOR}");
    let to = format!("{name}{BEHIND_SEPARATOR}");
    let plain = map.get_key_value(name).into_iter();
    plain.chain(map.range(from..to))
}
