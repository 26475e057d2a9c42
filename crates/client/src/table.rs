//! Formats responses as tables for people.

use comfy_table::{Table, presets};
use serde_json::Value;

/// Formats a value for people: whole numbers without `.0`, lists separated by commas, null as empty text.
#[must_use]
pub fn format_value(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Number(n) => match n.as_f64() {
            Some(x) if x.fract() == 0.0 && x.abs() < 1e15 => format!("{x:.0}"),
            _ => n.to_string(),
        },
        Value::Array(list) => {
            let list: Vec<String> = list.iter().map(format_value).collect();
            list.join(", ")
        }
        Value::Object(map) => {
            let fields: Vec<String> = map
                .iter()
                .map(|(k, v)| format!("{k} {}", format_value(v)))
                .collect();
            fields.join(" ")
        }
        Value::Bool(yes) => yes.to_string(),
    }
}

/// Formats a table with one row for each object. A column is given by its heading and the field that it shows.
#[must_use]
pub fn format_rows(columns: &[(&str, &str)], items: &[Value]) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(columns.iter().map(|(heading, _)| *heading));
    for item in items {
        table.add_row(columns.iter().map(|(_, field)| format_value(&item[*field])));
    }
    table.to_string()
}

/// Formats an object with one line for each field. A field that lists objects has one line for each of them.
#[must_use]
pub fn format_fields(item: &Value) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    for (key, value) in item.as_object().into_iter().flatten() {
        match value {
            Value::Array(list) if list.iter().any(Value::is_object) => {
                for inner in list {
                    table.add_row([key.clone(), format_value(inner)]);
                }
            }
            other => {
                table.add_row([key.clone(), format_value(other)]);
            }
        }
    }
    table.to_string()
}
