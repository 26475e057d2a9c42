//! Templates: Jinja-style fields with the usual names, strict on unknown ones and bounded.

use jiff::tz::TimeZone;
use jiff::{Timestamp, ZonedDateTime};
use minijinja::value::Serde;
use minijinja::{Environment, UndefinedBehavior, context};
use serde_json::Value;
use std::cell::Cell;
use std::collections::BTreeMap;

/// Steps that a template may take, so that one without an end ends.
const FUEL: u64 = 50_000;
/// The same for all templates of a run.
const ALL_FUEL: u64 = 20_000_000;
/// Bytes that one field may become, and that a template may have.
const MOST_BYTES: usize = 64 * 1024;

/// What templates may ask of a run.
#[derive(Clone, Debug)]
pub struct RunFacts {
    pub graph: String,
    pub run: String,
    /// The interval that the run is for; a run by hand has the moment of its beginning twice.
    pub from: Timestamp,
    pub until: Timestamp,
    pub zone: String,
    pub params: BTreeMap<String, Value>,
}

/// Fills in templates of one run.
pub struct Templates {
    env: Environment<'static>,
    names: minijinja::Value,
    /// What is left of the steps that all templates of the run may take.
    fuel: Cell<u64>,
}

fn local(at: Timestamp, zone: &TimeZone) -> ZonedDateTime {
    at.to_zoned_datetime(zone.clone())
}

fn shown(at: &ZonedDateTime, format: &str) -> String {
    at.strftime(format).to_string()
}

/// `2027-09-01` so many days on.
fn ds_add(ds: &str, days: i64) -> Result<String, minijinja::Error> {
    let bad = |e: jiff::Error| {
        minijinja::Error::new(minijinja::ErrorKind::InvalidOperation, e.to_string())
    };
    let date: jiff::civil::Date = ds.parse().map_err(bad)?;
    let span = jiff::Span::new().try_days(days).map_err(bad)?;
    Ok(date.checked_add(span).map_err(bad)?.to_string())
}

impl Templates {
    pub fn new(facts: &RunFacts) -> Result<Templates, String> {
        let mut env = Environment::new();
        env.set_undefined_behavior(UndefinedBehavior::Strict);
        env.set_fuel(Some(FUEL));
        env.set_recursion_limit(20);
        env.add_function("ds_add", |ds: &str, days: i64| ds_add(ds, days));
        let zone = TimeZone::get(&facts.zone).map_err(|e| e.to_string())?;
        let (from, until) = (local(facts.from, &zone), local(facts.until, &zone));
        let ts = shown(&from, "%Y-%m-%dT%H:%M:%S%:z");
        let macros = context! { ds_add => minijinja::Value::from_function(|ds: &str, days: i64| ds_add(ds, days)) };
        let names = context! {
            ds => shown(&from, "%Y-%m-%d"),
            ds_nodash => shown(&from, "%Y%m%d"),
            ts => ts.as_str(),
            ts_nodash => shown(&from, "%Y%m%dT%H%M%S"),
            logical_date => ts.as_str(),
            execution_date => ts.as_str(),
            data_interval_start => ts.as_str(),
            data_interval_end => shown(&until, "%Y-%m-%dT%H:%M:%S%:z"),
            run_id => facts.run.as_str(),
            params => minijinja::Value::from(Serde(&facts.params)),
            dag => context! { dag_id => facts.graph.as_str() },
            dag_run => context! { run_id => facts.run.as_str(), conf => minijinja::Value::from(Serde(&facts.params)) },
            macros => macros,
        };
        Ok(Templates {
            env,
            names,
            fuel: Cell::new(ALL_FUEL),
        })
    }

    /// Fills in one text for a step and, in a sweep, its values.
    pub fn text(
        &self,
        text: &str,
        step: &str,
        sweep: &BTreeMap<String, Value>,
    ) -> Result<String, String> {
        if !text.contains("{{") && !text.contains("{%") && !text.contains("{#") {
            return Ok(text.to_string());
        }
        if text.len() > MOST_BYTES {
            return Err(format!("a template is longer than {MOST_BYTES} bytes"));
        }
        let names = context! {
            task => context! { task_id => step },
            ti => context! { task_id => step },
            sweep => minijinja::Value::from(Serde(sweep)),
            ..self.names.clone()
        };
        if self.fuel.get() == 0 {
            return Err("the run's templates take too long together".to_string());
        }
        let template = self.env.template_from_str(text).map_err(|e| why(&e))?;
        let mut out = Bounded { bytes: Vec::new() };
        let rendered = template.render_captured_to(names, &mut out);
        // One that fails counts as if it had used up all that it may.
        let levels = rendered.as_ref().ok().and_then(|c| c.state().fuel_levels());
        let used = levels.map_or(FUEL, |(used, _)| used);
        self.fuel.set(self.fuel.get().saturating_sub(used));
        match rendered.map(drop) {
            Ok(()) => String::from_utf8(out.bytes).map_err(|e| e.to_string()),
            Err(_) if out.bytes.len() >= MOST_BYTES => {
                Err(format!("becomes longer than {MOST_BYTES} bytes"))
            }
            Err(error) => Err(why(&error)),
        }
    }

    /// Fills in every text inside a value.
    pub fn value(
        &self,
        value: &Value,
        step: &str,
        sweep: &BTreeMap<String, Value>,
    ) -> Result<Value, String> {
        Ok(match value {
            Value::String(text) => Value::String(self.text(text, step, sweep)?),
            Value::Array(list) => {
                let list = list.iter().map(|v| self.value(v, step, sweep));
                Value::Array(list.collect::<Result<_, _>>()?)
            }
            Value::Object(map) => {
                let map = map
                    .iter()
                    .map(|(k, v)| Ok((k.clone(), self.value(v, step, sweep)?)));
                Value::Object(map.collect::<Result<_, String>>()?)
            }
            other => other.clone(),
        })
    }
}

fn why(error: &minijinja::Error) -> String {
    match error.detail() {
        Some(detail) => format!("{}: {detail}", error.kind()),
        None => error.kind().to_string(),
    }
}

/// Takes as much as a field may become.
struct Bounded {
    bytes: Vec<u8>,
}

impl std::io::Write for Bounded {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let room = MOST_BYTES - self.bytes.len();
        if bytes.len() > room {
            self.bytes.resize(MOST_BYTES, 0);
            return Err(std::io::Error::other("too long"));
        }
        self.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
