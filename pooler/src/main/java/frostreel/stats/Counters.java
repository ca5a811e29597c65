package frostreel.stats;

import frostreel.routing.Router.Outcome;
import java.util.EnumMap;
import java.util.Map;

/**
 * Counts events since the start of the process. Fields are named as the keys of {@code SHOW stats}, which are
 * described in docs/ONCALL.md. Written by the I/O thread alone.
 */
public final class Counters {
    public long clientsAccepted;
    public long clientsClosed;
    /** Accepts that the system failed, on the clients' socket and on the admin endpoint. */
    public long acceptFailures;
    /** Requests whose clients disconnected before the response. */
    public long clientsGone;
    /** Requests that were cancelled by CancelRequest. */
    public long clientsCancelled;
    /** Clients closed because no complete message arrived from them in time. */
    public long clientsSilent;
    /** Idle clients closed near the limit on connections. */
    public long clientsEvicted;
    /** The longest idle clients, closed because too many were idle. */
    public long clientsSpared;
    /** Messages, statements and comments that could not be parsed. */
    public long malformed;
    /** Server connections closed because of bytes that belong to no request. */
    public long strayBytes;
    /** Load reports and positions that could not be parsed. */
    public long unreadReports;
    /** Requests rejected because requests in flight held nearly all client connections. */
    public long crowdedOut;
    /** Requests handed to the router. */
    public long requests;
    /** Responses that were streamed. */
    public long longAnswers;
    /** Streamed responses that ended incomplete. */
    public long longBroken;

    public long served;
    public long refused;
    public long failed;
    /** Requests that the router left unanswered at their deadlines. */
    public long overdue;

    public long attempts;
    /** Health checks sent. */
    public long healthChecks;

    public long serverConnections;
    public long serverConnectFailures;
    /** Idle server connections closed to make room for another. */
    public long serverConnectionsEvicted;
    /** Configuration reloads. */
    public long reloads;
    /** Polls of discovery. */
    public long watches;
    /** Endpoint lists received. */
    public long lists;

    public long discoveryFailures;
    /** Exceptions caught in handlers, timers and events. */
    public long strayExceptions;
    /** Operators' commands answered {@code OK}. */
    public long callsDone;
    /** Operators' commands answered {@code ERR}. */
    public long callsRefused;
    /** Callers of the admin endpoint closed because no complete command arrived from them in time. */
    public long callersSilent;

    private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);

    /** Counts how an attempt ended. */
    public void outcome(Outcome outcome) {
        outcomes.merge(outcome, 1L, Long::sum);
    }

    /** Returns one line of names and values, the response to {@code SHOW stats}. */
    @Override
    public String toString() {
        return "clients_accepted=" + clientsAccepted
                + " clients_closed=" + clientsClosed
                + " accept_failures=" + acceptFailures
                + " clients_gone=" + clientsGone
                + " clients_cancelled=" + clientsCancelled
                + " clients_silent=" + clientsSilent
                + " clients_evicted=" + clientsEvicted
                + " clients_spared=" + clientsSpared
                + " malformed=" + malformed
                + " stray_bytes=" + strayBytes
                + " unread_reports=" + unreadReports
                + " crowded_out=" + crowdedOut
                + " requests=" + requests
                + " served=" + served
                + " long_answers=" + longAnswers
                + " long_broken=" + longBroken
                + " refused=" + refused
                + " failed=" + failed
                + " overdue=" + overdue
                + " attempts=" + attempts
                + " probes=" + healthChecks
                + " server_connections=" + serverConnections
                + " server_connect_failures=" + serverConnectFailures
                + " server_connections_evicted=" + serverConnectionsEvicted
                + " reloads=" + reloads
                + " watches=" + watches
                + " lists=" + lists
                + " discovery_failures=" + discoveryFailures
                + " stray_exceptions=" + strayExceptions
                + " calls_done=" + callsDone
                + " calls_refused=" + callsRefused
                + " callers_silent=" + callersSilent
                + " outcomes=" + outcomes;
    }
}
