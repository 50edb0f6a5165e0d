//! The committed code equals what the generator makes of the schemas.

use std::path::Path;

use crate::generator;

#[test]
fn committed_code_is_up_to_date() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for name in generator::SCHEMAS {
        let wanted = generator::generate(root, name).unwrap();
        let found = std::fs::read_to_string(generator::output_path(root, name)).unwrap();
        assert!(wanted == found, "{name}: run `cargo run -p ibiscroft-wire --example generate`");
    }
}
