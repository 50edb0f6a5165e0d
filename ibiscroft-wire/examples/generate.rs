//! Writes the border types in `src/generated` from the schemas in `schemas`.
//!
//! Run `cargo run -p ibiscroft-wire --example generate` after each change of a schema.

use std::error::Error;
use std::path::Path;

#[path = "../tests/it/generator.rs"]
mod generator;

fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for name in generator::SCHEMAS {
        let text = generator::generate(root, name)?;
        std::fs::write(generator::output_path(root, name), text)?;
    }
    Ok(())
}
