package frostreel.lab.processes;

import frostreel.lab.virtual.SimulationPlan;
import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import frostreel.pg.MessageReader;
import frostreel.pg.Messages;
import frostreel.pg.PgException;
import frostreel.routing.Router;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * Clients of the poolers: sessions that arrive by chance at a mean rate, ask by class with a deadline, come
 * again once where they are refused, and keep their connections. In front of them stands a front that knows
 * which pooler has answered an empty query since its start.
 */
final class LoadGenerator {
    private static final int SESSIONS = 500;
    private static final int MOST_BYTES = 1 << 18;
    private static final long ASK_AGAIN_US = 50_000;
    private static final long WATCH_US = 100_000;
    private static final long LEAVES_US = 200_000;
    private static final long LEAST_ADVICE_US = 50_000;
    /** Beyond its deadline a client waits so long for an answer that earns nothing. */
    private static final long GIVE_UP_US = 500_000;

    private static final Pattern DETAIL = Pattern.compile("\0D(\\d+)\0");

    /** What became of the requests asked in one second. */
    static final class Second {
        long asked;
        long served;
        double worthAsked;
        double worthGot;
    }

    private final EventLoop loop;
    private final SplittableRandom chance;
    private final List<Door> doors;
    private final int groups;
    private final double perSecond;
    private final boolean retry;
    private final Second[] seconds;
    private final long[] lastWriteMs = new long[SESSIONS];
    /** Times of the answers that were served, in microseconds. */
    final Histogram served = new Histogram(60_000_000L, 3);

    long asked;
    long refused;
    long failed;
    long retries;
    /** Requests whose connection ended, or whose patience did, without an answer. */
    long unanswered;
    /** Requests for which no pooler was in. */
    long unplaced;
    /** Answers with a value that no server gave for their request. */
    long foreign;
    /** Requests that crossed the end of a connection, and came again on a new one. */
    long atTheDoor;

    private long beganUs;
    private long ids;
    /** Requests asked and not ended, those that come again later among them. */
    private int open;

    private Runnable allEnded;

    /** A pooler as clients reach it; in once it has answered an empty query since its start. */
    private final class Door {
        final int number;
        final InetSocketAddress at;
        final ArrayDeque<Client> idle = new ArrayDeque<>();
        Consumer<Door> whenIn = door -> {};
        boolean in;
        boolean asking;

        Door(int number, InetSocketAddress at) {
            this.number = number;
            this.at = at;
        }

        void out() {
            in = false;
            idle.clear();
            askWhetherIn();
        }

        void askWhetherIn() {
            if (!asking) {
                asking = true;
                new Client(this).send(null);
            }
        }
    }

    private static final class Request {
        final int cls;
        final int session;
        final long askedUs;
        final boolean again;
        String id;
        boolean resent;

        Request(int cls, int session, long askedUs, boolean again) {
            this.cls = cls;
            this.session = session;
            this.askedUs = askedUs;
            this.again = again;
        }
    }

    LoadGenerator(
            EventLoop loop,
            SplittableRandom chance,
            List<InetSocketAddress> poolers,
            int groups,
            double perSecond,
            boolean retry,
            int durationS) {
        this.loop = loop;
        this.chance = chance;
        this.groups = groups;
        this.perSecond = perSecond;
        this.retry = retry;
        doors = new ArrayList<>();
        poolers.forEach(p -> doors.add(new Door(doors.size(), p)));
        seconds = new Second[durationS];
        for (int i = 0; i < durationS; i++) {
            seconds[i] = new Second();
        }
    }

    /** Watches the door of a pooler that starts; {@code then} runs once it is in. */
    void await(int pooler, Runnable then) {
        Door door = doors.get(pooler);
        door.whenIn = d -> then.run();
        door.out();
    }

    /** Asks from now on, for the run's time. */
    void begin() {
        beganUs = loop.clock().now();
        nextArrival();
    }

    /** Asks each pooler that is in by an empty query, ten times a second; after a no it is out soon. */
    void watchDoors() {
        for (Door door : doors) {
            if (door.in && !door.asking) {
                door.asking = true;
                new Client(door).send(null);
            }
        }
        loop.deadlines().after(WATCH_US, this::watchDoors);
    }

    Second[] seconds() {
        return seconds;
    }

    /** The second of the run in which a moment lies. */
    private int second(long us) {
        return (int) ((us - beganUs) / 1_000_000);
    }

