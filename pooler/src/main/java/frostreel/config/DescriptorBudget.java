package frostreel.config;

/**
 * How the process's file descriptors are divided between clients and servers.
 *
 * @param maxClients most client connections at once
 * @param expectedClients client connections that the platform says are usual at most
 * @param maxServerConnections most connections to servers at once
 */
record DescriptorBudget(int maxClients, int expectedClients, int maxServerConnections) {
    /** Where the configuration names no limit: the least that the platform grants. */
    static final int DEFAULT_DESCRIPTORS = 1024;
    /** Descriptors for the program itself: its jar, selectors, the listener, discovery, a margin. */
    private static final int RESERVED = 64;

    static final int MIN_DESCRIPTORS = 2 * RESERVED;
    static final int MAX_DESCRIPTORS = 1 << 20;
    /** By the platform's statement, clients that send requests hold at most this part of all descriptors. */
    private static final int EXPECTED_CLIENTS_DIVISOR = 3;
    /**
     * Of the unreserved descriptors, this part stays for clients beyond the expected ones. Servers get the
     * remainder, and no less than the same part: a pooler with many servers needs an idle connection to
     * nearly each, and with fewer every other request pays for a handshake.
     */
    private static final int SPARE_DIVISOR = 4;

    /**
     * Divides {@code descriptors}; a process that inherits its listener shares them with the one that it
     * replaces.
     */
    static DescriptorBudget of(int descriptors, boolean inheritsListener) {
        int available = descriptors - RESERVED;
        int expectedClients = descriptors / EXPECTED_CLIENTS_DIVISOR;
        int spare = available / SPARE_DIVISOR;
        int maxServers = Math.max(spare, available - expectedClients - spare);
        if (inheritsListener) {
            maxServers = Math.min(maxServers, Math.max(1, (available - expectedClients - RESERVED) / 2));
        }
        return new DescriptorBudget(available - maxServers, expectedClients, maxServers);
    }
}
