//! FastCGI 1.0 as an application speaks it: records taken from what a peer sent, and answers laid out for
//! gathered writes. No I/O: bytes come in and go out through buffers that the caller reads and writes.

mod params;
mod record_reader;
mod request_assembler;
mod response;

pub use params::Params;
pub use record_reader::{ProtocolError, Record, RecordReader};
pub use request_assembler::{AssemblyEvent, CompleteRequest, RequestAssembler};
pub use response::{end_request_response, unknown_type_response, values_response, Response};

/// Record types by their number in the specification.
pub mod record_type {
    /// A web server opens a request.
    pub const BEGIN_REQUEST: u8 = 1;
    /// It no longer wants the answer.
    pub const ABORT_REQUEST: u8 = 2;
    /// The application has answered.
    pub const END_REQUEST: u8 = 3;
    /// A part of the stream of parameters.
    pub const PARAMS: u8 = 4;
    /// A part of the stream of the body.
    pub const STDIN: u8 = 5;
    /// A part of the stream of the answer.
    pub const STDOUT: u8 = 6;
    /// A question for the application's variables.
    pub const GET_VALUES: u8 = 9;
    /// The answer to it.
    pub const GET_VALUES_RESULT: u8 = 10;
    /// The answer to a management record of an unknown type.
    pub const UNKNOWN_TYPE: u8 = 11;
}

/// Protocol states of END_REQUEST by their number in the specification.
pub mod protocol_status {
    /// The request was answered.
    pub const COMPLETE: u8 = 0;
    /// More requests than this application takes on one connection.
    pub const CANT_MULTIPLEX: u8 = 1;
    /// The application has no room.
    pub const OVERLOADED: u8 = 2;
    /// The application does not play this role.
    pub const UNKNOWN_ROLE: u8 = 3;
}
