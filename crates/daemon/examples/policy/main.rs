//! Policies against their baselines, on the real decision code; the headline
//! rows on real daemons with stand-ins. Prints a table.
//!
//! `policy [cold|idle|prefixes|floods|cluster]...`; without arguments, all of them.

mod cluster;
mod cold;
mod floods;
mod idle;
mod prefixes;
mod seeded;
mod table;

use std::error::Error;

type Outcome<T> = Result<T, Box<dyn Error>>;

#[tokio::main]
async fn main() -> Outcome<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let wanted = |name: &str| arguments.is_empty() || arguments.iter().any(|a| a == name);
    let mut rows = Vec::new();
    if wanted("cold") {
        rows.extend(cold::measure());
    }
    if wanted("idle") {
        rows.extend(idle::measure());
    }
    if wanted("prefixes") {
        rows.extend(prefixes::measure().await);
    }
    if wanted("floods") {
        rows.extend(floods::measure().await);
    }
    if wanted("cluster") {
        rows.extend(cluster::measure().await?);
    }
    table::print(&rows);
    Ok(())
}
