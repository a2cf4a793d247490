//! Tests of the command line's definition.

use super::*;

#[test]
fn the_command_line_is_valid_and_parses_its_examples() {
    Line::command().debug_assert();
    for example in EXAMPLES.lines().skip(1) {
        let arguments = example
            .split_whitespace()
            .skip_while(|argument| *argument != "asterdale");
        assert!(Line::try_parse_from(arguments).is_ok(), "{example}");
    }
    assert!(Line::try_parse_from(["asterdale", "unknown"]).is_err());
}
