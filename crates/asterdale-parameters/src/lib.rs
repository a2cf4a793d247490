//! What a server is told at its start: a JSON object, of which unknown keys are passed over and absent ones
//! are zero. The simulator's first message and a real backend's start file hold the same object.

use asterdale::told::{Below, CustomerFacts, FreeValue, Halt, Repeat, StageFacts, Told};
use serde_json::Value;

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

fn ms(value: &Value) -> f64 {
    number(value) / 1e6
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// What the object holds.
#[derive(Clone, Debug)]
pub struct Facts {
    /// For the decisions.
    pub told: Told,
    /// The names of the stages, in the order of [`Told::stages`].
    pub stages: Vec<String>,
    /// The names of the tenants, in the order of [`Told::customers`]; may be empty.
    pub tenants: Vec<String>,
    /// The names of the gauges, in the order in which their values will come.
    pub gauges: Vec<String>,
}

/// Reads the object from its text.
pub fn read(seed: u64, text: &[u8]) -> Result<Facts, serde_json::Error> {
    Ok(from_json(seed, &serde_json::from_slice(text)?))
}

/// Reads the object.
pub fn from_json(seed: u64, all: &Value) -> Facts {
    let (extra, rules, limits) = (&all["extra"], &all["guarantees"], &all["limits"]);
    let (without, calls) = (list(&extra["worthWithout"]), list(&extra["classCalls"]));
    let stages = list(&all["lanes"])
        .iter()
        .enumerate()
        .map(|(n, lane)| StageFacts {
            due_ms: ms(&lane["objectiveNs"]),
            limit_ms: ms(&lane["deadlineNs"]),
            utility: number(&lane["worth"]),
            late_share: number(&lane["lateShare"]),
            without_call: without.get(n).map_or(0.0, number),
            calls: calls.get(n).and_then(Value::as_bool).unwrap_or(false),
            repeat: match lane["repeat"].as_str() {
                Some("repeatable") => Repeat::Restartable,
                Some("by_key") => Repeat::Fingerprinted,
                _ => Repeat::SideEffecting,
            },
            memory_ms: ms(&lane["memorySpanNs"]),
        });
    let customers = list(&all["tenants"]).iter().map(|tenant| CustomerFacts {
        allowance_per_s: number(&tenant["allowancePerS"]),
    });
    let told = Told {
        seed,
        cores: number(&extra["cores"]),
        memory_kb: number(&extra["memoryKb"]),
        run_blowup: number(&extra["blowup"]),
        entry_kb: number(&extra["entryKb"]),
        cold: extra["cold"].as_bool().unwrap_or(false),
        cold_share: number(&rules["startCapacity"]),
        cold_ms: ms(&rules["coldNs"]),
        crowd_factor: number(&rules["overloadFactor"]),
        tick_ms: ms(&all["tickNs"]),
        drain_grace_ms: ms(&rules["drainGraceNs"]),
        servers: number(&all["servers"]),
        callers: number(&extra["upstreams"]),
        below: match extra["below"].as_str() {
            Some("shared") => Below::Shared,
            Some("tier") => Below::Tier,
            _ => Below::Nothing,
        },
        calls_share: number(&extra["callsOut"]),
        calls_window_ms: ms(&extra["depWindowNs"]),
        linger_ms: ms(&extra["lingersNs"]),
        idle_ms: ms(&extra["idleNs"]),
        fresh_ms: ms(&extra["freshForNs"]),
        halt: match extra["halt"].as_str() {
            Some("drop") => Halt::Drop,
            Some("pause") => Halt::Pause,
            _ => Halt::Never,
        },
        free_value: match extra["say"].as_str() {
            Some("level") => FreeValue::Level,
            Some("credit") => FreeValue::Credit,
            Some("weight") => FreeValue::Weight,
            _ => FreeValue::Unused,
        },
        advice_ms: if limits["retryAfter"].as_bool() == Some(true) {
            ms(&limits["maxRetryAfterNs"])
        } else {
            0.0
        },
        over_share_worth: all["overShareWorth"].as_f64().unwrap_or(1.0),
        by_work: all["worthBy"].as_str() == Some("work"),
        stages: stages.collect(),
        customers: customers.collect(),
    };
    let text = |value: &Value| value.as_str().unwrap_or("").to_owned();
    Facts {
        told,
        stages: list(&all["lanes"])
            .iter()
            .map(|lane| text(&lane["name"]))
            .collect(),
        tenants: list(&all["tenants"])
            .iter()
            .map(|tenant| text(&tenant["name"]))
            .collect(),
        gauges: list(&extra["ownStats"]).iter().map(text).collect(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unknown_keys_are_passed_over_and_absent_ones_are_zero() {
        let text =
            br#"{"new": [1, {"a": null}], "extra": {"cores": 6, "below": "shared", "ownStats": ["core_use"]},
            "lanes": [{"name": "bid", "repeat": "by_key", "objectiveNs": 2500000, "worth": 3.0}]}"#;
        let Facts {
            told,
            stages,
            tenants,
            gauges,
        } = read(7, text).unwrap();
        assert!(tenants.is_empty());
        assert_eq!((told.seed, told.cores, told.memory_kb), (7, 6.0, 0.0));
        assert_eq!((told.below, told.halt), (Below::Shared, Halt::Never));
        assert_eq!(
            (told.stages[0].due_ms, told.stages[0].repeat),
            (2.5, Repeat::Fingerprinted)
        );
        assert_eq!(
            (gauges, stages),
            (vec!["core_use".to_owned()], vec!["bid".to_owned()])
        );
        assert!(read(7, b"{").is_err());
    }
}
