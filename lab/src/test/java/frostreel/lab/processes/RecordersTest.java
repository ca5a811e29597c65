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

/** What is seen of sockets convicts as what is seen in virtual time does; one case for each rule. */
class RecordersTest {
    private static final Router.Settings SETTINGS =
            new SimulationPlan(1, 1, 1, 1, 1, 1, 0, 1_000_000, false).settings(0, 0);
    private static final Map<String, Router.RequestClass> CLASSES =
            SETTINGS.classes().stream().collect(Collectors.toMap(Router.RequestClass::name, c -> c));
    private static final byte[] REFUSED = with(Messages.error(false, "53300", "no", null));
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
        recorder.poolerReceived(Messages.welcome(1, 1));
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

    private static byte[] read(String id, String className, String more) {
        return query("SELECT v FROM records WHERE k = 's1' /* id=" + id + ",c=" + className + ",d=1000,cluster=0" + more
                + " */");
    }

    private static byte[] write(String id) {
        return query("INSERT INTO records (k, v) VALUES ('s1', '\\x00') RETURNING v /* id=" + id
                + ",c=payment-post,d=3000,k=k1,cluster=0 */");
    }

    private static byte[] query(String sql) {
        return Messages.query((sql + "\0").getBytes(StandardCharsets.US_ASCII));
    }

    /** A replica's answer from data of that age. */
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

    private List<String> broken() {
        checker.end(nowUs);
        return checker.rules().stream()
                .filter(r -> r.broken() > 0)
                .map(Rule::name)
                .toList();
    }

    private void asks(byte[] query) {
        client.poolerReceived(Messages.startup());
        client.poolerSent(Messages.welcome(1, 1));
        client.poolerReceived(query);
    }

    @Test
    void aRequestServedInTimeBreaksNothing() {
        asks(read("1", "account-view", ""));
        StatementRecorder recorder = server("a");
        byte[] query = read("1", "account-view", "");
        for (byte b : query) { // However the bytes are split.
            recorder.poolerSent(new byte[] {b});
        }
        nowUs += 40_000;
        recorder.poolerReceived(row(500_000));
        client.poolerSent(with(Messages.row("v", "x")));
        nowUs += 10_000_000;
        assertThat(broken()).isEmpty();
    }

    @Test
    void anAnswerThatIsLateOrNeverComesConvicts() {
        asks(read("1", "account-view", ""));
        nowUs += 1_100_000;
        client.poolerSent(REFUSED);
        assertThat(broken()).containsExactly("one final answer in time");
        client.poolerReceived(read("2", "account-view", ""));
        nowUs += 5_000_000;
        client.connectionEnded(true);
        assertThat(broken()).containsExactly("one final answer in time");
        assertThat(checker.broken()).isEqualTo(2);
    }

    @Test
    void whatAClientThatLeftOrAKilledPoolerOwesConvictsNobody() {
        asks(read("1", "account-view", ""));
        client.connectionEnded(false);
        ClientRecorder second = new ClientRecorder(() -> nowUs, 1, CLASSES, checker, false);
        second.poolerReceived(Messages.startup());
        second.poolerReceived(read("2", "account-view", ""));
        checker.poolerKilled(nowUs, 1);
        second.connectionEnded(true);
        ClientRecorder third = new ClientRecorder(() -> nowUs, 2, CLASSES, checker, false);
        third.poolerReceived(Messages.startup());
        third.poolerSent(Messages.welcome(1, 1));
        third.poolerReceived(read("3", "account-view", ""));
        checker.poolerPaused(nowUs, 2, true);
        nowUs += 9_000_000;
        checker.poolerPaused(nowUs, 2, false);
        third.poolerSent(REFUSED);
        assertThat(broken()).isEmpty();
    }

