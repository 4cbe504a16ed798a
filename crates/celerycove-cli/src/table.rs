//! Text tables.

/// Renders rows under a heading, padding each column to its widest cell.
#[must_use]
pub fn render(heading: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        rows.iter()
            .map(|row| row[column].chars().count())
            .chain([heading[column].len()])
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..heading.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let cells: Vec<String> = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        format!("{}\n", cells.join("  ").trim_end())
    };
    let mut text = line(heading.to_vec());
    for row in rows {
        text.push_str(&line(row.iter().map(String::as_str).collect()));
    }
    text.truncate(text.trim_end().len());
    text
}
