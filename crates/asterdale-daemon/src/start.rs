//! What the program is told at its start: the variable that names the file, and what the file holds.

use std::net::SocketAddr;
use std::sync::Arc;

use asterdale_facts::Facts;
use asterdale_host::mail::Peers;
use serde_json::Value;

/// Everything from the file.
#[derive(Clone, Debug)]
pub struct Start {
    /// The backend's name.
    pub name: String,
    /// Where edge nodes connect.
    pub listen: SocketAddr,
    /// Where the peers listen: all of the file that can change while the program runs.
    pub peers: Peers,
    /// From the notice to leave until the process is killed, in milliseconds.
    pub stop_ms: f64,
    /// Memory of this process, in bytes.
    pub memory: usize,
    /// Descriptors of this process.
    pub descriptors: usize,
    /// What the decisions are told.
    pub facts: Arc<Facts>,
}

/// Reads the file that `ROUTER_CONFIG` names. An error names the field.
pub fn from_environment() -> Result<Start, String> {
    let variable = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
    let path = variable("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?;
    let text = std::fs::read(&path).map_err(|e| format!("ROUTER_CONFIG {path}: {e}"))?;
    read(&text, variable("ROUTER_NAME"), variable("ROUTER_LISTEN"))
}

/// Reads the text of the file. Name and address that are given from outside come before the file's.
pub fn read(text: &[u8], name: Option<String>, listen: Option<String>) -> Result<Start, String> {
    let all: Value = serde_json::from_slice(text).map_err(|e| format!("configuration: {e}"))?;
    let string = |field: &str| all[field].as_str().ok_or(format!("{field}: a string is wanted"));
    let parse = |field: &str, text: &str| {
        text.parse::<SocketAddr>().map_err(|_| format!("{field}: {text:?} is no address with a port"))
    };
    let address = |field: &str| parse(field, string(field)?);
    let positive = |field: &str, value: &Value| match value.as_f64() {
        Some(number) if number.is_finite() && number > 0.0 => Ok(number),
        _ => Err(format!("{field}: a number above 0 is wanted")),
    };
    let seed = string("seed")?;
    let seed = u64::from_str_radix(seed, 16).map_err(|_| format!("seed: {seed:?} is not hexadecimal"))?;
    if !all["settings"].is_object() {
        return Err("settings: an object is wanted".to_owned());
    }
    let facts = asterdale_facts::from_json(seed, &all["settings"]);
    if facts.stages.is_empty() {
        return Err("settings.lanes: at least one is wanted".to_owned());
    }
    if facts.stages.iter().any(String::is_empty) {
        return Err("settings.lanes: each wants a name".to_owned());
    }
    positive("settings.extra.cores", &all["settings"]["extra"]["cores"])?;
    positive("settings.extra.memoryKb", &all["settings"]["extra"]["memoryKb"])?;
    Ok(Start {
        name: name.map_or_else(|| string("name").map(str::to_owned), Ok)?,
        listen: match listen {
            Some(text) => parse("ROUTER_LISTEN", &text)?,
            None => address("listen")?,
        },
        peers: Peers {
            runtime: address("runtime")?,
            registry: address("registry")?,
            records: address("records")?,
        },
        stop_ms: positive("stop_ms", &all["stop_ms"])?,
        memory: (positive("limits.memory_mb", &all["limits"]["memory_mb"])? * 1e6) as usize,
        descriptors: positive("limits.sockets", &all["limits"]["sockets"])? as usize,
        facts: Arc::new(facts),
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn whole() -> Value {
        json!({"name": "n3", "listen": "127.0.0.1:8080", "runtime": "127.0.0.2:1", "registry": "127.0.0.3:1",
            "records": "127.0.0.4:1", "seed": "8c1f30d27a5be964", "stop_ms": 3200,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": {"extra": {"cores": 6, "memoryKb": 9e4}, "lanes": [{"name": "bid"}]}})
    }

    #[test]
    fn variables_come_before_the_file() {
        let text = whole().to_string();
        let start = read(text.as_bytes(), Some("n9".into()), Some("127.0.0.9:9".into())).unwrap();
        assert_eq!((start.name.as_str(), start.listen.to_string().as_str()), ("n9", "127.0.0.9:9"));
        assert_eq!(read(text.as_bytes(), None, None).unwrap().listen.port(), 8080);
        assert_eq!(start.facts.told.seed, 0x8c1f_30d2_7a5b_e964);
    }

    #[test]
    fn what_is_wrong_is_named_by_its_field() {
        for (field, value) in [
            ("runtime", json!("nowhere")),
            ("records", json!(5)),
            ("seed", json!("xyz")),
            ("stop_ms", json!(-1)),
            ("limits", json!({"memory_mb": 192})),
            ("settings", json!([])),
            ("settings", json!({"lanes": []})),
        ] {
            let mut all = whole();
            all[field] = value;
            let wrong = read(all.to_string().as_bytes(), None, None).unwrap_err();
            assert!(wrong.starts_with(field), "{field}: {wrong}");
        }
        assert!(read(b"{", None, None).unwrap_err().starts_with("configuration: "));
    }
}
