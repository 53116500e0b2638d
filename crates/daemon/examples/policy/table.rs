//! The table of results, in Markdown.

/// A measured figure with its baseline and the bound that it has to meet.
///
/// `met` is `None` if there is no bound.
pub struct Row {
    pub measure: String,
    pub figure: String,
    pub baseline: String,
    pub bound: String,
    pub met: Option<bool>,
}

impl Row {
    pub fn new(
        measure: impl Into<String>,
        figure: impl Into<String>,
        baseline: impl Into<String>,
        bound: impl Into<String>,
        met: Option<bool>,
    ) -> Self {
        Self {
            measure: measure.into(),
            figure: figure.into(),
            baseline: baseline.into(),
            bound: bound.into(),
            met,
        }
    }
}

pub fn print(rows: &[Row]) {
    println!("| measure | figure | baseline | bound | met |");
    println!("|---|---|---|---|---|");
    for row in rows {
        let met = match row.met {
            Some(true) => "yes",
            Some(false) => "NO",
            None => "-",
        };
        println!(
            "| {} | {} | {} | {} | {met} |",
            row.measure, row.figure, row.baseline, row.bound
        );
    }
}
