package frostreel.discovery;

import frostreel.config.EndpointList;

/**
 * The version of the endpoint list held. Versions grow within the count of one agent; a restarted agent may
 * count anew.
 */
final class ListVersion {
    /** No list is held. */
    static final long NONE = -1;

    private long version;

    /** {@code version}: of the list held, {@link #NONE} for none. */
    ListVersion(long version) {
        this.version = version;
    }

    long value() {
        return version;
    }

    /** Whether no list is held, so that changes cannot be applied and the complete one is needed. */
    boolean isNone() {
        return version == NONE;
    }

    /**
     * Whether a list adds to the one held. A response to an overdue request may be older than that.
     *
     * @param fromVersion the version from which the list was requested
     */
    boolean isRelevant(EndpointList list, long fromVersion) {
        return fromVersion == version || list.version() >= version;
    }

    /**
     * Moves to the version of a list that was received. A list of changes whose version is lower than the one
     * held belongs to another count: the changes made before that count began are missing, so that no version
     * is held from then on.
     */
    void advanceTo(EndpointList list) {
        version = list.complete() || list.version() >= version ? list.version() : NONE;
    }
}
