package frostreel.wire;

import static frostreel.wire.NamedValue.named;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Values of message fields, and error messages that name the field. */
class MessageFieldsTest {
    private static final List<NamedValue<Integer>> CHOICES = List.of(named("first", 1), named("second", 2));

    private static MessageFields fields(String json) {
        return new MessageFields(new JSONObject(json).toMap());
    }

    @Test
    void readsPresentFields() throws MalformedMessageException {
        MessageFields fields = fields("""
                {"text":"word","number":0.5,"whole":7,"time":1.5,"flag":true,"object":{"inner":1},"list":[1,2]}""");
        assertThat(fields.text("text")).isEqualTo("word");
        assertThat(fields.number("number")).isEqualTo(0.5);
        assertThat(fields.integer("whole", 0, 7)).isEqualTo(7);
        assertThat(fields.microsFromSeconds("time")).isEqualTo(1_500_000);
        assertThat(fields.isTrue("flag")).isTrue();
        assertThat(fields.object("object").number("inner")).isEqualTo(1);
        assertThat(fields.list("list")).hasSize(2);
    }

    @Test
    void returnsTheFallbackForMissingAndNullFields() throws MalformedMessageException {
        MessageFields fields = fields("{\"null\":null}");
        assertThat(fields.has("null")).isFalse();
        assertThat(fields.number("null", 2)).isEqualTo(2);
        assertThat(fields.integer("missing", 0, 1, 9)).isEqualTo(9);
        assertThat(fields.microsFromSeconds("missing", 3)).isEqualTo(3);
        assertThat(fields.isTrue("missing")).isFalse();
        assertThat(fields.objectOrEmpty("missing").map()).isEmpty();
        assertThat(fields.listOrEmpty("missing")).isEmpty();
        assertThat(fields.oneOf("missing", CHOICES, 5)).isEqualTo(5);
    }

    @Test
    void readsIntegersBeyondTheExactRangeOfDoubles() throws MalformedMessageException {
        assertThat(fields("{\"seed\":" + Long.MAX_VALUE + "}").integer("seed", 0, Long.MAX_VALUE))
                .isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void returnsTheValueOfAName() throws MalformedMessageException {
        assertThat(fields("{\"choice\":\"second\"}").oneOf("choice", CHOICES)).isEqualTo(2);
    }

    @ParameterizedTest
    @ValueSource(strings = {"{}", "{\"field\":null}"})
    void namesTheMissingField(String json) {
        assertThatThrownBy(() -> fields(json).text("field"))
                .isInstanceOf(MalformedMessageException.class)
                .hasMessage("field 'field' is missing");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {"8 | a whole number from 0 to 7", "0.5 | a whole number from 0 to 7", "\"7\" | a number"})
    void namesTheFieldAndRangeOfANumberOutOfRange(String value, String expected) {
        assertThatThrownBy(() -> fields("{\"field\":" + value + "}").integer("field", 0, 7))
                .isInstanceOf(MalformedMessageException.class)
                .hasMessage("field 'field' is not " + expected);
    }

    @Test
    void namesTheFieldAndTypeOfAValueOfAnotherType() {
        MessageFields fields = fields("{\"field\":[],\"time\":1e13,\"choice\":\"third\"}");
        assertThatThrownBy(() -> fields.text("field")).hasMessage("field 'field' is not text");
        assertThatThrownBy(() -> fields.isTrue("field")).hasMessage("field 'field' is not true or false");
        assertThatThrownBy(() -> fields.object("field")).hasMessage("field 'field' is not an object");
        assertThatThrownBy(() -> fields.list("choice")).hasMessage("field 'choice' is not a list");
        assertThatThrownBy(() -> fields.microsFromSeconds("time"))
                .hasMessage("field 'time' is not a time from -1e12 to 1e12 seconds");
        assertThatThrownBy(() -> fields.oneOf("choice", CHOICES))
                .hasMessage("field 'choice' is not one of first, second");
    }
}
