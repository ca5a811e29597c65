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
 * Overlays the operators' commands on discovery's endpoint list: a server that is out of service appears as
 * draining, whatever discovery says meanwhile, and as discovery last listed it once the command is revoked.
 *
 * <p>Owns the last entry that discovery listed for each server; the commands belong to the caller.
 */
public final class MaintenanceOverlay {
    /** How many departed servers are remembered: they may come back, and commands on them may come late. */
    private static final int MAX_DEPARTED = 256;

    private final OperatorCommands commands;
    private final Map<String, Router.Member> lastListed = new HashMap<>();
    /** Ids of listed servers that are gone, in the order in which they left. */
    private final Set<String> departed = new LinkedHashSet<>();

    /** Overlays these commands, as they are at each call. */
    public MaintenanceOverlay(OperatorCommands commands) {
        this.commands = commands;
    }

    /**
     * Takes in a complete endpoint list: servers that it lacks are gone.
     *
     * @return the members to pass on in place of the listed ones, in the same order
     */
    public List<Router.Member> applyComplete(List<Router.Member> members) {
        markUnlistedAsGone(members);
        return applyChanges(members);
    }

    /**
     * Takes in an endpoint list that names changed servers alone.
     *
     * @return the members to pass on in place of the listed ones, in the same order
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

    /** Whether discovery has listed a server of that id, or operators have given a command on one. */
    public boolean isKnown(String serverId) {
        return lastListed.containsKey(serverId)
                || commands.latest(CommandTarget.server(serverId)).isPresent();
    }

    /** The member to pass on for a server now, empty if discovery has not listed it. */
    public Optional<Router.Member> effectiveMember(String serverId) {
        return Optional.ofNullable(lastListed.get(serverId)).map(this::effectiveMember);
    }

    /** The ids of the servers that are out of service. */
    public List<String> outOfServiceIds() {
        List<String> serverIds = new ArrayList<>();
        commands.all().forEach((target, state) -> {
            if (state.inForce()) {
                target.serverId().ifPresent(serverIds::add);
            }
        });
        return serverIds;
    }

    /** The listed member with the commands on it applied. */
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
     * Operators restart a server that is out of service, and discovery may report that seconds after the command
     * is revoked: until it reports a start since the server went out of service, the revocation counts as the
     * start.
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
