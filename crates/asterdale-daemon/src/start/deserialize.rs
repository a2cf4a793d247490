//! Deserializes a start file and reports every invalid value, not only the first one.

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Segment;

use super::error::{Faults, Problem, MAX_FAULTS};

/// Deserializes a value into `T`. A field that fails is reported and removed, and the rest is deserialized again, so
/// `T` must not require any field. Returns `T::default()` if nothing of the value can be deserialized.
pub fn deserialize_collecting_faults<T: DeserializeOwned + Default>(
    mut value: Value,
    faults: &mut Faults,
) -> T {
    for _ in 0..MAX_FAULTS {
        let error = match serde_path_to_error::deserialize::<_, T>(value.clone()) {
            Ok(parsed) => return parsed,
            Err(error) => error,
        };
        let segments: Vec<&Segment> = error.path().iter().collect();
        let path = match error.path().to_string() {
            root if root == "." => "start file".to_owned(),
            path => path,
        };
        faults.add(path, Problem::Malformed(error.inner().to_string()));
        if !remove(&mut value, &segments) {
            break;
        }
    }
    T::default()
}

/// Removes the value at this path, or else the innermost enclosing value that can be removed. Returns `false` if there
/// is none.
fn remove(value: &mut Value, path: &[&Segment]) -> bool {
    let Some((first, rest)) = path.split_first() else {
        return false;
    };
    let is_last = rest.is_empty();
    let inner = match (first, &mut *value) {
        (Segment::Map { key }, Value::Object(fields)) if is_last => {
            return fields.remove(key).is_some()
        }
        (Segment::Map { key }, Value::Object(fields)) => fields.get_mut(key),
        (Segment::Seq { index }, Value::Array(items)) if is_last => {
            return remove_item(items, *index)
        }
        (Segment::Seq { index }, Value::Array(items)) => items.get_mut(*index),
        // These don't address a JSON value, so the caller removes the enclosing value.
        (Segment::Enum { .. } | Segment::Unknown, _) => return false,
        _ => None,
    };
    let Some(inner) = inner else { return false };
    remove(inner, rest) || !std::mem::replace(inner, Value::Null).is_null()
}

/// Removes one item of a list. Returns `false` if there is no such item.
fn remove_item(items: &mut Vec<Value>, index: usize) -> bool {
    let exists = index < items.len();
    if exists {
        items.remove(index);
    }
    exists
}
