package frostreel.lab.processes;

import java.util.List;

/** A fault of the network between two groups of poolers that are members of one cluster. */
sealed interface PeerFault extends TimedFault {
    /** The poolers on either side of the fault; no pooler is on both. */
    record Groups(List<Integer> from, List<Integer> to) {
        static Groups read(FaultElement element) {
            if (element.experiment().silentAfterMs() == 0) {
                element.reject("the poolers of this fleet do not see each other");
            }
            Groups groups = new Groups(element.poolers("from"), element.poolers("to"));
            if (groups.from.stream().anyMatch(groups.to::contains)) {
                element.reject("to", "a pooler stands on both sides");
            }
            return groups;
        }
    }

    /** What the first group sends to the second is lost, and with {@code bothWays} also what the second sends. */
    record Cut(Groups groups, long atUs, long untilUs, boolean bothWays) implements PeerFault {
        static Cut read(FaultElement element) {
            return new Cut(
                    Groups.read(element),
                    element.atUs(),
                    element.untilUs(),
                    element.xml().text("way").equals("both"));
        }

        @Override
        public void begin(Fleet fleet) {
            cut(fleet.network(), true);
        }

        @Override
        public void end(Fleet fleet) {
            cut(fleet.network(), false);
        }

        private void cut(NetworkFaults network, boolean isCut) {
            network.cutPeers(groups.from, groups.to, isCut);
            if (bothWays) {
                network.cutPeers(groups.to, groups.from, isCut);
            }
        }
    }

    /** Every byte between the groups arrives later, each way. */
    record Delay(Groups groups, long atUs, long untilUs, long delayUs) implements PeerFault {
        static Delay read(FaultElement element) {
            return new Delay(
                    Groups.read(element),
                    element.atUs(),
                    element.untilUs(),
                    element.xml().microsFromMillis("ms"));
        }

        @Override
        public void begin(Fleet fleet) {
            fleet.network().delayPeers(groups.from, groups.to, delayUs);
        }

        @Override
        public void end(Fleet fleet) {
            fleet.network().delayPeers(groups.from, groups.to, NetworkFaults.NO_DELAY);
        }
    }

    /** Each connection between the groups carries a limited number of bytes a second. */
    record Slow(Groups groups, long atUs, long untilUs, long bytesPerSecond) implements PeerFault {
        static Slow read(FaultElement element) {
            return new Slow(
                    Groups.read(element),
                    element.atUs(),
                    element.untilUs(),
                    element.xml().integer("bytesPerS"));
        }

        @Override
        public void begin(Fleet fleet) {
            fleet.network().slowPeers(groups.from, groups.to, bytesPerSecond);
        }

        @Override
        public void end(Fleet fleet) {
            fleet.network().slowPeers(groups.from, groups.to, NetworkFaults.UNBOUNDED);
        }
    }
}
