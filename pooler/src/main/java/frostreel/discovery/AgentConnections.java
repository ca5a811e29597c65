package frostreel.discovery;

/**
 * The connections of a watch to the agent, two at most: the one with the current request, or being established
 * for it, and one whose request is overdue and may still be answered.
 */
final class AgentConnections {
    /** An overdue request is abandoned after this time without any bytes. */
    private static final long OVERDUE_SILENCE_US = 15_000_000;
    /** An overdue request is abandoned after this time in all. */
    private static final long MAX_OVERDUE_US = 60_000_000;

    /** Null between two requests. */
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

    /** Sets the current connection, where there is none. */
    void setCurrent(AgentConnection connection) {
        current = connection;
    }

    /**
     * Makes the current request overdue, so that another one can be sent. If one is overdue already, the newer
     * of the two is abandoned, as the older is nearer to its response, unless that has expired.
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

    /** Makes one of the two the current connection and closes the other, whose request has become useless. */
    void keepOnly(AgentConnection connection) {
        close(connection == current ? overdue : current);
        overdue = null;
        current = connection;
    }

    /** Closes a connection and forgets it; without effect for null. */
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

    /** Processes what has arrived on both connections by now. */
    void readNow() {
        AgentConnection second = overdue; // Reading from the current one may close it, or make it current.
        if (current != null) {
            current.readNow();
        }
        if (second != null) {
            second.readNow();
        }
    }
}
