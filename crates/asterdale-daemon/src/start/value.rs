//! Values that several sections of the start file use, with their JSON Schema.

use std::net::SocketAddr;

#[cfg(feature = "tools")]
use schemars::JsonSchema;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer};

use super::error::Problem;

/// An IP address with a port, such as `127.0.0.1:8080`. Host names are not resolved.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[cfg_attr(feature = "tools", schemars(transparent))]
pub struct Address(#[cfg_attr(feature = "tools", schemars(with = "String"))] pub SocketAddr);

impl<'de> Deserialize<'de> for Address {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Address, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse()
            .map(Address)
            .map_err(|_| D::Error::custom(Problem::NotAnAddress(text)))
    }
}

/// A number of up to 16 hexadecimal digits, as a string.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[cfg_attr(feature = "tools", schemars(transparent))]
pub struct Hexadecimal(
    #[cfg_attr(
        feature = "tools",
        schemars(with = "String", regex(pattern = "^[0-9a-fA-F]{1,16}$"))
    )]
    pub u64,
);

impl<'de> Deserialize<'de> for Hexadecimal {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Hexadecimal, D::Error> {
        let text = String::deserialize(deserializer)?;
        u64::from_str_radix(&text, 16)
            .map(Hexadecimal)
            .map_err(|_| D::Error::custom(format!("{text:?} is not 1 to 16 hexadecimal digits")))
    }
}

/// A number above 0.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[cfg_attr(feature = "tools", schemars(transparent))]
pub struct Positive(
    #[cfg_attr(feature = "tools", schemars(extend("exclusiveMinimum" = 0)))] pub f64,
);

impl<'de> Deserialize<'de> for Positive {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Positive, D::Error> {
        let number = f64::deserialize(deserializer)?;
        if number.is_finite() && number > 0.0 {
            return Ok(Positive(number));
        }
        Err(D::Error::custom(format!(
            "{number} is not a number above 0"
        )))
    }
}