    private void nextArrival() {
        double gapUs = -Math.log(1 - chance.nextDouble()) * 1e6 / perSecond;
        loop.deadlines().after((long) gapUs, () -> {
            long now = loop.clock().now();
            if (second(now) < seconds.length) {
                ask(new Request(kind(), chance.nextInt(SESSIONS), now, false));
                nextArrival();
            }
        });
    }

    private int kind() {
        double draw = chance.nextDouble();
        int cls = 0;
        while (cls < SimulationPlan.KINDS.size() - 1
                && draw >= SimulationPlan.KINDS.get(cls).share()) {
            draw -= SimulationPlan.KINDS.get(cls++).share();
        }
        return cls;
    }

    /** Runs once every request has ended: nothing more is asked then. */
    void whenAllEnded(Runnable then) {
        allEnded = then;
        ended(0);
    }

    private void ended(int requests) {
        open -= requests;
        if (open == 0 && allEnded != null) {
            allEnded.run();
            allEnded = null;
        }
    }

    private void ask(Request r) {
        open++;
        if (!r.again) {
            asked++;
            Second s = seconds[second(r.askedUs)];
            s.asked++;
            s.worthAsked += SimulationPlan.KINDS.get(r.cls).c().priorityWeight();
        }
        place(r);
    }

    /** A session stays with its pooler while that is in, and goes to the next that is where it is not. */
    private void place(Request r) {
        for (int i = 0; i < doors.size(); i++) {
            Door door = doors.get((r.session + i) % doors.size());
            if (door.in) {
                Client c = r.resent ? null : door.idle.pollLast();
                (c == null ? new Client(door) : c).send(r);
                return;
            }
        }
        unplaced++;
        ended(1);
    }

    private String statement(Request r) {
        Router.RequestClass c = SimulationPlan.KINDS.get(r.cls).c();
        r.id = Long.toString(++ids, 36);
        String key = "s" + r.session;
        StringBuilder names = new StringBuilder(" /* id=")
                .append(r.id)
                .append(",c=")
                .append(c.name())
                .append(",d=")
                .append(c.deadlineUs() / 1000);
        if (c.idempotency() == Router.Idempotency.KEYED) {
            names.append(",k=").append(r.id);
        }
        names.append(",cluster=").append(r.session % groups);
        if (c.access() == Router.Access.SESSION && lastWriteMs[r.session] > 0) {
            names.append(",after=").append(lastWriteMs[r.session]);
        }
        names.append(" */\0");
        return (c.access() == Router.Access.WRITE
                        ? "INSERT INTO records (k, v) VALUES ('" + key + "', '\\x00') RETURNING v"
                        : "SELECT v FROM records WHERE k = '" + key + "'")
                + names;
    }

    /** One connection of a client, with at most one query on it. */
    private final class Client implements SocketStream.Handler {
        private final Door door;
        private final MessageReader reader = new MessageReader(type -> MOST_BYTES);
        private SocketStream stream;
        private Request request;
        private boolean empty;
        private boolean welcomed;
        private boolean used;
        private boolean over;
        private byte[] value;
        private byte[] error;
        private boolean emptyAnswer;

        Client(Door door) {
            this.door = door;
        }

        /** Sends a request, or an empty query for none. */
        void send(Request r) {
            request = r;
            empty = r == null;
            byte[] query = Messages.query((r == null ? "\0" : statement(r)).getBytes(StandardCharsets.US_ASCII));
            if (r != null) {
                loop.deadlines().after(SimulationPlan.KINDS.get(r.cls).c().deadlineUs() + GIVE_UP_US, () -> {
                    if (request == r) {
                        lost();
                    }
                });
            }
            if (stream != null) {
                stream.write(query);
                return;
            }
            IoFuture<StreamConnection> to =
                    loop.thread().openStreamConnection(door.at, null, OptionMap.create(Options.TCP_NODELAY, true));
            to.addNotifier(
                    new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                        @Override
                        public void handleDone(StreamConnection connection, Void none) {
                            stream = new SocketStream(loop, connection, Client.this);
                            stream.write(Messages.startup());
                            stream.write(query);
                            stream.resumeReads();
                        }

                        @Override
                        public void handleFailed(IOException e, Void none) {
                            ended();
                        }
                    },
                    null);
        }

