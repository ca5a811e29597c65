package frostreel.discovery;

import frostreel.config.EndpointList;

/**
 * The version of the current endpoint list. Versions increase while an agent runs; a restarted agent may start a new
 * numbering.
 */
final class ListVersion {
    /** There is no current list. */
    static final long NONE = -1;

    private long version;

    /** {@code version}: of the current list, {@link #NONE} for none. */
    ListVersion(long version) {
        this.version = version;
    }

    long value() {
        return version;
    }

    /** Whether there is no current list, so that updates cannot be applied and the complete list is needed. */
    boolean isNone() {
        return version == NONE;
    }

    /**
     * Whether a received list is to be applied. A response to an overdue request may be older than the current list.
     *
     * @param fromVersion the version since which updates were requested
     */
    boolean isRelevant(EndpointList list, long fromVersion) {
        return fromVersion == version || list.version() >= version;
    }

    /**
     * Sets the version to that of a received list. An update with a lower version than the current list comes from a
     * new numbering: the updates before that numbering are missing, so the version becomes {@link #NONE}.
     */
    void advanceTo(EndpointList list) {
        version = list.complete() || list.version() >= version ? list.version() : NONE;
    }
}
