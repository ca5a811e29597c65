package frostreel.control;

import frostreel.broker.Broker;
import frostreel.config.EndpointList;
import frostreel.net.EventLoop;
import frostreel.net.ServerPool;
import frostreel.operation.MaintenanceOverlay;
import frostreel.operation.OperatorCommands;
import frostreel.operation.ServingLifecycle;
import frostreel.routing.Router;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.logging.Logger;

/**
 * Carries operators' orders out, and lays those on servers over discovery's lists on their way in. An order
 * is carried out before its answer is given. Owned by the I/O thread.
 */
public final class CommandExecutor {
    private static final Logger LOG = Logger.getLogger(CommandExecutor.class.getName());
    /** The thing that an order to take no clients is on. */
    private static final String CLIENTS = "clients";

    private final EventLoop loop;
    private final ServingLifecycle door;
    private final ServerPool pool;
    private final Broker broker;
    private final Runnable sweep;
    private final OperatorCommands orders = new OperatorCommands();
    private final MaintenanceOverlay outOfService = new MaintenanceOverlay(orders);
    /** Null where nothing outlasts an end. */
    private final CommandReplicator keeper;

    private int given;

    /**
     * {@code sweep}: looks through the clients, as the door then has it; {@code folder}: where orders outlast
     * an end, null for nowhere; {@code life}: this process's own name among those that keep orders there.
     */
    public CommandExecutor(
            EventLoop loop,
            ServingLifecycle door,
            ServerPool pool,
            Broker broker,
            Runnable sweep,
            Path folder,
            String life) {
        this.loop = loop;
        this.door = door;
        this.pool = pool;
        this.broker = broker;
        this.sweep = sweep;
        keeper = folder == null ? null : new CommandReplicator(loop, folder, life);
    }

    /**
     * Takes over what other lives left, and from then on what others hear. {@code then} runs once the first
     * is done, within seconds whatever the disk does: until then no client may be served.
     */
    public void start(Runnable then) {
        if (keeper == null) {
            then.run();
            return;
        }
        keeper.start(this::taken, () -> {
            if (!orders.all().isEmpty()) { // The files of older lives do not stay for good.
                keeper.keep(Map.copyOf(orders.all()), failure -> {});
            }
            keeper.watch(this::taken);
            then.run();
        });
    }

    private void taken(Map<String, OperatorCommands.Command> heard) {
        heard.forEach((thing, order) -> {
            if (orders.take(thing, order)) {
                LOG.info("operators, by another process: " + thing + (order.inForce() ? " in force" : " ended"));
                carryOut(thing);
            }
        });
    }

    /** Brings what an order is on into the state that it is in now. */
    private void carryOut(String thing) {
        if (thing.equals(CLIENTS)) {
            if (orders.inForce(thing)) {
                door.empty(loop.clock().now());
                loop.deadlines().at(door.sweepUs(), sweep);
            } else {
                door.fill();
            }
            return;
        }
        String id = MaintenanceOverlay.id(thing);
        Router.Member shown = id == null ? null : outOfService.shown(id);
        if (shown != null) {
            pool.state(id, shown.state());
            broker.members(Router.ListKind.CHANGES, List.of(shown));
            pool.withdraw();
        }
    }

    /** Takes discovery's word, or the list known from the start; all members come through here. */
    public void listed(EndpointList list, Router.ListKind kind) {
        boolean whole = kind != Router.ListKind.CHANGES;
        List<Router.Member> shown = outOfService.told(
                whole,
                list.endpoints().stream().map(EndpointList.Endpoint::member).toList());
        List<EndpointList.Endpoint> hosts = new ArrayList<>(shown.size());
        for (int i = 0; i < shown.size(); i++) {
            hosts.add(new EndpointList.Endpoint(
                    shown.get(i), list.endpoints().get(i).address()));
        }
        pool.addresses(hosts, whole);
        broker.members(kind, shown);
        pool.withdraw();
    }

    /** Answers one call by a line that begins with OK or with ERR, once that is true. */
    void call(String line, Consumer<String> caller) {
        String[] words = line.trim().split(" +");
        int before = given;
        String answer = switch (words.length == 1 ? words[0] : words.length == 2 ? words[0] + " ID" : "") {
            case "STATUS" -> door.word() == ServingLifecycle.ReadinessStatus.YES ? "OK" : no(state());
            case "PAUSE" -> empty();
            case "RESUME" -> fill();
            case "SUSPEND ID" -> server(words[1], true);
            case "RESTORE ID" -> server(words[1], false);
            default -> no("no such call: STATUS, SUSPEND ID, RESTORE ID, PAUSE, RESUME");
        };
        if (given == before || keeper == null) {
            answer(line, answer, caller);
        } else {
            keeper.keep(
                    Map.copyOf(orders.all()),
                    failure -> answer(line, failure == null ? answer : answer + " but " + failure, caller));
        }
    }

    private void answer(String line, String answer, Consumer<String> caller) {
        if (answer.startsWith("OK")) {
            loop.counters().callsDone++;
        } else {
            loop.counters().callsRefused++;
        }
        LOG.info("operators: " + line.replaceAll("[^ -~]", "?") + ": " + answer);
        caller.accept(answer);
    }

    private String state() {
        return door.word().name().toLowerCase(Locale.ROOT);
    }

    private static String no(String why) {
        return "ERR " + why;
    }

    private String empty() {
        return order(CLIENTS, true);
    }

    private String fill() {
        if (door.word() == ServingLifecycle.ReadinessStatus.STOPPING) {
            return no("stopping");
        }
        return order(CLIENTS, false);
    }

    private String order(String thing, boolean inForce) {
        if (orders.give(loop.clock().now(), thing, inForce)) {
            given++;
            carryOut(thing);
        }
        return "OK";
    }

    private String server(String id, boolean out) {
        if (!outOfService.knows(id)) {
            return no("no server has that id");
        }
        return order(MaintenanceOverlay.thing(id), out);
    }

    /** What is in force, for whoever asks by {@code SHOW operation}. */
    @Override
    public String toString() {
        return "clients=" + state() + " out=" + outOfService.out();
    }
}
