//! Compares placement, keep-alive, replica selection and admission with simpler
//! policies and prints a table of the results.
//!
//! `cold`, `idle`, `prefixes` and `floods` run the production decision code;
//! `cluster` runs whole daemons against fakes.
//!
//! Usage: `policy [cold|idle|prefixes|floods|cluster]...`; by default all of them run.

mod cluster;
mod cold;
mod floods;
mod idle;
mod prefixes;
mod random;
mod table;

use std::error::Error;

type Outcome<T> = Result<T, Box<dyn Error>>;

#[tokio::main]
async fn main() -> Outcome<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let selected = |name: &str| arguments.is_empty() || arguments.iter().any(|a| a == name);
    let mut rows = Vec::new();
    if selected("cold") {
        rows.extend(cold::measure());
    }
    if selected("idle") {
        rows.extend(idle::measure());
    }
    if selected("prefixes") {
        rows.extend(prefixes::measure().await);
    }
    if selected("floods") {
        rows.extend(floods::measure().await);
    }
    if selected("cluster") {
        rows.extend(cluster::measure().await?);
    }
    table::print(&rows);
    Ok(())
}
