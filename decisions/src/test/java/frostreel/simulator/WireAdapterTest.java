package frostreel.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the simulator's protocol from input to output. */
class WireAdapterTest {
    private static final String CREATE = """
            {"t":"Create","i":"proxy/1","initSeed":5,"options":{"zone":0,"roundS":0.005,"novelty":[{}],
            "caps":{"maxAttempts":4,"probes":true,"cancel":true,"retryAfter":true,"maxRetryAfterS":0.3},
            "classes":[{"name":"view","deadlineS":2,"onTimeS":0.5,"repeat":"retryable","worth":1},
            {"name":"pay","deadlineS":5,"onTimeS":1,"repeat":"fragile","worth":2,"lateWorth":0.5}],
            "familyInfo":{"baseTimeS":90,"freshness":["any","write"],"lagAllowedS":[0,0],"listRole":"start",
            "positions":true,"serverChecks":"silent","writeMarks":"carried"},
            "rules":{"answerSlackS":0.02,"coldFrom":0.2,"fallMultiple":2,"fallS":1,"stopSendingWithinS":1,
            "warmAfterS":10},"stats":{"how":"piggyback","names":["x0","x1"]}}}
            """.replace("\n", "") + "\n";
    private static final String LIST = """
            {"t":"Register","buffer":2,"membersList":[{"member":"m:1","site":0,"leads":1,"set":3},\
            {"member":"m:2","site":0,"leads":0,"set":3,"status":"U"}]}
            {"t":"Endpoints","i":"proxy/1","scope":"warm_copy","seqNo":1,"buffer":2}
            """;
    private static final String START = batch(100, CREATE + LIST);

    /** Exit status and output of the adapter. */
    private record Result(int exit, String out, String err) {}

    private static String batch(double timeS, String events) {
        return "{\"t\":\"Clock\",\"timeS\":" + timeS + "}\n" + events + "{\"t\":\"EofBatch\"}\n";
    }

