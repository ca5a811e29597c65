package frostreel.lab.standin;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.lab.model.Cluster;
import frostreel.lab.model.Scheduler;
import frostreel.lab.model.Server;
import frostreel.net.EventLoop;
import frostreel.pg.MessageReader;
import frostreel.pg.Messages;
import frostreel.pg.ServerResponse;
import frostreel.pg.Statement;
import frostreel.request.BackEnd;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.json.JSONObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The stand-ins on sockets, as a pooler uses them: one group of two servers, of which the first is primary. */
class StandInsTest {
    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
    private final CountDownLatch overloaded = new CountDownLatch(1);
    private EventLoop loop;
    private Scheduler scheduler;
    private Cluster cluster;
    private Server primary;
    private Server replica;
    private StandInDatabase first;
    private StandInDatabase second;
    private DiscoveryAgent agent;

    @BeforeEach
    void startStandIns() throws Exception {
        loop = new EventLoop();
        scheduler = new RealTime(loop);
        onLoop(() -> {
            cluster = new Cluster(scheduler, new SplittableRandom(1), 2, 1, 1, this::publish);
            primary = cluster.zone(0).get(0);
            replica = cluster.zone(1).get(0);
            first = database(primary);
            second = database(replica);
            agent = new DiscoveryAgent(loop, scheduler, cluster, id -> "10.0.0.1:1", ANY);
            return null;
        });
    }

    @AfterEach
    void closeStandIns() throws Exception {
        onLoop(() -> {
            first.close();
            second.close();
            agent.close();
            return null;
        });
        loop.shutDown();
    }

    private void publish(Server changed) {
        agent.publish(Cluster.entry(changed));
    }

    private StandInDatabase database(Server server) throws IOException {
        return new StandInDatabase(
                loop,
                scheduler,
                server,
                new StandInDatabase.CostModel() {
                    @Override
                    public double workUs(Statement statement) {
                        return statement.id().equals("long") ? 700_000 : 1_000;
                    }

                    @Override
                    public long requiredPositionUs(Statement statement, long nowUs) {
                        return statement.requiredPositionMs() * 1000;
                    }
                },
                overloaded::countDown,
                ANY);
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.thread().execute(() -> {
            try {
                done.complete(task.call());
            } catch (Exception e) {
                done.completeExceptionally(e);
            }
        });
        return done.get();
    }

    private static Socket connect(InetSocketAddress at) throws IOException {
        return new Socket(at.getAddress(), at.getPort());
    }

    private static ServerResponse answer(Socket socket, byte[] query, ServerResponse reply) throws Exception {
        socket.getOutputStream().write(query);
        MessageReader reader = new MessageReader(ServerResponse::maxLength);
        byte[] buffer = new byte[4096];
        while (!reply.ended()) {
            int length = socket.getInputStream().read(buffer);
            if (length < 0) {
                return reply;
            }
            reader.feed(ByteBuffer.wrap(buffer, 0, length));
            while (reader.next()) {
                reply.accept(reader);
            }
        }
        return reply;
    }

    /** A connection on which the startup has completed. */
    private static Socket welcomed(StandInDatabase at) throws Exception {
        Socket socket = connect(at.address());
        assertThat(answer(socket, Messages.startup(), ServerResponse.toStartup())
                        .ready())
                .isTrue();
        return socket;
    }

    private static ServerResponse ask(Socket socket, String sql) throws Exception {
        return answer(
                socket, Messages.query((sql + "\0").getBytes(StandardCharsets.US_ASCII)), ServerResponse.toQuery());
    }

    private static String read(String attributes) {
        return "SELECT v FROM records WHERE k = 's' /* id=r,c=look,d=900,cluster=0" + attributes + " */";
    }

    private static final String WRITE =
            "INSERT INTO records (k, v) VALUES ('s', '\\x00') RETURNING v" + " /* id=w,c=post,d=900,k=1,cluster=0 */";

    @Test
    void answersAreReadableByTheProgramsOwnParser() throws Exception {
        try (Socket primary = welcomed(first);
                Socket replica = welcomed(second)) {
            BackEnd.Result written = ask(primary, WRITE).result();
            assertThat(written.outcome()).isEqualTo(Outcome.OK);
            assertThat(written.role()).isEqualTo(Role.PRIMARY);
            assertThat(new String(written.response(), StandardCharsets.US_ASCII))
                    .contains("w");
            assertThat(ask(replica, WRITE).errorCode()).isEqualTo("25006");
            BackEnd.Result served = ask(replica, read("")).result();
            assertThat(served.role()).isEqualTo(Role.REPLICA);
            assertThat(served.positionUs()).isPositive();
            assertThat(ask(replica, read(",after=" + (System.currentTimeMillis() + 60_000)))
                            .errorCode())
                    .isEqualTo("72000");
            assertThat(ask(replica, "SHOW load").healthCheckResult().report().role())
                    .isEqualTo(Role.REPLICA);
            assertThat(ask(replica, "SELECT 1").errorCode()).isEqualTo("08P01");
        }
    }

    @Test
    void overloadOfAColdServerClosesItsConnections() throws Exception {
        onLoop(() -> {
            cluster.crash(replica);
            cluster.start(replica);
            return null;
        });
        // A core at 0.22 of its speed over two seconds does 0.44 s of work; three times as much is an overload.
        try (Socket one = welcomed(second);
                Socket other = welcomed(second)) {
            byte[] query =
                    Messages.query((read("").replace("id=r", "id=long") + "\0").getBytes(StandardCharsets.US_ASCII));
            one.getOutputStream().write(query);
            assertThat(answer(other, query, ServerResponse.toQuery()).ready()).isFalse();
            assertThat(one.getInputStream().read()).isNegative();
        }
        overloaded.await();
        assertThat(onLoop(replica::overloaded)).isTrue();
    }

    @Test
    void watchReportsADrainAndWaitsWhileNothingChanges() throws Exception {
        try (Socket socket = connect(onLoop(agent::address))) {
            JSONObject fullList = call(socket, "");
            assertThat(fullList.getBoolean("whole")).isTrue();
            assertThat(fullList.getJSONArray("hosts")).hasSize(2);
            assertThat(call(socket, "?index=0&wait=1").getJSONArray("hosts")).isEmpty();
            onLoop(() -> {
                cluster.drain(replica);
                return null;
            });
            JSONObject changes = call(socket, "?index=0&wait=60000");
            assertThat(changes.getBoolean("whole")).isFalse();
            assertThat(changes.getLong("seq")).isEqualTo(1);
            assertThat(changes.getJSONArray("hosts").getJSONObject(0).getString("health"))
                    .isEqualTo("Terminating");
        }
        try (Socket socket = welcomed(second)) {
            assertThat(ask(socket, read("")).errorCode()).isEqualTo("53300");
        }
    }

    private static JSONObject call(Socket socket, String query) throws IOException {
        socket.getOutputStream()
                .write(("GET /discovery/hosts" + query + " HTTP/1.1\r\nHost: x\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        DataInputStream in = new DataInputStream(socket.getInputStream());
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.readUnsignedByte());
        }
        int length = Integer.parseInt(head.toString().replaceAll("(?s).*Content-Length: (\\d+)\r\n.*", "$1"));
        return new JSONObject(new String(in.readNBytes(length), StandardCharsets.UTF_8));
    }
}
