package frostreel.control;

import frostreel.broker.Broker;
import frostreel.config.HostList;
import frostreel.net.Loop;
import frostreel.net.ServerPool;
import frostreel.operation.Door;
import frostreel.operation.Orders;
import frostreel.operation.OutOfService;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.logging.Logger;
import willowfield.Router;

/**
 * Carries operators' orders out, and lays those on servers over discovery's lists on their way in. An order
 * is carried out before its answer is given. Owned by the I/O thread.
 */
public final class Operator {
    private static final Logger LOG = Logger.getLogger(Operator.class.getName());
    private final Loop loop;
    private final Door door;
    private final ServerPool pool;
    private final Broker broker;
    private final Runnable sweep;
    private final Orders servers = new Orders();
    private final OutOfService outOfService = new OutOfService(servers);

    /** {@code sweep}: looks through the clients, as the door then has it. */
    public Operator(Loop loop, Door door, ServerPool pool, Broker broker, Runnable sweep) {
        this.loop = loop;
        this.door = door;
        this.pool = pool;
        this.broker = broker;
        this.sweep = sweep;
    }

    /** Takes discovery's word, or the list known from the start; all members come through here. */
    public void listed(HostList list, Router.ListKind kind) {
        boolean whole = kind != Router.ListKind.CHANGES;
        List<Router.Member> shown = outOfService.told(whole,
                list.hosts().stream().map(HostList.Host::member).toList());
        List<HostList.Host> hosts = new ArrayList<>(shown.size());
        for (int i = 0; i < shown.size(); i++) {
            hosts.add(new HostList.Host(shown.get(i), list.hosts().get(i).dial()));
        }
        pool.addresses(hosts, whole);
        broker.members(kind, shown);
        pool.withdraw();
    }

    /** Answers one call: a line that begins with OK or with ERR. */
    String call(String line) {
        String[] words = line.trim().split(" +");
        String answer = switch (words.length == 1 ? words[0] : words.length == 2 ? words[0] + " ID" : "") {
            case "STATUS" -> door.word() == Door.Word.YES ? "OK" : no(state());
            case "PAUSE" -> empty();
            case "RESUME" -> fill();
            case "SUSPEND ID" -> server(words[1], true);
            case "RESTORE ID" -> server(words[1], false);
            default -> no("no such call: STATUS, SUSPEND ID, RESTORE ID, PAUSE, RESUME");
        };
        if (answer.startsWith("OK")) {
            loop.counters().callsDone++;
        } else {
            loop.counters().callsRefused++;
        }
        LOG.info("operators: " + line.replaceAll("[^ -~]", "?") + ": " + answer);
        return answer;
    }

    private String state() {
        return door.word().name().toLowerCase(Locale.ROOT);
    }

    private static String no(String why) {
        return "ERR " + why;
    }

    private String empty() {
        door.empty(loop.clock().now());
        loop.deadlines().at(door.sweepUs(), sweep);
        return "OK";
    }

    private String fill() {
        if (door.word() == Door.Word.STOPPING) {
            return no("stopping");
        }
        door.fill();
        return "OK";
    }

    private String server(String id, boolean out) {
        if (!outOfService.knows(id)) {
            return no("no server has that id");
        }
        if (servers.give(loop.clock().now(), id, out)) {
            Router.Member shown = outOfService.shown(id);
            if (shown != null) {
                pool.state(id, shown.state());
                broker.members(Router.ListKind.CHANGES, List.of(shown));
                pool.withdraw();
            }
        }
        return "OK";
    }

    /** What is in force, for whoever asks by {@code SHOW operation}. */
    @Override public String toString() {
        return "clients=" + state() + " out=" + outOfService.out();
    }
}
