package frostreel.stats;

import frostreel.routing.Router.Outcome;
import java.util.EnumMap;
import java.util.Map;

/**
 * Counts events since the start of the process. {@link #toString} maps each field to its key in {@code SHOW stats};
 * docs/ONCALL.md describes the keys. Written only on the I/O thread.
 */
public final class Counters {
    public long clientsAccepted;
    public long clientsClosed;
    /** Failures of {@code accept} on the client socket and on the admin endpoint. */
    public long acceptFailures;
    /** Clients closed because no complete message arrived from them in time. */
    public long clientsTimedOut;
    /** Idle clients closed near the limit on connections. */
    public long idleClientsEvicted;
    /** The longest idle clients, closed because too many were idle. */
    public long idleClientsTrimmed;
    /** Messages, statements and comments that could not be parsed. */
    public long malformedMessages;

    /** Requests submitted to the broker. */
    public long requestsSubmitted;

    public long requestsServed;
    public long requestsRejected;
    public long requestsFailed;
    /** Requests whose clients disconnected before the response. */
    public long requestsAbandoned;
    /** Requests that were cancelled by CancelRequest. */
    public long requestsCancelled;
    /** Requests that the router left open for too long past their deadlines, so the broker failed them. */
    public long requestsOverdue;
    /** Requests rejected because requests in flight occupied nearly all client connections. */
    public long requestsRejectedForOverload;
    /** Requests rejected because the buffers occupied too much of the heap. */
    public long requestsRejectedForMemory;
    /** Times that the input behind a request in progress was left in the socket because the buffers were full. */
    public long inputsHeldBack;
    /** Times that the messages of a client were put off to a later turn, as it had used its share of one. */
    public long inputsDeferred;
    /** Times that a long response was left in the socket of its server because the buffers were full. */
    public long responsesHeldBack;

    /** Responses to reads that were not passed on because their data may be older than the class allows. */
    public long responsesTooOld;

    public long responsesStreamed;
    /** Streamed responses that ended incomplete. */
    public long streamedResponsesBroken;

    public long attemptsStarted;
    public long healthChecksSent;
    /** Load reports and positions that could not be parsed. */
    public long malformedLoadReports;

    public long serverConnectionsOpened;
    public long serverConnectionsFailed;
    /** Idle server connections closed to make room for another. */
    public long idleServerConnectionsEvicted;
    /** Server connections closed because of bytes that belong to no request. */
    public long serverConnectionsOutOfSync;

    public long configReloads;
    public long discoveryPolls;
    public long endpointListsReceived;
    public long discoveryFailures;
    /** Exceptions caught in handlers, timers and events. */
    public long unexpectedExceptions;

    /** Operators' commands with the response {@code OK}. */
    public long adminCommandsAccepted;
    /** Operators' commands with the response {@code ERR}. */
    public long adminCommandsRejected;
    /**
     * Admin connections that were closed, by a timeout or to make room for another, before a complete command
     * arrived.
     */
    public long adminClientsTimedOut;

    private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);

    /** Counts the outcome of an attempt. */
    public void countOutcome(Outcome outcome) {
        outcomes.merge(outcome, 1L, Long::sum);
    }

    /**
     * Returns the response to {@code SHOW stats}: one line of keys and values. Operators' tools depend on the keys
     * and their order, so neither changes when a field is renamed.
     */
    @Override
    public String toString() {
        return "clients_accepted=" + clientsAccepted
                + " clients_closed=" + clientsClosed
                + " accept_failures=" + acceptFailures
                + " clients_gone=" + requestsAbandoned
                + " clients_cancelled=" + requestsCancelled
                + " clients_silent=" + clientsTimedOut
                + " clients_evicted=" + idleClientsEvicted
                + " clients_spared=" + idleClientsTrimmed
                + " malformed=" + malformedMessages
                + " stray_bytes=" + serverConnectionsOutOfSync
                + " unread_reports=" + malformedLoadReports
                + " crowded_out=" + requestsRejectedForOverload
                + " requests=" + requestsSubmitted
                + " served=" + requestsServed
                + " long_answers=" + responsesStreamed
                + " long_broken=" + streamedResponsesBroken
                + " refused=" + requestsRejected
                + " failed=" + requestsFailed
                + " overdue=" + requestsOverdue
                + " attempts=" + attemptsStarted
                + " probes=" + healthChecksSent
                + " server_connections=" + serverConnectionsOpened
                + " server_connect_failures=" + serverConnectionsFailed
                + " server_connections_evicted=" + idleServerConnectionsEvicted
                + " reloads=" + configReloads
                + " watches=" + discoveryPolls
                + " lists=" + endpointListsReceived
                + " discovery_failures=" + discoveryFailures
                + " stray_exceptions=" + unexpectedExceptions
                + " calls_done=" + adminCommandsAccepted
                + " calls_refused=" + adminCommandsRejected
                + " callers_silent=" + adminClientsTimedOut
                + " memory_refused=" + requestsRejectedForMemory
                + " input_held_back=" + inputsHeldBack
                + " input_deferred=" + inputsDeferred
                + " answers_held_back=" + responsesHeldBack
                + " answers_too_old=" + responsesTooOld
                + " outcomes=" + outcomes;
    }
}
