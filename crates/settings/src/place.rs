//! Finds the key on a line of a file without parsing the file, and compares names.

/// Returns the dotted key that is assigned on `line` (from 1), such as
/// `timing.lease`, or an empty string when the line assigns none.
pub(crate) fn key_at(text: &str, line: usize) -> String {
    let Some((name, _)) = line_text(text, line).split_once('=') else {
        return String::new();
    };
    let table = table_at(text, line);
    if table.is_empty() {
        return name.trim().to_owned();
    }
    format!("{table}.{}", name.trim())
}

/// Whether `line` is the header of a table.
pub(crate) fn is_header(text: &str, line: usize) -> bool {
    line_text(text, line).trim_start().starts_with('[')
}

/// Returns the Levenshtein distance: the number of single-character edits that turn
/// one name into the other.
pub(crate) fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (position, from) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = position + 1;
        for (column, to) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(from != *to);
            diagonal = row[column + 1];
            let moved = diagonal.min(row[column]) + 1;
            row[column + 1] = replaced.min(moved);
        }
    }
    row[right.len()]
}

fn line_text(text: &str, line: usize) -> &str {
    text.lines().nth(line - 1).unwrap_or_default()
}

/// Returns the dotted path of the table that contains `line`.
fn table_at(text: &str, line: usize) -> String {
    let headers: Vec<&str> = text
        .lines()
        .take(line - 1)
        .map(str::trim)
        .filter(|line| line.starts_with('['))
        .collect();
    let Some(last) = headers.last() else {
        return String::new();
    };
    let name = last.trim_matches(['[', ']']).to_owned();
    if last.starts_with("[[") {
        let count = headers.iter().filter(|header| *header == last).count();
        return format!("{name}[{}]", count - 1);
    }
    name
}
