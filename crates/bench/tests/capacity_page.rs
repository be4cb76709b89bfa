//! The tables of `docs/CAPACITY.md` are those that follow from the committed
//! slopes. With `UPDATE_EXPECT=1` the page is brought up to date instead.

use std::fs;
use std::path::PathBuf;

use molespan_bench::scale::capacity::{Inputs, LETTER, tables};

/// End of a table in the page.
const END: &str = "<!-- end of table -->";
/// Marks that a row may carry.
const MARKS: [&str; 3] = ["measured", "simulated", "on paper"];

fn docs(file: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("../../docs").join(file)
}

fn inputs() -> Inputs {
    let text = fs::read_to_string(docs("capacity/inputs.toml")).expect("the inputs are there");
    Inputs::parse(&text).expect("the inputs can be read")
}

/// The part of the page between the markers of a table.
fn between<'a>(page: &'a str, name: &str) -> Option<&'a str> {
    let begin = format!("<!-- table: {name} -->\n");
    let (_, rest) = page.split_once(&begin)?;
    let (text, _) = rest.split_once(END)?;
    Some(text)
}

#[test]
fn every_table_agrees_with_the_slopes() {
    let path = docs("CAPACITY.md");
    let mut page = fs::read_to_string(&path).expect("the page is there");
    let update = std::env::var_os("UPDATE_EXPECT").is_some();
    let mut differing = Vec::new();
    for table in tables(&inputs()) {
        let shown = between(&page, table.name).expect("the page has the table's markers");
        if shown == table.text {
            continue;
        }
        let begin = format!("<!-- table: {} -->\n", table.name);
        let old = format!("{begin}{shown}{END}");
        let new = format!("{begin}{}{END}", table.text);
        differing.push(table.name);
        page = page.replace(&old, &new);
    }
    if update {
        fs::write(&path, page).expect("the page can be written");
        return;
    }
    assert!(differing.is_empty(), "tables that differ: {differing:?}");
}

/// Every row of a table of duties names an experiment of the run, the letter,
/// the settings or the design as its source, and how its figure came about.
#[test]
fn every_row_names_its_source_and_mark() {
    let inputs = inputs();
    let elsewhere = ["letter", "settings", "design"];
    for table in tables(&inputs) {
        if ["run", "slopes"].contains(&table.name) {
            continue;
        }
        let rows = table.text.lines().skip(2);
        for row in rows.filter(|row| !row.starts_with("| **")) {
            let cells: Vec<&str> = row.split('|').map(str::trim).collect();
            let [.., sources, mark, _] = cells.as_slice() else {
                panic!("{row}");
            };
            assert!(MARKS.contains(mark), "{row}");
            for source in sources.split(", ") {
                let known = inputs.lines.contains_key(source) || elsewhere.contains(&source);
                assert!(known, "unknown source {source}: {row}");
            }
        }
    }
}

/// The page answers for the size that was asked for.
#[test]
fn the_size_is_that_of_the_letter() {
    assert_eq!(LETTER.gateways, 1_800.0);
    assert_eq!(LETTER.engines, 10_000.0);
    assert_eq!(LETTER.items_per_day, 630e6);
    assert_eq!(LETTER.changes_per_day, 12_000.0);
    assert_eq!(LETTER.budget.core_percent, 4.9);
    assert_eq!(LETTER.budget.megabytes, 128.0);
    assert_eq!(LETTER.budget.kilobytes_per_second, 19.0);
    assert_eq!(LETTER.control_machines, 35.0);
}

#[test]
fn inputs_are_read_back_as_written() {
    let inputs = inputs();
    let again = Inputs::parse(&inputs.to_text()).expect("what is written can be read");
    assert_eq!(again, inputs);
}
