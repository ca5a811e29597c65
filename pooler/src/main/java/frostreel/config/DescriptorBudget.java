package frostreel.config;

/**
 * The division of the process's file descriptors between clients and servers.
 *
 * @param maxClients the limit on client connections
 * @param expectedClients the highest number of client connections that the platform expects
 * @param maxServerConnections the limit on connections to servers
 */
record DescriptorBudget(int maxClients, int expectedClients, int maxServerConnections) {
    /** Assumed if the configuration has no limit: the lowest limit that the platform grants. */
    static final int DEFAULT_DESCRIPTORS = 1024;
    /** Reserved for the process itself: its jar, selectors, the listener, discovery, and a margin. */
    private static final int RESERVED_DESCRIPTORS = 64;

    static final int MIN_DESCRIPTORS = 2 * RESERVED_DESCRIPTORS;
    static final int MAX_DESCRIPTORS = 1 << 20;
    /** According to the platform, clients that send requests use at most a third of all descriptors. */
    private static final int EXPECTED_CLIENTS_DIVISOR = 3;
    /**
     * A quarter of the unreserved descriptors is kept for clients beyond the expected ones. Servers get what remains
     * after both, but at least a quarter, even if that leaves less for further clients: a pooler with many servers
     * needs an idle connection to nearly each of them, and with fewer, every other request waits for a handshake.
     */
    private static final int SPARE_DIVISOR = 4;

    /**
     * Divides {@code descriptors}. A process that inherits its listener serves beside the process that it replaces,
     * so it uses at most half of the descriptors that remain for servers after a second reserve.
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
