package frostreel.cluster;

/**
 * One incarnation of a pooler. The incarnation distinguishes messages of a process that has ended from those of a
 * later process with the same name.
 *
 * @param name name of the pooler in the operators' file
 * @param incarnation increases with each start of the process
 */
public record Peer(String name, long incarnation) implements Comparable<Peer> {
    /** Compares by name, then by incarnation. */
    @Override
    public int compareTo(Peer other) {
        int byName = name.compareTo(other.name);
        return byName != 0 ? byName : Long.compare(incarnation, other.incarnation);
    }

    @Override
    public String toString() {
        return name + "/" + incarnation;
    }
}
