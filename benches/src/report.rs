//! Prints figures as tables.
//!
//! An object is printed field by field; a list of objects becomes a table with a column a field.

use serde_json::{Map, Value};

/// Prints the figures of one benchmark.
pub(crate) fn print(figures: &Value) {
    print_value("", figures);
    println!();
}

fn print_value(name: &str, value: &Value) {
    match value {
        Value::Object(map) => {
            for (field, value) in map {
                print_value(field, value);
            }
        }
        Value::Array(rows) if rows.iter().all(Value::is_object) && !rows.is_empty() => {
            println!("\n{name}");
            print_table(rows);
        }
        single => println!("{name}: {}", cell(single)),
    }
}

fn print_table(rows: &[Value]) {
    let rows: Vec<&Map<String, Value>> = rows.iter().filter_map(Value::as_object).collect();
    let Some(first) = rows.first() else { return };
    let columns: Vec<&String> = first.keys().collect();
    let text =
        |row: &Map<String, Value>, column: &String| row.get(column).map(cell).unwrap_or_default();
    let width = |column: &String| {
        let cells = rows.iter().map(|row| text(row, column).len());
        cells.chain([column.len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = columns.iter().map(|column| width(column)).collect();
    let line = |cells: Vec<String>| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:>width$}"));
        println!("  {}", padded.collect::<Vec<_>>().join("  "));
    };
    line(columns.iter().map(ToString::to_string).collect());
    for row in &rows {
        line(columns.iter().map(|column| text(row, column)).collect());
    }
}

fn cell(value: &Value) -> String {
    match value {
        Value::Number(number) if number.is_f64() => {
            format!("{:.3}", number.as_f64().unwrap_or(f64::NAN))
        }
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
