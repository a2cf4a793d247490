//! All that is wrong with a file, at once, each fault by its path.

use std::fmt;

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Segment;

/// Faults of one file that are told: whoever has more has another file in hand.
const MOST: usize = 64;

/// What is wrong at one place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The path of the field.
    pub path: String,
    /// What is wrong with it.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// The faults found so far.
#[derive(Debug, Default)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// One more.
    pub fn add(&mut self, path: impl Into<String>, what: impl Into<String>) {
        let fault = Fault {
            path: path.into(),
            message: what.into(),
        };
        if self.0.len() < MOST && !self.0.contains(&fault) {
            self.0.push(fault);
        }
    }

    /// A field that must be there.
    pub fn wanted<T>(&mut self, path: &str, value: Option<T>) -> Option<T> {
        if value.is_none() && !self.0.iter().any(|fault| fault.path == path) {
            self.add(path, "is missing");
        }
        value
    }

    /// Reads what is there, field by field: each that is wrong is noted and taken out, until the rest can be
    /// read. `T` must not insist on any field.
    pub fn read<T: DeserializeOwned + Default>(&mut self, mut value: Value) -> T {
        for _ in 0..MOST {
            let wrong = match serde_path_to_error::deserialize::<_, T>(value.clone()) {
                Ok(read) => return read,
                Err(wrong) => wrong,
            };
            let path: Vec<&Segment> = wrong.path().iter().collect();
            let text = match wrong.path().to_string() {
                root if root == "." => "start file".to_owned(),
                path => path,
            };
            self.add(text, wrong.inner().to_string());
            if !take_out(&mut value, &path) {
                break;
            }
        }
        T::default()
    }
}

/// Takes the value at this path out, or as much around it as can be; `false` if nothing was there.
fn take_out(value: &mut Value, path: &[&Segment]) -> bool {
    let Some((first, rest)) = path.split_first() else {
        return false;
    };
    let inner = match (first, &mut *value) {
        (Segment::Map { key }, Value::Object(all)) => {
            if rest.is_empty() {
                return all.remove(key).is_some();
            }
            all.get_mut(key)
        }
        (Segment::Seq { index }, Value::Array(all)) => {
            if rest.is_empty() {
                return *index < all.len() && {
                    all.remove(*index);
                    true
                };
            }
            all.get_mut(*index)
        }
        // What can't be gone into goes as a whole, with its place in the path.
        (Segment::Enum { .. } | Segment::Unknown, _) => return false,
        _ => None,
    };
    let Some(inner) = inner else { return false };
    if take_out(inner, rest) {
        return true;
    }
    !std::mem::replace(inner, Value::Null).is_null()
}
