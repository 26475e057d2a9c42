//! Responses as tables for people.

use comfy_table::{Table, presets};
use serde_json::Value;

/// A value as text for people: numbers without a trailing `.0`, lists with commas.
#[must_use]
pub fn plain(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Number(n) => match n.as_f64() {
            Some(x) if x.fract() == 0.0 && x.abs() < 1e15 => format!("{x:.0}"),
            _ => n.to_string(),
        },
        Value::Array(list) => {
            let list: Vec<String> = list.iter().map(plain).collect();
            list.join(", ")
        }
        Value::Object(map) => {
            let fields: Vec<String> = map
                .iter()
                .map(|(k, v)| format!("{k} {}", plain(v)))
                .collect();
            fields.join(" ")
        }
        Value::Bool(yes) => yes.to_string(),
    }
}

/// Rows of objects, by column: its heading and its field.
#[must_use]
pub fn rows(columns: &[(&str, &str)], items: &[Value]) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(columns.iter().map(|(heading, _)| *heading));
    for item in items {
        table.add_row(columns.iter().map(|(_, field)| plain(&item[*field])));
    }
    table.to_string()
}

/// One object, a line for each field.
#[must_use]
pub fn fields(item: &Value) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    for (key, value) in item.as_object().into_iter().flatten() {
        match value {
            Value::Array(list) if list.iter().any(Value::is_object) => {
                for inner in list {
                    table.add_row([key.clone(), plain(inner)]);
                }
            }
            other => {
                table.add_row([key.clone(), plain(other)]);
            }
        }
    }
    table.to_string()
}
