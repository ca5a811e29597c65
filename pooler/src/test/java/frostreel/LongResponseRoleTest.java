package frostreel;

import static frostreel.TestMessages.query;
import static frostreel.TestMessages.writeSql;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The role that a server reports after a value that is forwarded as it arrives. */
class LongResponseRoleTest extends AbstractPoolerTest {
    private static final byte[] VALUE = new byte[1 << 17];

    /** Guards against reads that keep going to a former primary which answers them with long values only. */
    @Test
    void formerPrimaryThatSendsLongValuesReceivesNoFurtherReads() throws Exception {
        primary.script = (text, link) -> {
            if (text.contains("INSERT")) {
                link.send(TestMessages.error("25006"), TestMessages.READY);
            } else {
                link.send(LongValuesTest.head(VALUE.length, VALUE.length), VALUE, LongValuesTest.TAIL);
            }
        };
        replica.script = PoolerHarness.rows("from-replica", "primary");
        harness.settings = PoolerHarness.SETTINGS
                .replace("\"any\"", "\"fresh\"")
                .replace("\"serverChecks\":\"wait\"", "\"serverChecks\":\"silent\"")
                .replace("\"probes\":true", "\"probes\":false");
        start();
        WireConnection reader = harness.client();
        assertThat(value(reader.execute(nextReadSql()))).hasSize(VALUE.length);
        reader.send(query(nextReadSql()));
        assertThat(value(harness.client().execute(writeSql("1", 9000)))).isEqualTo("from-replica");
        assertThat(value(reader.readResponse())).isEqualTo("from-replica");
    }
}
