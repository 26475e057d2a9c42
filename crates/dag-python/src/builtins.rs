//! The few plain functions that are known: Python's own, spans of time and moments.

use crate::building::{Read, Reader};
use crate::expressions::{listed, shown};
use crate::functions::Given;
use crate::value::Value;
use rustpython_parser::text_size::TextRange;

impl Reader {
    pub fn builtin(&mut self, at: TextRange, name: &str, given: Given) -> Read<Value> {
        let lists: Option<Vec<Vec<Value>>> = given.places.iter().map(listed).collect();
        let found = match (name, &given.places[..], lists) {
            ("range", places, _) => {
                let numbers: Option<Vec<i64>> = places
                    .iter()
                    .map(|v| match v {
                        Value::Int(n) => Some(*n),
                        _ => None,
                    })
                    .collect();
                let (from, to, step) = match numbers.as_deref() {
                    Some([to]) => (0, *to, 1),
                    Some([from, to]) => (*from, *to, 1),
                    Some([from, to, step]) if *step != 0 => (*from, *to, *step),
                    _ => {
                        return self.refuse(
                            at,
                            "this range is known only in a run",
                            "write the numbers down",
                        );
                    }
                };
                let mut list = Vec::new();
                let mut n = from;
                while (step > 0 && n < to) || (step < 0 && n > to) {
                    if list.len() >= 100_000 {
                        return self.refuse(at, "this range is too long", "use a sweep");
                    }
                    list.push(Value::Int(n));
                    n = n.saturating_add(step);
                }
                Some(Value::list(list))
            }
            ("len", [Value::Text(text)], _) => Some(Value::Int(text.chars().count() as i64)),
            ("len", [_], Some(lists)) => Some(Value::Int(lists[0].len() as i64)),
            ("str", [value], _) => shown(value).map(Value::Text),
            ("int", [Value::Text(text)], _) => text.trim().parse().ok().map(Value::Int),
            ("int", [value], _) => value.number().map(|n| Value::Int(n as i64)),
            ("float", [Value::Text(text)], _) => text.trim().parse().ok().map(Value::Float),
            ("float", [value], _) => value.number().map(Value::Float),
            ("list" | "tuple" | "set", [], _) => Some(Value::list(Vec::new())),
            ("list" | "tuple" | "set", [_], Some(lists)) => Some(Value::list(lists[0].clone())),
            ("reversed", [_], Some(lists)) => {
                Some(Value::list(lists[0].iter().rev().cloned().collect()))
            }
            ("dict", [], _) => Some(Value::dict(
                given
                    .names
                    .iter()
                    .map(|(n, v)| (Value::Text(n.clone()), v.clone()))
                    .collect(),
            )),
            ("enumerate", [_], Some(lists)) => {
                let pairs = lists[0]
                    .iter()
                    .enumerate()
                    .map(|(i, v)| Value::list(vec![Value::Int(i as i64), v.clone()]));
                Some(Value::list(pairs.collect()))
            }
            ("zip", _, Some(lists)) => {
                let long = lists.iter().map(Vec::len).min().unwrap_or(0);
                let rows =
                    (0..long).map(|i| Value::list(lists.iter().map(|l| l[i].clone()).collect()));
                Some(Value::list(rows.collect()))
            }
            ("sorted", [_], Some(lists)) => {
                let mut list = lists[0].clone();
                let texts = list.iter().all(|v| v.text().is_some());
                let numbers = list.iter().all(|v| v.number().is_some());
                match (texts, numbers, given.names.is_empty()) {
                    (true, _, true) => list.sort_by(|a, b| a.text().cmp(&b.text())),
                    (_, true, true) => list.sort_by(|a, b| {
                        a.number()
                            .unwrap_or(0.0)
                            .total_cmp(&b.number().unwrap_or(0.0))
                    }),
                    _ => {
                        return self.refuse(at, "these are not sorted", "write them down in order");
                    }
                }
                Some(Value::list(list))
            }
            ("print", _, _) => Some(Value::None),
            _ => None,
        };
        match found {
            Some(value) => Ok(value),
            None => self.refuse(
                at,
                format!("{name} of this is not read"),
                "write the value down",
            ),
        }
    }

    pub fn span(&mut self, at: TextRange, given: Given) -> Read<Value> {
        let mut seconds = 0.0;
        if let Some(days) = given.places.first().and_then(Value::number) {
            seconds += days * 86_400.0;
        }
        for (name, value) in &given.names {
            let unit = match name.as_str() {
                "weeks" => 604_800.0,
                "days" => 86_400.0,
                "hours" => 3_600.0,
                "minutes" => 60.0,
                "seconds" => 1.0,
                "milliseconds" => 0.001,
                _ => {
                    return self.refuse(
                        at,
                        format!("{name} of a span is not read"),
                        "use days, hours, minutes or seconds",
                    );
                }
            };
            let Some(n) = value.number() else {
                return self.refuse(at, format!("{name} is no number"), "write the number down");
            };
            seconds += n * unit;
        }
        Ok(Value::Span(seconds))
    }

    pub fn moment(&mut self, at: TextRange, mut given: Given) -> Read<Value> {
        let zone = given.take("tz").or_else(|| given.take("tzinfo"));
        let numbers: Option<Vec<f64>> = given.places.iter().map(Value::number).collect();
        let numbers = numbers.filter(|n| (3..=6).contains(&n.len()) && given.names.is_empty());
        let Some(n) = numbers else {
            return self.refuse(
                at,
                "this moment is not read",
                "write year, month, day, hour, minute, second",
            );
        };
        let part = |i: usize| n.get(i).copied().unwrap_or(0.0) as i64;
        let text = format!(
            "{:04}-{:02}-{:02}T{:02}:{:02}:{:02}",
            part(0),
            part(1),
            part(2),
            part(3),
            part(4),
            part(5)
        );
        let zone = match &zone {
            Some(Value::Text(zone)) => zone.clone(),
            _ => "UTC".to_string(),
        };
        let zoned = text
            .parse::<jiff::civil::DateTime>()
            .and_then(|at| at.in_tz(&zone));
        match zoned {
            Ok(zoned) => Ok(Value::Moment(zoned.timestamp().to_string())),
            Err(error) => self.refuse(at, error.to_string(), "write a date that there is"),
        }
    }
}
