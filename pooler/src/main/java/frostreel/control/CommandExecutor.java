package frostreel.control;

import frostreel.backend.ServerPool;
import frostreel.broker.Broker;
import frostreel.config.EndpointList;
import frostreel.net.EventLoop;
import frostreel.operation.CommandState;
import frostreel.operation.CommandTarget;
import frostreel.operation.MaintenanceOverlay;
import frostreel.operation.OperatorCommands;
import frostreel.operation.ReadinessStatus;
import frostreel.operation.ServingLifecycle;
import frostreel.routing.Router;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Consumer;
import java.util.logging.Logger;

/**
 * Executes operators' commands, whether sent to this process or replicated from another one: applies them to the
 * serving lifecycle and to the endpoints. A command takes effect before the response is sent. Confined to the I/O
 * thread.
 */
public final class CommandExecutor {
    private static final Logger LOG = Logger.getLogger(CommandExecutor.class.getName());
    private static final String UNPRINTABLE = "[^ -~]";
    private static final String PLACEHOLDER = "?";

    private final EventLoop loop;
    private final ServingLifecycle lifecycle;
    private final Runnable closeIdleClients;
    private final OperatorCommands commands = new OperatorCommands();
    private final MaintenanceOverlay overlay = new MaintenanceOverlay(commands);
    private final EndpointPublisher endpoints;
    private final CommandReplicator replicator;

    /**
     * @param closeIdleClients closes the idle clients that the lifecycle requires to be closed
     * @param folder where commands are stored for other processes, null if this is the only process
     * @param incarnation identifier of this process, unique among all processes that use the folder
     */
    public CommandExecutor(
            EventLoop loop,
            ServingLifecycle lifecycle,
            ServerPool pool,
            Broker broker,
            Runnable closeIdleClients,
            Path folder,
            String incarnation) {
        this.loop = loop;
        this.lifecycle = lifecycle;
        this.closeIdleClients = closeIdleClients;
        endpoints = new EndpointPublisher(overlay, pool, broker);
        replicator = folder == null ? CommandReplicator.NONE : new FileCommandReplicator(loop, folder, incarnation);
    }

    /**
     * Restores the commands of earlier processes, then watches for commands of other processes.
     *
     * @param onRestored runs once commands are restored, within seconds even if the disk fails; no client may be
     *     served earlier
     */
    public void start(Runnable onRestored) {
        replicator.restore(this::merge, () -> {
            if (!commands.all().isEmpty()) { // The files of old incarnations will be removed, so store a copy.
                replicator.publish(snapshot(), durability -> {});
            }
            replicator.watch(this::merge);
            onRestored.run();
        });
    }

    /** Publishes an endpoint list, from discovery or from the configuration. */
    public void onEndpointList(EndpointList list, Router.ListKind kind) {
        endpoints.publish(list, kind);
    }

    /** Returns the page {@code SHOW operation}: the commands in force. */
    public String statusPage() {
        return "clients=" + lifecycle.status().wireName() + " out=" + overlay.outOfServiceIds();
    }

    /**
     * Executes one request line of the admin protocol; responds once its effect is complete and the write has
     * succeeded or failed.
     */
    void execute(String line, Consumer<AdminResponse> onResponse) {
        Effect effect = apply(AdminRequestParser.parse(line));
        if (!effect.changedCommands()) {
            complete(line, effect.response(), onResponse);
            return;
        }
        replicator.publish(snapshot(), durability -> {
            boolean durable = durability == Durability.DURABLE;
            complete(line, durable ? effect.response() : AdminResponse.DONE_NOT_DURABLE, onResponse);
        });
    }

    /**
     * The result of a request: the response if storing succeeds, and whether commands have changed and must be
     * stored.
     */
    private record Effect(AdminResponse response, boolean changedCommands) {
        static Effect none(AdminResponse response) {
            return new Effect(response, false);
        }
    }

    private Effect apply(AdminRequest request) {
        return switch (request.verb()) {
            case STATUS -> Effect.none(AdminResponse.of(lifecycle.status()));
            case PAUSE -> issue(CommandTarget.CLIENTS);
            case RESUME -> resume();
            case SUSPEND -> suspend(request.serverId());
            case RESTORE -> restore(request.serverId());
            case UNKNOWN -> Effect.none(AdminResponse.UNKNOWN_COMMAND);
        };
    }

    private Effect resume() {
        if (lifecycle.status() == ReadinessStatus.STOPPING) {
            return Effect.none(AdminResponse.STOPPING);
        }
        return revoke(CommandTarget.CLIENTS);
    }

    private Effect suspend(String serverId) {
        return overlay.isKnown(serverId)
                ? issue(CommandTarget.server(serverId))
                : Effect.none(AdminResponse.UNKNOWN_SERVER);
    }

    private Effect restore(String serverId) {
        return overlay.isKnown(serverId)
                ? revoke(CommandTarget.server(serverId))
                : Effect.none(AdminResponse.UNKNOWN_SERVER);
    }

    private Effect issue(CommandTarget target) {
        return applyIfChanged(commands.issue(loop.clock().now(), target), target);
    }

    private Effect revoke(CommandTarget target) {
        return applyIfChanged(commands.revoke(loop.clock().now(), target), target);
    }

    private Effect applyIfChanged(boolean changed, CommandTarget target) {
        if (changed) {
            applyCommand(target);
        }
        return new Effect(AdminResponse.DONE, changed);
    }

    private void merge(Map<CommandTarget, CommandState> recorded) {
        recorded.forEach((target, state) -> {
            if (commands.merge(target, state)) {
                LOG.info("operator command from another process: " + target
                        + (state.inForce() ? " in force" : " ended"));
                applyCommand(target);
            }
        });
    }

    /** Brings the target into the state that the last command on it requires. */
    private void applyCommand(CommandTarget target) {
        if (!target.equals(CommandTarget.CLIENTS)) {
            target.serverId().ifPresent(endpoints::republish);
        } else if (commands.isInForce(target)) {
            lifecycle.pause(loop.clock().now());
            loop.deadlines().at(lifecycle.closeIdleAtUs(), closeIdleClients);
        } else {
            lifecycle.resume();
        }
    }

    private Map<CommandTarget, CommandState> snapshot() {
        return Map.copyOf(commands.all());
    }

    private void complete(String line, AdminResponse response, Consumer<AdminResponse> onResponse) {
        if (response.isSuccess()) {
            loop.counters().adminCommandsAccepted++;
        } else {
            loop.counters().adminCommandsRejected++;
        }
        LOG.info("operator command: " + line.replaceAll(UNPRINTABLE, PLACEHOLDER) + ": " + response.line());
        onResponse.accept(response);
    }
}
