package frostreel.lab.processes;

/** A single fault that begins at a given time, and may have to be ended at a later one. */
sealed interface TimedFault extends ProcessFault permits PoolerFault, NetworkFault, PeerFault, ServerFault {
    /** In place of the end of a fault that has none, or that ends by itself. */
    long NEVER = -1;

    /** When the fault begins. */
    long atUs();

    /** When the fault has to be ended, or {@link #NEVER}. */
    default long untilUs() {
        return NEVER;
    }

    /** Begins the fault; on the event loop's thread. */
    void begin(Fleet fleet);

    /** Ends the fault; on the event loop's thread. */
    default void end(Fleet fleet) {}

    @Override
    default void schedule(Fleet fleet) {
        fleet.at(atUs(), () -> begin(fleet));
        if (untilUs() != NEVER) {
            fleet.at(untilUs(), () -> end(fleet));
        }
    }
}
