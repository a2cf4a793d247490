//! Deserializing a start file field by field, so that one wrong value does not hide the others.

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Segment;

use super::error::{Faults, Problem, MAX_FAULTS};

/// Reads a value into `T`. Each field that can't be read is reported and removed until the rest can be read, so `T` must
/// not require any field. A value that can't be read at all gives `T::default()`.
pub fn deserialize_reporting<T: DeserializeOwned + Default>(
    mut value: Value,
    faults: &mut Faults,
) -> T {
    for _ in 0..MAX_FAULTS {
        let error = match serde_path_to_error::deserialize::<_, T>(value.clone()) {
            Ok(read) => return read,
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

/// Removes the value at this path, or else the nearest one around it; `false` if there was none to remove.
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
        // These have no place in a JSON value: the caller removes the value around them.
        (Segment::Enum { .. } | Segment::Unknown, _) => return false,
        _ => None,
    };
    let Some(inner) = inner else { return false };
    remove(inner, rest) || !std::mem::replace(inner, Value::Null).is_null()
}

/// Removes one item of a list; `false` if there is no such item.
fn remove_item(items: &mut Vec<Value>, index: usize) -> bool {
    let is_inside = index < items.len();
    if is_inside {
        items.remove(index);
    }
    is_inside
}
