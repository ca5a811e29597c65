package frostreel;

import static frostreel.PoolerHarness.host;
import static frostreel.PoolerHarness.list;
import static frostreel.TestMessages.query;
import static frostreel.TestMessages.readSql;
import static frostreel.TestMessages.writeSql;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** A process that is suspended by SIGSTOP while endpoint lists and requests arrive. */
class PausedProcessTest extends AbstractPoolerTest {
    /** After a pause of this length, watch events are polled before other events are handled. */
    private static final long LONGER_THAN_A_POLL_INTERVAL_MS = 300;

    /**
     * The request arrives before the endpoint list update; handled in that order, it would be sent to the draining
     * server.
     */
    @Test
    void resumedProcessAppliesWatchEventsBeforeItSends() throws Exception {
        try (ServeProcess process = ServeProcess.start(PoolerHarness.environment(configuration()))) {
            harness.lists.add(list(1, false));
            int port = process.awaitPort();
            process.awaitReady();
            assertThat(harness.sentLists.take()).isEqualTo("sent");
            try (WireConnection client = PoolerHarness.client(port)) {
                assertThat(value(client.execute(readSql("1", 9000)))).isEqualTo("from-replica");
                process.suspend();
                long pausedAtNs = System.nanoTime();
                client.send(query(readSql("2", 9000)));
                harness.lists.add(list(2, false, host("b", replica, "replica", "Terminating")));
                assertThat(harness.sentLists.take()).isEqualTo("sent");
                PoolerHarness.awaitElapsed(pausedAtNs, LONGER_THAN_A_POLL_INTERVAL_MS);

                process.resume();

                assertThat(value(client.readResponse())).isEqualTo("from-primary");
                assertThat(replica.received).hasSize(1);
            }
        }
    }

    /** The deadline of a request counts from its sending, even if the process is suspended at that time. */
    @Test
    void timeSpentInPausedProcessCountsAgainstTheDeadline() throws Exception {
        long pausedMs = 600;
        try (ServeProcess process = ServeProcess.start(PoolerHarness.environment(configuration()))) {
            harness.lists.add(list(1, false));
            int port = process.awaitPort();
            process.awaitReady();
            try (WireConnection client = PoolerHarness.client(port);
                    WireConnection late = PoolerHarness.connect(port)) {
                process.suspend();
                client.send(query(writeSql("1", 9000)));
                late.send(TestMessages.startup(), query(writeSql("2", 300)));
                PoolerHarness.awaitElapsed(System.nanoTime(), pausedMs);

                process.resume();

                assertThat(value(client.readResponse())).isEqualTo("from-primary");
                assertThat(TestMessages.remainingMs(primary.next())).isLessThanOrEqualTo((int) (9000 - pausedMs));
                late.readResponse();
                assertThat(late.readResponse()).singleElement().asString().contains("|C53300|");
                assertThat(primary.received).isEmpty();
            }
        }
    }
}