        @Override
        public void received(ByteBuffer in) {
            reader.feed(in);
            try {
                while (!over && reader.next()) {
                    switch (reader.type()) {
                        case 'D' -> value = reader.body();
                        case 'E' -> error = reader.body();
                        case 'I' -> emptyAnswer = true;
                        case 'Z' -> ready();
                        default -> {}
                    }
                }
            } catch (PgException e) {
                throw new IllegalStateException("a pooler wrote what is no message: " + e.getMessage(), e);
            }
        }

        private void ready() {
            if (!welcomed) {
                welcomed = true;
                return;
            }
            if (empty) {
                emptyAnswered();
                return;
            }
            Request r = request;
            request = null;
            used = true;
            byte[] v = value;
            byte[] e = error;
            value = null;
            error = null;
            door.idle.add(this);
            answered(r, v, e);
        }

        private void emptyAnswered() {
            empty = false;
            error = null;
            if (emptyAnswer && door.in) {
                door.asking = false;
                close();
            } else if (emptyAnswer) {
                door.asking = false;
                door.in = true;
                door.idle.add(this);
                door.whenIn.accept(door);
            } else {
                close();
                if (door.in) { // Until it has left the front, clients are still dealt out to it.
                    loop.deadlines().after(LEAVES_US, () -> {
                        door.asking = false;
                        door.out();
                    });
                } else {
                    askLater();
                }
            }
        }

        private void askLater() {
            loop.deadlines().after(ASK_AGAIN_US, () -> {
                door.asking = false;
                door.askWhetherIn();
            });
        }

        /** An idle one may end between requests; what crossed that is sent once more on a new connection. */
        @Override
        public void ended() {
            over = true;
            door.idle.remove(this);
            Request r = request;
            request = null;
            if (empty) {
                empty = false;
                askLater();
            } else if (r != null && error != null) {
                answered(r, null, error); // A fatal error, after which no ReadyForQuery comes.
            } else if (r != null) {
                if (!welcomed && !used) {
                    door.out();
                }
                if (used && value == null && !r.resent) {
                    r.resent = true;
                    atTheDoor++;
                    place(r);
                } else {
                    unanswered++;
                    LoadGenerator.this.ended(1);
                }
            }
        }

        private void lost() {
            request = null;
            unanswered++;
            close();
            LoadGenerator.this.ended(1);
        }

        private void close() {
            over = true;
            if (stream != null) {
                stream.close();
            }
        }
    }

    private void answered(Request r, byte[] value, byte[] error) {
        if (error != null && ClientRecorder.refusal(error) && retry && !r.again) {
            refused++;
            comeAgain(r, error);
            return;
        }
        tally(r, value, error);
        ended(1);
    }

    /** As long after the refusal as it says; the request stays open until then. */
    private void comeAgain(Request r, byte[] error) {
        Matcher detail = DETAIL.matcher(new String(error, StandardCharsets.UTF_8));
        long retryAfterUs = detail.find() ? Long.parseLong(detail.group(1)) * 1000 : 0;
        retries++;
        loop.deadlines().after(Math.max(LEAST_ADVICE_US, retryAfterUs), () -> {
            open--;
            ask(new Request(r.cls, r.session, r.askedUs, true));
        });
    }

    private void tally(Request r, byte[] value, byte[] error) {
        long now = loop.clock().now();
        Router.RequestClass c = SimulationPlan.KINDS.get(r.cls).c();
        if (error != null) {
            refused += ClientRecorder.refusal(error) ? 1 : 0;
            failed += ClientRecorder.refusal(error) ? 0 : 1;
            return;
        }
        if (value == null || !new String(value, StandardCharsets.US_ASCII).endsWith(r.id)) {
            foreign++;
            return;
        }
        long tookUs = now - r.askedUs;
        served.recordValue(Math.min(tookUs, served.getHighestTrackableValue()));
        Second s = seconds[second(r.askedUs)];
        s.served++;
        s.worthGot += c.priorityWeight() * (tookUs <= c.latencyObjectiveUs() ? 1 : c.lateWeight());
        if (c.access() == Router.Access.WRITE) {
            lastWriteMs[r.session] = now / 1000;
        }
    }

    /** Of the worth asked for in some seconds, the share that was got. */
    double worth(int from, int to) {
        double got = 0;
        double all = 0;
        for (int i = from; i < to; i++) {
            got += seconds[i].worthGot;
            all += seconds[i].worthAsked;
        }
        return all == 0 ? 1 : got / all;
    }
}
