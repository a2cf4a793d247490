//! Limit on the nesting of JSON, checked before it is parsed, so that deeply nested input causes no deep recursion in
//! the parser.

/// The maximum nesting of arrays and objects. The known claims need two levels; unknown claims, which are ignored, may
/// need a few more.
const MAX_NESTING: usize = 8;

/// Parses JSON. `None` if it is invalid, does not match `T`, or is nested deeper than the limit.
pub(crate) fn parse_json<'a, T: serde::Deserialize<'a>>(json: &'a [u8]) -> Option<T> {
    if nesting_depth(json) > MAX_NESTING {
        return None;
    }
    serde_json::from_slice(json).ok()
}

/// The deepest nesting of arrays and objects. Brackets in strings do not count.
fn nesting_depth(json: &[u8]) -> usize {
    let (mut depth, mut max_depth) = (0usize, 0);
    let (mut in_string, mut is_escaped) = (false, false);
    for &byte in json {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if in_string => is_escaped = true,
            b'"' => in_string = !in_string,
            _ if in_string => {}
            b'{' | b'[' => {
                depth += 1;
                max_depth = max_depth.max(depth);
            }
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    max_depth
}
