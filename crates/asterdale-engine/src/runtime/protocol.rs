//! The protocol between this process and the runtime: JSON objects, one per line.

#[cfg(feature = "ownership")]
use std::fmt::Write as _;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};

use crate::message::{request_id_text, RequestId, RunOutcome, RuntimeNotice};

/// The fields of a line.
struct Fields(Value);

impl Fields {
    fn text(&self, name: &str) -> Option<&str> {
        self.0[name].as_str()
    }

    fn id(&self) -> Option<RequestId> {
        RequestId::try_from(self.text("rid")?.as_bytes()).ok()
    }

    fn sequence(&self) -> Option<u64> {
        self.0["no"].as_u64()
    }

    fn tag(&self) -> Option<String> {
        self.text("mark").map(str::to_owned)
    }

    /// The decoded body; empty where the line has none.
    fn body(&self) -> Option<Vec<u8>> {
        match self.0.get("b64") {
            None | Some(Value::Null) => Some(Vec::new()),
            Some(value) => STANDARD.decode(value.as_str()?).ok(),
        }
    }

    fn run_outcome(&self) -> Option<RunOutcome> {
        Some(match self.text("status")? {
            "PASS" => RunOutcome::Passed,
            "FAIL" => RunOutcome::Failed,
            "KILLED" => RunOutcome::Killed,
            "NOOP" => RunOutcome::Noop,
            _ => return None,
        })
    }

    /// Gauge values; NaN for those that the runtime does not know.
    fn gauge_values(&self) -> Option<Vec<f64>> {
        let values = self.0["v"].as_array()?.iter();
        Some(
            values
                .map(|value| value.as_f64().unwrap_or(f64::NAN))
                .collect(),
        )
    }
}

/// Parses a line; `None` if it is not a valid notice.
pub fn parse(line: &[u8]) -> Option<RuntimeNotice> {
    let fields = Fields(serde_json::from_slice(line).ok()?);
    Some(match fields.text("t")? {
        "ready" => RuntimeNotice::Ready {
            slow_start: fields.text("status") == Some("EMPTY"),
            uptime_ms: fields.0["time_ms"].as_f64()?,
        },
        "end" => RuntimeNotice::RunEnded {
            outcome: fields.run_outcome()?,
            sequence: fields.sequence()?,
            id: fields.id()?,
            body: fields.body()?,
        },
        "wants" => RuntimeNotice::CallNeeded {
            sequence: fields.sequence()?,
            id: fields.id()?,
            body: fields.body()?,
        },
        "load" => RuntimeNotice::Gauges {
            tag: fields.tag()?,
            values: fields.gauge_values()?,
        },
        "verdict" => RuntimeNotice::HealthVerdict {
            tag: fields.tag()?,
            healthy: fields.text("status")? == "PASS",
        },
        "nack" => RuntimeNotice::Rejected {
            command: fields.text("status")?.to_owned(),
            id: fields.id(),
        },
        "info" => RuntimeNotice::Ignored(fields.sequence()),
        _ => return None,
    })
}

/// The first command on a link. It states the sequence number of the last notice that was read; the runtime resends
/// later ones.
pub fn sync(last_notice: u64) -> String {
    format!("{{\"t\":\"sync\",\"no\":{last_notice}}}\n")
}

/// Starts a task of this request class.
pub fn start(id: &RequestId, class: &str, body: &[u8]) -> String {
    let mut line = format!(
        "{{\"t\":\"start\",\"rid\":\"{}\",\"route\":{},\"b64\":\"",
        request_id_text(id),
        json!(class)
    );
    STANDARD.encode_string(body, &mut line);
    line.push_str("\"}\n");
    line
}

/// Starts a task that is claimed under this fence.
#[cfg(feature = "ownership")]
pub fn start_fenced(id: &RequestId, class: &str, body: &[u8], fence: u64) -> String {
    let mut line = start(id, class, body);
    line.truncate(line.len() - "}\n".len());
    // Writing to a String cannot fail.
    let _ = writeln!(line, ",\"fence\":{fence}}}");
    line
}

/// Passes the response to a call to the run that waits for it.
pub fn give(id: &RequestId, body: &[u8]) -> String {
    let mut line = format!(
        "{{\"t\":\"give\",\"rid\":\"{}\",\"b64\":\"",
        request_id_text(id)
    );
    STANDARD.encode_string(body, &mut line);
    line.push_str("\"}\n");
    line
}

/// Continues a run without the call that it requested with this notice.
pub fn omit(id: &RequestId, notice: u64) -> String {
    format!(
        "{{\"t\":\"omit\",\"rid\":\"{}\",\"no\":{notice}}}\n",
        request_id_text(id)
    )
}

/// Requests the gauges. The answer carries the tag.
pub fn gauges(tag: &str) -> String {
    tagged("gauges", tag)
}

/// Requests a deep health check. The answer carries the tag.
pub fn self_test(tag: &str) -> String {
    tagged("selftest", tag)
}

fn tagged(command: &str, tag: &str) -> String {
    format!("{{\"t\":\"{command}\",\"mark\":\"{tag}\"}}\n")
}

#[cfg(test)]
mod tests;
