package frostreel.control;

import frostreel.broker.Broker;
import frostreel.config.EndpointList;
import frostreel.net.EventLoop;
import frostreel.net.ServerPool;
import frostreel.operation.MaintenanceOverlay;
import frostreel.operation.OperatorCommands;
import frostreel.operation.ReadinessStatus;
import frostreel.operation.ServingLifecycle;
import frostreel.routing.Router;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.logging.Logger;

/**
 * Carries operators' orders out, and lays those on servers over discovery's lists on their way in. An order
 * is carried out before its answer is given. Owned by the I/O thread.
 */
public final class CommandExecutor {
    private static final Logger LOG = Logger.getLogger(CommandExecutor.class.getName());
    /** The target that an order to take no clients is on. */
    private static final String CLIENTS = "clients";

    private final EventLoop loop;
    private final ServingLifecycle lifecycle;
    private final ServerPool pool;
    private final Broker broker;
    private final Runnable sweepClients;
    private final OperatorCommands commands = new OperatorCommands();
    private final MaintenanceOverlay overlay = new MaintenanceOverlay(commands);
    /** Null where nothing outlasts an end. */
    private final CommandReplicator replicator;

    private int changes;

    /**
     * {@code sweep}: looks through the clients, as the lifecycle then has it; {@code folder}: where orders outlast
     * an end, null for nowhere; {@code life}: this process's own name among those that keep orders there.
     */
    public CommandExecutor(EventLoop loop, ServingLifecycle lifecycle, ServerPool pool, Broker broker, Runnable sweepClients, Path folder, String incarnation) {
        this.loop = loop;
        this.lifecycle = lifecycle;
        this.pool = pool;
        this.broker = broker;
        this.sweepClients = sweepClients;
        replicator = folder == null ? null : new CommandReplicator(loop, folder, incarnation);
    }

    /**
     * Takes over what other lives left, and from then on what others hear. {@code then} runs once the first
     * is done, within seconds whatever the disk does: until then no client may be served.
     */
    public void start(Runnable then) {
        if (replicator == null) {
            then.run();
            return;
        }
        replicator.restore(this::merge, () -> {
            if (!commands.all().isEmpty()) { // The files of older lives do not stay for good.
                replicator.publish(Map.copyOf(commands.all()), failure -> {});
            }
            replicator.watch(this::merge);
            then.run();
        });
    }

    private void merge(Map<String, OperatorCommands.CommandState> heard) {
        heard.forEach((target, order) -> {
            if (commands.merge(target, order)) {
                LOG.info("operators, by another process: " + target + (order.inForce() ? " in force" : " ended"));
                takeEffect(target);
            }
        });
    }

    /** Brings what an order is on into the state that it is in now. */
    private void takeEffect(String target) {
        if (target.equals(CLIENTS)) {
            if (commands.isInForce(target)) {
                lifecycle.pause(loop.clock().now());
                loop.deadlines().at(lifecycle.closeIdleAtUs(), sweepClients);
            } else {
                lifecycle.resume();
            }
            return;
        }
        String id = MaintenanceOverlay.serverId(target);
        Router.Member effective = id == null ? null : overlay.effective(id);
        if (effective != null) {
            pool.state(id, effective.state());
            broker.members(Router.ListKind.CHANGES, List.of(effective));
            pool.withdraw();
        }
    }

    /** Takes discovery's word, or the list known from the start; all members come through here. */
    public void onEndpointList(EndpointList list, Router.ListKind kind) {
        boolean complete = kind != Router.ListKind.CHANGES;
        List<Router.Member> effective = overlay.apply(
                complete, list.hosts().stream().map(EndpointList.Host::member).toList());
        List<EndpointList.Host> hosts = new ArrayList<>(effective.size());
        for (int i = 0; i < effective.size(); i++) {
            hosts.add(new EndpointList.Host(effective.get(i), list.hosts().get(i).dial()));
        }
        pool.addresses(hosts, complete);
        broker.members(kind, effective);
        pool.withdraw();
    }

    /** Answers one call by a line that begins with OK or with ERR, once that is true. */
    void execute(String line, Consumer<String> replyTo) {
        String[] words = line.trim().split(" +");
        int changesBefore = changes;
        String answer = switch (words.length == 1 ? words[0] : words.length == 2 ? words[0] + " ID" : "") {
            case "STATUS" -> lifecycle.status() == ReadinessStatus.READY ? "OK" : no(state());
            case "PAUSE" -> pause();
            case "RESUME" -> resume();
            case "SUSPEND ID" -> server(words[1], true);
            case "RESTORE ID" -> server(words[1], false);
            default -> no("no such call: STATUS, SUSPEND ID, RESTORE ID, PAUSE, RESUME");
        };
        if (changes == changesBefore || replicator == null) {
            answer(line, answer, replyTo);
        } else {
            replicator.publish(
                    Map.copyOf(commands.all()),
                    failure -> answer(line, failure == null ? answer : answer + " but " + failure, replyTo));
        }
    }

    private void answer(String line, String answer, Consumer<String> replyTo) {
        if (answer.startsWith("OK")) {
            loop.counters().callsDone++;
        } else {
            loop.counters().callsRefused++;
        }
        LOG.info("operators: " + line.replaceAll("[^ -~]", "?") + ": " + answer);
        replyTo.accept(answer);
    }

    private String state() {
        return lifecycle.status().wireName();
    }

    private static String no(String why) {
        return "ERR " + why;
    }

    private String pause() {
        return issue(CLIENTS, true);
    }

    private String resume() {
        if (lifecycle.status() == ReadinessStatus.STOPPING) {
            return no("stopping");
        }
        return issue(CLIENTS, false);
    }

    private String issue(String target, boolean inForce) {
        if (commands.issue(loop.clock().now(), target, inForce)) {
            changes++;
            takeEffect(target);
        }
        return "OK";
    }

    private String server(String id, boolean out) {
        if (!overlay.knows(id)) {
            return no("no server has that id");
        }
        return issue(MaintenanceOverlay.target(id), out);
    }

    /** What is in force, for whoever asks by {@code SHOW operation}. */
    public String statusPage() {
        return "clients=" + state() + " out=" + overlay.outOfService();
    }
}
