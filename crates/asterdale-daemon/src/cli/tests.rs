//! Tests of the command line's definition.

use super::*;

#[test]
fn the_command_line_is_valid_and_parses_its_examples() {
    CommandLine::command().debug_assert();
    for example in EXAMPLES.lines().skip(1) {
        let arguments = example
            .split_whitespace()
            .skip_while(|argument| *argument != "asterdale");
        assert!(CommandLine::try_parse_from(arguments).is_ok(), "{example}");
    }
    assert!(CommandLine::try_parse_from(["asterdale", "unknown"]).is_err());
}
