package frostreel.operation;

import frostreel.routing.Router;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Applies the operators' commands to discovery's endpoint list. A server that is out of service appears as draining,
 * whatever state discovery reports; once the command is revoked, it appears as last listed.
 *
 * <p>Owns the last listed entry of each server. The commands are owned by the caller.
 */
public final class MaintenanceOverlay {
    /** Number of departed servers to remember, since they may return and commands on them may arrive late. */
    private static final int MAX_DEPARTED = 256;

    private final OperatorCommands commands;
    private final Map<String, Router.Member> lastListed = new HashMap<>();
    /** Ids of departed servers, oldest departure first; their entries in {@link #lastListed} are kept. */
    private final Set<String> departed = new LinkedHashSet<>();

    /** Creates an overlay that reads the current state of {@code commands} at each call. */
    public MaintenanceOverlay(OperatorCommands commands) {
        this.commands = commands;
    }

    /**
     * Processes a complete endpoint list. Servers that are missing from it are recorded as gone.
     *
     * @return the members to publish instead of the listed ones, in the same order
     */
    public List<Router.Member> applyComplete(List<Router.Member> members) {
        markUnlistedAsGone(members);
        return applyChanges(members);
    }

    /**
     * Processes an endpoint list that contains only changed servers.
     *
     * @return the members to publish instead of the listed ones, in the same order
     */
    public List<Router.Member> applyChanges(List<Router.Member> members) {
        List<Router.Member> effective = new ArrayList<>(members.size());
        for (Router.Member member : members) {
            recordListed(member);
            effective.add(effectiveMember(member));
        }
        return effective;
    }

    private void markUnlistedAsGone(List<Router.Member> members) {
        Set<String> unlisted = new HashSet<>(lastListed.keySet());
        members.forEach(member -> unlisted.remove(member.id()));
        for (String id : unlisted) {
            Router.Member last = lastListed.get(id);
            recordListed(withStateAndStart(last, Router.State.GONE, last.startedUs()));
        }
    }

    private void recordListed(Router.Member member) {
        lastListed.put(member.id(), member);
        departed.remove(member.id());
        if (member.state() == Router.State.GONE) {
            departed.add(member.id());
            forgetOldestDeparted();
        }
    }

    private void forgetOldestDeparted() {
        if (departed.size() > MAX_DEPARTED) {
            String oldest = departed.iterator().next();
            departed.remove(oldest);
            lastListed.remove(oldest);
        }
    }

    /** Whether discovery has listed a server with this id, or operators have issued a command on it. */
    public boolean isKnown(String serverId) {
        return lastListed.containsKey(serverId)
                || commands.latest(CommandTarget.server(serverId)).isPresent();
    }

    /** The member to publish for a server now; empty if discovery has not listed the server. */
    public Optional<Router.Member> effectiveMember(String serverId) {
        return Optional.ofNullable(lastListed.get(serverId)).map(this::effectiveMember);
    }

    /** Ids of the servers that are out of service. */
    public List<String> outOfServiceIds() {
        List<String> serverIds = new ArrayList<>();
        commands.all().forEach((target, state) -> {
            if (state.inForce()) {
                target.serverId().ifPresent(serverIds::add);
            }
        });
        return serverIds;
    }

    /** The listed member with the latest command on it applied. */
    private Router.Member effectiveMember(Router.Member member) {
        Optional<CommandState> latest = commands.latest(CommandTarget.server(member.id()));
        if (latest.isEmpty()) {
            return member;
        }
        CommandState state = latest.get();
        return state.inForce() ? suspended(member) : restored(member, state);
    }

    private static Router.Member suspended(Router.Member member) {
        boolean gone = member.state() == Router.State.GONE;
        return gone ? member : withStateAndStart(member, Router.State.DRAINING, member.startedUs());
    }

    /**
     * Applies a revoked command. A server that is out of service is usually restarted, and discovery may report the
     * restart seconds after the command is revoked. Until discovery reports a start later than the suspension, the
     * time of the revocation counts as the start.
     */
    private static Router.Member restored(Router.Member member, CommandState revoked) {
        boolean restartReported = member.startedUs() >= revoked.inForceSinceUs();
        long startedUs = restartReported ? member.startedUs() : revoked.changedAtUs();
        return withStateAndStart(member, member.state(), startedUs);
    }

    private static Router.Member withStateAndStart(Router.Member member, Router.State state, long startedUs) {
        return new Router.Member(
                member.id(),
                member.zone(),
                member.kind(),
                member.group(),
                member.primary(),
                state,
                member.weight(),
                startedUs);
    }
}
