//! Logger that writes JSON lines to standard output.

use std::io;
use std::panic;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{self, VisitSource};
use serde_json::{Map, Value, json};

use crate::Failure;
use crate::log_output::Output;
use crate::log_writer::Gap;

/// Crates that log at the configured level; all others log warnings and errors.
const OWN_CRATES: [&str; 5] = [
    "almondbank",
    "almondbank_control",
    "almondbank_gateway",
    "almondbank_platform",
    "almondbank_port",
];

/// How an option without a value is displayed; its field is left out.
const ABSENT: &str = "None";

/// Installs the logger for the process.
///
/// # Errors
///
/// Fails if a logger is installed already.
pub(crate) fn set_up(level: log::LevelFilter) -> Result<Output, Failure> {
    let output = Output::new(io::stdout(), report);
    let mut dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!("{}", line(message, record)));
        })
        .level(log::LevelFilter::Warn);
    for name in OWN_CRATES {
        dispatch = dispatch.level_for(name, log::LevelFilter::Trace);
    }
    let lines = output.clone();
    let lines = fern::Output::call(move |record| lines.send(format!("{}\n", record.args())));
    dispatch.chain(lines).apply()?;
    log::set_max_level(level);
    panic::set_hook(Box::new(log_panic));
    Ok(output)
}

// A panic ends its task only, so that nothing but this line shows it.
fn log_panic(info: &panic::PanicHookInfo<'_>) {
    let location = info.location().map(ToString::to_string);
    let reason = info.payload_as_str().unwrap_or("unknown");
    log::error!(location = location.as_deref(), reason; "panic");
}

fn report(gap: Gap) -> String {
    let line = match gap {
        Gap::Dropped(count) => json!({ "message": "log lines dropped", "count": count }),
        Gap::Late { attempts, error } => json!({
            "message": "the log could not be written",
            "attempts": attempts,
            "error": error.desc(),
        }),
    };
    format!("{line}\n")
}

fn line(message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> Value {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut fields = Fields(Map::new());
    fields.0.insert("time".to_owned(), json!(now.as_secs_f64()));
    let level = record.level().as_str().to_ascii_lowercase();
    fields.0.insert("level".to_owned(), Value::from(level));
    fields
        .0
        .insert("message".to_owned(), Value::from(message.to_string()));
    // `Fields` never returns an error.
    let _ = record.key_values().visit(&mut fields);
    Value::Object(fields.0)
}

struct Fields(Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let typed = value
            .to_borrowed_str()
            .map(Value::from)
            .or_else(|| value.to_u64().map(Value::from))
            .or_else(|| value.to_bool().map(Value::from));
        let value = typed.or_else(|| {
            let text = value.to_string();
            (text != ABSENT).then(|| Value::from(text))
        });
        if let Some(value) = value {
            self.0.insert(key.to_string(), value);
        }
        Ok(())
    }
}
