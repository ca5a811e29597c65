package frostreel.lab.processes;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.lab.rules.InvariantChecker;
import frostreel.lab.rules.Rule;
import frostreel.lab.virtual.SimulationPlan;
import frostreel.pg.Messages;
import frostreel.routing.Router;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Violations of the rules are found in what sockets carry, as they are in virtual time; a case for each rule. */
class RecordersTest {
    private static final Router.Settings SETTINGS =
            new SimulationPlan(1, 1, 1, 1, 1, 1, 0, 1_000_000, false).settings(0, 0);
    private static final Map<String, Router.RequestClass> CLASSES = SETTINGS.classes().stream()
            .collect(Collectors.toMap(Router.RequestClass::name, requestClass -> requestClass));
    private static final byte[] REJECTION = with(Messages.error(false, "53300", "no", null));
    private long nowUs = 1_700_000_000_000_000L;
    private final InvariantChecker checker = new InvariantChecker(SETTINGS.limits(), SETTINGS.rules());
    private final ClientRecorder client = new ClientRecorder(() -> nowUs, 0, CLASSES, checker, false);
    private final EndpointListRecorder list = new EndpointListRecorder(() -> nowUs, 0, checker);

    private StatementRecorder server(String id) {
        return server(id, new AttemptOrder());
    }

    private StatementRecorder server(String id, AttemptOrder order) {
        StatementRecorder recorder = new StatementRecorder(() -> nowUs, 0, id, CLASSES, checker, order);
        recorder.poolerSent(Messages.startup());
        recorder.poolerReceived(Messages.startupResponse(1, 1));
        return recorder;
    }

    private static byte[] with(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        all.writeBytes(Messages.readyForQuery());
        return all.toByteArray();
    }

    private static byte[] read(String id, String className, String attributes) {
        return query("SELECT v FROM records WHERE k = 's1' /* id=" + id + ",c=" + className + ",d=1000,cluster=0"
                + attributes + " */");
    }

    private static byte[] write(String id) {
        return query("INSERT INTO records (k, v) VALUES ('s1', '\\x00') RETURNING v /* id=" + id
                + ",c=payment-post,d=3000,k=k1,cluster=0 */");
    }

    private static byte[] query(String sql) {
        return Messages.query((sql + "\0").getBytes(StandardCharsets.US_ASCII));
    }

    /** A replica's answer from data of an age. */
    private byte[] row(long ageUs) {
        byte[] text = ("applied_ms\0" + (nowUs - ageUs) / 1000 + "\0").getBytes(StandardCharsets.US_ASCII);
        return with(
                Messages.row("v", "x"),
                ByteBuffer.allocate(text.length + 5)
                        .put((byte) 'S')
                        .putInt(text.length + 4)
                        .put(text)
                        .array());
    }

    private List<String> brokenRules() {
        checker.end(nowUs);
        return checker.rules().stream()
                .filter(rule -> rule.broken() > 0)
                .map(Rule::name)
                .toList();
    }

    private void takeRequest(byte[] query) {
        client.poolerReceived(Messages.startup());
        client.poolerSent(Messages.startupResponse(1, 1));
        client.poolerReceived(query);
    }

    @Test
    void acceptsARequestServedInTime() {
        takeRequest(read("1", "account-view", ""));
        StatementRecorder recorder = server("a");
        byte[] query = read("1", "account-view", "");
        for (byte single : query) { // The bytes may be split anywhere.
            recorder.poolerSent(new byte[] {single});
        }
        nowUs += 40_000;
        recorder.poolerReceived(row(500_000));
        client.poolerSent(with(Messages.row("v", "x")));
        nowUs += 10_000_000;
        assertThat(brokenRules()).isEmpty();
    }

    @Test
    void reportsLateAndMissingAnswers() {
        takeRequest(read("1", "account-view", ""));
        nowUs += 1_100_000;
        client.poolerSent(REJECTION);
        assertThat(brokenRules()).containsExactly("one final answer in time");
        client.poolerReceived(read("2", "account-view", ""));
        nowUs += 5_000_000;
        client.connectionEnded(true);
        assertThat(brokenRules()).containsExactly("one final answer in time");
        assertThat(checker.broken()).isEqualTo(2);
    }

    @Test
    void excusesAnswersOwedToDisconnectedClientsAndByKilledOrPausedPoolers() {
        takeRequest(read("1", "account-view", ""));
        client.connectionEnded(false);
        ClientRecorder second = new ClientRecorder(() -> nowUs, 1, CLASSES, checker, false);
        second.poolerReceived(Messages.startup());
        second.poolerReceived(read("2", "account-view", ""));
        checker.poolerKilled(nowUs, 1);
        second.connectionEnded(true);
        ClientRecorder third = new ClientRecorder(() -> nowUs, 2, CLASSES, checker, false);
        third.poolerReceived(Messages.startup());
        third.poolerSent(Messages.startupResponse(1, 1));
        third.poolerReceived(read("3", "account-view", ""));
        checker.poolerPaused(nowUs, 2, true);
        nowUs += 9_000_000;
        checker.poolerPaused(nowUs, 2, false);
        third.poolerSent(REJECTION);
        assertThat(brokenRules()).isEmpty();
    }

