//! Generates the serialisation types of the document from its JSON schema and prints them.
//!
//! The output is committed, so that a build of the workspace needs no code generator. Run from the
//! root of the repository after a change of the schema:
//!
//! ```text
//! cargo run --manifest-path tools/border/Cargo.toml > crates/model/src/document/border.rs
//! ```

use std::{error::Error, fs};

use serde_json::Value;
use typify::{TypeSpace, TypeSpaceSettings};

const SCHEMA_PATH: &str = "crates/model/schema/document.schema.json";

fn main() -> Result<(), Box<dyn Error>> {
    let text = fs::read_to_string(SCHEMA_PATH)?;
    let mut value: Value = serde_json::from_str(&text)?;
    strip_patterns(&mut value);
    let schema: schemars::schema::RootSchema = serde_json::from_value(value)?;
    let mut type_space = TypeSpace::new(TypeSpaceSettings::default().with_struct_builder(false));
    type_space.add_root_schema(schema)?;
    let file = syn::parse2::<syn::File>(type_space.to_stream())?;
    println!("//! Border types of the document, generated from its JSON schema; do not edit.");
    println!("//!");
    println!("//! See `tools/border`. Nothing here checks meaning; conversions do.");
    println!("#![allow(clippy::all, clippy::pedantic, missing_docs, unreachable_pub, dead_code)]");
    print!("{}", prettyplease::unparse(&file));
    Ok(())
}

/// Removes `pattern` from every string schema: the schema validator checks patterns, and checks in
/// the generated types would use another dialect of regular expressions.
fn strip_patterns(value: &mut Value) {
    match value {
        Value::Object(object) => {
            if object.get("pattern").is_some_and(Value::is_string) {
                object.remove("pattern");
            }
            object.values_mut().for_each(strip_patterns);
        }
        Value::Array(items) => items.iter_mut().for_each(strip_patterns),
        _ => {}
    }
}
