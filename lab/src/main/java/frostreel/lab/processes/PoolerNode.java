package frostreel.lab.processes;

import frostreel.lab.standin.DiscoveryAgent;
import frostreel.lab.standin.StandInDatabase;
import frostreel.routing.Router;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;

/**
 * One pooler of a fleet: its process over all incarnations, the discovery agent of its machine, and a relay
 * for each of its remote parties. Used on the event loop's thread alone.
 */
final class PoolerNode {
    private static final int SOCKET_LIMIT = 512;
    private static final long NOT_STARTING = 0;

    final PoolerProcess process;
    final DiscoveryAgent agent;
    private final RunContext run;
    private final long seed;
    private final Map<NetworkSide, List<FaultyRelay>> relays = new EnumMap<>(NetworkSide.class);
    /** The operators' file; null where there is none. */
    private Path settingsFile;
    /** The endpoint list of the last incarnation, with which the next one starts; null before the first end. */
    private JSONObject cachedEndpoints;

    private boolean expectedAlive;
    private boolean upgrading;
    private long startingSinceUs = NOT_STARTING;

    /** Opens the relays and the agent; the process does not run yet. */
    PoolerNode(RunContext run, int number, String host, Path jar, StandInServers servers) throws IOException {
        this.run = run;
        seed = run.random().nextLong();
        process = run.operated()
                ? new PoolerProcess(number, new SharedSocket(host), jar, run.folder())
                : new PoolerProcess(number, PoolerProcess.freePort(InetAddress.getByName(host)), jar, run.folder());
        InetSocketAddress anyPort = new InetSocketAddress(host, 0);
        Map<String, String> dialAddresses = relayServers(number, anyPort, servers.databases());
        agent = new DiscoveryAgent(run.loop(), run.scheduler(), servers.cluster(), dialAddresses::get, anyPort);
        relays.put(
                NetworkSide.DISCOVERY,
                List.of(new FaultyRelay(
                        run.loop(),
                        anyPort,
                        agent::address,
                        true,
                        () -> new EndpointListRecorder(run.loop().clock(), number, run.invariants()))));
        relays.put(
                NetworkSide.CLIENTS,
                List.of(new FaultyRelay(
                        run.loop(),
                        anyPort,
                        () -> process.listen,
                        false,
                        () -> new ClientRecorder(
                                run.loop().clock(), number, run.classes(), run.invariants(), run.operated()))));
    }

    /** A relay to each server; returns the address, as text, at which this pooler reaches each. */
    private Map<String, String> relayServers(
            int number, InetSocketAddress anyPort, Map<String, StandInDatabase> databases) throws IOException {
        List<FaultyRelay> toServers = new ArrayList<>();
        Map<String, String> dialAddresses = new HashMap<>();
        AttemptOrder order = new AttemptOrder();
        for (Map.Entry<String, StandInDatabase> entry : databases.entrySet()) {
            FaultyRelay relay = new FaultyRelay(
                    run.loop(),
                    anyPort,
                    entry.getValue()::address,
                    true,
                    () -> new StatementRecorder(
                            run.loop().clock(), number, entry.getKey(), run.classes(), run.invariants(), order));
            toServers.add(relay);
            order.readBy(relay::readNow);
            dialAddresses.put(entry.getKey(), PoolerProcess.hostAndPort(relay.address()));
        }
        relays.put(NetworkSide.SERVERS, toServers);
        return dialAddresses;
    }

    int number() {
        return process.number;
    }

    String name() {
        return process.name();
    }

    /** Where clients reach it, through a relay. */
    InetSocketAddress clientAddress() {
        return relays.get(NetworkSide.CLIENTS).get(0).address();
    }

    List<FaultyRelay> relays(NetworkSide side) {
        return relays.get(side);
    }

    /** Sets the operators' file that the process reads from its next start on. */
    void useSettings(Path file) {
        settingsFile = file;
    }

    /**
     * Starts the process. The invariants assume that it knows the agent's present list from the first moment, since
     * it may ask for it at any time.
     */
    void start() {
        expectedAlive = true;
        startingSinceUs = run.scheduler().now();
        run.invariants().poolerPaused(run.scheduler().now(), number(), false);
        agent.endpoints().stream()
                .filter(member -> member.state() != Router.State.UP)
                .forEach(member ->
                        run.invariants().endpointUpdated(run.scheduler().now(), number(), member.id(), member.state()));
        try {
            process.start(config(), discoveryAddress(), settingsFile);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Starts a successor beside the running process; both are one pooler to the invariants. */
    void startSuccessor() {
        cacheEndpoints();
        try {
            process.startSuccessor(config(), discoveryAddress(), settingsFile);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private JSONObject config() {
        return PlatformConfig.of(
                run.plan().settings(number() % run.plan().zones(), seed),
                run.plan().zones(),
                cachedEndpoints == null ? agent.fullList() : cachedEndpoints,
                SOCKET_LIMIT);
    }

    private String discoveryAddress() {
        return PoolerProcess.hostAndPort(
                relays.get(NetworkSide.DISCOVERY).get(0).address());
    }

    /** Keeps the present endpoint list for the next incarnation. */
    void cacheEndpoints() {
        cachedEndpoints = agent.fullList();
    }

    /** Notes that the process is about to be ended on purpose. */
    void expectEnd() {
        expectedAlive = false;
    }

    /** Whether the process was started and has not been ended on purpose. */
    boolean expectedAlive() {
        return expectedAlive;
    }

    /** Notes that the process serves clients, which ends its start. */
    void ready() {
        startingSinceUs = NOT_STARTING;
    }

    /** How long the present start has taken; 0 where the process is not starting. */
    long startingForUs() {
        return startingSinceUs == NOT_STARTING ? 0 : run.scheduler().now() - startingSinceUs;
    }

    boolean upgrading() {
        return upgrading;
    }

    void upgrading(boolean isUpgrading) {
        upgrading = isUpgrading;
    }

    /** Closes the relays and the agent; the process is ended separately. */
    void close() {
        relays.values().forEach(side -> side.forEach(FaultyRelay::close));
        agent.close();
    }
}
