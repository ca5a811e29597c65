package frostreel.stats;

import frostreel.routing.Router.Outcome;
import java.util.EnumMap;
import java.util.Map;

/** Counts what is taken in, sent and answered. Written by the I/O thread alone. */
public final class Counters {
    public long clientsAccepted;
    public long clientsClosed;
    /** Accepts that the system failed, of clients and of operators' callers. */
    public long acceptFailures;

    public long clientsGone;
    public long clientsCancelled;
    public long clientsSilent;
    public long clientsEvicted;
    public long clientsSpared;
    public long malformed;
    public long strayBytes;
    public long unreadReports;
    public long crowdedOut;
    public long requests;
    /** Answers passed on as they came, and those of them that ended unfinished. */
    public long longAnswers;

    public long longBroken;
    public long served;
    public long refused;
    public long failed;
    public long overdue;
    public long attempts;
    public long probes;
    public long serverConnections;
    public long serverConnectFailures;
    public long serverConnectionsEvicted;
    public long reloads;
    public long watches;
    public long lists;
    public long discoveryFailures;
    public long strayExceptions;
    /** Operators' calls answered yes, answered no, and callers closed for having said nothing whole. */
    public long callsDone;

    public long callsRefused;
    public long callersSilent;
    private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);

    public void outcome(Outcome o) {
        outcomes.merge(o, 1L, Long::sum);
    }

    /** One line, names and values. */
    @Override
    public String toString() {
        return "clients_accepted=" + clientsAccepted + " clients_closed=" + clientsClosed
                + " accept_failures=" + acceptFailures + " clients_gone="
                + clientsGone + " clients_cancelled=" + clientsCancelled + " clients_silent=" + clientsSilent
                + " clients_evicted=" + clientsEvicted + " clients_spared=" + clientsSpared
                + " malformed=" + malformed + " stray_bytes=" + strayBytes
                + " unread_reports=" + unreadReports + " crowded_out=" + crowdedOut
                + " requests=" + requests + " served=" + served
                + " long_answers=" + longAnswers + " long_broken=" + longBroken
                + " refused=" + refused + " failed=" + failed + " overdue=" + overdue + " attempts="
                + attempts
                + " probes=" + probes + " server_connections=" + serverConnections
                + " server_connect_failures="
                + serverConnectFailures + " server_connections_evicted=" + serverConnectionsEvicted
                + " reloads=" + reloads + " watches=" + watches + " lists=" + lists
                + " discovery_failures="
                + discoveryFailures + " stray_exceptions=" + strayExceptions + " calls_done=" + callsDone
                + " calls_refused=" + callsRefused + " callers_silent=" + callersSilent
                + " outcomes=" + outcomes;
    }
}
