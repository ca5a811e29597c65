package frostreel;

import static frostreel.PoolerHarness.errors;
import static frostreel.PoolerHarness.rows;
import static frostreel.TestMessages.query;
import static frostreel.TestMessages.readSql;
import static frostreel.TestMessages.row;
import static frostreel.TestMessages.writeSql;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** No attempt is sent for a request whose client has disconnected or cancelled it. */
class DisconnectedClientsTest extends AbstractPoolerTest {
    private final BlockingQueue<WireConnection> handshakes = new LinkedBlockingQueue<>();

    /** Defers the handshakes of new connections to the replica until the test completes them. */
    private void deferHandshakes() {
        replica.handshake = (text, link) -> handshakes.add(link);
    }

    private void disableCancellation() {
        harness.settings = PoolerHarness.SETTINGS.replace("\"cancel\":true", "\"cancel\":false");
    }

    /** Checks that the replica receives nothing before the next request, which uses the pending connection. */
    private void assertNothingIsSentBeforeTheNextRequest(WireConnection pending) throws Exception {
        pending.completeHandshake();
        try (WireConnection client = harness.client()) {
            assertThat(value(client.execute(readSql("next", 9000)))).isEqualTo("from-replica");
        }
        assertThat(replica.next()).contains("id=next,");
        assertThat(primary.received).isEmpty();
        assertThat(replica.connections.get()).isEqualTo(1);
    }

    /** Disconnects a client whose request waits for a server connection, with {@code pipelined} bytes behind it. */
    private void disconnectBehind(byte[] pipelined) throws Exception {
        disableCancellation();
        deferHandshakes();
        start();
        WireConnection client = harness.client();
        client.send(query(readSql("gone", 9000)));
        WireConnection pending = handshakes.take();
        client.send(pipelined);
        client.close();
        harness.awaitCounter("clients_gone=1");
        assertNothingIsSentBeforeTheNextRequest(pending);
    }

    @Test
    void waitingRequestIsNotSentAfterItsClientDisconnects() throws Exception {
        disconnectBehind(new byte[0]);
    }

    /** The bytes exceed the connection's buffers, so the disconnect is only found once they have been read. */
    @Test
    void disconnectIsDetectedBehindPipelinedBytes() throws Exception {
        disconnectBehind(new byte[1_500_000]);
    }

    /**
     * Guards against sending queued requests whose clients' disconnects arrive in the same turn of the event loop as
     * the responses that free capacity for them. In all but one of some thousand orders in which the sockets are read,
     * a response precedes a disconnect.
     */
    @Test
    void queuedRequestIsNotSentInTheTurnThatDetectsItsDisconnect() throws Exception {
        BlockingQueue<WireConnection> serversAwaitingResponse = new LinkedBlockingQueue<>();
        replica.script = (text, link) -> serversAwaitingResponse.add(link);
        primary.script = replica.script;
        start();
        Map<String, WireConnection> clients = new HashMap<>();
        int requests = PoolerHarness.MAX_WAITING_REQUESTS;
        for (int i = 0; i < requests; i++) {
            WireConnection client = harness.client();
            clients.put("q" + i, client);
            client.send(query(readSql("q" + i, 9000)));
        }
        harness.awaitCounter("requests=" + requests);
        int sent = (int) harness.counter("attempts");
        assertThat(sent).isBetween(1, requests / 2); // The others wait for capacity.
        List<String> inFlight = new ArrayList<>();
        List<WireConnection> servers = new ArrayList<>();
        for (int i = 0; i < sent; i++) {
            servers.add(serversAwaitingResponse.take());
        }
        for (ScriptedPeer peer : List.of(primary, replica)) {
            for (String text : peer.received) {
                inFlight.add(TestMessages.requestId(text));
            }
        }
        harness.whileLoopIsBlocked(() -> {
            for (Map.Entry<String, WireConnection> client : clients.entrySet()) {
                if (!inFlight.contains(client.getKey())) {
                    client.getValue().close();
                }
            }
            for (WireConnection server : servers) {
                server.send(row("late", "replica"), TestMessages.READY);
            }
        });
        harness.awaitCounter("clients_gone=" + (requests - sent));
        assertThat(harness.pooler.counters()).contains(" attempts=" + sent + " ");
    }

    @Test
    void cancelledRequestWaitingForConnectionIsNeverSent() throws Exception {
        disableCancellation();
        deferHandshakes();
        start();
        try (CancellableClient client = new CancellableClient()) {
            client.link.send(query(readSql("gone", 9000)));
            WireConnection pending = handshakes.take();
            client.cancelAndAwaitError();
            assertNothingIsSentBeforeTheNextRequest(pending);
            assertThat(value(client.link.execute(readSql("2", 9000)))).isEqualTo("from-replica");
        }
    }

    @Test
    void cancelledQueuedWriteIsNotSentOnceThereIsAPrimary() throws Exception {
        // Without health checks, only writes find the primary. The limit on attempts is high enough for the write to
        // stay queued, however many are made before this test sees the second.
        harness.settings = PoolerHarness.SETTINGS
                .replace("\"probes\":true", "\"probes\":false")
                .replace("\"maxAttempts\":4", "\"maxAttempts\":1000");
        primary.script = errors("25006", "replica");
        replica.script = errors("25006", "replica");
        start();
        try (CancellableClient client = new CancellableClient()) {
            client.link.send(query(writeSql("gone", 9000)));
            while (wrongRoleOutcomes() < 2) {
                Thread.onSpinWait(); // Until both members have rejected the write, and it is queued.
            }
            client.cancelAndAwaitError();
            // Read after the response to the cancel, behind which no attempt may follow.
            long attemptsAtCancel = harness.counter("attempts");
            primary.script = rows("from-primary", "primary");
            assertThat(value(client.link.execute(writeSql("next", 9000)))).isEqualTo("from-primary");
            assertThat(timesReceived("gone")).isBetween(2L, attemptsAtCancel);
        }
    }

    private long wrongRoleOutcomes() {
        Matcher outcome = Pattern.compile("WRONG_ROLE_OR_STALE=(\\d+)").matcher(harness.pooler.counters());
        return outcome.find() ? Long.parseLong(outcome.group(1)) : 0;
    }

    private long timesReceived(String id) {
        return Stream.of(primary, replica)
                .flatMap(peer -> peer.received.stream())
                .filter(text -> text.contains("id=" + id + ","))
                .count();
    }

    @Test
    void cancelledRequestInFlightHasOneResponseAndNoRetry() throws Exception {
        replica.script = (text, link) -> {};
        start();
        try (CancellableClient client = new CancellableClient()) {
            client.link.send(query(readSql("gone", 9000)));
            assertThat(replica.next()).contains("id=gone,");
            client.cancel(client.secret + 1); // The key of another client.
            assertThat(harness.pooler.counters()).contains(" clients_cancelled=0 ");
            client.cancelAndAwaitError();
            assertThat(replica.closedConnections.take()).isEqualTo("closed");
            assertThat(value(client.link.execute(writeSql("2", 9000)))).isEqualTo("from-primary");
            client.cancel(client.secret); // Has no effect, as the request has ended.
            assertThat(value(client.link.execute(writeSql("3", 9000)))).isEqualTo("from-primary");
            assertThat(harness.pooler.counters())
                    .contains(" clients_cancelled=1 ")
                    .contains(" attempts=3 ");
        }
    }
}
