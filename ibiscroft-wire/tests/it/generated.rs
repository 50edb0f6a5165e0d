//! Tests that the committed code equals the output of the generator.

use std::path::Path;

use crate::generator;

#[test]
fn committed_code_is_up_to_date() {
    let crate_root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for name in generator::SCHEMAS {
        let expected = generator::generate(crate_root, name).unwrap();
        let committed = std::fs::read_to_string(generator::output_path(crate_root, name)).unwrap();
        assert!(
            expected == committed,
            "{name}: out of date; run `cargo run -p ibiscroft-wire --example generate`"
        );
    }
}
