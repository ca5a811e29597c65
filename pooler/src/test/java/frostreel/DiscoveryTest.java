package frostreel;

import static frostreel.PoolerHarness.host;
import static frostreel.PoolerHarness.list;
import static frostreel.TestMessages.http;
import static frostreel.TestMessages.query;
import static frostreel.TestMessages.readSql;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;

/** The watch on discovery: failures at each stage of a request, and switches to another agent. */
class DiscoveryTest extends AbstractPoolerTest {
    private static final ScriptedPeer.Script SILENCE = (text, link) -> {};
    private static final ScriptedPeer.Script CLOSE = (text, link) -> link.close();
    private static final ScriptedPeer.Script RESET = (text, link) -> {
        link.socket.setSoLinger(true, 0);
        link.close();
    };
    /** How the agent responds to each request in turn. */
    private final BlockingQueue<ScriptedPeer.Script> responses = new LinkedBlockingQueue<>();

    private static ScriptedPeer.Script inTurn(BlockingQueue<ScriptedPeer.Script> responses) {
        return (text, link) -> {
            try {
                responses.take().respond(text, link);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        };
    }

    private void startWatch() throws Exception {
        harness.discovery.script = inTurn(responses);
        responses.add(respondWith(list(1, false))); // An update without changed servers.
        harness.startSilent(host("a", primary, "primary", "Ready"), host("b", replica, "replica", "Ready"));
        // wait=1 (ms) asks the agent to respond at once; later polls are long.
        assertThat(harness.discovery.next()).contains("index=0&wait=1 ");
        assertThat(harness.discovery.next()).contains("index=1&").doesNotContain("wait=1 ");
    }

    private static ScriptedPeer.Script respondWith(String list) {
        return (text, link) -> link.send(http(list));
    }

    private String changes(int seq, String health) {
        return list(seq, false, host("b", replica, "replica", health));
    }

    /** A long poll right after a failure could exceed the 6 s in which an endpoint list update must be delivered. */
    @Test
    void afterAnyFailureTheNextPollDoesNotWaitAndItsListIsApplied() throws Exception {
        startWatch();
        assertRecoversFrom(
                1,
                SILENCE,
                RESET,
                (text, link) -> link.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".getBytes()),
                (text, link) -> link.send(http("{\"seq\":")),
                (text, link) -> {
                    link.send(http("Content-Length: 400\r\n", changes(2, "Ready")));
                    link.close();
                },
                (text, link) -> link.send("HTTP/1.1 200 OK\r\nContent-Le".getBytes()));
        assertRecoversFrom(2, CLOSE, SILENCE);
    }

    /**
     * Makes the agent fail successive requests of a watch at this list version, then respond with the next update.
     */
    private void assertRecoversFrom(int version, ScriptedPeer.Script... failures) throws Exception {
        for (ScriptedPeer.Script failure : failures) {
            responses.add(failure);
            assertThat(harness.discovery.next()).contains("index=" + version + "&wait=1 ");
        }
        int next = version + 1;
        boolean replicaDrains = next % 2 == 0;
        responses.add(respondWith(changes(next, replicaDrains ? "Terminating" : "Ready")));
        assertThat(harness.discovery.next()).contains("index=" + next + "&").doesNotContain("wait=1 ");
        try (WireConnection client = harness.client()) {
            assertThat(value(client.execute(readSql("q" + next, 9000))))
                    .isEqualTo(replicaDrains ? "from-primary" : "from-replica");
        }
    }

    @Test
    void listWithoutLengthIsCompleteAtItsEndButNotAfterReset() throws Exception {
        startWatch();
        responses.add((text, link) -> {
            link.send(http("", changes(2, "Terminating")));
            link.close();
        });
        assertThat(harness.discovery.next()).contains("index=2&");
        responses.add((text, link) -> {
            link.send(http("", changes(3, "Ready")));
            RESET.respond(text, link);
        });
        assertThat(harness.discovery.next()).contains("index=2&wait=1 ");
        try (WireConnection client = harness.client()) {
            assertThat(value(client.execute(readSql("1", 9000)))).isEqualTo("from-primary");
        }
        assertThat(harness.pooler.counters()).contains(" discovery_failures=1 ");
    }

    /** A watch that is replaced while it waits to reconnect must not connect later, in addition to its successor. */
    @Test
    void watchReplacedWhileWaitingToReconnectMakesNoFurtherConnection() throws Exception {
        startWatch();
        ScriptedPeer unreachableAgent = harness.agent(SILENCE);
        unreachableAgent.close(); // The connect is refused and retried after a backoff.
        harness.reload(unreachableAgent);
        while (harness.pooler.counters().contains(" discovery_failures=0 ")) {
            Thread.onSpinWait();
        }
        BlockingQueue<ScriptedPeer.Script> newResponses = new LinkedBlockingQueue<>();
        ScriptedPeer answeringAgent = harness.agent(inTurn(newResponses));
        harness.reload(answeringAgent);
        newResponses.add(respondWith(list(5, true, host("a", primary, "primary", "Ready"))));
        assertThat(answeringAgent.next()).startsWith("GET /discovery/hosts HTTP");
        assertThat(answeringAgent.next()).contains("index=5&");
        assertPreviousWatchHasEnded();
        long failures = harness.counter("discovery_failures");
        newResponses.add(respondWith(list(6, false)));
        assertThat(answeringAgent.next()).contains("index=6&"); // Only the current watch continues.
        assertThat(harness.counter("discovery_failures")).isEqualTo(failures);
        assertThat(answeringAgent.connections.get()).isEqualTo(1);
    }

    /** Responds to the previous watch: an active one would poll again, a stopped one has closed its connection. */
    private void assertPreviousWatchHasEnded() throws Exception {
        responses.add(respondWith(list(99, false)));
        assertThat(harness.discovery.closedConnections.take()).isEqualTo("closed");
    }

    /** The current list must not become stale while the agent named by a reload does not respond. */
    @Test
    void previousDiscoveryStaysInUseUntilTheNewOneAnswers() throws Exception {
        startWatch();
        try (WireConnection client = harness.client()) {
            ScriptedPeer silent = harness.agent(SILENCE);
            harness.reload(silent);
            assertThat(silent.next()).startsWith("GET /discovery/hosts HTTP");
            responses.add(respondWith(changes(2, "Terminating")));
            assertThat(harness.discovery.next()).contains("index=2&");
            assertThat(value(client.execute(readSql("1", 9000)))).isEqualTo("from-primary");

            ScriptedPeer refusing = harness.agent(SILENCE);
            refusing.close();
            harness.reload(refusing);
            assertThat(silent.closedConnections.take()).isEqualTo("closed");
            responses.add(respondWith(changes(3, "Ready")));
            assertThat(harness.discovery.next()).contains("index=3&");
            assertThat(value(client.execute(readSql("2", 9000)))).isEqualTo("from-replica");

            BlockingQueue<ScriptedPeer.Script> newResponses = new LinkedBlockingQueue<>();
            ScriptedPeer answering = harness.agent(inTurn(newResponses));
            harness.reload(answering);
            newResponses.add(respondWith(list(
                    1, true, host("a", primary, "primary", "Ready"), host("b", replica, "replica", "Terminating"))));
            assertThat(answering.next()).startsWith("GET /discovery/hosts HTTP");
            assertThat(answering.next()).contains("index=1&");
            assertPreviousWatchHasEnded();
            assertThat(value(client.execute(readSql("3", 9000)))).isEqualTo("from-primary");
        }
    }

    private static final String SHORT_DRAIN_LIMIT =
            PoolerHarness.SETTINGS.replace("\"stopSendingWithinS\":1", "\"stopSendingWithinS\":0.25");

    /**
     * After the event loop was blocked briefly, it finds the clients' requests and an endpoint list update in one
     * turn. It must apply the update first, so that no request is sent to the draining replica.
     */
    private void assertWatchEventsAreAppliedFirstAfterTheLoopWasBlockedBriefly() throws Exception {
        CountDownLatch written = new CountDownLatch(1);
        List<WireConnection> clients = new ArrayList<>();
        for (int i = 0; i < PoolerHarness.MAX_WAITING_REQUESTS; i++) {
            clients.add(harness.client());
        }
        // An idle connection to the replica stays open, on which the next request could be sent at once.
        assertThat(value(clients.get(0).execute(readSql("first", 9000)))).isEqualTo("from-replica");
        harness.whileLoopIsBlocked(() -> {
            long since = System.nanoTime();
            for (WireConnection client : clients) {
                client.send(query(readSql("q" + clients.indexOf(client), 9000)));
            }
            responses.add((text, link) -> {
                link.send(http(changes(2, "Terminating")));
                written.countDown();
            });
            written.await();
            PoolerHarness.awaitElapsed(since, 100); // Two fifths of SHORT_DRAIN_LIMIT; polls are due after one fifth.
        });
        for (WireConnection client : clients) {
            assertThat(value(client.readResponse())).isEqualTo("from-primary");
            client.close();
        }
        assertThat(replica.received).hasSize(1);
    }

    @Test
    void watchEventsAreAppliedFirstAfterTheLoopWasBlockedBriefly() throws Exception {
        harness.settings = SHORT_DRAIN_LIMIT;
        startWatch();
        assertWatchEventsAreAppliedFirstAfterTheLoopWasBlockedBriefly();
    }

    @Test
    void reloadChangesTheIntervalOfWatchEventPolls() throws Exception {
        startWatch();
        harness.settings = SHORT_DRAIN_LIMIT;
        harness.reload(harness.discovery);
        harness.awaitCounter("reloads=1");
        assertWatchEventsAreAppliedFirstAfterTheLoopWasBlockedBriefly();
    }

    /**
     * A poll that times out stays open while a second one is sent, so that an agent that is always late can still
     * deliver updates.
     */
    @Test
    void lateResponseIsAppliedAndTheSecondPollCancelled() throws Exception {
        startWatch();
        BlockingQueue<WireConnection> late = new LinkedBlockingQueue<>();
        responses.add(CLOSE);
        assertThat(harness.discovery.next()).contains("index=1&wait=1 ");
        assertThat(harness.discovery.closedConnections.take()).isEqualTo("closed");
        responses.add((text, link) -> late.add(link));
        WireConnection first = late.take(); // Gets no response yet, so its poll times out.
        assertThat(harness.discovery.next()).as("in addition to the late one").contains("index=1&wait=1 ");
        responses.add(SILENCE);
        first.send(http(changes(2, "Terminating")));
        assertThat(harness.discovery.next())
                .as("on the connection of the response")
                .contains("index=2&")
                .doesNotContain("wait=1 ");
        assertThat(harness.discovery.closedConnections.take())
                .as("the second poll is cancelled")
                .isEqualTo("closed");
        try (WireConnection client = harness.client()) {
            assertThat(value(client.execute(readSql("1", 9000)))).isEqualTo("from-primary");
        }
        assertThat(harness.discovery.connections.get()).isEqualTo(3);
    }
}
