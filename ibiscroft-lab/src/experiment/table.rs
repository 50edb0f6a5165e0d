//! Results of the experiment as a table.

use std::fmt;

use serde::Serialize;

use super::cell::{Cell, SelectionStrategy};

/// Results of all measured cells.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ExperimentTable {
    cells: Vec<Cell>,
}

impl ExperimentTable {
    /// Adds the result of a cell.
    pub fn push(&mut self, cell: Cell) {
        self.cells.push(cell);
    }

    /// Returns the groups of cells that differ only by their seed, in the order of measurement.
    fn groups(&self) -> Vec<Vec<&Cell>> {
        let mut groups: Vec<Vec<&Cell>> = Vec::new();
        for cell in &self.cells {
            match groups.iter_mut().find(|group| key(group[0]) == key(cell)) {
                Some(group) => group.push(cell),
                None => groups.push(vec![cell]),
            }
        }
        groups
    }

    /// Returns the median p99 latency of the global view at a queue length and load.
    fn global_view_p99_us(&self, queue: usize, load: u32) -> Option<u64> {
        let groups = self.groups();
        let group = groups
            .iter()
            .find(|group| key(group[0]) == (queue, SelectionStrategy::GlobalView, load))?;
        Some(spread(group, |cell| cell.latency.p99_us).1)
    }
}

impl fmt::Display for ExperimentTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "| queue | way | load % | p50 ms | p99 ms (lowest to highest) | p99.9 ms | p99 wait ms | p99 to global view | refusals a call | polls a call | refused |"
        )?;
        writeln!(f, "|---|---|---|---|---|---|---|---|---|---|---|")?;
        for group in self.groups() {
            let (queue, strategy, load) = key(group[0]);
            let (lowest, p99, highest) = spread(&group, |cell| cell.latency.p99_us);
            let ratio =
                self.global_view_p99_us(queue, load).map(|bound| p99 as f64 / bound.max(1) as f64);
            let ratio = ratio.map_or("-".to_string(), |ratio| format!("{ratio:.2}"));
            let refused: usize = group.iter().map(|cell| cell.refused).sum();
            writeln!(
                f,
                "| {queue} | {strategy} | {load} | {} | {} ({} to {}) | {} | {} | {ratio} | {:.3} | {:.3} | {refused} |",
                format_millis(spread(&group, |cell| cell.latency.p50_us).1),
                format_millis(p99),
                format_millis(lowest),
                format_millis(highest),
                format_millis(spread(&group, |cell| cell.latency.p999_us).1),
                format_millis(spread(&group, |cell| cell.wait.p99_us).1),
                mean(&group, |cell| cell.refusals_per_call),
                mean(&group, |cell| cell.polls_per_call),
            )?;
        }
        Ok(())
    }
}

/// Returns the options that the cells of a group have in common.
fn key(cell: &Cell) -> (usize, SelectionStrategy, u32) {
    (cell.queue, cell.strategy, cell.load)
}

/// Returns the minimum, median and maximum of a value over a group.
fn spread(group: &[&Cell], value: impl Fn(&Cell) -> u64) -> (u64, u64, u64) {
    let mut values: Vec<u64> = group.iter().map(|cell| value(cell)).collect();
    values.sort_unstable();
    (values[0], values[values.len() / 2], values[values.len() - 1])
}

fn mean(group: &[&Cell], value: impl Fn(&Cell) -> f64) -> f64 {
    group.iter().map(|cell| value(cell)).sum::<f64>() / group.len() as f64
}

/// Formats microseconds as milliseconds with one decimal.
fn format_millis(micros: u64) -> String {
    format!("{:.1}", micros as f64 / 1_000.0)
}
