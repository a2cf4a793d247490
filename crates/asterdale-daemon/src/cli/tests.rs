//! Tests of the command line's definition.

use super::*;

#[test]
fn the_command_line_is_valid_and_parses_its_examples() {
    Line::command().debug_assert();
    for example in EXAMPLES.lines().skip(1) {
        let words = example
            .split_whitespace()
            .skip_while(|word| *word != "asterdale");
        assert!(Line::try_parse_from(words).is_ok(), "{example}");
    }
    assert!(Line::try_parse_from(["asterdale", "unknown"]).is_err());
}
