//! The selection experiment.

use std::time::Duration;

use ibiscroft_lab::experiment::{CellOptions, ExperimentTable, Way, measure};

#[tokio::test]
async fn each_way_answers_a_light_load() {
    let mut table = ExperimentTable::default();
    for way in Way::ALL {
        assert_eq!(way.to_string().parse::<Way>().unwrap(), way);
        let options = CellOptions::new(way, 10, 3, 1);
        let options = CellOptions { span: Duration::from_millis(300), ..options };
        let cell = measure(&options).await.unwrap();
        assert!(cell.calls > 0, "{way}");
        assert_eq!(cell.refused, 0, "{way}");
        assert_eq!(cell.polls_per_call > 0.0, way == Way::MetricWeighted, "{way}");
        table.push(cell);
    }
    let table = table.to_string();
    assert!(Way::ALL.iter().all(|way| table.contains(&way.to_string())), "{table}");
}