    private static Result run(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int exit = WireAdapter.run(
                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
        return new Result(exit, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    @Test
    void emptyBatchIsAcknowledgedAndEmptyInputEndsNormally() throws IOException {
        assertEquals(new Result(0, "{\"t\":\"Ack\"}\n", ""), run(batch(8.41225, "")));
        assertEquals(new Result(0, "", ""), run(""));
    }

    @Test
    void writeIsForwardedToTheListedPrimary() throws IOException {
        Result result = run(START
                + batch(
                        100.1,
                        "{\"t\":\"Ingress\",\"i\":\"proxy/1\",\"xid\":\"r-a\",\"category\":1,\"sess\":9,"
                                + "\"clusterNo\":3,\"expiresS\":102.1,\"attrs\":4}\n"));
        assertEquals(0, result.exit, result.err);
        assertTrue(
                result.out.contains("{\"t\":\"PassOn\",\"i\":\"proxy/1\",\"xid\":\"r-a\",\"member\":\"m:1\","
                        + "\"tryForS\":2.000000}\n"),
                result.out);
    }

    @Test
    void writeRejectedByAReplicaMovesOnAndAnUnknownOutcomeEndsIt() throws IOException {
        String request = "{\"t\":\"Ingress\",\"i\":\"proxy/1\",\"xid\":\"r-a\",\"category\":1,\"sess\":9,"
                + "\"clusterNo\":3,\"expiresS\":102.1}\n";
        String rejection = "{\"t\":\"Answer\",\"i\":\"proxy/1\",\"xid\":\"r-a\",\"waitTimeS\":0.01,\"mark\":40042,"
                + "\"member\":\"m:1\",\"outcome\":5,\"healthInfo\":{\"x0\":10.01,\"x1\":0}}\n";
        String connectionReset = "{\"t\":\"Answer\",\"i\":\"proxy/1\",\"xid\":\"r-a\",\"leg\":1,\"member\":\"m:2\","
                + "\"outcome\":10}\n";
        Result result = run(START + batch(100.1, request) + batch(100.2, rejection) + batch(100.3, connectionReset));
        assertEquals(0, result.exit, result.err);
        assertTrue(result.out.contains("\"xid\":\"r-a\",\"member\":\"m:2\""), result.out);
        assertTrue(result.out.contains("{\"t\":\"Surrender\",\"i\":\"proxy/1\",\"xid\":\"r-a\"}\n"), result.out);
    }

    @Test
    void requestThatNoMemberCanServeIsRejectedInTimeWithRetryAfter() throws IOException {
        Result result = run(START
                + batch(
                        100.1,
                        "{\"t\":\"Ingress\",\"i\":\"proxy/1\",\"xid\":\"r-a\",\"category\":1,"
                                + "\"clusterNo\":77,\"expiresS\":100.11}\n"));
        assertTrue(
                result.out.contains(
                        "{\"t\":\"OverloadReply\",\"i\":\"proxy/1\",\"xid\":\"r-a\",\"coolDownS\":0.300000}"),
                result.out);
    }

    @Test
    void instanceThatIsDownWritesNoActions() throws IOException {
        Result result = run(START
                + batch(101, "{\"t\":\"Down\",\"i\":\"proxy/1\"}\n")
                + batch(102, CREATE + LIST)
                + batch(103, ""));
        assertEquals(0, result.exit, result.err);
    }

    @Test
    void exceptionInTheRouterIsReportedWithItsLocation() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int exit = WireAdapter.run(
                new ByteArrayInputStream(START.getBytes(StandardCharsets.UTF_8)),
                new PrintStream(out, true, StandardCharsets.UTF_8),
                System.err,
                (settings, actions) -> {
                    throw new IllegalStateException("router creation failed");
                });
        String text = out.toString(StandardCharsets.UTF_8);
        assertEquals(1, exit);
        assertTrue(text.startsWith("{\"t\":\"Fault\",\"i\":\"proxy/1\",\"bodyText\":\"Create: "), text);
        assertTrue(text.contains("router creation failed at frostreel.simulator.WireAdapterTest"), text);
        assertTrue(text.endsWith("{\"t\":\"Ack\"}\n"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "not json | JSON",
                "[1] | 't'",
                "{\"t\":\"Novel\",\"i\":\"proxy/1\"} | unknown message Novel",
                "{\"t\":\"Fired\",\"i\":\"proxy/9\",\"ctx\":\"x\"} | 'i'",
                "{\"t\":\"Fired\",\"i\":\"proxy/1\"} | 'ctx'",
                "{\"t\":\"Endpoints\",\"i\":\"proxy/1\",\"scope\":\"total\",\"buffer\":9} | 'buffer'",
                "{\"t\":\"Ingress\",\"i\":\"proxy/1\",\"xid\":\"r\",\"category\":2,\"expiresS\":1} | 'category'",
                "{\"t\":\"Ingress\",\"i\":\"proxy/1\",\"xid\":\"r\",\"category\":0} | 'expiresS'",
                "{\"t\":\"Answer\",\"i\":\"proxy/1\",\"xid\":\"r\",\"member\":\"m:1\",\"outcome\":77} | 'outcome'",
                "{\"t\":\"Clock\",\"timeS\":101} | 't'"
            })
    void malformedInputIsReportedByLineAndFieldAndNoPartialBatchIsWritten(String line, String expected)
            throws IOException {
        Result valid = run(START);
        Result result = run(START + "{\"t\":\"Clock\",\"timeS\":100.1}\n" + line + "\n{\"t\":\"EofBatch\"}\n");
        assertEquals(1, result.exit);
        assertEquals(valid.out, result.out);
        assertTrue(result.err.contains("line 7") && result.err.contains(expected), result.err);
        assertEquals(1, result.err.lines().count());
    }

    @Test
    void inputThatEndsInsideABatchIsAnError() throws IOException {
        Result result = run("{\"t\":\"Clock\",\"timeS\":1}\n");
        assertEquals(1, result.exit);
        assertTrue(result.err.contains("line 2"), result.err);
        assertEquals("", result.out);
    }
}
