package frostreel.control;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.control.AdminRequest.Verb;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class AdminRequestParserTest {
    @ParameterizedTest
    @EnumSource(names = {"STATUS", "PAUSE", "RESUME"})
    void parsesVerbsWithoutArgument(Verb verb) {
        assertThat(AdminRequestParser.parse(verb.name())).isEqualTo(new AdminRequest(verb, ""));
    }

    @ParameterizedTest
    @EnumSource(names = {"SUSPEND", "RESTORE"})
    void parsesVerbsWithServerId(Verb verb) {
        assertThat(AdminRequestParser.parse(verb.name() + " a-1")).isEqualTo(new AdminRequest(verb, "a-1"));
    }

    @Test
    void skipsSurroundingWhiteSpaceAndRepeatedSpaces() {
        assertThat(AdminRequestParser.parse("  STATUS \r")).isEqualTo(new AdminRequest(Verb.STATUS, ""));
        assertThat(AdminRequestParser.parse("SUSPEND    a")).isEqualTo(new AdminRequest(Verb.SUSPEND, "a"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", " ", "SUSPEND", "RESTORE", "STATUS a", "PAUSE a b", "status", "UNKNOWN", "SUSPEND\ta"})
    void parsesAnythingElseAsUnknown(String line) {
        assertThat(AdminRequestParser.parse(line).verb()).isEqualTo(Verb.UNKNOWN);
    }
}
