//! Output of experiments: tables on standard output, and results as JSON files.

use eyre::Result;
use serde::Serialize;
use std::{fs, path::Path};

/// Prints rows under headings, with right-aligned columns as wide as their widest cell.
pub fn print(headings: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows
            .iter()
            .filter_map(|row| row.get(column))
            .map(String::len);
        cells.chain([headings[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let line = |cells: &[String]| {
        let padded = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:>width$}"));
        println!("{}", padded.collect::<Vec<_>>().join("  "));
    };
    line(
        &headings
            .iter()
            .map(|heading| (*heading).to_owned())
            .collect::<Vec<_>>(),
    );
    for row in rows {
        line(row);
    }
}

/// Writes a result to a file as indented JSON.
pub fn write_json(path: &Path, result: &impl Serialize) -> Result<()> {
    fs::write(path, serde_json::to_vec_pretty(result)?)?;
    Ok(())
}
