package frostreel.discovery;

/**
 * The connections of a watch to the agent, at most two: the current one, which carries the current request or is
 * being established for it, and an overdue one, which has exceeded its timeout and may still deliver a response.
 */
final class AgentConnections {
    /** Time without received bytes after which an overdue request is abandoned. */
    private static final long OVERDUE_SILENCE_US = 15_000_000;
    /** Total time after which an overdue request is abandoned. */
    private static final long MAX_OVERDUE_US = 60_000_000;

    /** Null between requests. */
    private AgentConnection current;
    /** Null while no request is overdue. */
    private AgentConnection overdue;

    boolean hasCurrent() {
        return current != null;
    }

    boolean isCurrent(AgentConnection connection) {
        return connection == current;
    }

    boolean isOverdue(AgentConnection connection) {
        return connection == overdue;
    }

    /** Sets the current connection; there must be none. */
    void setCurrent(AgentConnection connection) {
        current = connection;
    }

    /**
     * Makes the current request overdue, so that another one can be sent. If another request is already overdue, the
     * newer of the two is abandoned, as the agent will respond to the older one first; the older one is abandoned
     * only if it has expired.
     */
    void moveCurrentToOverdue(long nowUs) {
        AgentConnection connection = current;
        current = null;
        if (overdue != null && hasExpired(overdue, nowUs)) {
            close(overdue);
        }
        if (overdue == null) {
            overdue = connection;
        } else {
            connection.close();
        }
    }

    private static boolean hasExpired(AgentConnection connection, long nowUs) {
        return nowUs - connection.lastReceivedUs() > OVERDUE_SILENCE_US
                || nowUs - connection.requestedUs() > MAX_OVERDUE_US;
    }

    /** Makes one of the two the current connection and closes the other, whose request is no longer needed. */
    void keepOnly(AgentConnection connection) {
        close(connection == current ? overdue : current);
        overdue = null;
        current = connection;
    }

    /** Closes a connection and removes it; does nothing for null. */
    void close(AgentConnection connection) {
        if (connection != null) {
            connection.close();
        }
        current = connection == current ? null : current;
        overdue = connection == overdue ? null : overdue;
    }

    void closeAll() {
        close(current);
        close(overdue);
    }

    /** Processes the bytes that have already arrived on both connections. */
    void readNow() {
        AgentConnection second = overdue; // Reading from the current connection may close this one or make it current.
        if (current != null) {
            current.readNow();
        }
        if (second != null) {
            second.readNow();
        }
    }
}
