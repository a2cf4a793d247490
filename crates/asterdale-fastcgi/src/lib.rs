//! FastCGI 1.0 codec for the application side: parses the records that a web server sent and encodes responses for
//! vectored writes. The crate does no I/O: the caller reads into and writes from buffers of this crate.

mod error;
mod params;
mod record_reader;
mod request_assembler;
mod response;

pub use error::{ProtocolError, RequestFault};
pub use params::Params;
pub use record_reader::{Record, RecordReader, DEFAULT_BUFFER_BYTES};
pub use request_assembler::{AssemblyEvent, CompleteRequest, DroppedRequest, RequestAssembler};
pub use response::{end_request_response, unknown_type_response, values_response, Response};

/// Record types, by their number in the specification.
pub mod record_type {
    /// The web server opens a request.
    pub const BEGIN_REQUEST: u8 = 1;
    /// The web server cancels a request.
    pub const ABORT_REQUEST: u8 = 2;
    /// The application ends a request.
    pub const END_REQUEST: u8 = 3;
    /// A part of the stream of name-value parameters.
    pub const PARAMS: u8 = 4;
    /// A part of the stream of the request body.
    pub const STDIN: u8 = 5;
    /// A part of the stream of the response.
    pub const STDOUT: u8 = 6;
    /// A query of the application's variables.
    pub const GET_VALUES: u8 = 9;
    /// The response to [`GET_VALUES`].
    pub const GET_VALUES_RESULT: u8 = 10;
    /// The response to a management record of an unknown type.
    pub const UNKNOWN_TYPE: u8 = 11;
}

/// Values of the field `protocolStatus` of END_REQUEST, by their number in the specification.
pub mod protocol_status {
    /// The request was answered.
    pub const COMPLETE: u8 = 0;
    /// The application accepts no more concurrent requests on this connection.
    pub const CANT_MULTIPLEX: u8 = 1;
    /// The application has no capacity.
    pub const OVERLOADED: u8 = 2;
    /// The application does not implement the requested role.
    pub const UNKNOWN_ROLE: u8 = 3;
}