    @Test
    void whatCrossesTheEndOfAUsedConnectionIsExcusedWhereItMayAndElsewhereConvicts() {
        for (boolean mayCross : new boolean[] {true, false}) {
            ClientRecorder recorder = new ClientRecorder(() -> nowUs, 0, CLASSES, checker, mayCross);
            recorder.poolerReceived(Messages.startup());
            recorder.poolerSent(Messages.welcome(1, 1));
            recorder.poolerReceived(read("used" + mayCross, "account-view", ""));
            recorder.poolerSent(REFUSED);
            recorder.poolerReceived(read("crossing" + mayCross, "account-view", ""));
            recorder.connectionEnded(true);
            nowUs += 9_000_000;
            assertThat(broken().isEmpty()).isEqualTo(mayCross);
        }
        ClientRecorder fresh = new ClientRecorder(() -> nowUs, 0, CLASSES, checker, true);
        fresh.poolerReceived(Messages.startup());
        fresh.poolerSent(Messages.welcome(1, 1));
        fresh.poolerReceived(read("first", "account-view", ""));
        fresh.connectionEnded(true);
        long before = checker.broken();
        nowUs += 9_000_000;
        checker.end(nowUs);
        assertThat(checker.broken()).as("the first on its connection").isGreaterThan(before);
    }

    @Test
    void aSecondAttemptInFlightConvicts() {
        server("a").poolerSent(read("1", "account-view", ""));
        server("b").poolerSent(read("1", "account-view", ""));
        assertThat(broken()).containsExactly("one attempt at a time, 10 at most");
    }

    /** Two sockets that are ready at once are taken in any order. */
    @Test
    void anAttemptWhoseEndIsFoundBehindTheNextOnesBytesConvictsNobody() {
        AttemptOrder order = new AttemptOrder();
        StatementRecorder first = server("a", order);
        StatementRecorder second = server("b", order);
        first.poolerSent(read("1", "account-view", ""));
        order.readBy(() -> first.connectionEnded(true));
        second.poolerSent(read("1", "account-view", ""));
        assertThat(broken()).isEmpty();
    }

    @Test
    void aWriteSentAgainPastItsWindowConvictsAndWithinItDoesNot() {
        StatementRecorder first = server("a");
        asks(write("1"));
        first.poolerSent(write("1"));
        first.connectionEnded(true);
        nowUs += 2_900_000;
        StatementRecorder second = server("b");
        second.poolerSent(write("1"));
        second.connectionEnded(false);
        assertThat(broken()).isEmpty();
        nowUs += 200_000;
        server("c").poolerSent(write("1"));
        assertThat(broken()).contains("sent again only as the class permits");
    }

    @Test
    void aSendLongAfterTheListSaidThatItsServerDrainsConvicts() {
        byte[] body = "{\"seq\":1,\"hosts\":[{\"host\":\"a\",\"health\":\"Terminating\"}]}"
                .getBytes(StandardCharsets.US_ASCII);
        byte[] response =
                ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
        list.poolerReceived(response);
        list.poolerReceived(body);
        nowUs += 900_000;
        StatementRecorder first = server("a");
        first.poolerSent(read("1", "account-view", ""));
        first.poolerReceived(REFUSED);
        assertThat(broken()).isEmpty();
        nowUs += 200_000;
        first.poolerSent(read("1", "account-view", ""));
        assertThat(broken()).containsExactly("drains and ends kept");
    }

    @Test
    void aReadOlderThanItsClassOrItsSessionAllowsConvicts() {
        StatementRecorder recorder = server("a");
        recorder.poolerSent(read("1", "account-view", ""));
        recorder.poolerReceived(row(790_000));
        recorder.poolerSent(read("2", "receipt-view", ",after=" + (nowUs / 1000 - 100)));
        recorder.poolerReceived(row(50_000));
        assertThat(broken()).isEmpty();
        recorder.poolerSent(read("3", "account-view", ""));
        recorder.poolerReceived(row(900_000));
        recorder.poolerSent(read("4", "receipt-view", ",after=" + (nowUs / 1000 - 100)));
        recorder.poolerReceived(row(150_000));
        assertThat(broken()).containsExactly("no stale read");
        assertThat(checker.broken()).isEqualTo(2);
    }
}
