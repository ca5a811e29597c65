package frostreel.simulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import frostreel.wire.MalformedMessageException;
import frostreel.wire.MessageFields;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how the simulator's codes, names and marks are decoded. */
class MessageDecoderTest {
    private static final long BASE_TIME_US = 90_000_000;

    private static MessageFields message(String json) {
        return new MessageFields(new JSONObject(json).toMap());
    }

    @ParameterizedTest
    @CsvSource({
        "0, OK",
        "1, CANCELLED",
        "4, TIMEOUT",
        "5, WRONG_ROLE_OR_STALE",
        "8, REJECTED",
        "9, NOT_SENT",
        "10, RESET",
        "13, ERROR",
        "14, CONNECT_FAILED"
    })
    void eachOutcomeHasItsCode(int code, Outcome outcome) throws MalformedMessageException {
        assertThat(MessageDecoder.outcome(message("{\"outcome\":" + code + "}")))
                .isEqualTo(outcome);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3, 6, 7, 11, 12, 15, 1000})
    void otherOutcomeCodesAreMalformed(int code) {
        assertThatThrownBy(() -> MessageDecoder.outcome(message("{\"outcome\":" + code + "}")))
                .isInstanceOf(MalformedMessageException.class)
                .hasMessage("field 'outcome' is not a known outcome");
    }

    @ParameterizedTest
    @CsvSource({"incr, CHANGES", "total, FULL", "warm_copy, CACHED", "lost, FAILED"})
    void eachListKindHasItsName(String name, Router.ListKind kind) throws MalformedMessageException {
        assertThat(MessageDecoder.listKind(message("{\"scope\":\"" + name + "\"}")))
                .isEqualTo(kind);
    }

    @ParameterizedTest
    @CsvSource({"U, UP", "L, DRAINING", "D, GONE"})
    void eachMemberStateHasItsName(String name, Router.State state) throws MalformedMessageException {
        MessageFields register = message("""
                {"membersList":[{"member":"m:1","site":2,"hw":1,"set":3,"leads":1,"scale":0.5,"cameUpS":4.5,
                "status":"%s"}]}""".formatted(name));
        assertThat(MessageDecoder.members(register))
                .containsExactly(new Router.Member("m:1", 2, 1, 3, true, state, 0.5, 4_500_000));
    }

    @Test
    void aMemberIsUpUnlessItIsListedOtherwise() throws MalformedMessageException {
        assertThat(MessageDecoder.members(message("{\"membersList\":[{\"member\":\"m:1\"}]}")))
                .containsExactly(new Router.Member("m:1", 0, 0, 0, false, Router.State.UP, 1, 0));
    }

    @ParameterizedTest
    @CsvSource({"0, UNKNOWN, 0", "1, PRIMARY, 0", "2, REPLICA, 0", "3, UNKNOWN, 0", "40042, REPLICA, 100010000"})
    void aMarkHoldsRoleAndPosition(long mark, Router.Role role, long positionUs) {
        assertThat(MessageDecoder.markedRole(mark)).isEqualTo(role);
        assertThat(MessageDecoder.markedPositionUs(mark, BASE_TIME_US)).isEqualTo(positionUs);
    }

    @Test
    void aRequestIsDecodedWithItsDefaults() throws MalformedMessageException {
        assertThat(MessageDecoder.request(message("{\"xid\":\"r\",\"expiresS\":1.25}"), 1))
                .isEqualTo(new Router.Request("r", 0, -1, 0, 1_250_000, 0, false));
    }

    @ParameterizedTest
    @CsvSource({"0, false", "1, false", "2, true", "7, true"})
    void aRequestIsARetryByItsAttributes(long attributes, boolean retry) throws MalformedMessageException {
        MessageFields request = message("""
                {"xid":"r","category":1,"sess":9,"clusterNo":3,"expiresS":2,"tokenAgeMs":412.5,
                "attrs":%d}""".formatted(attributes));
        assertThat(MessageDecoder.request(request, 2))
                .isEqualTo(new Router.Request("r", 1, 9, 3, 2_000_000, 412_500, retry));
    }

    @ParameterizedTest
    @CsvSource({"true, 1, PRIMARY", "true, 0, REPLICA", "false, 1, UNKNOWN"})
    void aReportTellsTheRoleWhereReportsHoldRoles(boolean reportsRole, int value, Router.Role role)
            throws MalformedMessageException {
        MessageFields response = message("""
                {"healthInfo":{"x0":10.01,"x1":%d,"load_share":0.25}}""".formatted(value));
        assertThat(MessageDecoder.report(response, BASE_TIME_US, reportsRole))
                .isEqualTo(new Router.Report(100_010_000, role, 0.25, Double.NaN, Double.NaN));
    }

    @ParameterizedTest
    @ValueSource(strings = {"{}", "{\"healthInfo\":{}}"})
    void withoutValuesThereIsNoReport(String json) throws MalformedMessageException {
        assertThat(MessageDecoder.report(message(json), BASE_TIME_US, true)).isNull();
    }
}
