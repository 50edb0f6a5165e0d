//! The experiment that compares selection strategies.

use std::time::Duration;

use ibiscroft_lab::experiment::{CellOptions, ExperimentTable, SelectionStrategy, measure};

#[tokio::test]
async fn each_strategy_answers_all_calls_at_light_load() {
    let mut table = ExperimentTable::default();
    for strategy in SelectionStrategy::ALL {
        assert_eq!(strategy.to_string().parse::<SelectionStrategy>().unwrap(), strategy);
        let options = CellOptions::new(strategy, 10, 3, 1);
        let options = CellOptions { duration: Duration::from_millis(300), ..options };
        let cell = measure(&options).await.unwrap();
        assert!(cell.calls > 0, "{strategy}");
        assert_eq!(cell.refused, 0, "{strategy}");
        assert_eq!(
            cell.polls_per_call > 0.0,
            strategy == SelectionStrategy::MetricWeighted,
            "{strategy}"
        );
        table.push(cell);
    }
    let table = table.to_string();
    assert!(
        SelectionStrategy::ALL.iter().all(|strategy| table.contains(&strategy.to_string())),
        "{table}"
    );
}
