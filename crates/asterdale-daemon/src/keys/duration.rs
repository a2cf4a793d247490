//! Durations on the command line: a number with a unit, such as `90s`.

use thiserror::Error;

/// A text is not a duration.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum DurationError {
    /// The unit is missing or unknown.
    #[error("expected a number with the unit ms, s, m, h or d")]
    UnknownUnit,
    /// The part before the unit is not a number.
    #[error("{0:?} is not a number")]
    NotANumber(String),
}

/// Parses a duration, in milliseconds.
///
/// # Errors
/// If the text is not a number with a unit.
pub fn parse_duration_ms(text: &str) -> Result<f64, DurationError> {
    let unit_start = text
        .find(|character: char| !character.is_ascii_digit() && character != '.')
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(unit_start);
    let unit_ms = match unit {
        "ms" => 1.0,
        "s" => 1e3,
        "m" => 6e4,
        "h" => 3.6e6,
        "d" => 8.64e7,
        _ => return Err(DurationError::UnknownUnit),
    };
    number
        .parse::<f64>()
        .map(|number| number * unit_ms)
        .map_err(|_| DurationError::NotANumber(number.to_owned()))
}
