//! Generates the wire types in `src/generated` from the JSON schemas in `schemas`.
//!
//! Run `cargo run -p ibiscroft-wire --example generate` after each change to a schema.

use std::error::Error;
use std::path::Path;

#[path = "../tests/it/generator.rs"]
mod generator;

fn main() -> Result<(), Box<dyn Error>> {
    let crate_root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for name in generator::SCHEMAS {
        let code = generator::generate(crate_root, name)?;
        std::fs::write(generator::output_path(crate_root, name), code)?;
    }
    Ok(())
}
