package frostreel.lab.processes;

/** A fault of the network between one pooler and its remote parties of one kind. */
sealed interface NetworkFault extends TimedFault {
    /** Nothing gets through to the pooler ({@code inbound}), from it ({@code outbound}), or either way. */
    record Cut(int pooler, NetworkSide side, long atUs, long untilUs, boolean inbound, boolean outbound)
            implements NetworkFault {
        static Cut read(FaultElement element) {
            String direction = element.xml().text("way");
            return new Cut(
                    element.pooler(),
                    element.side(),
                    element.atUs(),
                    element.untilUs(),
                    !direction.equals("out"),
                    !direction.equals("in"));
        }

        @Override
        public void begin(Fleet fleet) {
            fleet.network().cut(pooler, side, inbound, outbound);
        }

        @Override
        public void end(Fleet fleet) {
            fleet.network().cut(pooler, side, false, false);
        }
    }

    /** Every byte arrives later, each way. */
    record Delay(int pooler, NetworkSide side, long atUs, long untilUs, long delayUs) implements NetworkFault {
        static Delay read(FaultElement element) {
            return new Delay(
                    element.pooler(),
                    element.side(),
                    element.atUs(),
                    element.untilUs(),
                    element.xml().microsFromMillis("ms"));
        }

        @Override
        public void begin(Fleet fleet) {
            fleet.network().delay(pooler, side, delayUs);
        }

        @Override
        public void end(Fleet fleet) {
            fleet.network().delay(pooler, side, NetworkFaults.NO_DELAY);
        }
    }

    /** Each connection carries a limited number of bytes a second. */
    record Slow(int pooler, NetworkSide side, long atUs, long untilUs, long bytesPerSecond) implements NetworkFault {
        static Slow read(FaultElement element) {
            return new Slow(
                    element.pooler(),
                    element.side(),
                    element.atUs(),
                    element.untilUs(),
                    element.xml().integer("bytesPerS"));
        }

        @Override
        public void begin(Fleet fleet) {
            fleet.network().slow(pooler, side, bytesPerSecond);
        }

        @Override
        public void end(Fleet fleet) {
            fleet.network().slow(pooler, side, NetworkFaults.UNBOUNDED);
        }
    }

    /** Every connection is reset. */
    record Reset(int pooler, NetworkSide side, long atUs) implements NetworkFault {
        static Reset read(FaultElement element) {
            return new Reset(element.pooler(), element.side(), element.atUs());
        }

        @Override
        public void begin(Fleet fleet) {
            fleet.network().reset(pooler, side);
        }
    }
}
