package frostreel.cluster;

/**
 * One incarnation of a pooler, so that messages of a process that has ended are told from those of its
 * successor.
 *
 * @param name from the operators' file
 * @param incarnation higher at each start of the process
 */
public record Peer(String name, long incarnation) implements Comparable<Peer> {
    /** By name, then by incarnation. */
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