    @Test
    void excusesARequestThatCrossesTheEndOfAUsedConnectionOnlyWhereAllowed() {
        for (boolean mayCrossEnd : new boolean[] {true, false}) {
            ClientRecorder recorder = new ClientRecorder(() -> nowUs, 0, CLASSES, checker, mayCrossEnd);
            recorder.poolerReceived(Messages.startup());
            recorder.poolerSent(Messages.startupResponse(1, 1));
            recorder.poolerReceived(read("used" + mayCrossEnd, "account-view", ""));
            recorder.poolerSent(REJECTION);
            recorder.poolerReceived(read("crossing" + mayCrossEnd, "account-view", ""));
            recorder.connectionEnded(true);
            nowUs += 9_000_000;
            assertThat(brokenRules().isEmpty()).isEqualTo(mayCrossEnd);
        }
        ClientRecorder fresh = new ClientRecorder(() -> nowUs, 0, CLASSES, checker, true);
        fresh.poolerReceived(Messages.startup());
        fresh.poolerSent(Messages.startupResponse(1, 1));
        fresh.poolerReceived(read("first", "account-view", ""));
        fresh.connectionEnded(true);
        long before = checker.broken();
        nowUs += 9_000_000;
        checker.end(nowUs);
        assertThat(checker.broken()).as("the first on its connection").isGreaterThan(before);
    }

    @Test
    void reportsASecondAttemptInFlight() {
        server("a").poolerSent(read("1", "account-view", ""));
        server("b").poolerSent(read("1", "account-view", ""));
        assertThat(brokenRules()).containsExactly("one attempt at a time, 10 at most");
    }

    /** Two sockets that are ready at once are read in any order. */
    @Test
    void readsTheEndOfAnAttemptBeforeItReportsTheNextOne() {
        AttemptOrder order = new AttemptOrder();
        StatementRecorder first = server("a", order);
        StatementRecorder second = server("b", order);
        first.poolerSent(read("1", "account-view", ""));
        order.readBy(() -> first.connectionEnded(true));
        second.poolerSent(read("1", "account-view", ""));
        assertThat(brokenRules()).isEmpty();
    }

    @Test
    void reportsAWriteThatIsRetriedAfterItsWindow() {
        StatementRecorder first = server("a");
        takeRequest(write("1"));
        first.poolerSent(write("1"));
        first.connectionEnded(true);
        nowUs += 2_900_000;
        StatementRecorder second = server("b");
        second.poolerSent(write("1"));
        second.connectionEnded(false);
        assertThat(brokenRules()).isEmpty();
        nowUs += 200_000;
        server("c").poolerSent(write("1"));
        assertThat(brokenRules()).contains("sent again only as the class permits");
    }

    @Test
    void reportsAnAttemptLongAfterTheListSaidThatItsServerDrains() {
        byte[] body = "{\"seq\":1,\"hosts\":[{\"host\":\"a\",\"health\":\"Terminating\"}]}"
                .getBytes(StandardCharsets.US_ASCII);
        byte[] response =
                ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
        list.poolerReceived(response);
        list.poolerReceived(body);
        nowUs += 900_000;
        StatementRecorder first = server("a");
        first.poolerSent(read("1", "account-view", ""));
        first.poolerReceived(REJECTION);
        assertThat(brokenRules()).isEmpty();
        nowUs += 200_000;
        first.poolerSent(read("1", "account-view", ""));
        assertThat(brokenRules()).containsExactly("drains and ends kept");
    }

    @Test
    void reportsReadsOlderThanTheirClassOrSessionAllows() {
        StatementRecorder recorder = server("a");
        recorder.poolerSent(read("1", "account-view", ""));
        recorder.poolerReceived(row(790_000));
        recorder.poolerSent(read("2", "receipt-view", ",after=" + (nowUs / 1000 - 100)));
        recorder.poolerReceived(row(50_000));
        assertThat(brokenRules()).isEmpty();
        recorder.poolerSent(read("3", "account-view", ""));
        recorder.poolerReceived(row(900_000));
        recorder.poolerSent(read("4", "receipt-view", ",after=" + (nowUs / 1000 - 100)));
        recorder.poolerReceived(row(150_000));
        assertThat(brokenRules()).containsExactly("no stale read");
        assertThat(checker.broken()).isEqualTo(2);
    }
}
