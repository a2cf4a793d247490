//! The memory that a request is admitted for.

/// The memory of a request and of its task beside the parts that depend on its content, in bytes: the message to the
/// engine, the task's record and its places in the tables of the engine and of the policies.
const REQUEST_OVERHEAD_BYTES: usize = 1536;
/// Start commands of a task that exist at a time: one that is queued for the runtime, and one that is retained until it
/// has proven to have arrived.
const START_COMMANDS: usize = 2;
/// The length of a start command without its body, in bytes.
const COMMAND_HEAD_BYTES: usize = 128;
/// The memory of a reply, in bytes: the platform's largest result of 4 KiB with its record headers.
pub const REPLY_BYTES: usize = 4 * 1024 + 512;

/// The platform's largest body and longest idempotency key, in bytes.
const MAX_BODY_BYTES: usize = 2 * 1024;
const MAX_KEY_BYTES: usize = 128;
/// The memory of a request with the largest body and key of the platform, with its reply, in bytes.
pub const MAX_REQUEST_BYTES: usize = request_bytes(MAX_BODY_BYTES, MAX_KEY_BYTES) + REPLY_BYTES;

/// The memory that a request and its task take until the task is released, in bytes, without its reply. The arguments
/// are the lengths of its body and of its other parts (token, idempotency key), in bytes.
pub const fn request_bytes(body: usize, other_parts: usize) -> usize {
    let encoded_body = body.div_ceil(3) * 4; // base64
    let commands = START_COMMANDS * (COMMAND_HEAD_BYTES + encoded_body);
    REQUEST_OVERHEAD_BYTES + body + other_parts + commands
}

/// The memory that a request takes while it is only looked up in the idempotency table, in bytes; the arguments are those
/// of [`request_bytes`].
pub const fn lookup_bytes(body: usize, other_parts: usize) -> usize {
    REQUEST_OVERHEAD_BYTES + body + other_parts
}

/// The memory that a repeat takes until its reply is written, in bytes; the arguments are those of [`request_bytes`]. It
/// is never started, so there are no commands.
pub const fn repeat_bytes(body: usize, other_parts: usize) -> usize {
    REQUEST_OVERHEAD_BYTES + body + other_parts + REPLY_BYTES
}
