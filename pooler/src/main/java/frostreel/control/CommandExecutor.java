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
 * Applies operators' commands, given to this process or replicated from another one, to the serving lifecycle
 * and to the endpoints. A command has taken effect before it is answered. Confined to the event loop.
 */
public final class CommandExecutor {
    private static final Logger LOG = Logger.getLogger(CommandExecutor.class.getName());
    private static final String UNPRINTABLE = "[^ -~]";

    private final EventLoop loop;
    private final ServingLifecycle lifecycle;
    private final Runnable sweepClients;
    private final OperatorCommands commands = new OperatorCommands();
    private final MaintenanceOverlay overlay = new MaintenanceOverlay(commands);
    private final EndpointPublisher endpoints;
    private final CommandReplicator replicator;

    /**
     * @param sweepClients closes the clients that the lifecycle no longer lets stay
     * @param folder where commands outlast this process, null if they do not
     * @param incarnation the name of this process among all that use the folder
     */
    public CommandExecutor(
            EventLoop loop,
            ServingLifecycle lifecycle,
            ServerPool pool,
            Broker broker,
            Runnable sweepClients,
            Path folder,
            String incarnation) {
        this.loop = loop;
        this.lifecycle = lifecycle;
        this.sweepClients = sweepClients;
        endpoints = new EndpointPublisher(overlay, pool, broker);
        replicator = folder == null ? CommandReplicator.NONE : new FileCommandReplicator(loop, folder, incarnation);
    }

    /**
     * Restores the commands of earlier processes, and follows those of others from then on.
     *
     * @param whenRestored runs once commands are restored, within seconds even if the disk fails; no client may
     *     be served before
     */
    public void start(Runnable whenRestored) {
        replicator.restore(this::merge, () -> {
            if (!commands.all().isEmpty()) { // Files of old incarnations are removed in time: keep a copy.
                replicator.publish(snapshot(), durability -> {});
            }
            replicator.watch(this::merge);
            whenRestored.run();
        });
    }

    /** Takes an endpoint list, of discovery's or the one cached from before the start. */
    public void onEndpointList(EndpointList list, Router.ListKind kind) {
        endpoints.publish(list, kind);
    }

    /** The commands in force, as shown by {@code SHOW operation}. */
    public String statusPage() {
        return "clients=" + lifecycle.status().wireName() + " out=" + overlay.outOfService();
    }

    /** Carries out one line of the operators' protocol; it is answered once all that it asks for is done. */
    void execute(String line, Consumer<AdminReply> replyTo) {
        Effect effect = apply(AdminRequestParser.parse(line));
        if (!effect.changedCommands()) {
            complete(line, effect.reply(), replyTo);
            return;
        }
        replicator.publish(snapshot(), durability -> {
            boolean durable = durability == Durability.DURABLE;
            complete(line, durable ? effect.reply() : AdminReply.DONE_NOT_DURABLE, replyTo);
        });
    }

    private record Effect(AdminReply reply, boolean changedCommands) {
        static Effect none(AdminReply reply) {
            return new Effect(reply, false);
        }
    }

    private Effect apply(AdminRequest request) {
        return switch (request.verb()) {
            case STATUS -> Effect.none(AdminReply.of(lifecycle.status()));
            case PAUSE -> issue(CommandTarget.CLIENTS);
            case RESUME -> resume();
            case SUSPEND -> suspend(request.serverId());
            case RESTORE -> restore(request.serverId());
            case UNKNOWN -> Effect.none(AdminReply.UNKNOWN_COMMAND);
        };
    }

    private Effect resume() {
        if (lifecycle.status() == ReadinessStatus.STOPPING) {
            return Effect.none(AdminReply.STOPPING);
        }
        return revoke(CommandTarget.CLIENTS);
    }

    private Effect suspend(String serverId) {
        return overlay.knows(serverId)
                ? issue(CommandTarget.server(serverId))
                : Effect.none(AdminReply.UNKNOWN_SERVER);
    }

    private Effect restore(String serverId) {
        return overlay.knows(serverId)
                ? revoke(CommandTarget.server(serverId))
                : Effect.none(AdminReply.UNKNOWN_SERVER);
    }

    private Effect issue(CommandTarget target) {
        return takeEffectIf(commands.issue(loop.clock().now(), target), target);
    }

    private Effect revoke(CommandTarget target) {
        return takeEffectIf(commands.revoke(loop.clock().now(), target), target);
    }

    private Effect takeEffectIf(boolean changed, CommandTarget target) {
        if (changed) {
            takeEffect(target);
        }
        return new Effect(AdminReply.DONE, changed);
    }

    private void merge(Map<CommandTarget, CommandState> recorded) {
        recorded.forEach((target, state) -> {
            if (commands.merge(target, state)) {
                LOG.info("operator command from another process: " + target
                        + (state.inForce() ? " in force" : " ended"));
                takeEffect(target);
            }
        });
    }

    /** Brings the target into the state that its last command leaves it in. */
    private void takeEffect(CommandTarget target) {
        if (!target.equals(CommandTarget.CLIENTS)) {
            target.serverId().ifPresent(endpoints::republish);
        } else if (commands.isInForce(target)) {
            lifecycle.pause(loop.clock().now());
            loop.deadlines().at(lifecycle.closeIdleAtUs(), sweepClients);
        } else {
            lifecycle.resume();
        }
    }

    private Map<CommandTarget, CommandState> snapshot() {
        return Map.copyOf(commands.all());
    }

    private void complete(String line, AdminReply reply, Consumer<AdminReply> replyTo) {
        if (reply.isSuccess()) {
            loop.counters().callsDone++;
        } else {
            loop.counters().callsRefused++;
        }
        LOG.info("operator command: " + line.replaceAll(UNPRINTABLE, "?") + ": " + reply.line());
        replyTo.accept(reply);
    }
}
