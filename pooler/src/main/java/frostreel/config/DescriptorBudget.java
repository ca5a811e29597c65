package frostreel.config;

/**
 * How the process's file descriptors are divided between clients and servers.
 *
 * @param maxClients limit on client connections
 * @param expectedClients how many client connections the platform expects at most
 * @param maxServerConnections limit on connections to servers
 */
record DescriptorBudget(int maxClients, int expectedClients, int maxServerConnections) {
    /** Where the configuration names no limit: the lowest that the platform grants. */
    static final int DEFAULT_DESCRIPTORS = 1024;
    /** Descriptors for the program itself: its jar, selectors, the listener, discovery, a margin. */
    private static final int RESERVED_DESCRIPTORS = 64;

    static final int MIN_DESCRIPTORS = 2 * RESERVED_DESCRIPTORS;
    static final int MAX_DESCRIPTORS = 1 << 20;
    /** The platform states that clients that send requests hold at most a third of all descriptors. */
    private static final int EXPECTED_CLIENTS_DIVISOR = 3;
    /**
     * A quarter of the unreserved descriptors stays for clients beyond the expected ones. Servers get the
     * remainder, and no less than a quarter: a pooler with many servers needs an idle connection to nearly
     * each, and with fewer every other request pays for a handshake.
     */
    private static final int SPARE_DIVISOR = 4;

    /**
     * Divides {@code descriptors}. A process that inherits its listener takes no more than half of those for
     * servers, as it shares them with the process that it replaces.
     */
    static DescriptorBudget of(int descriptors, boolean inheritsListener) {
        int available = descriptors - RESERVED_DESCRIPTORS;
        int expectedClients = descriptors / EXPECTED_CLIENTS_DIVISOR;
        int spare = available / SPARE_DIVISOR;
        int maxServers = Math.max(spare, available - expectedClients - spare);
        if (inheritsListener) {
            maxServers = Math.min(maxServers, Math.max(1, (available - expectedClients - RESERVED_DESCRIPTORS) / 2));
        }
        return new DescriptorBudget(available - maxServers, expectedClients, maxServers);
    }
}
