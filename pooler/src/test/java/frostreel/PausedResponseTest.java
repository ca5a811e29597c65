package frostreel;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.backend.ServerPool;
import frostreel.config.Config;
import frostreel.net.EventLoop;
import frostreel.request.BackEnd;
import frostreel.request.BackEnd.ResponseSource;
import frostreel.request.BackEnd.ResponseStream;
import frostreel.request.BackEnd.Result;
import frostreel.request.FixedPayload;
import frostreel.routing.Router.Outcome;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Server connections that the consumer of a long response has paused. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PausedResponseTest {
    private static final byte[] VALUE = new byte[1 << 17];
    private static final int LAST_PIECE_BYTES = 100;
    private static final long ATTEMPT_TIMEOUT_US = TimeUnit.SECONDS.toMicros(PoolerHarness.TIMEOUT_S);

    private final BlockingQueue<Result> results = new LinkedBlockingQueue<>();
    private PoolerHarness harness;
    private EventLoop loop;

    @BeforeEach
    void setUp() throws Exception {
        harness = new PoolerHarness();
        loop = new EventLoop();
    }

    @AfterEach
    void tearDown() throws Exception {
        loop.shutDown();
        harness.close();
    }

    /** The source is paused with the last piece, and not resumed, as the response is complete. */
    @Test
    void connectionPausedAtTheEndOfALongResponseServesTheNextAttempt() throws Exception {
        CountDownLatch allButLastPieceRead = new CountDownLatch(1);
        ScriptedPeer server = harness.server((text, link) -> {
            link.send(LongValuesTest.head(VALUE.length, VALUE.length));
            link.send(Arrays.copyOf(VALUE, VALUE.length - LAST_PIECE_BYTES));
            PoolerHarness.await(allButLastPieceRead);
            link.send(new byte[LAST_PIECE_BYTES], LongValuesTest.TAIL); // Read at once, as one segment.
        });
        ServerPool pool = pool(server);

        start(pool, new PausingListener(allButLastPieceRead));
        assertThat(results.poll(PoolerHarness.TIMEOUT_S, TimeUnit.SECONDS).outcome())
                .isEqualTo(Outcome.OK);
        server.script = PoolerHarness.rows("next", "replica");
        start(pool, results::add);

        assertThat(results.poll(PoolerHarness.TIMEOUT_S, TimeUnit.SECONDS))
                .as("the result of the next attempt")
                .isNotNull()
                .extracting(Result::outcome)
                .isEqualTo(Outcome.OK);
        assertThat(server.connections.get()).isEqualTo(1);
    }

    private ServerPool pool(ScriptedPeer server) throws Exception {
        Config config = Config.load(PoolerHarness.environment(PoolerHarness.configuration(
                harness.discovery.address(), PoolerHarness.host("a", server, "replica", "Ready"))));
        ServerPool pool = new ServerPool(loop, config.settings(), config.maxServerConnections());
        pool.updateEndpoints(config.initialEndpoints().endpoints(), true);
        return pool;
    }

    private void start(ServerPool pool, BackEnd.AttemptListener listener) {
        loop.thread()
                .execute(() -> pool.start(
                        "a",
                        new FixedPayload(TestMessages.query("SELECT v FROM records")),
                        ATTEMPT_TIMEOUT_US,
                        listener));
    }

    /** Counts the bytes of a long response, and pauses its source at the last of them. */
    private final class PausingListener implements BackEnd.AttemptListener {
        private final CountDownLatch allButLastPieceRead;
        private int missingBytes = LongValuesTest.head(VALUE.length, VALUE.length).length + VALUE.length;

        PausingListener(CountDownLatch allButLastPieceRead) {
            this.allButLastPieceRead = allButLastPieceRead;
        }

        @Override
        public ResponseStream longResponseBegins(ResponseSource source) {
            return piece -> {
                missingBytes -= piece.length;
                if (missingBytes == LAST_PIECE_BYTES) {
                    allButLastPieceRead.countDown();
                } else if (missingBytes == 0) {
                    source.pause();
                }
            };
        }

        @Override
        public void ended(Result result) {
            results.add(result);
        }
    }
}
