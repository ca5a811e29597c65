package frostreel.lab.processes;

/** A fault of one stand-in server, which starts again cold when the fault ends. */
sealed interface ServerFault extends TimedFault {
    /** The number of the server among all of the fleet. */
    int server();

    @Override
    default void end(Fleet fleet) {
        fleet.cluster().start(fleet.server(server()));
    }

    /** Its process crashes. */
    record Crash(int server, long atUs, long untilUs) implements ServerFault {
        static Crash read(FaultElement element) {
            return new Crash(element.server(), element.atUs(), element.untilUs());
        }

        @Override
        public void begin(Fleet fleet) {
            fleet.cluster().crash(fleet.server(server));
        }
    }

    /** Its machine becomes silent. */
    record Loss(int server, long atUs, long untilUs) implements ServerFault {
        static Loss read(FaultElement element) {
            return new Loss(element.server(), element.atUs(), element.untilUs());
        }

        @Override
        public void begin(Fleet fleet) {
            fleet.cluster().vanish(fleet.server(server));
        }
    }

    /** It drains, and its process ends. */
    record Drain(int server, long atUs, long untilUs) implements ServerFault {
        static Drain read(FaultElement element) {
            return new Drain(element.server(), element.atUs(), element.untilUs());
        }

        @Override
        public void begin(Fleet fleet) {
            fleet.cluster().drain(fleet.server(server));
        }
    }
}
